//! A simulated backend server: which calls run, wait in its queue or are refused.

use super::policy::Policy;
use super::scenario::Service;
use indigospur_admission::{Admission, Arrival, Completion, Effect, Options, Ticket, Verdict};
use indigospur_protocol::Load;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Index of a call in the simulation.
pub(crate) type CallId = usize;

/// A decision about a call that the simulation has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The call starts to run.
    Run(CallId),
    /// The call is refused, or preempted by one of higher priority.
    Refuse(CallId),
}

/// One backend server with the admission in front of it.
pub(crate) enum Server {
    /// First come, first served, with a bounded queue.
    Fifo {
        slots: usize,
        queue_capacity: usize,
        running: usize,
        queue: VecDeque<CallId>,
    },
    /// The daemon's admission.
    Managed {
        admission: Box<Admission>,
        calls: HashMap<Ticket, CallId>,
        tickets: HashMap<CallId, Ticket>,
    },
}

impl Server {
    pub(crate) fn new(policy: Policy, service: &Service, now: Instant, seed: u64) -> Server {
        let slots = service.slots as usize;
        match policy {
            Policy::Unmanaged => Server::fifo(slots, service.connections - slots),
            Policy::StaticRetries => Server::fifo(slots, 0),
            Policy::Managed(policy) => {
                let options = Options {
                    policy,
                    slots: service.slots,
                    seed,
                    ..Options::default()
                };
                let admission = Box::new(Admission::new(options, now));
                Server::Managed {
                    admission,
                    calls: HashMap::new(),
                    tickets: HashMap::new(),
                }
            }
        }
    }

    fn fifo(slots: usize, queue_capacity: usize) -> Server {
        Server::Fifo {
            slots,
            queue_capacity,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Runs, queues or refuses an arriving call.
    pub(crate) fn arrive(&mut self, now: Instant, call: CallId, arrival: Arrival) -> Vec<Outcome> {
        match self {
            Server::Fifo {
                slots,
                queue_capacity,
                running,
                queue,
            } => {
                if *running < *slots {
                    *running += 1;
                    return vec![Outcome::Run(call)];
                }
                if queue.len() >= *queue_capacity {
                    return vec![Outcome::Refuse(call)];
                }
                queue.push_back(call);
                Vec::new()
            }
            Server::Managed {
                admission,
                calls,
                tickets,
            } => {
                let (verdict, effects) = admission.arrive(now, arrival);
                let mut outcomes = to_outcomes(effects, calls, tickets);
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

    /// Ends a running call, or cancels a running or queued one (`Completion::Failed`), and starts
    /// queued calls in the free slots.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        call: CallId,
        completion: Completion,
    ) -> Vec<Outcome> {
        match self {
            Server::Fifo { running, queue, .. } => {
                if let Some(index) = queue.iter().position(|other| *other == call) {
                    queue.remove(index);
                    return Vec::new();
                }
                match queue.pop_front() {
                    Some(next) => vec![Outcome::Run(next)],
                    None => {
                        *running -= 1;
                        Vec::new()
                    }
                }
            }
            Server::Managed {
                admission,
                calls,
                tickets,
            } => {
                let Some(ticket) = tickets.remove(&call) else {
                    return Vec::new();
                };
                calls.remove(&ticket);
                let effects = match completion {
                    Completion::Failed => admission.cancel(now, ticket),
                    completion => admission.finish(now, ticket, completion),
                };
                to_outcomes(effects, calls, tickets)
            }
        }
    }

    /// Preempts running calls for urgent ones of higher priority, and refuses queued calls whose
    /// deadline has passed.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Outcome> {
        match self {
            Server::Fifo { .. } => Vec::new(),
            Server::Managed {
                admission,
                calls,
                tickets,
            } => to_outcomes(admission.tick(now), calls, tickets),
        }
    }

    /// Returns when [`Server::tick`] should next be called; `None` if it need not be.
    pub(crate) fn next_tick(&self, now: Instant) -> Option<Instant> {
        match self {
            Server::Fifo { .. } => None,
            Server::Managed { admission, .. } => admission.next_tick(now),
        }
    }

    /// Returns the current load, as reported to routers with each response.
    pub(crate) fn load(&self, now: Instant) -> Load {
        match self {
            Server::Fifo {
                slots,
                running,
                queue,
                ..
            } => Load {
                in_flight: *running as u32,
                limit: *slots as u32,
                queued: queue.len() as u32,
                ..Load::default()
            },
            Server::Managed { admission, .. } => admission.load(now),
        }
    }
}

fn to_outcomes(
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
