//! The simulated load: kinds of request whose calls go to one deep service, the daemons that admit,
//! send and retry, and callers that come back.

use crate::bound::Arrivals;
use indigospur_admission::{IngressAdmission, IngressRequest, Pressures};
use indigospur_budget::{
    Credit, FailedAttempt, RatioOptions, RetryClaim, RetryOptions, RetryRatio, WindowOptions,
    decide_retry,
};
use indigospur_protocol::{Class, Kind, Pressure, Refusal, RetryOrder, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE: &str = "accounts";
/// Daemons that the rates of the kinds are for.
const FULL_SIZE: usize = 80;
const UPSTREAMS: usize = 5;
const SHED_PROBABILITY: f64 = 0.55;
/// Time in which upstreams shed, in milliseconds.
pub(crate) const FAULT_MILLIS: std::ops::Range<u64> = 12_000..20_500;
const END_MILLIS: u64 = 32_000;
const CALL_DEADLINE: Duration = Duration::from_millis(700);
const WORK: Duration = Duration::from_millis(86);
/// Time of a message between two daemons, in microseconds.
const HOP_MICROS: u64 = 700;
/// Retries beyond the share of first sends that all daemons of the full size may make together.
const FLEET_SLACK: f64 = 100.0;
/// Retry credit of a request.
const CREDIT: u32 = 3;
/// Refusals by upstreams after which a call is sent again without credit: with the bucket, and with
/// the window.
const FREE_SHEDS: u32 = 2;
const WINDOW_SHEDS: u32 = 15;

/// What decides on retries and at entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Policy {
    /// A token bucket for the retries of each daemon.
    Bucket,
    /// The retry window, first come first served.
    Window,
    /// The retries of the window go to whole requests.
    Order,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    pub(crate) rule: &'static str,
    pub(crate) class: Class,
    /// Requests a second at the full size.
    pub(crate) rate: f64,
    /// Concurrent branches, and successive calls in each.
    pub(crate) branches: usize,
    pub(crate) calls: u32,
    /// Whether callers send a failed request again at once, one time.
    pub(crate) resends: bool,
}

/// What became of the requests of a kind that were first sent in one part of the time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u32,
    pub(crate) finished: u32,
    /// Requests that were never let in.
    pub(crate) refused: u32,
    /// Requests that were let in and did not finish.
    pub(crate) failed: u32,
    /// Calls that ran for requests, or runs of them, that failed.
    pub(crate) wasted: u32,
}

/// Result of a simulation: tallies by kind, in the fault and outside of it.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) during: Vec<Tally>,
    pub(crate) outside: Vec<Tally>,
    pub(crate) arrivals: Arrivals,
    /// Number of daemons.
    pub(crate) daemons: usize,
}

struct Daemon {
    ratio: RetryRatio,
    ingress: IngressAdmission,
    pressures: Pressures,
}

struct Branch {
    daemon: usize,
    calls_left: u32,
    credit: Credit,
    free_sheds: u32,
    deadline: Instant,
    tried: Vec<usize>,
}

struct Request {
    kind: usize,
    ingress: usize,
    first: u64,
    /// Number of times that the caller has sent it before.
    attempt: u32,
    order: RetryOrder,
    /// Whether an earlier sending was let in.
    was_let_in: bool,
    credit: Credit,
    branches: Vec<Branch>,
    ran: u32,
    failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Shed(usize, usize),
    Answered(usize, usize),
}

