//! Admission to one backend server, in simulated time.

use indigospur_admission::{
    Admission, AdmissionRefusal, Arrival, Completion, Effect, LimitPolicy, Options, Ticket, Verdict,
};
use indigospur_protocol::Kind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(10);

fn arrival(now: Instant, class: u8, customer: &str, rank: u32) -> Arrival {
    Arrival {
        class,
        rank,
        customer: customer.into(),
        share: 1,
        deadline: now + Duration::from_secs(2),
        waits: false,
    }
}

fn warm_admission(slots: u32, now: Instant) -> Admission {
    let options = Options {
        slots,
        max_queued: 4,
        ..Options::default()
    };
    let mut admission = Admission::new(options, now);
    let (verdict, _) = admission.arrive(now, arrival(now, 1, "warm-up", 0));
    let Verdict::Run(ticket) = verdict else {
        panic!("an idle backend server runs a call")
    };
    admission.finish(now + SERVICE_TIME, ticket, Completion::Answered);
    admission
}

fn started(effects: &[Effect]) -> Vec<Ticket> {
    let run_ticket = |effect: &Effect| match effect {
        Effect::Run(ticket) => Some(*ticket),
        _ => None,
    };
    effects.iter().filter_map(run_ticket).collect()
}

#[test]
fn changed_settings_apply_to_arriving_and_queued_calls() {
    let now = Instant::now();
    let mut admission = warm_admission(10, now);
    let changed = |usable_percent, max_queued| Options {
        usable_percent,
        max_queued,
        ..Options::default()
    };
    admission.set_options(now, changed(50, 4));
    let mut verdicts = (0..10).map(|_| admission.arrive(now, arrival(now, 1, "x", 0)).0);
    let (mut runs, mut waits) = (0, 0);
    verdicts.by_ref().for_each(|verdict| match verdict {
        Verdict::Run(_) => runs += 1,
        Verdict::Wait(_) => waits += 1,
        Verdict::Refuse(_) => {}
    });
    assert_eq!((runs, waits), (5, 4));
    let effects = admission.set_options(now, changed(100, 4));
    assert_eq!(started(&effects).len(), 4, "queued calls get the new slots");
}

/// Rounding down takes one slot more than asked for, which is a seventh of a server of seven slots.
#[test]
fn the_usable_slots_are_the_nearest_number_to_their_share() {
    let now = Instant::now();
    for (slots, usable) in [
        (1, 1),
        (4, 4),
        (7, 6),
        (14, 13),
        (25, 23),
        (39, 36),
        (410, 377),
    ] {
        let options = Options {
            slots,
            usable_percent: 92,
            ..Options::default()
        };
        let mut admission = Admission::new(options, now);
        let arrivals = (0..slots).map(|_| admission.arrive(now, arrival(now, 1, "x", 0)).0);
        let runs = arrivals.filter(|verdict| matches!(verdict, Verdict::Run(_)));
        assert_eq!(runs.count() as u32, usable, "{slots} slots");
    }
}

#[test]
fn a_high_priority_call_displaces_a_queued_call_of_lower_priority() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    for _ in 0..5 {
        admission.arrive(now, arrival(now, 2, "large", 5));
    }
    let (verdict, effects) = admission.arrive(now, arrival(now, 0, "small", 9));
    assert!(matches!(verdict, Verdict::Wait(_)));
    assert!(matches!(
        effects[..],
        [Effect::Refuse(
            _,
            AdmissionRefusal {
                kind: Kind::Overloaded,
                ..
            }
        )]
    ));
}

#[test]
fn a_high_priority_call_is_not_refused_while_a_lower_priority_call_runs() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    let (verdict, _) = admission.arrive(now, arrival(now, 2, "large", 0));
    let Verdict::Run(lower) = verdict else {
        panic!("the slot is free")
    };
    let mut preempted = Vec::new();
    for _ in 0..5 {
        let (verdict, effects) = admission.arrive(now, arrival(now, 0, "small", 0));
        assert!(!matches!(verdict, Verdict::Refuse(_)));
        preempted.extend(effects);
    }
    assert!(matches!(preempted[0], Effect::Preempt(ticket, _) if ticket == lower));
}

#[test]
fn an_urgent_call_preempts_a_running_call_of_lower_priority() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    admission.arrive(now, arrival(now, 2, "large", 0));
    let (verdict, _) = admission.arrive(now, arrival(now, 0, "small", 0));
    let Verdict::Wait(ticket) = verdict else {
        panic!("the slot is taken")
    };
    let tick = admission.next_tick(now).expect("a call waits");
    assert!(tick < now + Duration::from_secs(2));
    assert_eq!(started(&admission.tick(tick)), [ticket]);
}

