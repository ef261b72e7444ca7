//! The simulated load: kinds of request whose calls go to one deep service, the daemons that admit,
//! send and retry, and callers that come back.

use crate::bound::Arrivals;
use crate::kinds::{Outcome, Policy, RequestKind, Tally};
use indigospur_admission::{IngressAdmission, IngressRequest, Pressures};
use indigospur_budget::{Credit, RatioOptions, RetryRatio, WindowOptions};
use indigospur_protocol::{Pressure, Rank, RetryOrder, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub(crate) const SERVICE: &str = "accounts";
/// Daemons that the rates of the kinds are for.
const FULL_SIZE: usize = 80;
pub(crate) const UPSTREAMS: usize = 5;
/// Share of its arrivals that a shedding upstream refuses unless another is set.
const REFUSED_SHARE: f64 = 0.55;
/// Time in which upstreams shed unless another is set, in milliseconds.
const FAULT_MILLIS: std::ops::Range<u64> = 12_000..20_500;
/// Time for which the load goes on after the fault, in milliseconds.
const AFTER_MILLIS: u64 = 11_500;
/// Time for which callers wait, over all of their attempts.
const CALLER_TIME: Duration = Duration::from_secs(5);
pub(crate) const CALL_DEADLINE: Duration = Duration::from_millis(700);
pub(crate) const WORK: Duration = Duration::from_millis(86);
/// Time of a message between two daemons, in microseconds.
pub(crate) const HOP_MICROS: u64 = 700;
/// Retries beyond the share of first sends that all daemons of the full size may make together.
const FLEET_SLACK: f64 = 100.0;
/// Retry credit of a request.
const CREDIT: u32 = 3;
/// Refusals by upstreams after which a call is sent again without credit: with the bucket, and with
/// the window.
pub(crate) const FREE_SHEDS: u32 = 2;
pub(crate) const WINDOW_SHEDS: u32 = 64;

pub(crate) struct Daemon {
    pub(crate) ratio: RetryRatio,
    pub(crate) ingress: IngressAdmission,
    pub(crate) pressures: Pressures,
}

pub(crate) struct Branch {
    pub(crate) daemon: usize,
    pub(crate) calls_left: u32,
    pub(crate) credit: Credit,
    pub(crate) free_sheds: u32,
    pub(crate) deadline: Instant,
    pub(crate) tried: Vec<usize>,
}

pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) ingress: usize,
    pub(crate) first: u64,
    /// Number of times that the caller has sent it before.
    pub(crate) attempt: u32,
    pub(crate) rank: Rank,
    pub(crate) order: RetryOrder,
    /// Whether an earlier sending was let in.
    pub(crate) was_let_in: bool,
    pub(crate) credit: Credit,
    pub(crate) branches: Vec<Branch>,
    pub(crate) ran: u32,
    pub(crate) failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    Shed(usize, usize),
    Answered(usize, usize),
}