pub(crate) struct Simulation {
    policy: Policy,
    start: Instant,
    micros: u64,
    rng: SmallRng,
    kinds: Vec<RequestKind>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    /// Events by time in microseconds; the second number keeps their order.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    outcome: Outcome,
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
                ingress.record_work(&kind.rule.into(), &[work]);
            }
            Daemon {
                ratio: RetryRatio::new(start, options),
                ingress,
                pressures: Pressures::default(),
            }
        });
        Simulation {
            policy,
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

    pub(crate) fn run(mut self) -> Outcome {
        let scale = self.daemons.len() as f64 / FULL_SIZE as f64;
        for millis in 0..END_MILLIS {
            for kind in 0..self.kinds.len() {
                let mean = self.kinds[kind].rate * scale / 1_000.0;
                let count = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
                for _ in 0..count {
                    let ingress = self.rng.random_range(0..self.daemons.len());
                    let at = millis * 1_000 + self.rng.random_range(0..1_000);
                    let order = self.retry_order(kind);
                    let request = self.request(kind, ingress, at, order);
                    self.schedule(at, Event::Arrive(request));
                    self.tally(request, |tally| tally.offered += 1);
                }
            }
            self.process_until((millis + 1) * 1_000);
        }
        self.process_until(u64::MAX);
        self.outcome
    }

    fn retry_order(&mut self, kind: usize) -> RetryOrder {
        if self.policy < Policy::Order {
            return 0;
        }
        let rank = (1 << 24) + self.rng.random_range(0..1_u64 << 24);
        let kind = &self.kinds[kind];
        let calls = kind.branches as u64 * u64::from(kind.calls);
        (u64::from(kind.class) << 32) | (rank * calls)
    }

    /// Adds a request that a caller first sends at the time `first`.
    fn request(&mut self, kind: usize, ingress: usize, first: u64, order: RetryOrder) -> usize {
        self.requests.push(Request {
            kind,
            ingress,
            first,
            attempt: 0,
            order,
            was_let_in: false,
            credit: Credit::new(CREDIT),
            branches: Vec::new(),
            ran: 0,
            failed: false,
        });
        self.requests.len() - 1
    }

    /// Adds a request that its caller sends again.
    fn request_again(&mut self, request: usize, was_let_in: bool) -> usize {
        let Request {
            kind,
            ingress,
            first,
            order,
            ..
        } = self.requests[request];
        let again = self.request(kind, ingress, first, order);
        let state = &mut self.requests[again];
        state.attempt = 1;
        state.was_let_in = was_let_in;
        state.credit = Credit::new(0);
        again
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.micros)
    }

    fn schedule(&mut self, at: u64, event: Event) {
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

    fn tally(&mut self, request: usize, update: impl FnOnce(&mut Tally)) {
        let state = &self.requests[request];
        let tallies = if FAULT_MILLIS.contains(&(state.first / 1_000)) {
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
        let daemon = &mut self.daemons[state.ingress];
        let ingress_request = IngressRequest {
            rule: &rule,
            class: kind.class,
            objective: Duration::from_millis(1_500),
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
        for branch in 0..kind.branches {
            let daemon = self.rng.random_range(0..self.daemons.len());
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

    fn start_call(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let lent = state.credit.lend();
        let progress = &mut state.branches[branch];
        progress.credit = lent;
        progress.free_sheds = if self.policy < Policy::Order {
            FREE_SHEDS
        } else {
            WINDOW_SHEDS
        };
        progress.deadline = now + CALL_DEADLINE;
        progress.tried.clear();
        let ratio = &mut self.daemons[progress.daemon].ratio;
        if state.attempt > 0 {
            ratio.charge(now);
        } else {
            ratio.earn(now, state.order);
        }
        let is_repeat = state.was_let_in;
        self.send(request, branch, is_repeat);
    }

    fn send(&mut self, request: usize, branch: usize, is_repeat: bool) {
        let progress = &mut self.requests[request].branches[branch];
        if self.policy >= Policy::Order && progress.tried.len() == UPSTREAMS {
            progress.tried.clear();
        }
        let untried: Vec<usize> = (0..UPSTREAMS)
            .filter(|upstream| !progress.tried.contains(upstream))
            .collect();
        progress
            .tried
            .push(untried[self.rng.random_range(0..untried.len())]);
        self.outcome.arrivals.count(self.micros / 1_000, is_repeat);
        let sheds =
            FAULT_MILLIS.contains(&(self.micros / 1_000)) && self.rng.random_bool(SHED_PROBABILITY);
        let hops = self.micros + 2 * HOP_MICROS;
        if sheds {
            self.schedule(hops, Event::Shed(request, branch));
        } else {
            let work = WORK.mul_f64(self.rng.random_range(0.5..1.5));
            let at = hops + work.as_micros() as u64;
            self.schedule(at, Event::Answered(request, branch));
        }
    }

    /// Learns the load of the service, as from the reply of one of its upstreams.
    fn observe(&mut self, daemon: usize) {
        let now = self.now();
        let report = Pressure {
            service: SERVICE.into(),
            occupied: 40,
            capacity: 100,
            age: Duration::ZERO,
        };
        self.daemons[daemon].pressures.merge(now, &[report]);
    }

    fn handle_shed(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let kind = self.kinds[state.kind];
        let progress = &mut state.branches[branch];
        let daemon = progress.daemon;
        let refusal = Refusal::new(Kind::BackendShed, "");
        let options = RetryOptions {
            idempotent: true,
            remaining: progress.deadline.saturating_duration_since(now),
            expected: WORK,
            free_failovers: 0,
            free_sheds: progress.free_sheds,
            claim: RetryClaim {
                class: kind.class,
                order: state.order,
                fleet: None,
            },
        };
        let failed_attempt = FailedAttempt {
            refusal: &refusal,
            retried: false,
        };
        let ratio = &mut self.daemons[daemon].ratio;
        ratio.record(now, true);
        let decision = decide_retry(now, options, failed_attempt, &mut progress.credit, ratio);
        progress.free_sheds = progress.free_sheds.saturating_sub(1);
        let has_untried = self.policy >= Policy::Order || progress.tried.len() < UPSTREAMS;
        self.observe(daemon);
        if decision.is_ok() && has_untried {
            self.send(request, branch, true);
        } else {
            self.fail(request, branch);
        }
    }

    fn handle_answer(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let progress = &mut state.branches[branch];
        let daemon = progress.daemon;
        self.daemons[daemon].ratio.record(now, false);
        if now > progress.deadline {
            self.fail(request, branch);
            return;
        }
        let unused = std::mem::take(&mut progress.credit);
        progress.calls_left -= 1;
        state.ran += 1;
        state.credit.reclaim(unused, unused.left());
        let has_failed = state.failed;
        let has_next = progress.calls_left > 0;
        let is_finished = state.branches.iter().all(|branch| branch.calls_left == 0);
        self.observe(daemon);
        if has_failed {
            self.tally(request, |tally| tally.wasted += 1);
        } else if has_next {
            self.start_call(request, branch);
        } else if is_finished {
            self.reply(request, daemon);
            self.tally(request, |tally| tally.finished += 1);
        }
    }

    /// A request fails with its first failed call, and all calls that ran for it are wasted.
    fn fail(&mut self, request: usize, branch: usize) {
        let daemon = self.requests[request].branches[branch].daemon;
        if std::mem::replace(&mut self.requests[request].failed, true) {
            return;
        }
        self.reply(request, daemon);
        let state = &self.requests[request];
        let ran = state.ran;
        let resends = self.kinds[state.kind].resends && state.attempt == 0;
        self.tally(request, |tally| tally.wasted += ran);
        if resends {
            let again = self.request_again(request, true);
            self.schedule(self.micros + HOP_MICROS, Event::Arrive(again));
        } else {
            self.tally(request, |tally| tally.failed += 1);
        }
    }

    /// The ingress daemon learns what the daemon that made the calls knows.
    fn reply(&mut self, request: usize, daemon: usize) {
        let now = self.now();
        let reports = self.daemons[daemon].pressures.reports(now);
        let ingress = self.requests[request].ingress;
        self.daemons[ingress].pressures.merge(now, &reports);
    }
}