#[test]
fn a_small_customer_waits_for_at_most_one_queued_call_of_a_large_customer() {
    let now = Instant::now();
    let mut admission = Admission::new(
        Options {
            slots: 1,
            ..Options::default()
        },
        now,
    );
    let (Verdict::Run(mut running), _) = admission.arrive(now, arrival(now, 1, "large", 0)) else {
        panic!("the slot is free")
    };
    let mut at = now + SERVICE_TIME;
    for rank in 0..40 {
        admission.arrive(at, arrival(at, 1, "large", rank));
    }
    let (verdict, _) = admission.arrive(at, arrival(at, 1, "small", 99));
    let Verdict::Wait(small) = verdict else {
        panic!("{verdict:?}")
    };
    let mut served_before = 0;
    loop {
        let effects = admission.finish(at, running, Completion::Answered);
        running = started(&effects)[0];
        at += SERVICE_TIME;
        if running == small {
            break;
        }
        served_before += 1;
    }
    assert!(
        served_before <= 1,
        "{served_before} calls of the large customer were served first"
    );
}

#[test]
fn overload_sheds_the_highest_rank_of_the_customer_with_the_most_queued_calls() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    admission.arrive(now, arrival(now, 1, "large", 0));
    let (Verdict::Wait(worst), _) = admission.arrive(now, arrival(now, 1, "large", 90)) else {
        panic!("the slot is taken")
    };
    for rank in [10, 20] {
        admission.arrive(now, arrival(now, 1, "large", rank));
    }
    admission.arrive(now, arrival(now, 1, "small", 99));
    let (verdict, effects) = admission.arrive(now, arrival(now, 1, "large", 30));
    assert!(matches!(verdict, Verdict::Wait(_)));
    assert!(
        matches!(effects[..], [Effect::Refuse(ticket, _)] if ticket == worst),
        "{effects:?}"
    );
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused_on_arrival() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    admission.arrive(now, arrival(now, 1, "a", 0));
    let short = Arrival {
        deadline: now + SERVICE_TIME / 2,
        ..arrival(now, 1, "b", 0)
    };
    let (verdict, _) = admission.arrive(now, short);
    assert!(matches!(
        verdict,
        Verdict::Refuse(AdmissionRefusal {
            kind: Kind::DeadlineUnreachable,
            ..
        })
    ));
}

#[test]
fn a_call_marked_as_waiting_stays_queued_until_its_deadline() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    admission.arrive(now, arrival(now, 1, "a", 0));
    let waiting = Arrival {
        waits: true,
        deadline: now + SERVICE_TIME / 2,
        ..arrival(now, 1, "b", 0)
    };
    let (verdict, _) = admission.arrive(now, waiting);
    let Verdict::Wait(ticket) = verdict else {
        panic!("{verdict:?}")
    };
    let effects = admission.tick(now + SERVICE_TIME);
    let expected = Kind::DeadlineWaiting;
    assert!(
        matches!(effects[..], [Effect::Refuse(t, AdmissionRefusal { kind, .. })] if t == ticket && kind == expected)
    );
}

#[test]
fn a_draining_backend_server_refuses_new_calls_and_serves_queued_ones() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    let (Verdict::Run(first), _) = admission.arrive(now, arrival(now, 1, "a", 0)) else {
        panic!()
    };
    let (Verdict::Wait(second), _) = admission.arrive(now, arrival(now, 1, "a", 0)) else {
        panic!()
    };
    admission.drain();
    let (verdict, _) = admission.arrive(now, arrival(now, 0, "a", 0));
    assert!(matches!(
        verdict,
        Verdict::Refuse(AdmissionRefusal {
            kind: Kind::Draining,
            ..
        })
    ));
    assert_eq!(
        started(&admission.finish(now + SERVICE_TIME, first, Completion::Answered)),
        [second]
    );
}

#[test]
fn queued_calls_start_for_a_time_after_the_backend_server_leaves() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    let arrive = |admission: &mut Admission| admission.arrive(now, arrival(now, 1, "a", 0)).0;
    let Verdict::Run(first) = arrive(&mut admission) else {
        panic!()
    };
    let (Verdict::Wait(second), Verdict::Wait(third)) =
        (arrive(&mut admission), arrive(&mut admission))
    else {
        panic!()
    };
    admission.leave(now, Duration::from_secs(1));
    let early = now + Duration::from_millis(900);
    assert_eq!(
        admission.next_tick(early),
        Some(now + Duration::from_secs(1))
    );
    assert_eq!(
        started(&admission.finish(early, first, Completion::Answered)),
        [second]
    );
    let effects = admission.tick(now + Duration::from_secs(1));
    assert!(
        matches!(effects[..], [Effect::Refuse(ticket, AdmissionRefusal { kind: Kind::Draining, .. })] if ticket == third),
        "{effects:?}"
    );
    let late = now + Duration::from_millis(1_100);
    assert!(
        admission
            .finish(late, second, Completion::Answered)
            .is_empty()
    );
    assert_eq!(admission.next_tick(late), None);
    admission.resume();
    assert!(matches!(arrive(&mut admission), Verdict::Run(_)));
}

