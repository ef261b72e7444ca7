//! Parsing, validation and matching of rule sets.

use indigospur_rules::{CallAttributes, Pattern, RuleSet, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const LISBON: &str = include_str!("../../../examples/lisbon/rules.toml");
const TASMANIA: &str = include_str!("../../../examples/tasmania/rules.toml");

fn call<'a>(service: &'a str, method: &'a str, path: &'a str) -> CallAttributes<'a> {
    CallAttributes {
        host: "",
        service,
        method,
        path,
        customer: "norte-motores",
        parent_class: None,
        idempotent: method == "GET",
        attempt: 0,
    }
}

fn problems(text: &str) -> Vec<String> {
    match parse("rules.toml", text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_first_rule_that_matches_decides() {
    let set = parse("lisbon", LISBON).expect("the example is valid");
    let decision = set.decide(&call("contracts", "POST", "/sign"));
    assert_eq!(
        decision.rule.map(|index| &*set.rules[index].name),
        Some("signatures")
    );
    assert!(decision.treatment.at_most_once);
    assert_eq!(set.class_name(decision.treatment.class), "protected");
    let decision = set.decide(&call("quoting", "GET", "/quote/7"));
    assert!(decision.treatment.waits);
}

#[test]
fn both_examples_run_their_non_idempotent_calls_at_most_once_in_the_first_class() {
    let set = parse("tasmania", TASMANIA).expect("the example is valid");
    for (service, path) in [("deposits", "/deposit"), ("bookings", "/hold")] {
        let decision = set.decide(&call(service, "POST", path));
        assert!(decision.treatment.at_most_once, "{service}{path}");
        assert_eq!(decision.treatment.class, 0);
    }
}

#[test]
fn an_empty_rule_set_gives_every_call_usable_defaults() {
    let set = parse("empty", "").expect("empty is valid");
    let treatment = set.decide(&call("anything", "GET", "/")).treatment;
    assert_eq!(set.class_name(treatment.class), "normal");
    assert_eq!(treatment.deadline, Duration::from_secs(10));
    assert!(treatment.idempotent);
    assert!(
        !set.decide(&call("anything", "POST", "/"))
            .treatment
            .idempotent
    );
}

#[test]
fn a_call_never_gets_a_class_that_is_shed_before_that_of_its_parent_call() {
    let set = parse("lisbon", LISBON).expect("the example is valid");
    let child = CallAttributes {
        parent_class: Some(0),
        ..call("accounts", "GET", "/history")
    };
    assert_eq!(set.decide(&child).treatment.class, 0);
}

#[test]
fn all_problems_are_reported_together_with_line_and_key() {
    let text = "clases = []\n[[rule]]\nname = \"a\"\nwhen = { service = 3 }\nthen = { class = \"x\", deadline = \"5\" }\n";
    let found = problems(text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(
        found[0].starts_with(
            "rules.toml:4: rule[1].when.service: 3 is not allowed; expected a non-empty string"
        ),
        "{}",
        found[0]
    );
    assert!(
        found[1].contains("expected one of protected, normal, background"),
        "{}",
        found[1]
    );
    assert!(
        found[2].contains("expected a duration from 1ms to 10m"),
        "{}",
        found[2]
    );
    assert!(
        found[3].starts_with("rules.toml:1: clases: unknown key"),
        "{}",
        found[3]
    );
}

#[test]
fn invalid_rule_sets_are_rejected() {
    let cases = [
        ("x = [", "the file must be valid TOML 1.0"),
        (
            "[[rule]]\nthen = {}",
            "missing; set it to a non-empty string",
        ),
        (
            "[[rule]]\nname = \"a\"\n[[rule]]\nname = \"b\"",
            "unreachable: the earlier rule \"a\"",
        ),
        (
            "[[rule]]\nname = \"a\"\nwhen.service = \"s\"\n[[rule]]\nname = \"a\"",
            "duplicate rule name \"a\"",
        ),
        (
            "[[rule]]\nname = \"a\"\nthen = { at-most-once = true, class = \"normal\" }",
            "shed before",
        ),
        (
            "[[rule]]\nname = \"a\"\nthen = { at-most-once = true, class = \"protected\", idempotent = true }",
            "can't be idempotent",
        ),
        ("classes = [\"a\", \"a\"]", "duplicate class \"a\""),
        ("default-class = \"vip\"", "unknown class \"vip\""),
        ("rule = 3", "not an array of tables"),
        (
            "[[rule]]\nname = \"a\"\nthen.shed = \"never\"",
            "expected first, usual or last",
        ),
    ];
    for (text, expected) in cases {
        let found = problems(text).join("\n");
        assert!(found.contains(expected), "{text:?} gave {found:?}");
    }
    assert!(problems(&"#".repeat(300_000)).join("").contains("at most"));
}

fn naive_matches(pattern: &str, text: &str) -> bool {
    match pattern.chars().next() {
        None => text.is_empty(),
        Some('*') => (0..=text.len()).any(|at| naive_matches(&pattern[1..], &text[at..])),
        Some(first) => text.starts_with(first) && naive_matches(&pattern[1..], &text[1..]),
    }
}

fn first_match(set: &RuleSet, call: &CallAttributes<'_>) -> Option<usize> {
    set.rules.iter().position(|rule| rule.when.matches(call))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn patterns_match_as_a_naive_implementation_does(pattern in "[ab*]{0,6}", text in "[ab]{0,8}") {
        prop_assert_eq!(Pattern::new(pattern.as_str().into()).matches(&text), naive_matches(&pattern, &text));
    }

    #[test]
    fn a_covering_pattern_matches_every_text_that_the_covered_one_matches(
        wide in "[ab*]{0,5}", narrow in "[ab*]{0,5}", text in "[ab]{0,6}",
    ) {
        let (wide, narrow) = (Pattern::new(wide.as_str().into()), Pattern::new(narrow.as_str().into()));
        if wide.covers(&narrow) && narrow.matches(&text) {
            prop_assert!(wide.matches(&text));
        }
    }

    #[test]
    fn the_service_index_finds_the_same_rule_as_a_linear_scan(
        services in prop::collection::vec("[ab*]{1,3}", 1..8), requested in "[ab]{1,3}",
    ) {
        let rules = services.iter().enumerate().map(|(index, service)| {
            format!("[[rule]]\nname = \"r{index}\"\nwhen.service = \"{service}\"\n")
        });
        if let Ok(set) = parse("p", &rules.collect::<String>()) {
            let call = call(&requested, "GET", "/");
            prop_assert_eq!(set.decide(&call).rule, first_match(&set, &call));
        }
    }

    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in "\\PC{0,200}") {
        let _ = parse("any", &text);
    }
}
