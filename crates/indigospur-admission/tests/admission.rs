//! Admission under virtual time.

use indigospur_admission::{
    Admission, Arrival, Effect, Finish, LimitPolicy, Options, Refused, Ticket, Verdict,
};
use indigospur_protocol::Kind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SERVICE: Duration = Duration::from_millis(10);

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

fn warm(slots: u32, now: Instant) -> Admission {
    let options = Options {
        slots,
        places: 4,
        ..Options::default()
    };
    let mut admission = Admission::new(options, now);
    let (verdict, _) = admission.arrive(now, arrival(now, 1, "warm-up", 0));
    let Verdict::Run(ticket) = verdict else {
        panic!("an idle backend server runs a call")
    };
    admission.finish(now + SERVICE, ticket, Finish::Answered);
    admission
}

fn ran(effects: &[Effect]) -> Vec<Ticket> {
    let run = |effect: &Effect| match effect {
        Effect::Run(ticket) => Some(*ticket),
        _ => None,
    };
    effects.iter().filter_map(run).collect()
}

#[test]
fn settings_that_change_hold_for_the_calls_that_come_and_wait() {
    let now = Instant::now();
    let mut admission = warm(10, now);
    let changed = |fill, places| Options {
        fill,
        places,
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
    assert_eq!(ran(&effects).len(), 4, "what waits gets the new slots");
}

#[test]
fn a_protected_call_takes_the_queue_place_of_a_lesser_one() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    for _ in 0..5 {
        admission.arrive(now, arrival(now, 2, "large", 5));
    }
    let (verdict, effects) = admission.arrive(now, arrival(now, 0, "small", 9));
    assert!(matches!(verdict, Verdict::Wait(_)));
    assert!(matches!(
        effects[..],
        [Effect::Refuse(
            _,
            Refused {
                kind: Kind::Overloaded,
                ..
            }
        )]
    ));
}

#[test]
fn a_protected_call_is_not_refused_while_a_lesser_one_holds_a_slot() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    let (verdict, _) = admission.arrive(now, arrival(now, 2, "large", 0));
    let Verdict::Run(lesser) = verdict else {
        panic!("the slot is free")
    };
    let mut preempted = Vec::new();
    for _ in 0..5 {
        let (verdict, effects) = admission.arrive(now, arrival(now, 0, "small", 0));
        assert!(!matches!(verdict, Verdict::Refuse(_)));
        preempted.extend(effects);
    }
    assert!(matches!(preempted[0], Effect::Preempt(ticket, _) if ticket == lesser));
}

#[test]
fn a_protected_call_near_its_deadline_takes_the_slot_of_a_lesser_one() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    admission.arrive(now, arrival(now, 2, "large", 0));
    let (verdict, _) = admission.arrive(now, arrival(now, 0, "small", 0));
    let Verdict::Wait(ticket) = verdict else {
        panic!("the slot is taken")
    };
    let tick = admission.next_tick(now).expect("a call waits");
    assert!(tick < now + Duration::from_secs(2));
    assert_eq!(ran(&admission.tick(tick)), [ticket]);
}

#[test]
fn the_smallest_customer_waits_behind_one_call_of_the_largest_and_not_behind_all() {
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
    let mut at = now + SERVICE;
    for rank in 0..40 {
        admission.arrive(at, arrival(at, 1, "large", rank));
    }
    let (verdict, _) = admission.arrive(at, arrival(at, 1, "small", 99));
    let Verdict::Wait(small) = verdict else {
        panic!("{verdict:?}")
    };
    let mut before = 0;
    loop {
        let effects = admission.finish(at, running, Finish::Answered);
        running = ran(&effects)[0];
        at += SERVICE;
        if running == small {
            break;
        }
        before += 1;
    }
    assert!(before <= 1, "{before} calls of the largest went before");
}

#[test]
fn overload_sheds_the_largest_customers_worst_ranks() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    admission.arrive(now, arrival(now, 1, "large", 0));
    let (Verdict::Wait(worst), _) = admission.arrive(now, arrival(now, 1, "large", 90)) else {
        panic!("one place is taken")
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
fn a_call_that_cannot_finish_in_time_is_refused_before_it_runs() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    admission.arrive(now, arrival(now, 1, "a", 0));
    let short = Arrival {
        deadline: now + SERVICE / 2,
        ..arrival(now, 1, "b", 0)
    };
    let (verdict, _) = admission.arrive(now, short);
    assert!(matches!(
        verdict,
        Verdict::Refuse(Refused {
            kind: Kind::DeadlineUnreachable,
            ..
        })
    ));
}

