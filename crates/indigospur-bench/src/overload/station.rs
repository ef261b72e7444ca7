//! One upstream: who runs, who waits, who is refused.

use super::policy::Policy;
use super::scenario::Service;
use indigospur_admission::{Admission, Arrival, Completion, Effect, Options, Ticket, Verdict};
use indigospur_protocol::Load;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Names a call of the run.
pub(crate) type CallId = usize;

/// What becomes of a call at a station.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It runs now.
    Run(CallId),
    /// It is refused, or cancelled for a more important one.
    Refuse(CallId),
}

/// One upstream.
pub(crate) enum Station {
    /// First come, first served, up to so many that wait.
    Plain {
        slots: usize,
        places: usize,
        running: usize,
        waiting: VecDeque<CallId>,
    },
    /// The daemon's admission.
    Managed {
        admission: Box<Admission>,
        calls: HashMap<Ticket, CallId>,
        tickets: HashMap<CallId, Ticket>,
    },
}

impl Station {
    pub(crate) fn new(policy: Policy, service: &Service, now: Instant, seed: u64) -> Station {
        let slots = service.slots as usize;
        match policy {
            Policy::Nothing => Station::plain(slots, service.connections - slots),
            Policy::StaticRetries => Station::plain(slots, 0),
            Policy::Managed(policy) => {
                let options = Options {
                    policy,
                    slots: service.slots,
                    seed,
                    ..Options::default()
                };
                let admission = Box::new(Admission::new(options, now));
                Station::Managed {
                    admission,
                    calls: HashMap::new(),
                    tickets: HashMap::new(),
                }
            }
        }
    }

    fn plain(slots: usize, places: usize) -> Station {
        Station::Plain {
            slots,
            places,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    /// A call arrives.
    pub(crate) fn arrive(&mut self, now: Instant, call: CallId, arrival: Arrival) -> Vec<Outcome> {
        match self {
            Station::Plain {
                slots,
                places,
                running,
                waiting,
            } => {
                if *running < *slots {
                    *running += 1;
                    return vec![Outcome::Run(call)];
                }
                if waiting.len() >= *places {
                    return vec![Outcome::Refuse(call)];
                }
                waiting.push_back(call);
                Vec::new()
            }
            Station::Managed {
                admission,
                calls,
                tickets,
            } => {
                let (verdict, effects) = admission.arrive(now, arrival);
                let mut outcomes = translate(effects, calls, tickets);
                match verdict {
                    Verdict::Run(ticket) | Verdict::Wait(ticket) => {
                        calls.insert(ticket, call);
                        tickets.insert(call, ticket);
                        if matches!(verdict, Verdict::Run(_)) {
                            outcomes.push(Outcome::Run(call));
                        }
                    }
                    Verdict::Refuse(_) => outcomes.push(Outcome::Refuse(call)),
                }
                outcomes
            }
        }
    }

    /// A call that ran has ended, or one that waits or runs is cancelled.
    pub(crate) fn finish(&mut self, now: Instant, call: CallId, how: Completion) -> Vec<Outcome> {
        match self {
            Station::Plain {
                running, waiting, ..
            } => {
                if let Some(at) = waiting.iter().position(|waits| *waits == call) {
                    waiting.remove(at);
                    return Vec::new();
                }
                match waiting.pop_front() {
                    Some(next) => vec![Outcome::Run(next)],
                    None => {
                        *running -= 1;
                        Vec::new()
                    }
                }
            }
            Station::Managed {
                admission,
                calls,
                tickets,
            } => {
                let Some(ticket) = tickets.remove(&call) else {
                    return Vec::new();
                };
                calls.remove(&ticket);
                let effects = match how {
                    Completion::Failed => admission.cancel(now, ticket),
                    how => admission.finish(now, ticket, how),
                };
                translate(effects, calls, tickets)
            }
        }
    }

    /// Time passes.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Outcome> {
        match self {
            Station::Plain { .. } => Vec::new(),
            Station::Managed {
                admission,
                calls,
                tickets,
            } => translate(admission.tick(now), calls, tickets),
        }
    }

    /// When to call [`Station::tick`] next.
    pub(crate) fn next_tick(&self, now: Instant) -> Option<Instant> {
        match self {
            Station::Plain { .. } => None,
            Station::Managed { admission, .. } => admission.next_tick(now),
        }
    }

    /// The load that it reports on answers.
    pub(crate) fn load(&self, now: Instant) -> Load {
        match self {
            Station::Plain {
                slots,
                running,
                waiting,
                ..
            } => Load {
                in_flight: *running as u32,
                limit: *slots as u32,
                queued: waiting.len() as u32,
                service_time: Duration::ZERO,
                incarnation: 0,
            },
            Station::Managed { admission, .. } => admission.load(now),
        }
    }
}

fn translate(
    effects: Vec<Effect>,
    calls: &mut HashMap<Ticket, CallId>,
    tickets: &mut HashMap<CallId, Ticket>,
) -> Vec<Outcome> {
    let mut outcomes = Vec::with_capacity(effects.len());
    for effect in effects {
        match effect {
            Effect::Run(ticket) => {
                outcomes.extend(calls.get(&ticket).map(|call| Outcome::Run(*call)))
            }
            Effect::Refuse(ticket, _) | Effect::Preempt(ticket, _) => {
                if let Some(call) = calls.remove(&ticket) {
                    tickets.remove(&call);
                    outcomes.push(Outcome::Refuse(call));
                }
            }
        }
    }
    outcomes
}
