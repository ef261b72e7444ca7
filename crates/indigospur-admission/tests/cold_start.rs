//! Load after a restart of all backend servers, in simulated time: for some seconds each call takes
//! twice as long, but as many run at a time as before. A slow-start ramp would refuse calls for
//! which there is capacity.

use indigospur_admission::{
    Admission, Arrival, Completion, Effect, LimitPolicy, Options, Ticket, Verdict,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const SLOTS: u32 = 72;
const SERVICE_TIME: Duration = Duration::from_millis(240);
const COLD_TIME: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(10);

/// Returns the numbers of refused and of offered calls. `demand` is the offered load in slots at
/// the service time of a warm backend server.
fn simulate(ramp: Duration, demand: f64) -> (u32, u32) {
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
    let interval = SERVICE_TIME.div_f64(demand);
    let mut now = start;
    let (mut offered, mut refused) = (0, 0);
    while now < start + DURATION {
        while let Some((at, ticket)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.pop_first();
            for effect in admission.finish(at, ticket, Completion::Answered) {
                match effect {
                    Effect::Run(next) => {
                        running.insert((at + service_time(at, start), next));
                    }
                    Effect::Refuse(..) | Effect::Preempt(..) => refused += 1,
                }
            }
        }
        offered += 1;
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
                running.insert((now + service_time(now, start), ticket));
            }
            Verdict::Wait(_) => {}
            Verdict::Refuse(_) => refused += 1,
        }
        refused += effects.len() as u32;
        now += interval;
    }
    (refused, offered)
}

fn service_time(now: Instant, start: Instant) -> Duration {
    if now < start + COLD_TIME {
        SERVICE_TIME * 2
    } else {
        SERVICE_TIME
    }
}

#[test]
fn a_cold_backend_server_that_keeps_its_concurrency_needs_no_ramp() {
    let demand = f64::from(SLOTS) * 0.4;
    let (refused, _) = simulate(Duration::ZERO, demand);
    assert_eq!(refused, 0);
    let (refused, offered) = simulate(Duration::from_secs(10), demand);
    assert!(refused > offered / 20, "{refused} of {offered} with a ramp");
}
