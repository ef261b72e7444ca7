//! Hosts that leave, and planned stops with requests of all kinds in flight.

use indigospur_test_support::{
    Call, Node, ServicePlan, Site, SitePlan, get, post, request, wait_until,
};
use std::thread;

const RULES: &str = "[[rule]]\nname = \"signatures\"\nwhen = { service = \"contracts\", method = \"POST\" }\n\
                     then = { class = \"protected\", at-most-once = true, deadline = \"20s\" }\n";

fn site() -> Site {
    let plan = SitePlan {
        services: vec![
            ServicePlan::new("quoting", 2, &["contracts/terms?work=300"]),
            ServicePlan::new("contracts", 3, &[]),
        ],
        rules: RULES.to_owned(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    wait_until("the rules are in force", || {
        site.nodes
            .iter()
            .all(|node| node.status()["rules-version"].is_u64())
    });
    site
}

fn served(site: &Site, name: &str) -> usize {
    site.nodes
        .iter()
        .find(|node| node.name == name)
        .map_or(0, |node| node.journal().len())
}

#[test]
fn a_planned_stop_of_any_daemon_cuts_no_request_in_flight() {
    for stopped in ["quoting-0", "contracts-0", "contracts-2"] {
        let mut site = site();
        let entries: Vec<String> = site
            .nodes_of("quoting")
            .map(|node| node.caller_address())
            .collect();
        thread::scope(|scope| {
            let mut sent = Vec::new();
            for number in 0..24 {
                let entry = &entries[number % 2];
                sent.push(scope.spawn(move || {
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
            // The calls that quotes make are runs too.
            let begun = || {
                let runs = site.nodes.iter().flat_map(Node::journal);
                let calls = ["GET /quote?work=300", "POST /sign?work=300"];
                runs.filter(|run| calls.iter().any(|call| run["call"] == **call))
                    .count()
            };
            wait_until("all run", || begun() >= 24);
            site.nodes
                .iter()
                .find(|node| node.name == stopped)
                .expect("it exists")
                .daemon
                .signal("TERM");
            for thread in sent {
                let answered = thread.join().expect("no panic");
                assert_eq!(answered.status, 200, "{stopped}: {answered:?}");
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
fn a_backend_server_that_leaves_gets_no_new_work_and_finishes_what_it_has() {
    let site = site();
    let entry = site.nodes[0].caller_address();
    let leaving = site.nodes_of("contracts").next().expect("it exists");
    post(&leaving.backend.address("address"), "/stand-in/drain", "");
    let draining = |node: &indigospur_test_support::Node| {
        let body = get(&node.admin_address(), "/status").body;
        body.contains("\"state\":\"draining\"")
    };
    wait_until("all know that it leaves", || {
        site.nodes.iter().all(draining)
    });
    let before = served(&site, "contracts-0");
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
        let answered = request(&entry, &sign);
        assert!(
            answered.status == 200 || answered.kind == "home-unavailable",
            "{answered:?}"
        );
    }
    assert_eq!(served(&site, "contracts-0"), before);
}

#[test]
fn a_leavers_announcement_that_is_lost_does_not_bring_it_new_work() {
    let site = site();
    site.set_log_mode("{\"down\":true}");
    let leaving = site.nodes_of("contracts").next().expect("it exists");
    post(&leaving.admin_address(), "/drain", "");
    let before = served(&site, "contracts-0");
    let call = Call {
        service: "contracts",
        path: "/terms",
        ..Call::default()
    };
    for node in &site.nodes {
        for _ in 0..10 {
            let answered = request(&node.caller_address(), &call);
            let refused_here = node.name == "contracts-0" && answered.kind == "draining";
            assert!(answered.status == 200 || refused_here, "{answered:?}");
        }
    }
    assert_eq!(served(&site, "contracts-0"), before);
}
