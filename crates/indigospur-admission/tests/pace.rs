//! The pace in load reports, in simulated time.

use indigospur_admission::{Admission, Arrival, Completion, Options, Verdict};
use indigospur_protocol::Pace;
use std::time::{Duration, Instant};

const USUAL: Duration = Duration::from_millis(20);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs one call of this service time after the other, each with an answer that tells the pace.
fn run(admission: &mut Admission, now: &mut Instant, calls: u32, percent: u32) {
    for _ in 0..calls {
        let arrival = Arrival {
            class: 1,
            rank: 0,
            customer: "x".into(),
            share: 1,
            deadline: *now + millis(1_000),
            waits: false,
        };
        let (verdict, _) = admission.arrive(*now, arrival);
        let Verdict::Run(ticket) = verdict else {
            panic!("an idle backend server runs a call")
        };
        *now += USUAL * percent / 100;
        admission.observe_pace(*now, Pace::from_percent(percent));
        admission.finish(*now, ticket, Completion::Answered);
    }
}

/// Service time times pace, in milliseconds.
fn expected(admission: &Admission, now: Instant) -> f64 {
    let load = admission.load(now);
    load.service_time.as_secs_f64() * 1_000.0 * load.pace.factor(1.0)
}

/// Guards against a slow phase that counts twice, in the mean service time and in the pace, or late.
#[test]
fn service_time_and_pace_follow_a_slow_phase_at_once() {
    let mut now = Instant::now();
    let mut admission = Admission::new(Options::default(), now);
    run(&mut admission, &mut now, 50, 100);
    assert_eq!(admission.load(now).pace, Pace::USUAL);
    for calls in [1, 2, 5, 20] {
        run(&mut admission, &mut now, calls, 250);
        let expected = expected(&admission, now);
        assert!((49.0..51.0).contains(&expected), "{expected}");
    }
    run(&mut admission, &mut now, 1, 100);
    let expected = expected(&admission, now);
    assert!((19.0..21.0).contains(&expected), "{expected}");
}

/// Guards against a pace that stays when the backend server no longer tells one.
#[test]
fn a_pace_fades_when_it_is_not_told_again() {
    let now = Instant::now();
    let mut admission = Admission::new(Options::default(), now);
    admission.observe_pace(now, Pace::from_percent(300));
    for (age, percent) in [(0, 300), (250, 200), (500, 100), (5_000, 100)] {
        let load = admission.load(now + millis(age));
        assert_eq!(load.pace.percent(), percent, "after {age} ms");
    }
}
