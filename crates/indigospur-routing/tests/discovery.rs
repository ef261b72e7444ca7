//! Calls that arrive before a daemon knows an upstream of their service.

use indigospur_routing::Discovery;
use std::time::{Duration, Instant};

const MILLI: Duration = Duration::from_millis(1);
/// Time for which the callers with the least time wait.
const REMAINING: Duration = Duration::from_millis(1_200);
const WORK: Duration = Duration::from_millis(150);

/// All daemons start anew and learn the first upstream of a service after `known`: share of the calls
/// of the first second that are answered while their callers wait.
fn served_in_time(known: Duration, waits: bool) -> f64 {
    let start = Instant::now();
    let discovery = Discovery::new(start);
    let known = start + known;
    let in_time = (0..1_000).filter(|millis| {
        let arrival = start + MILLI * *millis;
        let wait_end = discovery
            .wait_until(arrival, REMAINING)
            .filter(|_| waits)
            .unwrap_or(arrival);
        // A refused caller comes back once, after a sixth to a third of the time that it has left.
        let left = arrival + REMAINING - wait_end;
        let retry_after = left / 6 + left / 6 * (millis * 7 % 100) / 100;
        let sent = if wait_end >= known {
            known.max(arrival)
        } else {
            wait_end + retry_after
        };
        sent >= known && sent + WORK <= arrival + REMAINING
    });
    in_time.count() as f64 / 1_000.0
}

/// Callers that are refused at once come back before an upstream is known, and are refused again.
#[test]
fn calls_of_the_first_moments_after_a_restart_are_served_in_time() {
    for known in [100, 300, 500] {
        let known = MILLI * known;
        assert!(served_in_time(known, true) > 0.99, "{known:?}");
    }
    assert!(served_in_time(MILLI * 500, false) < 0.9);
}

/// A service without any upstream must not hold its callers.
#[test]
fn a_call_waits_for_a_third_of_its_remaining_time_at_most() {
    let start = Instant::now();
    let discovery = Discovery::new(start);
    assert_eq!(
        discovery.wait_until(start, REMAINING),
        Some(start + REMAINING / 3)
    );
    let late = start + MILLI * 1_900;
    assert_eq!(
        discovery.wait_until(late, REMAINING),
        Some(start + MILLI * 2_000)
    );
}

/// Once all upstreams should be known, a service without one has none.
#[test]
fn calls_wait_only_after_the_start() {
    let start = Instant::now();
    let discovery = Discovery::new(start);
    assert_eq!(discovery.wait_until(start + MILLI * 2_000, REMAINING), None);
}
