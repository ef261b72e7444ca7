//! Admission of single requests by the share of calls that a service refuses and by the cutoff of retries.

use indigospur_admission::{IngressAdmission, IngressRefusal, IngressRequest, Pressures};
use indigospur_protocol::{Class, Pressure, RetryOrder, Work};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE: &str = "accounts";
/// Time for which the caller waits.
const REMAINING: Duration = Duration::from_secs(3);
/// A usual rank.
const RANK: u32 = 3 << 23;

fn ingress() -> IngressAdmission {
    let mut ingress = IngressAdmission::new(1);
    for (rule, calls) in [("one", 1), ("four", 4), ("eight", 8)] {
        let work = Work {
            service: SERVICE.into(),
            time: Duration::from_millis(86) * calls,
            calls,
        };
        let rule: Arc<str> = rule.into();
        ingress.record_work(&rule, std::slice::from_ref(&work));
        ingress.record_calls(&rule, &[work]);
    }
    ingress
}

fn pressures(now: Instant, refused: Option<u32>, cutoff: Option<RetryOrder>) -> Pressures {
    occupied_pressures(now, 10, refused, cutoff)
}

fn occupied_pressures(
    now: Instant,
    occupied: u32,
    refused: Option<u32>,
    cutoff: Option<RetryOrder>,
) -> Pressures {
    let mut pressures = Pressures::default();
    let report = Pressure {
        service: SERVICE.into(),
        occupied,
        capacity: 100,
        age: Duration::ZERO,
        refused,
        cutoff,
        attempts: 100,
        shedding: None,
    };
    pressures.merge(now, &[report]);
    pressures
}

fn admit(
    ingress: &mut IngressAdmission,
    now: Instant,
    rule: &str,
    pressures: &Pressures,
) -> Result<(), IngressRefusal> {
    ingress.admit(now, request(&rule.into(), 1), pressures)
}

fn request(rule: &Arc<str>, class: Class) -> IngressRequest<'_> {
    IngressRequest {
        rule,
        class,
        rule_class: class,
        rank: RANK,
        remaining: REMAINING,
        idempotent: false,
    }
}

/// Four calls succeed once in 24 times without retries, one call in two: only the former is refused.
#[test]
fn a_request_that_gets_no_retries_is_refused_if_it_would_probably_fail() {
    let now = Instant::now();
    let mut ingress = ingress();
    let below_all = pressures(now, Some(550), Some(1 << 32));
    assert_eq!(admit(&mut ingress, now, "one", &below_all), Ok(()));
    let refusal = admit(&mut ingress, now, "four", &below_all).expect_err("it gets no retries");
    assert!(refusal.chance.is_some_and(|chance| chance < 0.05));
    assert!(refusal.order > refusal.cutoff.expect("the cutoff is reported"));
    // Callers wait for up to a third of their time.
    assert!((REMAINING / 6..=REMAINING / 3).contains(&refusal.retry_after));
}

/// A refusal would take the small chance from the caller and give it to nobody. The failure of one that has
/// no room delays others, and that of one that must not run twice leaves its caller in doubt.
#[test]
fn an_idempotent_request_that_would_probably_fail_is_admitted_while_the_service_is_idle() {
    let now = Instant::now();
    let mut ingress = ingress();
    let mut admits = |occupied, idempotent| {
        let pressures = occupied_pressures(now, occupied, Some(550), Some(1 << 32));
        let rule: Arc<str> = "four".into();
        let request = IngressRequest {
            idempotent,
            ..request(&rule, 1)
        };
        ingress.admit(now, request, &pressures).is_ok()
    };
    assert!(admits(10, true));
    assert!(!admits(90, true));
    assert!(!admits(10, false));
}

/// More urgent requests that fail for want of retries gain nothing if requests that need none are refused.
#[test]
fn no_request_is_refused_because_more_urgent_ones_fail() {
    let now = Instant::now();
    let mut ingress = ingress();
    let pressures = pressures(now, Some(550), Some(1));
    for _ in 0..3_000 {
        assert!(
            ingress
                .admit(now, request(&"eight".into(), 0), &pressures)
                .is_err()
        );
        assert_eq!(
            ingress.admit(now, request(&"one".into(), 2), &pressures),
            Ok(())
        );
    }
}

