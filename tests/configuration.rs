//! Publishing of rule sets to real processes: concurrent operators, lost replies and outages of the
//! log, and suspended daemons.

use indigospur_test_support::{Node, ServicePlan, Site, SitePlan, get, wait_until};
use std::time::{Duration, Instant};

fn rules(name: &str) -> String {
    format!("[[rule]]\nname = \"{name}\"\n")
}

fn start_site(upstreams: usize) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", upstreams, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

fn active_rules(node: &Node) -> String {
    get(&node.admin_address(), "/rules").body
}

fn wait_for_rules(site: &Site, text: &str) {
    wait_until("the rules are active on all daemons", || {
        site.nodes.iter().all(|node| active_rules(node) == text)
    });
}

#[test]
fn every_daemon_applies_a_published_rule_set_and_a_later_one_replaces_it() {
    let site = start_site(4);
    for name in ["one", "two", "three"] {
        let (output, code) = site.publish(&rules(name)).expect("the tool runs");
        assert_eq!(code, Some(0), "{output}");
        wait_for_rules(&site, &rules(name));
    }
}

#[test]
fn of_two_concurrent_publishes_one_wins_and_the_other_reports_the_difference() {
    let site = start_site(2);
    let outcomes: Vec<(String, Option<i32>)> = std::thread::scope(|scope| {
        let publish =
            |name: &'static str| scope.spawn(|| site.publish(&rules(name)).expect("the tool runs"));
        let threads = [publish("ana"), publish("rui")];
        threads
            .map(|thread| thread.join().expect("no panic"))
            .into()
    });
    // Both succeed if the second publish reads the log only after the first has been appended.
    let accepted = outcomes.iter().filter(|(_, code)| *code == Some(0)).count();
    let rejected: Vec<&String> = outcomes
        .iter()
        .filter(|(_, code)| *code == Some(3))
        .map(|(text, _)| text)
        .collect();
    assert!(
        accepted >= 1 && accepted + rejected.len() == 2,
        "{outcomes:?}"
    );
    for text in rejected {
        assert!(
            text.contains("first") && text.contains("+ name = "),
            "{text}"
        );
    }
}

#[test]
fn a_publish_whose_replies_are_lost_is_found_in_the_log_and_takes_effect_once() {
    let site = start_site(2);
    site.set_log_mode("{\"lose-answers\":true}");
    let (output, code) = site.publish(&rules("lost")).expect("the tool runs");
    assert_eq!(code, Some(0), "{output}");
    wait_for_rules(&site, &rules("lost"));
}

#[test]
fn a_publish_during_an_outage_of_the_log_says_that_nothing_was_published() {
    let site = start_site(2);
    site.publish(&rules("before")).expect("the tool runs");
    wait_for_rules(&site, &rules("before"));
    site.set_log_mode("{\"down\":true}");
    let (output, code) = site.publish(&rules("during")).expect("the tool runs");
    assert_eq!(code, Some(5), "{output}");
    assert!(output.contains("nothing was published"), "{output}");
    assert!(
        site.nodes
            .iter()
            .all(|node| active_rules(node) == rules("before"))
    );
}

#[test]
fn a_suspended_daemon_applies_the_latest_rules_on_resuming_and_no_daemon_reverts() {
    let site = start_site(3);
    site.nodes[2].daemon.signal("STOP");
    for name in ["one", "two", "three"] {
        site.publish(&rules(name)).expect("the tool runs");
    }
    let running = &site.nodes[..2];
    wait_until("the other daemons have the latest rules", || {
        running
            .iter()
            .all(|node| active_rules(node) == rules("three"))
    });
    site.nodes[2].daemon.signal("CONT");
    wait_until("the resumed daemon has the latest rules", || {
        active_rules(&site.nodes[2]) == rules("three")
    });
    assert!(
        running
            .iter()
            .all(|node| active_rules(node) == rules("three"))
    );
}

#[test]
fn the_active_rule_set_is_renewed_before_its_retention_ends() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 2, &[])],
        ..SitePlan::default()
    };
    let site = Site::start_with_retention(&plan, "3s").expect("the site starts");
    site.set_log_mode("{\"retention-ms\":3000}");
    site.publish(&rules("kept")).expect("the tool runs");
    wait_for_rules(&site, &rules("kept"));
    let started = Instant::now();
    let version = |node: &Node| node.status()["rules-version"].as_u64().unwrap_or(0);
    let first = version(&site.nodes[0]);
    wait_until("the rule set is renewed more than once", || {
        started.elapsed() > Duration::from_secs(4) && version(&site.nodes[0]) > first + 1
    });
    wait_for_rules(&site, &rules("kept"));
}
