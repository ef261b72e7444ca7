//! Traffic splitting among the targets of a rule by weight.

use indigospur_rules::{CallAttributes, Decision, RuleSet, Target, TrafficSplit, Treatment, parse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;

const DAEMONS: usize = 16;
/// Calls per comparison, about as many as an operator looks at.
const CALLS: usize = 300;

fn split(first: u32, second: u32) -> RuleSet {
    let text = format!(
        "[[rule]]\nname = \"pages\"\nwhen.service = \"pages\"\n\
         then.split = [{{ service = \"old\", weight = {first} }}, {{ service = \"new\", weight = {second} }}]\n"
    );
    parse("rules.toml", &text).expect("the rules are valid")
}

fn decide(rules: &RuleSet) -> Decision {
    rules.decide(&CallAttributes {
        service: "pages",
        host: "",
        method: "GET",
        path: "/",
        customer: "anyone",
        parent_class: None,
        idempotent: true,
        attempt: 0,
    })
}

/// Share of the calls that go to the first target when each call arrives at a random daemon.
fn share_of_first(rules: &RuleSet, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut daemons: [TrafficSplit; DAEMONS] = Default::default();
    let mut taken = HashMap::new();
    for _ in 0..CALLS {
        let decision = decide(rules);
        let rule = &rules.rules[decision.rule.expect("the rule matches")].name;
        let daemon = rng.random_range(0..DAEMONS);
        let start = rng.random();
        let target = daemons[daemon].target(rule, &decision.treatment, || start);
        *taken
            .entry(target.expect("the rule has targets"))
            .or_insert(0_usize) += 1;
    }
    taken.get("old").copied().unwrap_or(0) as f64 / CALLS as f64
}

#[test]
fn a_few_hundred_calls_are_split_by_weight() {
    for (first, second) in [(1, 1), (9, 1), (3, 1), (1, 19)] {
        let rules = split(first, second);
        let expected = f64::from(first) / f64::from(first + second);
        for seed in 0..500 {
            let share = share_of_first(&rules, seed);
            assert!(
                (share - expected).abs() < 0.05,
                "weights {first}:{second}, seed {seed}: {share:.3} instead of {expected:.3}"
            );
        }
    }
}

#[test]
fn periodic_calls_are_split_by_weight() {
    let rules = split(1, 1);
    let decision = decide(&rules);
    let rule = &rules.rules[0].name;
    for period in 2..12 {
        let mut traffic = TrafficSplit::default();
        let taken: Vec<_> = (0..CALLS * period)
            .map(|_| traffic.target(rule, &decision.treatment, || 0.25))
            .collect();
        let every = taken.iter().step_by(period);
        let first = every
            .filter(|target| target.as_deref() == Some("old"))
            .count();
        let share = first as f64 / CALLS as f64;
        assert!(
            (share - 0.5).abs() < 0.05,
            "each {period}th call: {share:.3}"
        );
    }
}

#[test]
fn the_largest_weights_do_not_overflow() {
    let target = |service: &str| Target {
        service: service.into(),
        weight: u32::MAX,
    };
    let treatment = Treatment {
        targets: ["old", "new"].map(target).into(),
        ..decide(&split(1, 1)).treatment
    };
    assert_eq!(treatment.target(0.4).map(|name| &**name), Some("old"));
    assert_eq!(treatment.target(0.6).map(|name| &**name), Some("new"));
}
