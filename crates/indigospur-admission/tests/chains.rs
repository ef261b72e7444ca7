//! Admission at ingress, in simulated time. One deep service limits the capacity of the
//! whole call graph: two kinds of request, each with four successive calls to a service of three
//! unequal backend servers, a burst beyond its slots, and callers that retry once.

use indigospur_admission::{
    Admission, Arrival, Completion, Effect, IngressAdmission, IngressRequest, LimitPolicy, Options,
    Pressures, Ticket, Verdict,
};
use indigospur_protocol::{Class, Pressure, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MILLI: Duration = Duration::from_millis(1);
const BOTTLENECK: &str = "accounts";
/// Daemons that admit requests.
const DAEMONS: usize = 15;
/// Calls of one request to the bottleneck service.
const CALLS_PER_REQUEST: u32 = 4;
/// Mean service time of a call at a backend server with factor 1.
const CALL_MILLIS: f64 = 55.0;
const SERVICE_TIME_FACTORS: [f64; 3] = [0.7, 0.7, 1.6];
const SLOTS: u32 = 39;
/// Age at which reports on the bottleneck service reach the daemons.
const REPORT_DELAY_MILLIS: usize = 100;
/// Time for which callers wait, over all of their attempts.
const CALLER_TIME: Duration = Duration::from_secs(5);
const BURST_MILLIS: std::ops::Range<u64> = 3_000..18_000;
const END_MILLIS: u64 = 24_000;

/// A kind of request.
struct RequestKind {
    rule: &'static str,
    class: Class,
    /// Requests a second, all daemons together.
    rate: f64,
    timeout: Duration,
}

const REQUEST_KINDS: [RequestKind; 2] = [
    RequestKind {
        rule: "quotes",
        class: 2,
        rate: 236.0,
        timeout: Duration::from_millis(1_200),
    },
    RequestKind {
        rule: "signatures",
        class: 0,
        rate: 91.0,
        timeout: Duration::from_millis(1_500),
    },
];

struct Request {
    kind: usize,
    daemon: usize,
    /// When the caller first sent the request.
    first: Instant,
    deadline: Instant,
    calls_left: u32,
    is_retry: bool,
    /// Slot time used so far.
    slot_time: Duration,
}

/// A simulated backend server of the bottleneck service.
struct BackendServer {
    admission: Admission,
    time_factor: f64,
    /// Index of the request by ticket.
    calls: HashMap<Ticket, usize>,
    /// Service time of the running calls, by end and ticket.
    running: BTreeMap<(Instant, Ticket), Duration>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests answered while their callers waited, by kind.
    served: [u32; 2],
    offered: [u32; 2],
    slot_time: Duration,
    wasted_time: Duration,
}

struct Simulation {
    now: Instant,
    rng: SmallRng,
    servers: Vec<BackendServer>,
    daemons: Vec<IngressAdmission>,
    ingress_enabled: bool,
    /// Maps the class of a request to that of its calls.
    class: fn(Class) -> Class,
    /// Number of backend servers lost, counted from the end of the list.
    lost_servers: usize,
    pressures: Pressures,
    delayed_reports: VecDeque<Pressure>,
    requests: Vec<Request>,
    /// Requests to be retried, by time and identifier: kind, daemon and first sending.
    retries: BTreeMap<(Instant, usize), (usize, usize, Instant)>,
    outcome: Outcome,
}

impl Simulation {
    fn new(seed: u64, ingress_enabled: bool) -> Simulation {
        let class = |class| Arrival::chain_class(class, true);
        let now = Instant::now();
        let options = Options {
            policy: LimitPolicy::Aimd,
            slots: SLOTS,
            preempts: false,
            usable_percent: 92,
            ..Options::default()
        };
        let server = |time_factor| BackendServer {
            admission: Admission::new(options, now),
            time_factor,
            calls: HashMap::new(),
            running: BTreeMap::new(),
        };
        let mut daemons: Vec<IngressAdmission> =
            (0..DAEMONS as u64).map(IngressAdmission::new).collect();
        for daemon in &mut daemons {
            for kind in &REQUEST_KINDS {
                let work = Work {
                    service: BOTTLENECK.into(),
                    time: Duration::from_millis(220),
                    calls: CALLS_PER_REQUEST,
                };
                daemon.record_work(&kind.rule.into(), &[work]);
            }
        }
        Simulation {
            now,
            rng: SmallRng::seed_from_u64(seed),
            servers: SERVICE_TIME_FACTORS.map(server).into(),
            daemons,
            ingress_enabled,
            class,
            lost_servers: 0,
            pressures: Pressures::default(),
            delayed_reports: VecDeque::new(),
            requests: Vec::new(),
            retries: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(self, burst: f64) -> Outcome {
        self.run_with_change(burst, |_| {})
    }

    /// Runs the load with a change at the start of the burst.
    fn run_with_change(mut self, burst: f64, change: impl Fn(&mut Simulation)) -> Outcome {
        for millis in 0..END_MILLIS {
            if millis == BURST_MILLIS.start {
                change(&mut self);
            }
            self.now += MILLI;
            self.report_pressure();
            let factor = if BURST_MILLIS.contains(&millis) {
                burst
            } else {
                0.6
            };
            for (kind, request_kind) in REQUEST_KINDS.iter().enumerate() {
                if self.rng.random_bool(request_kind.rate * factor / 1_000.0) {
                    self.outcome.offered[kind] += 1;
                    let daemon = self.rng.random_range(0..DAEMONS);
                    self.arrive(kind, daemon, self.now, false);
                }
            }
            while let Some((key, (kind, daemon, first))) = self.retries.pop_first() {
                if key.0 > self.now {
                    self.retries.insert(key, (kind, daemon, first));
                    break;
                }
                self.arrive(kind, daemon, first, true);
            }
            self.complete_calls();
        }
        self.outcome
    }

    /// Indexes of the backend servers that take calls.
    fn available(&self) -> std::ops::Range<usize> {
        0..self.servers.len() - self.lost_servers
    }

    /// Reports the load of the bottleneck service to the daemons, with a delay.
    fn report_pressure(&mut self) {
        let loads = self
            .available()
            .map(|i| self.servers[i].admission.load(self.now));
        let (occupied, capacity) = loads.fold((0, 0), |(occupied, capacity), load| {
            (
                occupied + load.in_flight + load.queued,
                capacity + load.limit,
            )
        });
        self.delayed_reports.push_back(Pressure {
            service: BOTTLENECK.into(),
            occupied,
            capacity,
            age: MILLI * REPORT_DELAY_MILLIS as u32,
            refused: None,
            cutoff: None,
            attempts: 0,
            shedding: None,
        });
        if self.delayed_reports.len() > REPORT_DELAY_MILLIS {
            let report = self.delayed_reports.pop_front();
            self.pressures.merge(self.now, report.as_slice());
        }
    }

    fn arrive(&mut self, kind: usize, daemon: usize, first: Instant, is_retry: bool) {
        let RequestKind {
            rule,
            class,
            timeout,
            ..
        } = REQUEST_KINDS[kind];
        let rule: Arc<str> = rule.into();
        let ingress_request = IngressRequest {
            rule: &rule,
            class,
            rule_class: class,
            rank: 1,
            remaining: CALLER_TIME.saturating_sub(self.now - first),
            idempotent: false,
        };
        if self.ingress_enabled
            && let Err(shed) =
                self.daemons[daemon].admit(self.now, ingress_request, &self.pressures)
        {
            if !is_retry {
                let key = (self.now + shed.retry_after, self.requests.len());
                self.retries.insert(key, (kind, daemon, first));
                self.requests.push(Request {
                    kind,
                    daemon,
                    first,
                    deadline: self.now,
                    calls_left: 0,
                    is_retry,
                    slot_time: Duration::ZERO,
                });
            }
            return;
        }
        self.requests.push(Request {
            kind,
            daemon,
            first,
            deadline: self.now + timeout,
            calls_left: CALLS_PER_REQUEST,
            is_retry,
            slot_time: Duration::ZERO,
        });
        self.call(self.requests.len() - 1);
    }

    /// Sends the next call of a request to the backend server with the fewest calls relative to its
    /// limit.
    fn call(&mut self, request: usize) {
        let score = |server: &BackendServer| {
            let load = server.admission.load(self.now);
            u64::from(load.in_flight + load.queued) * 1_000 / u64::from(load.limit)
        };
        let best = self
            .available()
            .min_by_key(|index| score(&self.servers[*index]));
        let index = best.expect("there are backend servers");
        let state = &self.requests[request];
        let arrival = Arrival {
            class: (self.class)(REQUEST_KINDS[state.kind].class),
            rank: 0,
            customer: "anonymous".into(),
            share: 1,
            deadline: state.deadline.min(self.now + Duration::from_millis(700)),
            waits: false,
        };
        let (verdict, effects) = self.servers[index].admission.arrive(self.now, arrival);
        match verdict {
            Verdict::Run(ticket) => {
                self.servers[index].calls.insert(ticket, request);
                self.start(index, ticket);
            }
            Verdict::Wait(ticket) => {
                self.servers[index].calls.insert(ticket, request);
            }
            Verdict::Refuse(_) => self.fail(request),
        }
        self.apply(index, effects);
    }

    fn start(&mut self, index: usize, ticket: Ticket) {
        let work = CALL_MILLIS * self.servers[index].time_factor * self.rng.random_range(0.5..1.5);
        let work = Duration::from_secs_f64(work / 1_000.0);
        self.servers[index]
            .running
            .insert((self.now + work, ticket), work);
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(ticket) => self.start(index, ticket),
                Effect::Refuse(ticket, _) | Effect::Preempt(ticket, _) => {
                    if let Some(request) = self.servers[index].calls.remove(&ticket) {
                        self.fail(request);
                    }
                }
            }
        }
    }

    fn complete_calls(&mut self) {
        for index in 0..self.servers.len() {
            while let Some((&(at, ticket), &work)) = self.servers[index].running.first_key_value() {
                if at > self.now {
                    break;
                }
                self.servers[index].running.pop_first();
                let effects =
                    self.servers[index]
                        .admission
                        .finish(self.now, ticket, Completion::Answered);
                let request = self.servers[index].calls.remove(&ticket);
                self.apply(index, effects);
                if let Some(request) = request {
                    self.outcome.slot_time += work;
                    self.advance(request, work);
                }
            }
            let effects = self.servers[index].admission.tick(self.now);
            self.apply(index, effects);
        }
    }

    fn advance(&mut self, request: usize, work: Duration) {
        let now = self.now;
        let state = &mut self.requests[request];
        state.slot_time += work;
        state.calls_left = state.calls_left.saturating_sub(1);
        if now > state.deadline {
            self.fail(request);
        } else if state.calls_left > 0 {
            self.call(request);
        } else {
            let waits = now.saturating_duration_since(state.first) <= CALLER_TIME;
            self.outcome.served[state.kind] += u32::from(waits);
        }
    }

    /// A request fails with its first refused call, and all work done for it is wasted. Its
    /// caller retries once.
    fn fail(&mut self, request: usize) {
        let state = &self.requests[request];
        self.outcome.wasted_time += state.slot_time;
        if !state.is_retry {
            let key = (self.now + Duration::from_millis(300), request);
            let value = (state.kind, state.daemon, state.first);
            self.retries.insert(key, value);
        }
    }
}

/// Share of the high-priority requests served when two of three backend servers are lost at the
/// start of the burst.
fn high_priority_share_after_loss(class: fn(Class) -> Class) -> f64 {
    const SEEDS: u64 = 5;
    let shares = (0..SEEDS).map(|seed| {
        let mut simulation = Simulation::new(seed, true);
        simulation.class = class;
        let outcome = simulation.run_with_change(2.4, |simulation| simulation.lost_servers = 2);
        f64::from(outcome.served[1]) / f64::from(outcome.offered[1])
    });
    shares.sum::<f64>() / SEEDS as f64
}

/// Mean shares of the requests that were served and of the slot time that was wasted, and the outcome of
/// the last run.
fn mean(burst: f64, ingress_enabled: bool) -> (f64, f64, Outcome) {
    const SEEDS: u64 = 3;
    let mut served = 0.0;
    let mut wasted = 0.0;
    let mut last = Outcome::default();
    for seed in 0..SEEDS {
        last = Simulation::new(seed, ingress_enabled).run(burst);
        let sum = |counts: [u32; 2]| f64::from(counts.iter().sum::<u32>());
        served += sum(last.served) / sum(last.offered);
        wasted += last.wasted_time.as_secs_f64() / last.slot_time.as_secs_f64();
    }
    (served / SEEDS as f64, wasted / SEEDS as f64, last)
}

#[test]
fn refusing_requests_at_ingress_serves_more_of_them_and_wastes_little_work() {
    for burst in [2.0, 2.5] {
        let (without, wasted_without, _) = mean(burst, false);
        let (with, wasted, _) = mean(burst, true);
        assert!(with > without + 0.1, "{burst}: {with:.3} {without:.3}");
        assert!(wasted < 0.03, "{burst}: {wasted:.3} {wasted_without:.3}");
    }
}

#[test]
fn high_priority_requests_are_served_at_least_as_often_as_others() {
    for burst in [2.0, 2.5] {
        let (_, _, last) = mean(burst, true);
        let share = |kind: usize| f64::from(last.served[kind]) / f64::from(last.offered[kind]);
        assert!(share(1) >= share(0) - 0.02, "{burst}: {last:?}");
        assert!(share(1) > 0.9, "{burst}: {last:?}");
    }
}

/// Until the ingress admission has adapted to the loss, the queue of the bottleneck service is
/// full.
#[test]
fn while_admission_adapts_to_a_loss_calls_of_high_priority_requests_go_first() {
    let equal = high_priority_share_after_loss(|_| 0);
    let ordered = high_priority_share_after_loss(|class| Arrival::chain_class(class, true));
    assert!(ordered > equal + 0.1, "{ordered:.3} {equal:.3}");
    assert!(ordered > 0.8, "{ordered:.3} {equal:.3}");
}

#[test]
fn a_load_within_the_slots_is_not_refused() {
    let (served, _, _) = mean(1.0, true);
    assert!(served > 0.98, "{served:.3}");
}

/// A daemon that has just started learns that a service is full before it has measured which rules
/// need it.
#[test]
fn requests_of_a_rule_without_measured_costs_are_refused_only_while_a_service_is_full() {
    let mut now = Instant::now();
    let ingress_request = |rule| IngressRequest {
        rule,
        class: 2,
        rule_class: 2,
        rank: 1,
        remaining: CALLER_TIME,
        idempotent: false,
    };
    let pressure = |occupied| Pressure {
        service: BOTTLENECK.into(),
        occupied,
        capacity: 36,
        age: Duration::ZERO,
        refused: None,
        cutoff: None,
        attempts: 0,
        shedding: None,
    };
    let rule: Arc<str> = "quotes".into();
    let admitted_count = |occupied, now: &mut Instant| {
        let mut daemon = IngressAdmission::new(1);
        let mut pressures = Pressures::default();
        let admit = |_| {
            *now += 10 * MILLI;
            pressures.merge(*now, &[pressure(occupied)]);
            daemon
                .admit(*now, ingress_request(&rule), &pressures)
                .is_ok()
        };
        (0..400).map(admit).filter(|admitted| *admitted).count()
    };
    assert!(admitted_count(140, &mut now) < 200);
    assert_eq!(admitted_count(20, &mut now), 400);
}
