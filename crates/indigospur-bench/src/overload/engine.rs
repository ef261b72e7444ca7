//! The run: events in virtual time.

mod callers;

use super::measure::{Figures, Record};
use super::policy::Policy;
use super::scenario::Scenario;
use super::station::{CallId, Outcome, Station};
use indigospur_admission::{Arrival, Completion};
use indigospur_budget::{Credit, FailedAttempt, RetryOptions, RetryRatio, decide_retry};
use indigospur_protocol::{HostId, Kind, Member, Refusal, State};
use indigospur_routing::{AttemptResult, Criteria, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Customers beside the largest.
const SMALL_CUSTOMERS: usize = 20;
/// Time after which callers give up.
const DEADLINE: Duration = Duration::from_secs(2);
/// Further tries of each hop under the static baseline.
const RETRIES_A_HOP: u32 = 3;
/// Time of a message between two hosts.
const HOP: Duration = Duration::from_millis(1);

type RequestId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request of a caller.
    Ask,
    /// A call reaches its upstream.
    Reach(CallId),
    /// Half of a call's own work is done.
    Worked(CallId),
    /// A caller gives up.
    GiveUp(RequestId),
    /// A failed request is sent again.
    Resend(RequestId),
    /// A station looks at its queue.
    Tick(usize),
}

/// A customer's request.
struct Asked {
    customer: usize,
    protected: bool,
    rank: u32,
    born: Instant,
    part: usize,
    resends: u32,
    /// The caller still waits.
    open: bool,
    /// Latest attempt at the outermost service.
    root: Option<CallId>,
    work: Duration,
    done: bool,
}

/// One attempt of a call at one upstream.
struct Call {
    request: RequestId,
    service: usize,
    station: usize,
    host: HostId,
    above: Option<CallId>,
    below: Option<CallId>,
    credit: Credit,
    lent: Credit,
    tried: Vec<HostId>,
    tries_left: u32,
    second_half: bool,
    alive: bool,
    running: bool,
    worked: Duration,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    stations: Vec<Station>,
    ticks: Vec<Option<Instant>>,
    /// First station of each service.
    first: Vec<usize>,
    router: Router,
    ratios: Vec<RetryRatio>,
    requests: Vec<Asked>,
    calls: Vec<Call>,
    customers: Vec<Arc<str>>,
    record: Record,
}

