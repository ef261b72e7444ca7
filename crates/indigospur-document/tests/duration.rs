//! Parsing and formatting of durations.

use indigospur_document::{format_duration, parse_duration};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

#[test]
fn only_unsigned_numbers_with_a_unit_are_durations() {
    let cases = [
        ("250ms", Some(250_000)),
        ("2.5s", Some(2_500_000)),
        ("0.25ms", Some(250)),
        ("1.0000000009s", Some(1_000_000)),
        ("10m", Some(600_000_000)),
        ("1h", Some(3_600_000_000)),
        ("0s", Some(0)),
        ("s", None),
        (".5s", None),
        ("1.s", None),
        ("1.2.3s", None),
        ("-1s", None),
        ("1 s", None),
        ("1", None),
        ("1d", None),
        ("99999999999999999999s", None),
        ("18446744073709551615h", None),
    ];
    for (text, micros) in cases {
        assert_eq!(
            parse_duration(text),
            micros.map(Duration::from_micros),
            "{text}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn formatted_durations_are_parsed_back(millis in 0..1_000_000_000_u64) {
        let duration = Duration::from_millis(millis);
        prop_assert_eq!(parse_duration(&format_duration(duration)), Some(duration));
    }

    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in "\\PC{0,30}|[0-9.]{0,40}(ms|s|m|h)") {
        let _ = parse_duration(&text);
    }
}