/// The less a service refuses, the longer the requests that finish more work than they waste.
#[test]
fn requests_without_retries_are_admitted_up_to_the_calls_that_finish_most_work() {
    let now = Instant::now();
    let mut ingress = ingress();
    let cases = [
        (100, [true, true, true]),
        (200, [true, true, false]),
        (300, [true, false, false]),
        (600, [true, false, false]),
        (700, [false, false, false]),
        (900, [false, false, false]),
    ];
    for (refused, expected) in cases {
        let pressures = pressures(now, Some(refused), Some(1));
        let admitted =
            ["one", "four", "eight"].map(|rule| admit(&mut ingress, now, rule, &pressures).is_ok());
        assert_eq!(admitted, expected, "{refused} of 1,000 refused");
    }
}

#[test]
fn a_request_below_the_cutoff_is_admitted() {
    let now = Instant::now();
    let mut ingress = ingress();
    for cutoff in [None, Some(2 << 32)] {
        let pressures = pressures(now, Some(550), cutoff);
        assert_eq!(admit(&mut ingress, now, "four", &pressures), Ok(()));
    }
}

/// A fault that ends together with the reports must not keep requests out.
#[test]
fn without_new_reports_everything_is_admitted_within_one_and_a_half_seconds() {
    let now = Instant::now();
    let mut ingress = ingress();
    let pressures = pressures(now, Some(550), Some(1 << 32));
    assert!(admit(&mut ingress, now, "four", &pressures).is_err());
    let later = now + Duration::from_millis(1_500);
    assert_eq!(admit(&mut ingress, later, "four", &pressures), Ok(()));
}

#[test]
fn reports_of_earlier_versions_cause_no_refusals() {
    let now = Instant::now();
    let pressures = pressures(now, None, None);
    assert_eq!(admit(&mut ingress(), now, "four", &pressures), Ok(()));
    assert_eq!(pressures.reports(now)[0].refused, None);
}

/// Without this, a caller that follows Retry-After is refused while others of its rank are let in.
#[test]
fn a_request_that_comes_back_is_decided_on_like_others_of_its_order() {
    let now = Instant::now();
    let mut ingress = ingress();
    let strict = pressures(now, Some(550), Some(1 << 32));
    assert!(admit(&mut ingress, now, "four", &strict).is_err());
    let relaxed = pressures(now, Some(550), Some((1 << 32) | (u64::from(RANK) * 4)));
    for _ in 0..50 {
        assert_eq!(admit(&mut ingress, now, "four", &relaxed), Ok(()));
    }
}

/// A daemon that calls the service for the least urgent requests only has no retries to give to others, so
/// its cutoff tells nothing about them.
#[test]
fn a_cutoff_among_less_urgent_requests_admits_no_more_urgent_ones() {
    let now = Instant::now();
    let mut pressures = pressures(now, Some(550), Some(u64::from(RANK)));
    let known = pressures.cutoff(now, SERVICE);
    let report = |age, cutoff| Pressure {
        service: SERVICE.into(),
        occupied: 10,
        capacity: 100,
        age,
        refused: Some(550),
        cutoff: Some(cutoff),
        attempts: 100,
        shedding: None,
    };
    let least_urgent = report(Duration::ZERO, 2 << 32);
    pressures.merge(now, std::slice::from_ref(&least_urgent));
    assert_eq!(pressures.cutoff(now, SERVICE), known);
    // It counts once nobody has a cutoff among the more urgent ones.
    let later = now + Duration::from_millis(1_500);
    pressures.merge(later, &[least_urgent]);
    assert_eq!(pressures.cutoff(later, SERVICE), Some(2 << 32));
}

/// Many daemons that make few calls report as often as the few that make most; their cutoff, which lies
/// above all requests of several calls, must not replace that of the few.
#[test]
fn reports_of_daemons_that_make_few_calls_do_not_move_the_cutoff() {
    let now = Instant::now();
    let cutoff = u64::from(RANK);
    let mut pressures = pressures(now, Some(550), Some(cutoff));
    let known = pressures.cutoff(now, SERVICE);
    let light = Pressure {
        service: SERVICE.into(),
        occupied: 10,
        capacity: 100,
        age: Duration::ZERO,
        refused: Some(100),
        cutoff: Some(2 << 32),
        attempts: 1,
        shedding: None,
    };
    for _ in 0..100 {
        pressures.merge(now, std::slice::from_ref(&light));
    }
    assert_eq!(pressures.cutoff(now, SERVICE), known);
    assert!(pressures.refused(now, SERVICE) > 0.5);
    // Where nobody makes more calls, they are all there is to go by.
    let mut only = Pressures::default();
    only.merge(now, &[light]);
    assert!(only.cutoff(now, SERVICE).is_some());
}
