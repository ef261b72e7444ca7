//! Requests that crash backend servers, and connections between daemons that stop delivering bytes.

use indigospur_test_support::{
    Call, HostProxies, ServicePlan, Site, SitePlan, request, wait_until,
};

fn start_site(upstreams: usize) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", upstreams, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

#[test]
fn a_request_that_crashes_backend_servers_is_blocked_and_others_are_served() {
    let mut site = start_site(3);
    let poison_call = Call {
        service: "accounts",
        path: "/poison?fail=crash",
        ..Call::default()
    };
    let harmless_call = Call {
        service: "accounts",
        path: "/innocent",
        ..Call::default()
    };
    let mut crashes = 0;
    for _ in 0..12 {
        let entry = site.nodes[0].caller_address();
        let response = request(&entry, &poison_call);
        assert_ne!(response.status, 200);
        for node in &mut site.nodes {
            if node.backend.has_ended() {
                crashes += 1;
                node.restart_backend().expect("the backend server starts");
            }
        }
        site.wait_until_ready();
        assert_eq!(request(&entry, &harmless_call).status, 200);
        if response.kind == "poisonous" {
            break;
        }
    }
    assert!(crashes <= 4, "{crashes} crashes");
    wait_until("every daemon refuses the poison request", || {
        site.nodes
            .iter()
            .all(|node| request(&node.caller_address(), &poison_call).kind == "poisonous")
    });
    assert!(site.nodes.iter_mut().all(|node| !node.backend.has_ended()));
    assert_eq!(
        request(&site.nodes[1].caller_address(), &harmless_call).status,
        200
    );
}

#[test]
fn a_silent_connection_is_replaced_and_its_host_stays_in_use() {
    let proxies = HostProxies::start();
    let plan = SitePlan {
        services: vec![ServicePlan::new("quoting", 1, &[])],
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let accounts = ServicePlan::new("accounts", 1, &[]);
    site.add_proxied_host(&proxies, "accounts-0", &accounts)
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
        assert!(proxies.peers.blackhole_open_connections() > 0);
        let response = request(&entry, &call);
        assert!(
            response.status == 200 || response.kind == "link-lost",
            "{response:?}"
        );
        assert_eq!(request(&entry, &call).status, 200);
    }
}
