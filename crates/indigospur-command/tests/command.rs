//! The tool's commands: examples, help and errors.

use indigospur_command::{examples, run_with};

fn at_root(line: &str) -> Vec<String> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    line.split(' ')
        .map(|word| word.replace("examples/", root))
        .collect()
}

fn run(line: &str) -> Result<String, String> {
    let words = at_root(line);
    run_with(&words.iter().map(String::as_str).collect::<Vec<_>>(), &[])
}

#[test]
fn every_example_is_a_valid_command_line() {
    for example in examples() {
        let done = run(example.line);
        let offline = ["check", "explain"]
            .iter()
            .any(|name| example.line.starts_with(name));
        match done {
            Ok(_) => assert!(offline, "{}", example.line),
            Err(error) => assert!(
                !offline && error.contains("did not answer"),
                "{}: {error}",
                example.line
            ),
        }
    }
}

#[test]
fn explain_names_the_rule_and_those_passed_over() {
    let text =
        run("explain examples/lisbon/rules.toml --service payouts --method POST --path /payout/9");
    let text = text.expect("the rule set is valid");
    assert!(text.starts_with("rule \"payouts\" matches"), "{text}");
    assert!(text.contains("do not match: signatures"), "{text}");
    assert!(text.contains("at most once true"), "{text}");
}

#[test]
fn json_output_is_json() {
    let text = run(
        "--json explain examples/tasmania/rules.toml --service bookings --method POST --path /hold",
    );
    let value: serde_json::Value = serde_json::from_str(&text.expect("valid")).expect("JSON");
    assert_eq!(value["rule"], "booking holds");
    assert_eq!(value["class"], "protected");
}

#[test]
fn a_file_that_is_missing_is_named() {
    let error = run("check nowhere.toml").expect_err("there is no such file");
    assert!(
        error.contains("nowhere.toml") && error.contains("check the path"),
        "{error}"
    );
}

#[test]
fn an_unknown_command_is_refused_with_a_hint() {
    let error = run("publsh x").expect_err("no such command");
    assert!(error.contains("publish"), "{error}");
}
