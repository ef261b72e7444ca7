//! Signals to a daemon while calls are under way.

use indigospur_test_support::{Call, ServicePlan, Site, SitePlan, request, wait_until};

// A daemon without a handler for SIGHUP ended and cut what it had read.
#[test]
fn a_hangup_signal_in_the_middle_of_calls_cuts_none_of_them() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 2, &[])],
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let entry = site.nodes[0].calls();
    let call = Call {
        service: "accounts",
        path: "/x?work=300",
        ..Call::default()
    };
    let runs = || -> usize { site.nodes.iter().map(|node| node.journal().len()).sum() };
    std::thread::scope(|scope| {
        let sent: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| request(&entry, &call)))
            .collect();
        wait_until("all run", || runs() == 8);
        site.nodes.iter().for_each(|node| node.daemon.signal("HUP"));
        for thread in sent {
            assert_eq!(thread.join().expect("no panic").status, 200);
        }
    });
    assert!(site.nodes.iter_mut().all(|node| !node.daemon.has_ended()));
}
