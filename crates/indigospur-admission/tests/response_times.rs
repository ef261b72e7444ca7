//! Expected ends of calls, by the times of earlier ones.

use indigospur_admission::{CallKind, Caution, ResponseTimes};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MANY: usize = 16;
const SECOND: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn kind(name: &str, caution: Caution) -> CallKind<'_> {
    CallKind { name, caution }
}

/// Records calls of a rule that took `time` each.
fn record(
    times: &mut ResponseTimes,
    start: Instant,
    rule: &Arc<str>,
    count: usize,
    time: Duration,
) {
    for _ in 0..count {
        let call = times.start(start, rule);
        times.finish(start + time, rule, call, true);
    }
}

#[test]
fn the_longest_of_the_last_calls_is_the_bound() {
    let (now, rule) = (Instant::now(), Arc::from("pay"));
    let mut times = ResponseTimes::default();
    record(&mut times, now, &rule, 1, ms(900));
    record(&mut times, now, &rule, MANY - 1, ms(30));
    for caution in [Caution::Usual, Caution::Strict] {
        assert_eq!(times.bound(now, kind("pay", caution)), ms(900));
    }
    record(&mut times, now, &rule, 64, ms(40));
    assert_eq!(times.bound(now, kind("pay", Caution::Strict)), ms(40));
}

#[test]
fn a_running_call_shows_that_others_may_take_as_long() {
    let (now, rule) = (Instant::now(), Arc::from("pay"));
    let mut times = ResponseTimes::default();
    record(&mut times, now, &rule, MANY, ms(30));
    let running = times.start(now, &rule);
    let later = now + ms(2_500);
    assert_eq!(times.bound(later, kind("pay", Caution::Usual)), ms(2_500));
    times.finish(later, &rule, running, false);
    assert_eq!(times.bound(later, kind("pay", Caution::Usual)), ms(30));
}

#[test]
fn few_calls_bound_only_those_that_may_be_repeated_or_are_nested() {
    let (now, rule) = (Instant::now(), Arc::from("pay"));
    let mut times = ResponseTimes::default();
    let strict = Caution::new(false, false);
    for (idempotent, in_chain) in [(true, false), (false, true), (true, true)] {
        let caution = Caution::new(idempotent, in_chain);
        assert_eq!(times.bound(now, kind("pay", caution)), SECOND);
    }
    assert_eq!(times.bound(now, kind("pay", strict)), Duration::MAX);
    record(&mut times, now, &rule, MANY - 1, ms(1_700));
    assert_eq!(times.bound(now, kind("pay", Caution::Usual)), ms(1_700));
    assert_eq!(times.bound(now, kind("pay", strict)), Duration::MAX);
    assert_eq!(times.bound(now, kind("other", Caution::Usual)), SECOND);
}

#[test]
fn names_without_running_calls_make_room_for_others() {
    let now = Instant::now();
    let mut times = ResponseTimes::default();
    let first: Arc<str> = "first".into();
    let running = times.start(now, &first);
    for number in 0..10_000 {
        let rule: Arc<str> = format!("rule-{number}").into();
        record(&mut times, now, &rule, 1, ms(5));
    }
    let later = now + ms(1_200);
    assert_eq!(times.bound(later, kind("first", Caution::Usual)), ms(1_200));
    times.finish(later, &first, running, true);
    assert_eq!(times.bound(later, kind("first", Caution::Usual)), ms(1_200));
}
