//! Command lines of the tool: examples, output and error messages.

use indigospur_command::{examples, run_args};

/// Splits a command line and points its `examples/` paths to the root of the repository.
fn split_args(args: &str) -> Vec<String> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    args.split(' ')
        .map(|word| word.replace("examples/", root))
        .collect()
}

fn run(args: &str) -> Result<String, String> {
    let words = split_args(args);
    run_args(&words.iter().map(String::as_str).collect::<Vec<_>>(), &[])
}

#[test]
fn every_example_is_a_valid_command_line() {
    for example in examples() {
        let result = run(example.args);
        let offline = ["check", "explain"]
            .iter()
            .any(|name| example.args.starts_with(name));
        match result {
            Ok(_) => assert!(offline, "{}", example.args),
            Err(error) => assert!(
                !offline && error.contains("did not answer"),
                "{}: {error}",
                example.args
            ),
        }
    }
}

#[test]
fn explain_names_the_matching_rule_and_the_rules_before_it() {
    let text =
        run("explain examples/lisbon/rules.toml --service payouts --method POST --path /payout/9");
    let text = text.expect("the rule set is valid");
    assert!(text.starts_with("rule \"payouts\" matches"), "{text}");
    assert!(text.contains("do not match: signatures"), "{text}");
    assert!(text.contains("at most once true"), "{text}");
}

#[test]
fn json_flag_prints_valid_json() {
    let text = run(
        "--json explain examples/tasmania/rules.toml --service bookings --method POST --path /hold",
    );
    let value: serde_json::Value = serde_json::from_str(&text.expect("valid")).expect("JSON");
    assert_eq!(value["rule"], "booking holds");
    assert_eq!(value["class"], "protected");
}

#[test]
fn the_error_for_a_missing_file_names_its_path() {
    let error = run("check nowhere.toml").expect_err("there is no such file");
    assert!(
        error.contains("nowhere.toml") && error.contains("check the path"),
        "{error}"
    );
}

#[test]
fn an_unknown_command_is_an_error_that_suggests_a_similar_one() {
    let error = run("publsh x").expect_err("no such command");
    assert!(error.contains("publish"), "{error}");
}