pub(crate) struct Simulation {
    pub(crate) policy: Policy,
    /// Time in which upstreams shed, in milliseconds.
    pub(crate) fault: std::ops::Range<u64>,
    /// Share of its arrivals that an upstream refuses in that time.
    pub(crate) refused_share: f64,
    /// Daemons that make the calls of requests of several calls; all daemons make those of one call.
    pub(crate) heavy: usize,
    pub(crate) start: Instant,
    pub(crate) micros: u64,
    pub(crate) rng: SmallRng,
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) requests: Vec<Request>,
    /// Events by time in microseconds; the second number keeps their order.
    pub(crate) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(crate) scheduled: u64,
    pub(crate) outcome: Outcome,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        daemon_count: usize,
        kinds: &[RequestKind],
        policy: Policy,
    ) -> Simulation {
        let start = Instant::now();
        let window = WindowOptions {
            length: Duration::from_secs(10),
            slack: FLEET_SLACK / FULL_SIZE as f64,
        };
        let options = RatioOptions {
            percent: 16,
            capacity: 1.0,
            window: (policy != Policy::Bucket).then_some(window),
        };
        let daemons = (0..daemon_count).map(|index| {
            let mut ingress = IngressAdmission::new(index as u64);
            for kind in kinds {
                let calls = kind.branches as u32 * kind.calls;
                let work = Work {
                    service: SERVICE.into(),
                    time: WORK * calls,
                    calls,
                };
                ingress.record_work(&kind.rule.into(), std::slice::from_ref(&work));
                if policy >= Policy::Ingress {
                    ingress.record_calls(&kind.rule.into(), &[work]);
                }
            }
            Daemon {
                ratio: RetryRatio::new(start, options),
                ingress,
                pressures: Pressures::default(),
            }
        });
        Simulation {
            policy,
            fault: FAULT_MILLIS,
            refused_share: REFUSED_SHARE,
            heavy: daemon_count,
            start,
            micros: 0,
            rng: SmallRng::seed_from_u64(seed),
            kinds: kinds.to_vec(),
            daemons: daemons.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            outcome: Outcome {
                kinds: kinds.to_vec(),
                during: vec![Tally::default(); kinds.len()],
                outside: vec![Tally::default(); kinds.len()],
                arrivals: Arrivals::default(),
                daemons: daemon_count,
            },
        }
    }

    /// Has the upstreams shed at another time.
    pub(crate) fn with_fault(mut self, fault: std::ops::Range<u64>) -> Simulation {
        self.fault = fault;
        self
    }

    /// Has the upstreams refuse another share of their arrivals.
    pub(crate) fn with_refused_share(mut self, share: f64) -> Simulation {
        self.refused_share = share;
        self
    }

    /// Has the first `heavy` daemons make the calls of all requests of several calls.
    pub(crate) fn with_heavy(mut self, heavy: usize) -> Simulation {
        self.heavy = heavy;
        self
    }

    pub(crate) fn run(mut self) -> Outcome {
        let scale = self.daemons.len() as f64 / FULL_SIZE as f64;
        for millis in 0..self.fault.end + AFTER_MILLIS {
            for kind in 0..self.kinds.len() {
                let mean = self.kinds[kind].rate * scale / 1_000.0;
                let count = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
                for _ in 0..count {
                    let ingress = self.rng.random_range(0..self.daemons.len());
                    let at = millis * 1_000 + self.rng.random_range(0..1_000);
                    let rank = self.random_rank();
                    let request = self.request(kind, ingress, at, rank);
                    self.schedule(at, Event::Arrive(request));
                    self.tally(request, |tally| tally.offered += 1);
                }
            }
            self.process_until((millis + 1) * 1_000);
        }
        self.process_until(u64::MAX);
        self.outcome
    }

    /// Adds a request that a caller first sends at the time `first`.
    fn request(&mut self, kind: usize, ingress: usize, first: u64, rank: Rank) -> usize {
        let described = &self.kinds[kind];
        let calls = (described.branches as u64) * u64::from(described.calls);
        let order = match self.policy {
            Policy::Bucket | Policy::Window => 0,
            _ => (u64::from(described.class) << 32) | (u64::from(rank) * calls),
        };
        self.requests.push(Request {
            kind,
            ingress,
            first,
            attempt: 0,
            rank,
            order,
            was_let_in: false,
            credit: Credit::new(CREDIT),
            branches: Vec::new(),
            ran: 0,
            failed: false,
        });
        self.requests.len() - 1
    }

    /// Adds a request that its caller sends again: a new one, with an identifier and thus a rank of its
    /// own.
    pub(crate) fn request_again(&mut self, request: usize, was_let_in: bool) -> usize {
        let Request {
            kind,
            ingress,
            first,
            ..
        } = self.requests[request];
        let rank = self.random_rank();
        let again = self.request(kind, ingress, first, rank);
        let state = &mut self.requests[again];
        state.attempt = 1;
        state.was_let_in = was_let_in;
        again
    }

    fn random_rank(&mut self) -> Rank {
        (1 << 24) + self.rng.random_range(0..1 << 24)
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.micros)
    }

    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn process_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at >= end {
                break;
            }
            self.events.pop();
            self.micros = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Shed(request, branch) => self.handle_shed(request, branch),
                Event::Answered(request, branch) => self.handle_answer(request, branch),
            }
        }
    }

    pub(crate) fn tally(&mut self, request: usize, update: impl FnOnce(&mut Tally)) {
        let state = &self.requests[request];
        let tallies = if self.fault.contains(&(state.first / 1_000)) {
            &mut self.outcome.during
        } else {
            &mut self.outcome.outside
        };
        update(&mut tallies[state.kind]);
    }

    /// Admits a request that a caller sends, or refuses it. A refused caller comes back once.
    fn arrive(&mut self, request: usize) {
        let now = self.now();
        let state = &self.requests[request];
        let kind = self.kinds[state.kind];
        let rule: Arc<str> = kind.rule.into();
        let sent_before = Duration::from_micros(self.micros - state.first);
        let daemon = &mut self.daemons[state.ingress];
        let ingress_request = IngressRequest {
            rule: &rule,
            class: kind.class,
            rule_class: kind.class,
            rank: state.rank,
            remaining: CALLER_TIME.saturating_sub(sent_before),
            idempotent: kind.idempotent,
        };
        let admitted = daemon
            .ingress
            .admit(now, ingress_request, &daemon.pressures);
        let (attempt, was_let_in) = (state.attempt, state.was_let_in);
        if let Err(refusal) = admitted {
            if attempt == 0 {
                let back = self.request_again(request, was_let_in);
                let at = self.micros + refusal.retry_after.as_micros() as u64;
                self.schedule(at, Event::Arrive(back));
            } else if was_let_in {
                self.tally(request, |tally| tally.failed += 1);
            } else {
                self.tally(request, |tally| tally.refused += 1);
            }
            return;
        }
        let callers = if kind.calls > 1 {
            self.heavy
        } else {
            self.daemons.len()
        };
        for branch in 0..kind.branches {
            let daemon = self.rng.random_range(0..callers);
            self.requests[request].branches.push(Branch {
                daemon,
                calls_left: kind.calls,
                credit: Credit::default(),
                free_sheds: FREE_SHEDS,
                deadline: now,
                tried: Vec::new(),
            });
            self.start_call(request, branch);
        }
    }

    /// Learns the load of the service, as from the reply of one of its upstreams.
    pub(crate) fn observe(&mut self, daemon: usize) {
        let now = self.now();
        let status = (self.policy >= Policy::Ingress)
            .then(|| self.daemons[daemon].ratio.status(now))
            .flatten();
        let report = Pressure {
            service: SERVICE.into(),
            occupied: 40,
            capacity: 100,
            age: Duration::ZERO,
            refused: status.map(|status| (status.refused * 1_000.0).round() as u32),
            cutoff: status.and_then(|status| status.cutoff),
            attempts: status.map_or(0, |status| status.attempts.round() as u32),
            shedding: None,
        };
        self.daemons[daemon].pressures.merge(now, &[report]);
    }
}
