//! Times to come back that follow from the time which the caller has left.

use indigospur_admission::retry_after;
use std::time::Duration;

const REMAINING: Duration = Duration::from_secs(6);

/// Callers follow a time of up to a third of what they have left.
#[test]
fn a_caller_comes_back_in_the_second_half_of_a_third_of_its_remaining_time() {
    let times = [0.0, 0.5, 1.0].map(|jitter| retry_after(REMAINING, Duration::ZERO, jitter));
    assert_eq!(times, [1_000, 1_500, 2_000].map(Duration::from_millis));
}

#[test]
fn a_caller_comes_back_in_time_for_its_request_to_finish() {
    for work in [1, 3, 5].map(Duration::from_secs) {
        let latest = retry_after(REMAINING, work, 1.0);
        assert!(latest + work <= REMAINING, "{work:?}");
        assert!(!latest.is_zero(), "{work:?}");
    }
}

/// A time of zero would ask for a retry at once.
#[test]
fn a_caller_whose_request_can_not_finish_any_more_is_not_asked_to_hurry() {
    let time = retry_after(REMAINING, REMAINING * 2, 0.0);
    assert_eq!(time, REMAINING / 6);
}
