//! The event loop of the simulation and the path of a call through the chain of services.

mod callers;

use super::measure::{RunStats, RunSummary};
use super::policy::Policy;
use super::scenario::Scenario;
use super::server::{CallId, Outcome, Server};
use indigospur_admission::{Arrival, Completion};
use indigospur_budget::{
    Credit, FailedAttempt, RatioOptions, RetryClaim, RetryOptions, RetryRatio, decide_retry,
};
use indigospur_protocol::{HostId, Kind, Member, Refusal, State};
use indigospur_routing::{AttemptResult, Criteria, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of customers besides the largest, which has index 0.
const SMALL_CUSTOMERS: usize = 20;
/// Time after which a caller gives up its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Retries of each call under [`Policy::StaticRetries`].
const RETRIES_PER_HOP: u32 = 3;
/// Network delay of a call from one host to another.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

type RequestId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A customer makes a new request.
    NewRequest,
    /// A call arrives at its backend server.
    Deliver(CallId),
    /// A running call has spent the first or second half of its service time.
    HalfDone(CallId),
    /// The deadline of a request has passed.
    Timeout(RequestId),
    /// The caller resends a failed request.
    Resend(RequestId),
    /// A backend server's admission is due for its periodic work.
    Tick(usize),
}

/// A customer's request to the outermost service.
struct Request {
    customer: usize,
    protected: bool,
    /// Shed order within the customer's requests.
    rank: u32,
    arrived: Instant,
    /// Index of the phase in which the request was made, as in [`RunStats`].
    phase: usize,
    /// Resends that the caller has left.
    resends: u32,
    /// Neither completed, failed nor timed out.
    pending: bool,
    /// Latest attempt at the outermost service.
    root_call: Option<CallId>,
    /// Service time spent on the request so far, in all services.
    work: Duration,
    completed: bool,
}

/// One attempt of a call, at one backend server.
struct Call {
    request: RequestId,
    service: usize,
    server: usize,
    host: HostId,
    /// The call that made this one; `None` at the outermost service.
    parent: Option<CallId>,
    /// Latest attempt at the next service.
    child: Option<CallId>,
    /// Credit kept to retry this call.
    credit: Credit,
    /// Credit lent to the backend server, for the calls that it makes.
    lent: Credit,
    /// Hosts at which earlier attempts of the call failed.
    tried: Vec<HostId>,
    /// Retries left under [`Policy::StaticRetries`].
    retries_left: u32,
    /// The first half of the service time is spent.
    second_half: bool,
    /// Neither ended, refused nor cancelled.
    alive: bool,
    running: bool,
    /// Service time of the current half.
    half_duration: Duration,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    start: Instant,
    now: Instant,
    /// Pending events, the earliest first; events of one instant in the order of scheduling.
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    /// Number of events scheduled so far.
    sequence: u64,
    servers: Vec<Server>,
    /// Time of the next scheduled [`Event::Tick`] of each server.
    next_ticks: Vec<Option<Instant>>,
    /// Index in `servers` of the first server of each service.
    first_server: Vec<usize>,
    /// One router, shared by all callers.
    router: Router,
    /// Retry ratio of the calls to each service.
    retry_ratios: Vec<RetryRatio>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    customers: Vec<Arc<str>>,
    stats: RunStats,
}

