//! Draining of hosts, and graceful shutdown of daemons with calls in flight.

use indigospur_test_support::{
    Call, Node, ServicePlan, Site, SitePlan, get, post, request, wait_until,
};
use std::thread;

const RULES: &str = "[[rule]]\nname = \"signatures\"\nwhen = { service = \"contracts\", method = \"POST\" }\n\
                     then = { class = \"protected\", at-most-once = true, deadline = \"20s\" }\n";

fn start_site() -> Site {
    let plan = SitePlan {
        services: vec![
            ServicePlan::new("quoting", 2, &["contracts/terms?work=300"]),
            ServicePlan::new("contracts", 3, &[]),
        ],
        rules: RULES.to_owned(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    wait_until("the rules are active", || {
        site.nodes
            .iter()
            .all(|node| node.status()["rules-version"].is_u64())
    });
    site
}

fn run_count(site: &Site, name: &str) -> usize {
    site.nodes
        .iter()
        .find(|node| node.name == name)
        .map_or(0, |node| node.journal().len())
}

#[test]
fn a_graceful_shutdown_of_any_daemon_cuts_off_no_call_in_flight() {
    for stopped in ["quoting-0", "contracts-0", "contracts-2"] {
        let mut site = start_site();
        let entries: Vec<String> = site
            .nodes_of("quoting")
            .map(|node| node.caller_address())
            .collect();
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for number in 0..24 {
                let entry = &entries[number % 2];
                threads.push(scope.spawn(move || {
                    let key = format!("k{number}");
                    let quote = Call {
                        service: "quoting",
                        path: "/quote?work=300",
                        ..Call::default()
                    };
                    let sign = Call {
                        service: "contracts",
                        path: "/sign?work=300",
                        key: &key,
                        ..Call::default()
                    };
                    request(entry, if number % 3 == 0 { &sign } else { &quote })
                }));
            }
            // The journals also hold the calls to `/terms` that quotes make; they are not counted.
            let started = || {
                let runs = site.nodes.iter().flat_map(Node::journal);
                let calls = ["GET /quote?work=300", "POST /sign?work=300"];
                runs.filter(|run| calls.iter().any(|call| run["call"] == **call))
                    .count()
            };
            wait_until("all calls run", || started() >= 24);
            site.nodes
                .iter()
                .find(|node| node.name == stopped)
                .expect("the host exists")
                .daemon
                .signal("TERM");
            for thread in threads {
                let response = thread.join().expect("no panic");
                assert_eq!(response.status, 200, "{stopped}: {response:?}");
            }
        });
        assert_eq!(
            site.node(stopped).daemon.wait(),
            Some(0),
            "{stopped} stopped cleanly"
        );
    }
}

#[test]
fn a_draining_backend_server_gets_no_new_calls_and_the_others_serve() {
    let site = start_site();
    let entry = site.nodes[0].caller_address();
    let drained = site.nodes_of("contracts").next().expect("the host exists");
    post(&drained.backend.address("address"), "/stand-in/drain", "");
    let draining = |node: &indigospur_test_support::Node| {
        let body = get(&node.admin_address(), "/status").body;
        body.contains("\"state\":\"draining\"")
    };
    wait_until("all daemons see the backend server draining", || {
        site.nodes.iter().all(draining)
    });
    let before = run_count(&site, "contracts-0");
    for number in 0..40 {
        let key = format!("leave-{number}");
        let terms = Call {
            service: "contracts",
            path: "/terms",
            ..Call::default()
        };
        assert_eq!(request(&entry, &terms).status, 200);
        let sign = Call {
            service: "contracts",
            path: "/sign",
            key: &key,
            ..Call::default()
        };
        let response = request(&entry, &sign);
        assert!(
            response.status == 200 || response.kind == "home-unavailable",
            "{response:?}"
        );
    }
    assert_eq!(run_count(&site, "contracts-0"), before);
}

#[test]
fn a_host_drained_while_the_log_is_down_gets_no_new_calls() {
    let site = start_site();
    site.set_log_mode("{\"down\":true}");
    let drained = site.nodes_of("contracts").next().expect("the host exists");
    post(&drained.admin_address(), "/drain", "");
    let before = run_count(&site, "contracts-0");
    let call = Call {
        service: "contracts",
        path: "/terms",
        ..Call::default()
    };
    for node in &site.nodes {
        for _ in 0..10 {
            let response = request(&node.caller_address(), &call);
            let refused_here = node.name == "contracts-0" && response.kind == "draining";
            assert!(response.status == 200 || refused_here, "{response:?}");
        }
    }
    assert_eq!(run_count(&site, "contracts-0"), before);
}

#[test]
fn a_backend_server_without_a_name_that_is_ready_again_gets_calls_again() {
    let site = start_site();
    let host = site.nodes_of("contracts").next().expect("the host exists");
    let announcement = format!(
        "{{\"service\":\"contracts\",\"address\":\"{}\",\"slots\":8,\"connections\":8,\"state\":\"draining\"}}",
        host.backend.address("address")
    );
    let before = run_count(&site, "contracts-0");
    assert_eq!(
        post(&host.admin_address(), "/announce", &announcement).status,
        200
    );
    let call = Call {
        service: "contracts",
        path: "/terms",
        ..Call::default()
    };
    // The stand-in goes on announcing that it is ready.
    wait_until("the backend server gets calls", || {
        request(&host.caller_address(), &call);
        run_count(&site, "contracts-0") > before
    });
}
