//! The load after a restart of everything: the usual demand meets backend servers that take twice
//! as long for some seconds, but run as many calls at a time as before. In virtual time.

use indigospur_admission::{
    Admission, Arrival, Effect, Finish, LimitPolicy, Options, Ticket, Verdict,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const SLOTS: u32 = 72;
const WORK: Duration = Duration::from_millis(240);
const COLD: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(10);

/// Calls that are refused, of those that arrive, at a demand in slots while warm.
fn refused(ramp: Duration, demand: f64) -> (u32, u32) {
    let start = Instant::now();
    let options = Options {
        policy: LimitPolicy::Slots,
        slots: SLOTS,
        ramp,
        target_wait: Duration::from_millis(200),
        preempts: false,
        ..Options::default()
    };
    let mut admission = Admission::new(options, start);
    let mut running: BTreeSet<(Instant, Ticket)> = BTreeSet::new();
    let pause = WORK.div_f64(demand);
    let mut now = start;
    let (mut asked, mut lost) = (0, 0);
    while now < start + END {
        while let Some((at, ticket)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.pop_first();
            for effect in admission.finish(at, ticket, Finish::Answered) {
                match effect {
                    Effect::Run(next) => {
                        running.insert((at + work(at, start), next));
                    }
                    Effect::Refuse(..) | Effect::Preempt(..) => lost += 1,
                }
            }
        }
        asked += 1;
        let arrival = Arrival {
            class: 2,
            rank: 0,
            customer: "anonymous".into(),
            share: 1,
            deadline: now + Duration::from_millis(1_200),
            waits: false,
        };
        let (verdict, effects) = admission.arrive(now, arrival);
        match verdict {
            Verdict::Run(ticket) => {
                running.insert((now + work(now, start), ticket));
            }
            Verdict::Wait(_) => {}
            Verdict::Refuse(_) => lost += 1,
        }
        lost += effects.len() as u32;
        now += pause;
    }
    (lost, asked)
}

fn work(now: Instant, start: Instant) -> Duration {
    if now < start + COLD { WORK * 2 } else { WORK }
}

#[test]
fn a_cold_backend_server_that_keeps_its_slots_is_given_all_of_them_at_once() {
    let demand = f64::from(SLOTS) * 0.4;
    let (lost, _) = refused(Duration::ZERO, demand);
    assert_eq!(lost, 0);
    let (lost, asked) = refused(Duration::from_secs(10), demand);
    assert!(lost > asked / 20, "{lost} of {asked} with a slow start");
}
