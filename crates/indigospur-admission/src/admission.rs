//! Decides which calls run, are queued or are shed at one backend server.

mod capacity;
mod preemption;

use crate::effect::{AdmissionRefusal, Arrival, Completion, Effect, Ticket, Verdict};
use crate::ewma::Ewma;
use crate::limit::{Limit, LimitPolicy};
use crate::pace::PaceTracker;
use crate::queue::Queue;
use crate::rate_limiter::RateLimiter;
use indigospur_protocol::{Class, Kind, Load, Pace, Rate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest Retry-After time of a refusal, jitter included.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Settings of the admission to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How the concurrency limit adapts to the outcome of calls.
    pub policy: LimitPolicy,
    /// Slots that the backend server announced: calls that it can run at a time.
    pub slots: u32,
    /// Time over which the limit of a cold backend server rises to its full size; zero if it is
    /// warm.
    pub ramp: Duration,
    /// Target for the longest time in the queue. With the rate at which calls finish it gives the
    /// queue capacity.
    pub target_wait: Duration,
    /// Upper bound of the queue capacity, in calls.
    pub max_queued: usize,
    /// Seed of the jitter of the Retry-After times.
    pub seed: u64,
    /// Whether running calls are cancelled for calls of higher-priority classes.
    pub preempts: bool,
    /// Percentage of the slots that is used. Below 100 for backend servers that slow down when all
    /// their slots are taken.
    pub usable_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            policy: LimitPolicy::Aimd,
            slots: 1,
            ramp: Duration::ZERO,
            target_wait: Duration::from_millis(500),
            max_queued: 4_096,
            seed: 1,
            preempts: true,
            usable_percent: 100,
        }
    }
}

impl Options {
    /// The part of the announced slots that may be used, rounded to the nearest; at least one. Rounded
    /// down, 92 percent of 14 slots would leave a seventh of the slots unused.
    fn usable_slots(&self, slots: u32) -> u32 {
        let usable = (u64::from(slots) * u64::from(self.usable_percent) + 50) / 100;
        u32::try_from(usable).unwrap_or(slots).max(1)
    }
}

/// A running call.
#[derive(Clone, Debug)]
struct Running {
    arrival: Arrival,
    started: Instant,
    /// Expected service time, charged to the customer at the start.
    charged: Duration,
}

/// Admission to one backend server: concurrency limit, rate limit, queue and preemption.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limit: Limit,
    rate_limiter: RateLimiter,
    queue: Queue,
    running: BTreeMap<Ticket, Running>,
    /// Running calls; the last in this order is preempted first.
    preemption_order: BTreeSet<(Class, Ticket)>,
    service_time: Ewma,
    pace: PaceTracker,
    next_ticket: Ticket,
    jitter_state: u64,
    draining: bool,
    /// When the calls that are queued are refused, because the backend server leaves.
    queue_end: Option<Instant>,
}

impl Admission {
    /// Creates the admission of a backend server that announced itself at `now`, when its ramp
    /// starts.
    pub fn new(options: Options, now: Instant) -> Admission {
        Admission {
            options,
            limit: Limit::new(
                options.policy,
                options.usable_slots(options.slots),
                now,
                options.ramp,
            ),
            rate_limiter: RateLimiter::new(now),
            queue: Queue::default(),
            running: BTreeMap::new(),
            preemption_order: BTreeSet::new(),
            service_time: Ewma::default(),
            pace: PaceTracker::default(),
            next_ticket: 1,
            jitter_state: options.seed,
            draining: false,
            queue_end: None,
        }
    }