#[test]
fn a_lookup_waits_until_its_deadline_instead_of_giving_up() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    admission.arrive(now, arrival(now, 1, "a", 0));
    let lookup = Arrival {
        waits: true,
        deadline: now + SERVICE / 2,
        ..arrival(now, 1, "b", 0)
    };
    let (verdict, _) = admission.arrive(now, lookup);
    let Verdict::Wait(ticket) = verdict else {
        panic!("{verdict:?}")
    };
    let effects = admission.tick(now + SERVICE);
    let expected = Kind::DeadlineWaiting;
    assert!(
        matches!(effects[..], [Effect::Refuse(t, Refused { kind, .. })] if t == ticket && kind == expected)
    );
}

#[test]
fn a_draining_backend_server_takes_no_new_work_and_serves_what_waits() {
    let now = Instant::now();
    let mut admission = warm(1, now);
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
        Verdict::Refuse(Refused {
            kind: Kind::Draining,
            ..
        })
    ));
    assert_eq!(
        ran(&admission.finish(now + SERVICE, first, Finish::Answered)),
        [second]
    );
}

#[test]
fn a_restarted_backend_server_gets_its_slots_little_by_little() {
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
fn the_limit_gives_way_to_a_backend_server_that_sheds_and_comes_back() {
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
    let mut run = |how, times: u32| {
        for _ in 0..times {
            let (Verdict::Run(ticket), _) = admission.arrive(at, arrival(at, 1, "a", 0)) else {
                panic!()
            };
            at += Duration::from_millis(150);
            admission.finish(at, ticket, how);
        }
        admission.load(at).limit
    };
    assert!(run(Finish::Shed, 10) < 10);
    assert_eq!(run(Finish::Answered, 400), 20);
}

#[test]
fn times_to_come_back_are_spread() {
    let now = Instant::now();
    let mut admission = warm(1, now);
    admission.drain();
    let mut seen = Vec::new();
    for _ in 0..100 {
        let (Verdict::Refuse(refused), _) = admission.arrive(now, arrival(now, 1, "a", 0)) else {
            panic!()
        };
        seen.push(refused.retry_after.as_millis() / 50);
    }
    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() >= 9, "{seen:?}");
}

/// Calls of one run by ticket, with their class, and whether each holds a slot.
#[derive(Default)]
struct Journal {
    held: HashMap<Ticket, (u8, bool)>,
}

impl Journal {
    fn refuse(&self, class: u8, kind: Kind) {
        let lesser = self.held.values().any(|(other, _)| *other > class);
        assert!(
            !lesser,
            "class {class} refused as {kind:?} while a lesser call has a place"
        );
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        let dropped: Vec<_> = effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::Refuse(ticket, refused) | Effect::Preempt(ticket, refused) => self
                    .held
                    .remove(ticket)
                    .map(|(class, _)| (class, refused.kind)),
                Effect::Run(ticket) => {
                    if let Some(call) = self.held.get_mut(ticket) {
                        call.1 = true;
                    }
                    None
                }
            })
            .collect();
        for (class, kind) in dropped {
            self.refuse(class, kind);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_call_is_refused_while_a_lesser_one_has_a_slot_or_a_place(seed in any::<u64>(), slots in 1_u32..6) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut now = start;
        let mut admission = Admission::new(Options { slots, places: 8, ..Options::default() }, now);
        let mut journal = Journal::default();
        for _ in 0..400 {
            let until = now + Duration::from_millis(rng.random_range(0..20));
            while let Some(tick) = admission.next_tick(now).filter(|tick| *tick <= until) {
                now = tick;
                journal.apply(admission.tick(now));
            }
            now = until;
            let running: Vec<Ticket> = journal.held.iter().filter(|(_, call)| call.1).map(|(t, _)| *t).collect();
            if rng.random_bool(0.3) && !running.is_empty() {
                let ticket = *running.iter().min().expect("not empty");
                journal.held.remove(&ticket);
                journal.apply(admission.finish(now, ticket, Finish::Answered));
                continue;
            }
            let class = rng.random_range(0..3);
            let customer = if class == 0 || rng.random_bool(0.8) { "large" } else { "small" };
            let deadline = now + Duration::from_millis(rng.random_range(50..2_000));
            let call = Arrival { deadline, waits: rng.random_bool(0.2), ..arrival(now, class, customer, rng.random()) };
            let (verdict, effects) = admission.arrive(now, call);
            match verdict {
                Verdict::Run(ticket) => { journal.held.insert(ticket, (class, true)); }
                Verdict::Wait(ticket) => { journal.held.insert(ticket, (class, false)); }
                Verdict::Refuse(_) => {}
            }
            journal.apply(effects);
            if let Verdict::Refuse(refused) = verdict {
                prop_assert!(now < deadline);
                journal.refuse(class, refused.kind);
            }
            let held = journal.held.values().filter(|call| call.1).count();
            prop_assert!(held as u32 <= slots);
            prop_assert_eq!(admission.busy(), journal.held.len());
        }
    }
}
