//! Settings: the examples, the reference page and the reporting of problems.

use indigospur_daemon::Settings;
use indigospur_routing::Policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/lisbon/settings.toml"),
    include_str!("../../../examples/tasmania/settings.toml"),
];
const REFERENCE: &str = include_str!("../../../docs/operators/settings.md");

fn problems(text: &str) -> Vec<String> {
    let parsed = Settings::parse("settings.toml", text);
    parsed
        .err()
        .map(|problems| problems.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

#[test]
fn example_settings_are_valid() {
    for text in EXAMPLES {
        assert_eq!(problems(text), Vec::<String>::new());
    }
}

#[test]
fn all_problems_are_reported_together_with_file_line_key_value_and_allowed_values() {
    let text = "[host]\nname = \"a\"\nregion = 3\n[listen]\ncalls = \"localhost:1\"\npeers = \"127.0.0.1:0\"\n\
                admin = \"127.0.0.1:0\"\n[log]\naddress = \"127.0.0.1:1\"\npoll = \"2\"\nspeed = 1\n";
    let found = problems(text).join("\n");
    for expected in [
        "settings.toml:3: host.region: 3 is not allowed; expected a non-empty string",
        "host.data-centre: missing; set it to a non-empty string",
        "settings.toml:5: listen.calls: \"localhost:1\" is not allowed; expected an IP address and a port",
        "settings.toml:10: log.poll: \"2\" is not allowed; expected a duration from 100ms to 1m",
        "settings.toml:11: log.speed: unknown key; expected one of address, poll, retention",
    ] {
        assert!(
            found.contains(expected),
            "{expected} is missing in\n{found}"
        );
    }
}

/// Guards against a change of the placement where the settings don't ask for one.
#[test]
fn calls_are_placed_by_slots_unless_the_settings_say_time() {
    let stay = Duration::from_millis;
    for (table, placement) in [
        ("", Policy::Slots),
        (
            "[routing]\npolicy = \"slots\"\nstay = \"5ms\"\n",
            Policy::Slots,
        ),
        (
            "[routing]\npolicy = \"time\"\n",
            Policy::Time { stay: stay(20) },
        ),
        (
            "[routing]\npolicy = \"time\"\nstay = \"0s\"\n",
            Policy::Time { stay: stay(0) },
        ),
    ] {
        let text = format!("{}\n{table}", EXAMPLES[0]);
        let settings = Settings::parse("settings.toml", &text).expect("valid settings");
        assert_eq!(settings.placement, placement, "{table}");
    }
    let found = problems("[routing]\npolicy = \"fast\"\n").join("\n");
    assert!(
        found.contains("routing.policy: \"fast\" is not allowed; expected slots, time or paced")
    );
}

/// The reference page lists all keys that the daemon reads, and no others.
#[test]
fn the_reference_page_lists_exactly_the_keys_that_are_read() {
    let rows = REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let listed: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let mut known = Vec::new();
    for table in [
        "host", "listen", "log", "peers", "limits", "keys", "retries", "routing",
    ] {
        let found = problems(&format!("[{table}]\nno-such-key = 1\n"));
        let line = found
            .iter()
            .find(|line| line.contains("unknown key"))
            .expect("the unknown key is reported");
        let names = line
            .split("unknown key; expected one of ")
            .nth(1)
            .expect("the problem lists the known keys");
        known.extend(names.split(", ").map(|name| format!("{table}.{name}")));
    }
    let mut listed: Vec<String> = listed.into_iter().map(str::to_owned).collect();
    listed.sort();
    known.sort();
    assert_eq!(listed, known);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in "\\PC{0,200}") {
        let _ = Settings::parse("any", &text);
    }
}

/// Without the setting retries are bounded as before; a window that is no duration must be reported.
#[test]
fn the_retry_window_is_a_duration_and_off_unless_set() {
    let with = |line: &str| format!("{}\n[retries]\n{line}\n", EXAMPLES[0]);
    let window = |text: &str| {
        let settings = Settings::parse("settings.toml", text).expect("valid settings");
        settings.retry_window
    };
    assert_eq!(window(&with("")), None);
    let ten = std::time::Duration::from_secs(10);
    assert_eq!(window(&with("window = \"10s\"")), Some(ten));
    let found = problems(&with("window = \"0s\"")).join("\n");
    assert!(
        found.contains("retries.window: \"0s\" is not allowed"),
        "{found}"
    );
}
