//! The bound on repeats in every sliding window, summed over daemons, for random loads that move
//! between them.

use indigospur_budget::{
    Credit, FailedAttempt, RatioOptions, RetryClaim, RetryOptions, RetryRatio, RetryStatus,
    WindowOptions, decide_retry,
};
use indigospur_protocol::{Kind, Refusal, RetryReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::{Duration, Instant};

const DAEMONS: usize = 3;
const WINDOW: Duration = Duration::from_secs(10);
/// Repeats that all daemons together may make without first sends.
const SLACK: f64 = 9.0;
/// Time between two steps of the load; no divisor of a slot of the window.
const STEP_MILLIS: u64 = 170;

fn window(now: Instant, percent: u32) -> RetryRatio {
    let options = RatioOptions {
        percent,
        capacity: 1.0,
        window: Some(WindowOptions {
            length: WINDOW,
            slack: SLACK / DAEMONS as f64,
        }),
    };
    RetryRatio::new(now, options)
}

/// First sends and wanted repeats of each daemon in a stretch of steps.
type Stretch = (usize, [(u32, u32); DAEMONS]);

fn loads() -> impl Strategy<Value = Vec<Stretch>> {
    let counts = || {
        let first = prop_oneof![3 => Just(0_u32), 2 => 0..20_u32, 1 => 0..200_u32];
        (
            first,
            prop_oneof![2 => Just(0_u32), 1 => 0..20_u32, 1 => Just(300_u32)],
        )
    };
    let daemons = [counts(), counts(), counts()];
    prop::collection::vec((1..60_usize, daemons), 1..12)
}

/// Sends in each window that ends at a step, by the number of steps in a window.
fn in_window(counts: &[u32], end: usize, length: usize) -> f64 {
    let from = end.saturating_sub(length).min(counts.len());
    f64::from(counts[from..end.min(counts.len())].iter().sum::<u32>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]

    /// With the sum of each daemon's own greatest window, load that moves from one daemon to another
    /// would pay twice.
    #[test]
    fn repeats_of_all_daemons_stay_within_the_bound_in_every_window(load in loads()) {
        let start = Instant::now();
        let mut daemons: Vec<RetryRatio> = (0..DAEMONS).map(|_| window(start, 16)).collect();
        let mut first = vec![0; 1];
        let mut repeats = vec![0; 1];
        for (steps, counts) in &load {
            for _ in 0..*steps {
                let now = start + Duration::from_millis(first.len() as u64 * STEP_MILLIS);
                let (mut sent, mut repeated) = (0, 0);
                for (ratio, (send, wanted)) in daemons.iter_mut().zip(counts) {
                    (0..*send).for_each(|_| ratio.earn(now, 1));
                    sent += send;
                    repeated += (0..*wanted).filter(|_| ratio.spend(now, RetryClaim::default())).count() as u32;
                }
                first.push(sent);
                repeats.push(repeated);
            }
        }
        // Steps whose times are less than a window apart, and the steps in exactly a window or half
        // of one, rounded against the daemons.
        let length = (WINDOW.as_millis() as u64 / STEP_MILLIS) as usize;
        let half = length / 2;
        for end in 1..first.len() + length {
            let most = [0, half, half + 1, length, length + 1].map(|before| {
                end.checked_sub(before).map_or(0.0, |end| in_window(&first, end, length + 1))
            });
            let allowed = 0.2 * most.into_iter().fold(0.0, f64::max) + SLACK;
            let made = in_window(&repeats, end, length);
            prop_assert!(made <= allowed + 1e-6, "{made} of {allowed} up to step {end}");
        }
    }
}

/// The first sends of the busy seconds before a fault pay for retries after them, also when demand falls.
#[test]
fn first_sends_of_the_window_before_pay_for_retries_now() {
    let start = Instant::now();
    let mut ratio = window(start, 16);
    for millis in (0..20_000).step_by(10) {
        ratio.earn(start + Duration::from_millis(millis), 1);
    }
    let now = start + Duration::from_secs(20);
    let retries = (0..1_000)
        .filter(|_| ratio.spend(now, RetryClaim::default()))
        .count();
    assert!((140..=163).contains(&retries), "{retries}");
    assert!(!ratio.spend(now + Duration::from_millis(9_900), RetryClaim::default()));
}

/// A daemon that has just started must not repeat on the account of sends that it has not made.
#[test]
fn a_new_window_allows_the_slack_only() {
    let now = Instant::now();
    let mut ratio = window(now, 16);
    let retries = (0..100)
        .filter(|_| ratio.spend(now, RetryClaim::default()))
        .count();
    assert_eq!(retries, 3);
}

/// A window of a daemon that has made calls at the positions 1 to 100, ten a second of each, half of
/// which the service refuses now.
fn scarce(start: Instant) -> (RetryRatio, Instant) {
    let mut ratio = window(start, 16);
    for millis in 0..20_000_u64 {
        let now = start + Duration::from_millis(millis);
        ratio.earn(now, 1 + millis * 7 % 100);
    }
    let now = start + Duration::from_secs(20);
    for _ in 0..50 {
        ratio.record(now, true);
        ratio.record(now, false);
    }
    (ratio, now)
}

/// Retries that are spread over all requests finish hardly any request of several calls.
#[test]
fn where_retries_are_scarce_only_requests_below_the_cutoff_get_any() {
    let (mut ratio, now) = scarce(Instant::now());
    let at = |order| RetryClaim {
        order,
        ..RetryClaim::default()
    };
    assert!(!ratio.spend(now, at(90)));
    let cutoff = ratio.status(now).and_then(|status| status.cutoff);
    // 160 retries a second for 1,000 calls, of which each needs one.
    assert!(
        cutoff.is_some_and(|cutoff| (14..=25).contains(&cutoff)),
        "{cutoff:?}"
    );
    assert!(ratio.spend(now, at(10)));
    assert!(ratio.spend(now, at(0)));
}

/// Daemons that see a part of the calls have different cutoffs; a request admitted by the fleet's must get
/// its retries at each of them.
#[test]
fn a_request_below_the_cutoff_of_the_fleet_gets_retries() {
    let (mut ratio, now) = scarce(Instant::now());
    let claim = RetryClaim {
        class: 0,
        order: 60,
        fleet: Some(RetryStatus {
            refused: 0.5,
            cutoff: Some(64),
            attempts: 0.0,
        }),
    };
    assert!(ratio.spend(now, claim));
}

/// Credit is lent by three quarters, so calls deep in a chain have none; the window decides there.
#[test]
fn a_refusal_by_the_backend_server_needs_no_credit_within_the_window() {
    let now = Instant::now();
    let refusal = Refusal::new(Kind::BackendShed, "");
    let options = RetryOptions {
        idempotent: false,
        remaining: Duration::from_millis(500),
        expected: Duration::from_millis(86),
        free_failovers: 0,
        free_sheds: 15,
        claim: RetryClaim::default(),
    };
    let failed = FailedAttempt {
        refusal: &refusal,
        retried: true,
    };
    let credit = &mut Credit::new(0);
    let mut with_window = window(now, 16);
    let decision = decide_retry(now, options, failed, credit, &mut with_window);
    assert_eq!(decision, Ok(RetryReason::NotRun));
    let mut bucket = RetryRatio::new(now, RatioOptions::default());
    let decision = decide_retry(now, options, failed, credit, &mut bucket);
    assert_eq!(decision, Err(RetryReason::RetriedBelow));
}
