//! Calls that leave the data centre, with real processes.

use indigospur_test_support::{Call, Node, ServicePlan, Site, SitePlan, get, request, wait_until};

/// Starts two upstreams of one service, each in a data centre of its own.
fn start_site(settings: &str) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan {
            work_ms: 20,
            ..ServicePlan::new("accounts", 2, &[])
        }],
        settings: settings.to_owned(),
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

fn set_slowdown(node: &Node, factor: u32) {
    let path = format!("/stand-in/slowdown/{factor}");
    assert_eq!(get(&node.backend.address("address"), &path).status, 200);
}

/// Makes a call by the daemon of the first host, which has an upstream in its data centre.
fn call(site: &Site) {
    let call = Call {
        service: "accounts",
        path: "/",
        ..Call::default()
    };
    let response = request(&site.nodes[0].caller_address(), &call);
    assert_eq!(response.status, 200, "{response:?}");
}

fn metrics(site: &Site) -> String {
    get(&site.nodes[0].admin_address(), "/metrics").body
}

/// Value of the first series whose name and labels contain all of `parts`; zero without one.
fn series(metrics: &str, parts: [&str; 2]) -> f64 {
    let found = metrics
        .lines()
        .find(|line| parts.iter().all(|part| line.contains(part)));
    let value = found.and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Guards the wiring of pace, link time and settings: the upstream in the data centre becomes slow
/// and says so, then is as before.
#[test]
fn calls_leave_a_slow_data_centre_and_return() {
    let site = start_site("[routing]\npolicy = \"time\"\n");
    for _ in 0..20 {
        call(&site);
    }
    let before = metrics(&site);
    let share = ["indigospur_leaving_share", "service=\"accounts\""];
    let to_region = ["indigospur_placements_total", "distance=\"region\""];
    let stayed = ["indigospur_placements_total", "distance=\"data-centre\""];
    assert!(series(&before, stayed) >= 20.0, "{before}");
    assert_eq!(series(&before, to_region), 0.0, "{before}");

    set_slowdown(&site.nodes[0], 8);
    wait_until("calls leave", || {
        call(&site);
        let now = metrics(&site);
        series(&now, share) > 0.5 && series(&now, to_region) > 5.0
    });
    set_slowdown(&site.nodes[0], 1);
    wait_until("calls return", || {
        call(&site);
        series(&metrics(&site), share) == 0.0
    });
}

/// Guards against a change where the settings don't ask for one: a slow upstream with free slots
/// keeps its calls.
#[test]
fn by_slots_calls_stay_while_the_data_centre_has_room() {
    let site = start_site("");
    set_slowdown(&site.nodes[0], 3);
    for _ in 0..30 {
        call(&site);
    }
    let now = metrics(&site);
    let to_region = ["indigospur_placements_total", "distance=\"region\""];
    assert_eq!(series(&now, to_region), 0.0, "{now}");
    assert!(!now.contains("indigospur_leaving_share"), "{now}");
}