    /// Changes the number of announced slots; queued calls may start.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<Effect> {
        self.options.slots = slots;
        self.limit.set_slots(self.options.usable_slots(slots));
        self.start_queued(now)
    }

    /// Replaces the settings, except for slots, policy, ramp and seed, which stay as they were
    /// given to [`Admission::new`] or [`Admission::set_slots`].
    pub fn set_options(&mut self, now: Instant, options: Options) -> Vec<Effect> {
        self.options = Options {
            slots: self.options.slots,
            policy: self.options.policy,
            ramp: self.options.ramp,
            seed: self.options.seed,
            ..options
        };
        self.set_slots(now, self.options.slots)
    }

    /// Records the limit on the rate of calls that an answer names, or that it names none; the call
    /// was started at `started`. Queued calls may start, or be shed.
    pub fn observe_rate_limit(
        &mut self,
        now: Instant,
        started: Instant,
        rate: Option<Rate>,
    ) -> Vec<Effect> {
        if rate.is_none() && self.rate_limit().is_none() {
            return Vec::new();
        }
        self.rate_limiter.observe(now, started, rate);
        let mut effects = self.start_queued(now);
        if self.rate_limit().is_some() {
            self.shed_excess(now, Class::MAX, &mut effects);
        }
        effects
    }

    /// The limit in force on the rate of calls; `None` without one.
    pub fn rate_limit(&self) -> Option<Rate> {
        self.rate_limiter.rate()
    }

    /// Records the pace that the backend server tells of its work. It is reported with the load; no
    /// call is refused for it, as a wrong figure would refuse calls that have room.
    pub fn observe_pace(&mut self, now: Instant, pace: Pace) {
        self.pace.observe(now, pace);
    }

    /// Refuses new calls from now on; queued calls are still served.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Refuses new calls from now on, and queued calls that have not started within `timeout`: the backend
    /// server leaves.
    pub fn leave(&mut self, now: Instant, timeout: Duration) {
        self.draining = true;
        self.queue_end.get_or_insert(now + timeout);
    }

    /// Accepts new calls again after [`Admission::drain`] or [`Admission::leave`].
    pub fn resume(&mut self) {
        self.draining = false;
        self.queue_end = None;
    }

    /// Number of running and queued calls.
    pub fn outstanding(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// The load as reported in answers. The incarnation and the residence time are zero: the caller
    /// fills them in.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            in_flight: self.running.len() as u32,
            limit: self.sustained_concurrency(now),
            queued: self.queue.len() as u32,
            service_time: self.service_time.get(),
            pace: self.pace.relative(now),
            paced: self.pace.is_told(),
            ..Load::default()
        }
    }

    /// Decides on a call that arrives. The effects are those on other calls, such as calls that it
    /// displaces.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival) -> (Verdict, Vec<Effect>) {
        if self.draining {
            return (self.refuse(now, Kind::Draining), Vec::new());
        }
        if arrival.deadline <= now {
            return (self.refuse(now, Kind::DeadlineUnreachable), Vec::new());
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if self.queue.len() == 0 && self.has_free_slot(now) {
            self.start(now, ticket, arrival);
            return (Verdict::Run(ticket), Vec::new());
        }
        if self.misses_deadline(now, &arrival) {
            let kind = if self.is_rate_limited(now) {
                Kind::RateLimited
            } else {
                Kind::DeadlineUnreachable
            };
            return (self.refuse(now, kind), Vec::new());
        }
        self.enqueue(now, ticket, arrival)
    }

    /// Frees the slot of a call that ran, and starts queued calls. An unknown ticket frees nothing.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: Completion) -> Vec<Effect> {
        self.release(now, ticket, outcome);
        self.start_queued(now)
    }

    /// Removes a queued or running call that its caller gave up.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Vec<Effect> {
        if self.queue.remove(ticket).is_some() {
            return Vec::new();
        }
        self.finish(now, ticket, Completion::Failed)
    }

    /// Preempts running calls for urgent ones of higher priority, and refuses queued calls whose
    /// deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = self.preempt_for_urgent(now);
        while let Some((class, ticket)) = self.next_expired(now) {
            self.queue.remove(ticket);
            effects.push(Effect::Refuse(
                ticket,
                self.refusal(now, Kind::DeadlineWaiting),
            ));
            self.shed_lower_priority(now, class, &mut effects);
        }
        effects.extend(self.start_queued(now));
        effects
    }

    /// When [`Admission::tick`] should next be called; `None` while the queue is empty.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let ready_at = self.rate_limiter.ready_at(now);
        let wake_times = self.queue.earliest_deadlines().map(|(class, deadline, _)| {
            let at = match ready_at {
                Some(ready_at) => ready_at,
                None if self.can_preempt(class) => self.urgent_from(deadline).max(now),
                None => deadline,
            };
            at.min(deadline)
        });
        let queue_end = self.queue_end.filter(|_| self.queue.len() > 0);
        wake_times.chain(queue_end).min()
    }

    fn next_expired(&self, now: Instant) -> Option<(Class, Ticket)> {
        let expired = self
            .queue
            .earliest_deadlines()
            .find(|(_, deadline, _)| *deadline <= now);
        expired.map(|(class, _, ticket)| (class, ticket))
    }

    /// Whether a call of lower priority than `class` is queued, or runs and can be preempted.
    fn can_displace(&self, class: Class) -> bool {
        let displaces_queued = self
            .queue
            .lowest_class()
            .is_some_and(|lowest| lowest > class);
        displaces_queued || self.can_preempt(class)
    }

    fn enqueue(
        &mut self,
        now: Instant,
        ticket: Ticket,
        arrival: Arrival,
    ) -> (Verdict, Vec<Effect>) {
        let class = arrival.class;
        self.queue.push(ticket, arrival);
        let mut effects = self.preempt_for_urgent(now);
        effects.extend(self.start_queued(now));
        self.shed_excess(now, class, &mut effects);
        Self::split_verdict(ticket, effects)
    }

    /// Sheds queued calls beyond the queue capacity, or cancels running ones for them. `class` is
    /// that of the call for which room is made.
    fn shed_excess(&mut self, now: Instant, class: Class, effects: &mut Vec<Effect>) {
        while self.queue.len() > self.queue_capacity(now) {
            let Some(candidate) = self.queue.shed_candidate() else {
                break;
            };
            let Some(candidate_class) = self.queue.get(candidate).map(|call| call.class) else {
                break;
            };
            if !self.is_rate_limited(now) && self.preempt_for(now, candidate_class, effects) {
                effects.extend(self.start_queued(now));
                continue;
            }
            self.queue.remove(candidate);
            let kind = if self.rate_limit().is_some() {
                Kind::RateLimited
            } else if candidate_class > class {
                Kind::Overloaded
            } else {
                Kind::OverShare
            };
            effects.push(Effect::Refuse(candidate, self.refusal(now, kind)));
        }
    }

    /// Separates the effect on the arriving call `ticket` from those on other calls.
    fn split_verdict(ticket: Ticket, mut effects: Vec<Effect>) -> (Verdict, Vec<Effect>) {
        let own_index = effects.iter().position(|effect| match effect {
            Effect::Run(other) | Effect::Refuse(other, _) => *other == ticket,
            Effect::Preempt(..) => false,
        });
        let verdict = match own_index.map(|index| effects.remove(index)) {
            Some(Effect::Run(_)) => Verdict::Run(ticket),
            Some(Effect::Refuse(_, refused)) => Verdict::Refuse(refused),
            _ => Verdict::Wait(ticket),
        };
        (verdict, effects)
    }

    /// Starts queued calls in free slots, and refuses those that can no longer finish in time.
    fn start_queued(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.queue_end.is_some_and(|end| end <= now) {
            while let Some((ticket, _)) = self.queue.pop() {
                effects.push(Effect::Refuse(ticket, self.refusal(now, Kind::Draining)));
            }
        }
        while self.has_free_slot(now) {
            let Some((ticket, arrival)) = self.queue.pop() else {
                break;
            };
            if arrival.deadline <= now {
                effects.push(Effect::Refuse(
                    ticket,
                    self.refusal(now, Kind::DeadlineWaiting),
                ));
            } else if now + self.service_time.get() > arrival.deadline
                && !self.can_displace(arrival.class)
            {
                effects.push(Effect::Refuse(
                    ticket,
                    self.refusal(now, Kind::DeadlineUnreachable),
                ));
            } else {
                self.start(now, ticket, arrival);
                effects.push(Effect::Run(ticket));
            }
        }
        effects
    }

    fn start(&mut self, now: Instant, ticket: Ticket, arrival: Arrival) {
        let charged = self.service_time.get();
        self.rate_limiter.start(now);
        self.queue.charge(&arrival, charged);
        self.preemption_order.insert((arrival.class, ticket));
        self.running.insert(
            ticket,
            Running {
                arrival,
                started: now,
                charged,
            },
        );
    }

    fn release(&mut self, now: Instant, ticket: Ticket, outcome: Completion) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let Running {
            arrival,
            started,
            charged,
        } = running;
        self.preemption_order.remove(&(arrival.class, ticket));
        let actual = now.saturating_duration_since(started);
        if outcome == Completion::Answered {
            self.service_time.add(actual);
            self.pace.record_call(now);
        }
        self.limit.record(now, actual, outcome);
        self.queue.correct(
            arrival.class,
            &arrival.customer,
            arrival.share,
            charged,
            actual,
        );
    }

    fn refuse(&mut self, now: Instant, kind: Kind) -> Verdict {
        Verdict::Refuse(self.refusal(now, kind))
    }

    /// A refusal with a Retry-After time of one to two times the expected wait in the queue. The jitter
    /// keeps callers from returning all at the same time.
    fn refusal(&mut self, now: Instant, kind: Kind) -> AdmissionRefusal {
        let queue_wait = self.expected_wait(now, Class::MAX);
        let base = queue_wait.min(MAX_RETRY_AFTER / 2);
        AdmissionRefusal {
            kind,
            retry_after: base + base.mul_f64(self.next_jitter()),
        }
    }

    /// The next number of an evenly spread (golden-ratio) sequence in 0..1.
    fn next_jitter(&mut self) -> f64 {
        const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
        self.jitter_state = self.jitter_state.wrapping_add(GOLDEN);
        self.jitter_state as f64 / u64::MAX as f64
    }
}
