//! End-to-end calls through daemons and backend servers that are separate processes.

use indigospur_test_support::{Call, ServicePlan, Site, SitePlan, get, request, wait_until};

fn chain_plan() -> SitePlan {
    SitePlan {
        services: vec![
            ServicePlan::new("quoting", 2, &["contracts/terms"]),
            ServicePlan::new("contracts", 2, &["accounts/history"]),
            ServicePlan::new("accounts", 2, &[]),
        ],
        ..SitePlan::default()
    }
}

const QUOTE_BODY: &str = "quoting/quote/7(contracts/terms(accounts/history()))";

fn quote_call() -> Call<'static> {
    Call {
        service: "quoting",
        path: "/quote/7",
        customer: "norte-motores",
        ..Call::default()
    }
}

#[test]
fn any_daemon_returns_the_complete_response_of_a_chain_of_three_services() {
    let site = Site::start(&chain_plan()).expect("the site starts");
    for node in &site.nodes {
        let response = request(&node.caller_address(), &quote_call());
        assert_eq!((response.status, response.body.as_str()), (200, QUOTE_BODY));
    }
}

#[test]
fn requests_are_served_after_a_backend_server_a_daemon_and_the_log_are_killed() {
    let mut site = Site::start(&chain_plan()).expect("the site starts");
    let entry = site.nodes[1].caller_address();
    site.node("accounts-0").backend.kill();
    for _ in 0..5 {
        assert_eq!(request(&entry, &quote_call()).body, QUOTE_BODY);
    }
    site.node("contracts-0").daemon.kill();
    for _ in 0..5 {
        assert_eq!(request(&entry, &quote_call()).body, QUOTE_BODY);
    }
    site.log.kill();
    for _ in 0..5 {
        assert_eq!(request(&entry, &quote_call()).body, QUOTE_BODY);
    }
}

#[test]
fn a_chain_of_six_services_completes() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let services = names.iter().enumerate().map(|(index, name)| {
        let downstream = names.get(index + 1).map(|next| format!("{next}/x"));
        ServicePlan::new(
            name,
            1,
            &downstream.as_deref().into_iter().collect::<Vec<_>>(),
        )
    });
    let plan = SitePlan {
        services: services.collect(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    let response = request(
        &site.nodes[5].caller_address(),
        &Call {
            service: "a",
            path: "/x",
            ..Call::default()
        },
    );
    assert_eq!(response.body, "a/x(b/x(c/x(d/x(e/x(f/x())))))");
}

#[test]
fn metrics_count_refusals_by_kind_and_the_health_paths_answer() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    let node = &site.nodes[0];
    let refused = request(
        &node.caller_address(),
        &Call {
            service: "nowhere",
            path: "/",
            ..Call::default()
        },
    );
    assert_eq!(
        (refused.status, refused.kind.as_str(), refused.ran.as_str()),
        (404, "unknown-service", "no")
    );
    let metrics = get(&node.admin_address(), "/metrics").body;
    assert!(metrics.contains("kind=\"unknown-service\""), "{metrics}");
    assert_eq!(get(&node.admin_address(), "/live").status, 200);
    assert_eq!(get(&node.admin_address(), "/ready").status, 200);
}

#[test]
fn a_daemon_that_starts_during_an_outage_of_the_log_gets_the_rules_from_its_peers() {
    let rules = "[[rule]]\nname = \"slow\"\nthen.deadline = \"9s\"\n";
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        rules: rules.to_owned(),
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let first_admin = site.nodes[0].admin_address();
    wait_until("the rules are active", || {
        get(&first_admin, "/rules").body == rules
    });
    site.log.kill();
    site.add_host("accounts-late", &plan.services[0])
        .expect("the host starts");
    let late_admin = site.nodes[1].admin_address();
    wait_until("the late daemon has the rules", || {
        get(&late_admin, "/rules").body == rules
    });
    wait_until("the late daemon is ready", || {
        get(&late_admin, "/ready").status == 200
    });
}

#[test]
fn a_daemon_with_neither_log_nor_peers_is_not_ready_and_says_so() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    site.log.kill();
    let node = site.node("accounts-0");
    node.restart().expect("the host starts");
    let ready = get(&node.admin_address(), "/ready");
    assert_eq!(ready.status, 503);
    assert!(
        ready.body.contains("neither the log nor another daemon"),
        "{}",
        ready.body
    );
    let refused = request(
        &node.caller_address(),
        &Call {
            service: "accounts",
            path: "/",
            ..Call::default()
        },
    );
    assert_eq!(
        (refused.kind.as_str(), refused.ran.as_str()),
        ("not-ready", "no")
    );
}