/// Simulates a scenario under a policy, in virtual time. `seed` is for arrivals, service times,
/// routing and admission.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> RunSummary {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.schedule(simulation.start, Event::NewRequest);
    let end = simulation.start + scenario.total_duration();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle_event(event);
    }
    simulation.sum_wasted_work();
    RunSummary::new(scenario, &simulation.stats)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Simulation<'a> {
        let start = Instant::now();
        let mut router = Router::new("a".into(), "r".into());
        let mut servers = Vec::new();
        let mut first_server = Vec::new();
        for service in &scenario.services {
            first_server.push(servers.len());
            for index in 0..service.upstreams {
                router.update(&member(service.name, index, service.slots));
                servers.push(Server::new(
                    policy,
                    service,
                    start,
                    seed + servers.len() as u64,
                ));
            }
        }
        let customers =
            (0..=SMALL_CUSTOMERS).map(|index| format!("customer-{index}").as_str().into());
        Simulation {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            start,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            next_ticks: vec![None; servers.len()],
            servers,
            first_server,
            router,
            retry_ratios: vec![
                RetryRatio::new(start, RatioOptions::default());
                scenario.services.len()
            ],
            requests: Vec::new(),
            calls: Vec::new(),
            customers: customers.collect(),
            stats: RunStats::new(scenario),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.new_request(),
            Event::Deliver(call) => self.deliver(call),
            Event::HalfDone(call) => self.finish_half(call),
            Event::Timeout(request) => self.time_out(request),
            Event::Resend(request) => self.send(request),
            Event::Tick(server) => {
                self.next_ticks[server] = None;
                let outcomes = self.servers[server].tick(self.now);
                self.apply_outcomes(server, outcomes);
            }
        }
    }

    fn in_trigger(&self) -> bool {
        let at = self.now - self.start;
        at >= self.scenario.before && at < self.scenario.before + self.scenario.trigger
    }

    /// Current phase: 0 before, 1 during and 2 after the trigger.
    fn phase(&self) -> usize {
        let at = self.now - self.start;
        usize::from(at >= self.scenario.before)
            + usize::from(at >= self.scenario.before + self.scenario.trigger)
    }

    /// Sends an attempt of a call to an upstream that was not tried yet. If none can be chosen, the
    /// static baseline chooses among all upstreams, and the other policies fail the call.
    fn start_attempt(
        &mut self,
        request: RequestId,
        service: usize,
        parent: Option<CallId>,
        mut credit: Credit,
        tried: Vec<HostId>,
        retries_left: u32,
    ) {
        let name = self.scenario.services[service].name;
        let criteria = Criteria {
            service: name,
            avoid: &tried,
            remaining: None,
        };
        let mut chosen = self.router.choose(self.now, &mut self.rng, criteria);
        if chosen.is_none() && self.policy == Policy::StaticRetries {
            chosen = self.router.choose(
                self.now,
                &mut self.rng,
                Criteria {
                    service: name,
                    avoid: &[],
                    remaining: None,
                },
            );
        }
        let Some(member) = chosen else {
            self.fail_parent(request, parent);
            return;
        };
        let index: usize = member.incarnation as usize;
        let lent = credit.lend();
        let id = self.calls.len();
        self.calls.push(Call {
            request,
            service,
            server: self.first_server[service] + index,
            host: member.host,
            parent,
            child: None,
            credit,
            lent,
            tried,
            retries_left,
            second_half: false,
            alive: true,
            running: false,
            half_duration: Duration::ZERO,
        });
        match parent {
            Some(parent) => self.calls[parent].child = Some(id),
            None => self.requests[request].root_call = Some(id),
        }
        self.stats.attempts += 1;
        self.schedule(self.now + NETWORK_DELAY, Event::Deliver(id));
    }

    fn deliver(&mut self, call: CallId) {
        if !self.calls[call].alive {
            return;
        }
        let request = &self.requests[self.calls[call].request];
        let arrival = Arrival {
            class: u8::from(!request.protected),
            rank: request.rank,
            customer: self.customers[request.customer].clone(),
            share: 1,
            deadline: request.arrived + REQUEST_TIMEOUT,
            waits: false,
        };
        let server = self.calls[call].server;
        let outcomes = self.servers[server].arrive(self.now, call, arrival);
        self.apply_outcomes(server, outcomes);
    }

    /// Carries out a server's decisions and schedules its next tick.
    fn apply_outcomes(&mut self, server: usize, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            match outcome {
                Outcome::Run(call) => self.start_work(call),
                Outcome::Refuse(call) => self.handle_refusal(call),
            }
        }
        let next = self.servers[server].next_tick(self.now);
        if let Some(at) = next
            && self.next_ticks[server].is_none_or(|scheduled| at < scheduled)
        {
            self.next_ticks[server] = Some(at);
            self.schedule(at, Event::Tick(server));
        }
    }

    fn start_work(&mut self, call: CallId) {
        self.calls[call].running = true;
        self.schedule_half(call);
    }

    /// Draws half of a call's service time and schedules its end.
    fn schedule_half(&mut self, call: CallId) {
        let service = self.calls[call].service;
        let mean = self.scenario.services[service].service_time.as_secs_f64() / 2.0;
        let is_deepest = service + 1 == self.scenario.services.len();
        let factor = if is_deepest && self.in_trigger() {
            self.scenario.slowdown
        } else {
            1
        };
        let duration = exponential(&mut self.rng, mean) * factor;
        self.calls[call].half_duration = duration;
        self.schedule(self.now + duration, Event::HalfDone(call));
    }

    /// Continues a call that has spent half of its service time. After the first half it calls the
    /// next service and waits for the answer; after the second half it is complete.
    fn finish_half(&mut self, call: CallId) {
        let duration = self.calls[call].half_duration;
        let request = self.calls[call].request;
        if !self.calls[call].running {
            return;
        }
        self.stats.work += duration;
        self.requests[request].work += duration;
        let service = self.calls[call].service;
        if self.calls[call].second_half {
            self.complete_call(call);
            return;
        }
        self.calls[call].second_half = true;
        if service + 1 == self.scenario.services.len() {
            self.schedule_half(call);
            return;
        }
        self.stats.first_attempts += 1;
        self.retry_ratios[service + 1].earn(self.now, 0);
        let child_credit = self.calls[call].lent.lend();
        let retries = if self.policy == Policy::StaticRetries {
            RETRIES_PER_HOP
        } else {
            0
        };
        self.start_attempt(
            request,
            service + 1,
            Some(call),
            child_credit,
            Vec::new(),
            retries,
        );
    }

    fn complete_call(&mut self, call: CallId) {
        self.end_call(call, Completion::Answered, AttemptResult::Replied);
        let unspent = Credit::new(self.calls[call].credit.left() + self.calls[call].lent.left());
        match self.calls[call].parent {
            Some(parent) if self.calls[parent].running => {
                self.calls[parent].lent =
                    Credit::new(self.calls[parent].lent.left() + unspent.left());
                self.schedule_half(parent);
            }
            Some(_) => {}
            None => self.complete_request(self.calls[call].request),
        }
    }

    fn end_call(&mut self, call: CallId, completion: Completion, result: AttemptResult) {
        let server = self.calls[call].server;
        self.calls[call].running = false;
        self.calls[call].alive = false;
        let load = self.servers[server].load(self.now);
        let name = self.scenario.services[self.calls[call].service].name;
        let host = self.calls[call].host.clone();
        self.router
            .finish(self.now, name, &host, result, Some(load));
        let outcomes = self.servers[server].finish(self.now, call, completion);
        self.apply_outcomes(server, outcomes);
    }

    /// Handles a call that its server refused or preempted. The server has freed the slot already.
    fn handle_refusal(&mut self, call: CallId) {
        let ran = self.calls[call].running;
        let child = self.calls[call].child;
        self.calls[call].running = false;
        self.calls[call].alive = false;
        if let Some(child) = child {
            self.cancel(child);
        }
        let server = self.calls[call].server;
        let load = self.servers[server].load(self.now);
        let name = self.scenario.services[self.calls[call].service].name;
        let host = self.calls[call].host.clone();
        self.router
            .finish(self.now, name, &host, AttemptResult::Replied, Some(load));
        self.retry_or_fail(call, !ran);
    }

    /// Retries a failed call if the policy allows it, else fails its parent. `not_run` says that
    /// the server refused the call before running it.
    fn retry_or_fail(&mut self, call: CallId, not_run: bool) {
        let request = self.calls[call].request;
        let service = self.calls[call].service;
        let parent = self.calls[call].parent;
        let mut tried = self.calls[call].tried.clone();
        tried.push(self.calls[call].host.clone());
        if self.policy == Policy::StaticRetries && self.calls[call].retries_left > 0 {
            let retries = self.calls[call].retries_left - 1;
            self.start_attempt(request, service, parent, Credit::default(), tried, retries);
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
                remaining: (self.requests[request].arrived + REQUEST_TIMEOUT)
                    .saturating_duration_since(self.now),
                expected: self.scenario.services[service].service_time,
                free_failovers: 0,
                free_sheds: 0,
                claim: RetryClaim::default(),
            };
            let failed_attempt = FailedAttempt {
                refusal: &refusal,
                retried: false,
            };
            if decide_retry(
                self.now,
                options,
                failed_attempt,
                &mut credit,
                &mut self.retry_ratios[service],
            )
            .is_ok()
            {
                self.start_attempt(request, service, parent, credit, tried, 0);
                return;
            }
        }
        self.fail_parent(request, parent);
    }

    /// Fails the call that waits for a failed child call. Under [`Policy::StaticRetries`] the
    /// parent is retried if it has retries left; else the failure propagates up the chain to the
    /// request.
    fn fail_parent(&mut self, request: RequestId, parent: Option<CallId>) {
        match parent {
            Some(parent) if self.calls[parent].running => {
                self.end_call(parent, Completion::Shed, AttemptResult::Replied);
                let (grandparent, service) =
                    (self.calls[parent].parent, self.calls[parent].service);
                if self.policy == Policy::StaticRetries && self.calls[parent].retries_left > 0 {
                    let retries = self.calls[parent].retries_left - 1;
                    let mut tried = self.calls[parent].tried.clone();
                    tried.push(self.calls[parent].host.clone());
                    self.start_attempt(
                        request,
                        service,
                        grandparent,
                        Credit::default(),
                        tried,
                        retries,
                    );
                } else {
                    self.fail_parent(request, grandparent);
                }
            }
            Some(_) => {}
            None => self.fail_request(request),
        }
    }

    /// Cancels a call and its child calls.
    fn cancel(&mut self, call: CallId) {
        if !self.calls[call].alive {
            return;
        }
        let child = self.calls[call].child;
        self.end_call(call, Completion::Failed, AttemptResult::Abandoned);
        if let Some(child) = child {
            self.cancel(child);
        }
    }
}

/// Draws from the exponential distribution with this mean, in seconds.
fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}

/// Creates the member record of an upstream, with its index within the service as incarnation.
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
        rate_limit: None,
    }
}