/// Runs a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Figures {
    let mut run = Run::new(scenario, policy, seed);
    run.schedule(run.start, Event::Ask);
    let end = run.start + scenario.length();
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        if at > end {
            break;
        }
        run.now = at;
        run.handle(event);
    }
    run.account_waste();
    Figures::new(scenario, &run.record)
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Run<'a> {
        let start = Instant::now();
        let mut router = Router::new("a".into(), "r".into());
        let mut stations = Vec::new();
        let mut first = Vec::new();
        for service in &scenario.services {
            first.push(stations.len());
            for index in 0..service.upstreams {
                router.update(&member(service.name, index, service.slots));
                stations.push(Station::new(
                    policy,
                    service,
                    start,
                    seed + stations.len() as u64,
                ));
            }
        }
        let customers =
            (0..=SMALL_CUSTOMERS).map(|index| format!("customer-{index}").as_str().into());
        Run {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            start,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            ticks: vec![None; stations.len()],
            stations,
            first,
            router,
            ratios: vec![RetryRatio::default(); scenario.services.len()],
            requests: Vec::new(),
            calls: Vec::new(),
            customers: customers.collect(),
            record: Record::new(scenario),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask => self.ask(),
            Event::Reach(call) => self.reach(call),
            Event::Worked(call) => self.worked(call),
            Event::GiveUp(request) => self.give_up(request),
            Event::Resend(request) => self.send(request),
            Event::Tick(station) => {
                self.ticks[station] = None;
                let outcomes = self.stations[station].tick(self.now);
                self.settle(station, outcomes);
            }
        }
    }

    fn in_trigger(&self) -> bool {
        let at = self.now - self.start;
        at >= self.scenario.before && at < self.scenario.before + self.scenario.trigger
    }

    fn part(&self) -> usize {
        let at = self.now - self.start;
        usize::from(at >= self.scenario.before)
            + usize::from(at >= self.scenario.before + self.scenario.trigger)
    }

    /// One attempt of a call, at an upstream that was not tried.
    fn attempt(
        &mut self,
        request: RequestId,
        service: usize,
        above: Option<CallId>,
        mut credit: Credit,
        tried: Vec<HostId>,
        tries_left: u32,
    ) {
        let name = self.scenario.services[service].name;
        let avoid = Criteria {
            service: name,
            avoid: &tried,
        };
        let mut chosen = self.router.choose(self.now, &mut self.rng, avoid);
        if chosen.is_none() && self.policy == Policy::StaticRetries {
            chosen = self.router.choose(
                self.now,
                &mut self.rng,
                Criteria {
                    service: name,
                    avoid: &[],
                },
            );
        }
        let Some(member) = chosen else {
            self.failed_above(request, above);
            return;
        };
        let index: usize = member.incarnation as usize;
        let lent = credit.lend();
        let id = self.calls.len();
        self.calls.push(Call {
            request,
            service,
            station: self.first[service] + index,
            host: member.host,
            above,
            below: None,
            credit,
            lent,
            tried,
            tries_left,
            second_half: false,
            alive: true,
            running: false,
            worked: Duration::ZERO,
        });
        match above {
            Some(above) => self.calls[above].below = Some(id),
            None => self.requests[request].root = Some(id),
        }
        self.record.attempts += 1;
        self.schedule(self.now + HOP, Event::Reach(id));
    }

    fn reach(&mut self, call: CallId) {
        if !self.calls[call].alive {
            return;
        }
        let request = &self.requests[self.calls[call].request];
        let arrival = Arrival {
            class: u8::from(!request.protected),
            rank: request.rank,
            customer: self.customers[request.customer].clone(),
            share: 1,
            deadline: request.born + DEADLINE,
            waits: false,
        };
        let station = self.calls[call].station;
        let outcomes = self.stations[station].arrive(self.now, call, arrival);
        self.settle(station, outcomes);
    }

    fn settle(&mut self, station: usize, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            match outcome {
                Outcome::Run(call) => self.begin(call),
                Outcome::Refuse(call) => self.refused(call),
            }
        }
        let next = self.stations[station].next_tick(self.now);
        if let Some(at) = next
            && self.ticks[station].is_none_or(|known| at < known)
        {
            self.ticks[station] = Some(at);
            self.schedule(at, Event::Tick(station));
        }
    }

    fn begin(&mut self, call: CallId) {
        self.calls[call].running = true;
        self.work_half(call);
    }

    fn work_half(&mut self, call: CallId) {
        let service = self.calls[call].service;
        let mean = self.scenario.services[service].work.as_secs_f64() / 2.0;
        let deepest = service + 1 == self.scenario.services.len();
        let factor = if deepest && self.in_trigger() {
            self.scenario.slowdown
        } else {
            1
        };
        let took = exponential(&mut self.rng, mean) * factor;
        self.calls[call].worked = took;
        self.schedule(self.now + took, Event::Worked(call));
    }

    /// Half of the work is done: then comes the call below, then the other half.
    fn worked(&mut self, call: CallId) {
        let took = self.calls[call].worked;
        let request = self.calls[call].request;
        if !self.calls[call].running {
            return;
        }
        self.record.work += took;
        self.requests[request].work += took;
        let service = self.calls[call].service;
        if self.calls[call].second_half {
            self.finish(call);
            return;
        }
        self.calls[call].second_half = true;
        if service + 1 == self.scenario.services.len() {
            self.work_half(call);
            return;
        }
        self.record.first_attempts += 1;
        self.ratios[service + 1].earn();
        let below = self.calls[call].lent.lend();
        let tries = if self.policy == Policy::StaticRetries {
            RETRIES_A_HOP
        } else {
            0
        };
        self.attempt(request, service + 1, Some(call), below, Vec::new(), tries);
    }

    fn finish(&mut self, call: CallId) {
        self.end_call(call, Completion::Answered, AttemptResult::Replied);
        let left = Credit::new(self.calls[call].credit.left() + self.calls[call].lent.left());
        match self.calls[call].above {
            Some(above) if self.calls[above].running => {
                self.calls[above].lent = Credit::new(self.calls[above].lent.left() + left.left());
                self.work_half(above);
            }
            Some(_) => {}
            None => self.complete(self.calls[call].request),
        }
    }

    fn end_call(&mut self, call: CallId, how: Completion, attempt: AttemptResult) {
        let station = self.calls[call].station;
        self.calls[call].running = false;
        self.calls[call].alive = false;
        let load = self.stations[station].load(self.now);
        let name = self.scenario.services[self.calls[call].service].name;
        let host = self.calls[call].host.clone();
        self.router
            .finish(self.now, name, &host, attempt, Some(load));
        let outcomes = self.stations[station].finish(self.now, call, how);
        self.settle(station, outcomes);
    }

    /// A call was refused or cancelled by its station, which has freed its place already.
    fn refused(&mut self, call: CallId) {
        let ran = self.calls[call].running;
        let below = self.calls[call].below;
        self.calls[call].running = false;
        self.calls[call].alive = false;
        if let Some(below) = below {
            self.cancel(below);
        }
        let station = self.calls[call].station;
        let load = self.stations[station].load(self.now);
        let name = self.scenario.services[self.calls[call].service].name;
        let host = self.calls[call].host.clone();
        self.router
            .finish(self.now, name, &host, AttemptResult::Replied, Some(load));
        self.after_failure(call, !ran);
    }

    /// Tries again where the policy has hope; else tells the call above.
    fn after_failure(&mut self, call: CallId, not_run: bool) {
        let request = self.calls[call].request;
        let service = self.calls[call].service;
        let above = self.calls[call].above;
        let mut tried = self.calls[call].tried.clone();
        tried.push(self.calls[call].host.clone());
        if self.policy == Policy::StaticRetries && self.calls[call].tries_left > 0 {
            let tries = self.calls[call].tries_left - 1;
            self.attempt(request, service, above, Credit::default(), tried, tries);
            return;
        }
        if matches!(self.policy, Policy::Managed(_)) {
            let mut credit =
                Credit::new(self.calls[call].credit.left() + self.calls[call].lent.left());
            let mut refusal = Refusal::new(Kind::Overloaded, "");
            if !not_run {
                refusal.ran = indigospur_protocol::Ran::Unknown;
            }
            let options = RetryOptions {
                idempotent: true,
                remaining: (self.requests[request].born + DEADLINE)
                    .saturating_duration_since(self.now),
                expected: self.scenario.services[service].work,
                free_failovers: 0,
                free_sheds: 0,
                class: 0,
            };
            let attempted = FailedAttempt {
                refusal: &refusal,
                retried: false,
            };
            if decide_retry(options, attempted, &mut credit, &mut self.ratios[service]).is_ok() {
                self.attempt(request, service, above, credit, tried, 0);
                return;
            }
        }
        self.failed_above(request, above);
    }

    fn failed_above(&mut self, request: RequestId, above: Option<CallId>) {
        match above {
            Some(above) if self.calls[above].running => {
                self.end_call(above, Completion::Shed, AttemptResult::Replied);
                let (next, service) = (self.calls[above].above, self.calls[above].service);
                if self.policy == Policy::StaticRetries && self.calls[above].tries_left > 0 {
                    let tries = self.calls[above].tries_left - 1;
                    let mut tried = self.calls[above].tried.clone();
                    tried.push(self.calls[above].host.clone());
                    self.attempt(request, service, next, Credit::default(), tried, tries);
                } else {
                    self.failed_above(request, next);
                }
            }
            Some(_) => {}
            None => self.failed(request),
        }
    }

    fn cancel(&mut self, call: CallId) {
        if !self.calls[call].alive {
            return;
        }
        let below = self.calls[call].below;
        self.end_call(call, Completion::Failed, AttemptResult::Abandoned);
        if let Some(below) = below {
            self.cancel(below);
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}

/// The member of an upstream; its incarnation tells its index.
fn member(service: &str, index: usize, slots: u32) -> Member {
    Member {
        host: format!("{service}-{index}").as_str().into(),
        incarnation: index as u64,
        revision: 1,
        address: "".into(),
        data_centre: "a".into(),
        region: "r".into(),
        service: service.into(),
        slots,
        connections: slots * 8,
        state: State::Ready,
        instance: "".into(),
        started_ms: 0,
        leaving: false,
    }
}
