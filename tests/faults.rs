//! Requests that crash backend servers, and connections that go silent.

use indigospur_test_support::{
    Call, HostProxies, ServicePlan, Site, SitePlan, request, wait_until,
};

fn site(upstreams: usize) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", upstreams, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

#[test]
fn a_request_that_crashes_backend_servers_is_refused_for_good_and_others_are_served() {
    let mut site = site(3);
    let poison = Call {
        service: "accounts",
        path: "/poison?fail=crash",
        ..Call::default()
    };
    let innocent = Call {
        service: "accounts",
        path: "/innocent",
        ..Call::default()
    };
    let mut crashes = 0;
    for _ in 0..12 {
        let entry = site.nodes[0].caller_address();
        let answered = request(&entry, &poison);
        assert_ne!(answered.status, 200);
        for node in &mut site.nodes {
            if node.backend.has_ended() {
                crashes += 1;
                node.restart_backend().expect("it starts");
            }
        }
        site.wait_until_ready();
        assert_eq!(request(&entry, &innocent).status, 200);
        if answered.kind == "poisonous" {
            break;
        }
    }
    assert!(crashes <= 4, "{crashes} crashes");
    wait_until("every daemon refuses it at once", || {
        site.nodes
            .iter()
            .all(|node| request(&node.caller_address(), &poison).kind == "poisonous")
    });
    assert!(site.nodes.iter_mut().all(|node| !node.backend.has_ended()));
    assert_eq!(
        request(&site.nodes[1].caller_address(), &innocent).status,
        200
    );
}

#[test]
fn a_connection_that_goes_silent_is_replaced_and_its_host_is_not_condemned() {
    let wires = HostProxies::start();
    let plan = SitePlan {
        services: vec![ServicePlan::new("quoting", 1, &[])],
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let accounts = ServicePlan::new("accounts", 1, &[]);
    site.add_proxied_host(&wires, "accounts-0", &accounts)
        .expect("the host starts");
    site.wait_until_ready();
    let entry = site.nodes[0].caller_address();
    let call = Call {
        service: "accounts",
        path: "/x",
        ..Call::default()
    };
    for _ in 0..3 {
        assert_eq!(request(&entry, &call).status, 200);
        assert!(wires.peers.blackhole_open_connections() > 0);
        let noticed = request(&entry, &call);
        assert!(
            noticed.status == 200 || noticed.kind == "link-lost",
            "{noticed:?}"
        );
        assert_eq!(request(&entry, &call).status, 200);
    }
}
