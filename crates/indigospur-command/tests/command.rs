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

const WORKSPACES: &str = r#"
[[workspace]]
name = "norte"
class = "background"
keys = ["sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]
rate = 20
burst = 40

[[workspace]]
name = "leste"

[[rule]]
name = "health"
when.path = "/health"
then.public = true
"#;

/// A rule set with workspaces, deleted on drop.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str) -> File {
        let name = format!("indigospur-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, WORKSPACES).expect("the folder for temporary files is writable");
        File(path)
    }

    fn run(&self, args: &[&str]) -> String {
        let path = self.0.to_string_lossy();
        let words: Vec<&str> = args.iter().copied().chain([&*path]).collect();
        let text = run_args(&words, &[]).expect("the rule set is valid");
        assert!(!text.contains("ba7816"), "a digest is shown: {text}");
        text
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_lists_workspaces_without_their_digests() {
    let file = File::new("check");
    let text = file.run(&["check"]);
    let lines: Vec<&str> = text.lines().skip(1).collect();
    assert_eq!(
        lines,
        [
            "  workspace leste: class of the rule, no limit",
            "  workspace norte: class background, 20 requests a second, burst 40"
        ]
    );
    let value: serde_json::Value =
        serde_json::from_str(&file.run(&["--json", "check"])).expect("JSON");
    assert_eq!(value["workspaces"][1]["name"], "norte");
    assert_eq!(value["workspaces"][1]["rate"], 20.0);
}

#[test]
fn explain_shows_the_workspace_its_class_and_whether_a_key_is_needed() {
    let file = File::new("explain");
    let explain = |args: &[&str]| file.run(&[&["explain"], args].concat());
    let known = explain(&["--customer", "norte"]);
    let norte = "workspace norte: class background, 20 requests a second, burst 40";
    assert!(known.contains(norte), "{known}");
    assert!(known.contains("\n  class background\n"), "{known}");
    let leste = explain(&["--customer", "leste"]);
    assert!(leste.contains("\n  class normal\n"), "{leste}");
    for args in [&[][..], &["--customer", "oeste"]] {
        let refused = explain(args);
        assert!(
            refused.contains("the call is refused, as its caller needs a key"),
            "{refused}"
        );
    }
    let public = explain(&["--path", "/health"]);
    assert!(
        public.contains("public; its caller needs no key"),
        "{public}"
    );
    let nested = explain(&["--above", "protected"]);
    assert!(!nested.contains("refused"), "{nested}");
    assert!(nested.contains("\n  class protected\n"), "{nested}");
    let json = file.run(&["--json", "explain"]);
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(
        (&value["unauthenticated"], &value["public"]),
        (&true.into(), &false.into())
    );
}
