//! Configuration on real processes: races of operators, lost answers, outages, frozen daemons.

use indigospur_test_support::{Node, ServicePlan, Site, SitePlan, get, wait_until};
use std::time::{Duration, Instant};

fn rules(name: &str) -> String {
    format!("[[rule]]\nname = \"{name}\"\n")
}

fn site(upstreams: usize) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", upstreams, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

fn in_force(node: &Node) -> String {
    get(&node.admin_address(), "/rules").body
}

fn everywhere(site: &Site, text: &str) {
    wait_until("the rules are in force everywhere", || {
        site.nodes.iter().all(|node| in_force(node) == text)
    });
}

#[test]
fn a_published_rule_set_is_in_force_everywhere_and_a_later_one_replaces_it() {
    let site = site(4);
    for name in ["one", "two", "three"] {
        let (output, code) = site.publish(&rules(name)).expect("the tool runs");
        assert_eq!(code, Some(0), "{output}");
        everywhere(&site, &rules(name));
    }
}

#[test]
fn of_two_operators_at_once_one_wins_and_the_other_is_told_the_difference() {
    let site = site(2);
    let outcomes: Vec<(String, Option<i32>)> = std::thread::scope(|scope| {
        let publish =
            |name: &'static str| scope.spawn(|| site.publish(&rules(name)).expect("the tool runs"));
        let both = [publish("ana"), publish("rui")];
        both.map(|thread| thread.join().expect("no panic")).into()
    });
    let accepted = outcomes.iter().filter(|(_, code)| *code == Some(0)).count();
    let lost: Vec<&String> = outcomes
        .iter()
        .filter(|(_, code)| *code == Some(3))
        .map(|(text, _)| text)
        .collect();
    assert!(accepted >= 1 && accepted + lost.len() == 2, "{outcomes:?}");
    for text in lost {
        assert!(
            text.contains("first") && text.contains("+ name = "),
            "{text}"
        );
    }
}

#[test]
fn a_publish_whose_answers_are_lost_is_found_in_the_log_and_counts_once() {
    let site = site(2);
    site.set_log_mode("{\"lose-answers\":true}");
    let (output, code) = site.publish(&rules("lost")).expect("the tool runs");
    assert_eq!(code, Some(0), "{output}");
    everywhere(&site, &rules("lost"));
}

#[test]
fn a_publish_during_an_outage_of_the_log_says_that_nothing_was_published() {
    let site = site(2);
    site.publish(&rules("before")).expect("the tool runs");
    everywhere(&site, &rules("before"));
    site.set_log_mode("{\"down\":true}");
    let (output, code) = site.publish(&rules("during")).expect("the tool runs");
    assert_eq!(code, Some(5), "{output}");
    assert!(output.contains("nothing was published"), "{output}");
    assert!(
        site.nodes
            .iter()
            .all(|node| in_force(node) == rules("before"))
    );
}

#[test]
fn a_daemon_frozen_over_publishes_has_the_latest_when_it_wakes_and_none_goes_back() {
    let site = site(3);
    site.nodes[2].daemon.signal("STOP");
    for name in ["one", "two", "three"] {
        site.publish(&rules(name)).expect("the tool runs");
    }
    let awake = &site.nodes[..2];
    wait_until("the others have it", || {
        awake.iter().all(|node| in_force(node) == rules("three"))
    });
    site.nodes[2].daemon.signal("CONT");
    wait_until("the frozen one has it", || {
        in_force(&site.nodes[2]) == rules("three")
    });
    assert!(awake.iter().all(|node| in_force(node) == rules("three")));
}

#[test]
fn the_live_rule_set_is_renewed_before_its_retention_ends() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 2, &[])],
        ..SitePlan::default()
    };
    let site = Site::start_with_retention(&plan, "3s").expect("the site starts");
    site.set_log_mode("{\"retention-ms\":3000}");
    site.publish(&rules("kept")).expect("the tool runs");
    everywhere(&site, &rules("kept"));
    let begun = Instant::now();
    let version = |node: &Node| node.status()["rules-version"].as_u64().unwrap_or(0);
    let first = version(&site.nodes[0]);
    wait_until("it was renewed more than once", || {
        begun.elapsed() > Duration::from_secs(4) && version(&site.nodes[0]) > first + 1
    });
    everywhere(&site, &rules("kept"));
}