#[test]
fn the_limit_of_a_cold_backend_server_rises_linearly_over_the_ramp() {
    let now = Instant::now();
    let options = Options {
        slots: 40,
        ramp: Duration::from_secs(10),
        ..Options::default()
    };
    let admission = Admission::new(options, now);
    assert_eq!(admission.load(now).limit, 10);
    assert_eq!(admission.load(now + Duration::from_secs(5)).limit, 25);
    assert_eq!(admission.load(now + Duration::from_secs(10)).limit, 40);
}

#[test]
fn the_aimd_limit_falls_while_calls_are_shed_and_recovers() {
    let now = Instant::now();
    let mut admission = Admission::new(
        Options {
            slots: 20,
            policy: LimitPolicy::Aimd,
            ..Options::default()
        },
        now,
    );
    let mut at = now;
    let mut run = |outcome, calls: u32| {
        for _ in 0..calls {
            let (Verdict::Run(ticket), _) = admission.arrive(at, arrival(at, 1, "a", 0)) else {
                panic!()
            };
            at += Duration::from_millis(150);
            admission.finish(at, ticket, outcome);
        }
        admission.load(at).limit
    };
    assert!(run(Completion::Shed, 10) < 10);
    assert_eq!(run(Completion::Answered, 400), 20);
}

#[test]
fn retry_after_times_are_spread() {
    let now = Instant::now();
    let mut admission = warm_admission(1, now);
    admission.set_options(
        now,
        Options {
            max_queued: 100,
            target_wait: Duration::from_secs(2),
            ..Options::default()
        },
    );
    while admission.outstanding() as u32 * SERVICE_TIME < Duration::from_millis(500) {
        admission.arrive(now, arrival(now, 1, "a", 0));
    }
    admission.drain();
    let mut buckets = Vec::new();
    for _ in 0..100 {
        let (Verdict::Refuse(refused), _) = admission.arrive(now, arrival(now, 1, "a", 0)) else {
            panic!()
        };
        buckets.push(refused.retry_after.as_millis() / 50);
    }
    buckets.sort_unstable();
    buckets.dedup();
    assert!(buckets.len() >= 9, "{buckets:?}");
}

/// Queued and running calls by ticket: class, and whether the call runs.
#[derive(Default)]
struct CallTracker {
    calls: HashMap<Ticket, (u8, bool)>,
}

impl CallTracker {
    fn assert_refusal(&self, class: u8, kind: Kind) {
        let lower = self.calls.values().any(|(other, _)| *other > class);
        assert!(
            !lower,
            "class {class} refused as {kind:?} while a call of lower priority is queued or runs"
        );
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        let refused_calls: Vec<_> = effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::Refuse(ticket, refused) | Effect::Preempt(ticket, refused) => self
                    .calls
                    .remove(ticket)
                    .map(|(class, _)| (class, refused.kind)),
                Effect::Run(ticket) => {
                    if let Some(call) = self.calls.get_mut(ticket) {
                        call.1 = true;
                    }
                    None
                }
            })
            .collect();
        for (class, kind) in refused_calls {
            self.assert_refusal(class, kind);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_call_is_refused_while_one_of_lower_priority_is_queued_or_runs(seed in any::<u64>(), slots in 1_u32..6) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut now = start;
        let mut admission = Admission::new(Options { slots, max_queued: 8, ..Options::default() }, now);
        let mut tracker = CallTracker::default();
        for _ in 0..400 {
            let until = now + Duration::from_millis(rng.random_range(0..20));
            while let Some(tick) = admission.next_tick(now).filter(|tick| *tick <= until) {
                now = tick;
                tracker.apply(admission.tick(now));
            }
            now = until;
            let running: Vec<Ticket> = tracker.calls.iter().filter(|(_, call)| call.1).map(|(t, _)| *t).collect();
            if rng.random_bool(0.3) && !running.is_empty() {
                let ticket = *running.iter().min().expect("not empty");
                tracker.calls.remove(&ticket);
                tracker.apply(admission.finish(now, ticket, Completion::Answered));
                continue;
            }
            let class = rng.random_range(0..3);
            let customer = if class == 0 || rng.random_bool(0.8) { "large" } else { "small" };
            let deadline = now + Duration::from_millis(rng.random_range(50..2_000));
            let call = Arrival { deadline, waits: rng.random_bool(0.2), ..arrival(now, class, customer, rng.random()) };
            let (verdict, effects) = admission.arrive(now, call);
            match verdict {
                Verdict::Run(ticket) => { tracker.calls.insert(ticket, (class, true)); }
                Verdict::Wait(ticket) => { tracker.calls.insert(ticket, (class, false)); }
                Verdict::Refuse(_) => {}
            }
            tracker.apply(effects);
            if let Verdict::Refuse(refused) = verdict {
                prop_assert!(now < deadline);
                tracker.assert_refusal(class, refused.kind);
            }
            let running_count = tracker.calls.values().filter(|call| call.1).count();
            prop_assert!(running_count as u32 <= slots);
            prop_assert_eq!(admission.outstanding(), tracker.calls.len());
        }
    }
}
