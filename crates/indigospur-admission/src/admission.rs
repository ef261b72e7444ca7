//! Who runs, who waits and who is shed at one backend server.

use crate::effect::{Arrival, Effect, Finish, Refused, Ticket, Verdict};
use crate::estimate::Mean;
use crate::limit::{Limit, LimitPolicy};
use crate::line::Line;
use indigospur_protocol::{Class, Kind, Load};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Shortest time to come back after a refusal.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time to come back after a refusal.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Service times that must be left for a waiting call to be worth starting in its turn.
const URGENT: u32 = 2;
/// Least time before its deadline at which a waiting call is urgent.
const URGENT_FLOOR: Duration = Duration::from_millis(5);

/// Settings of the admission to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How the limit follows what calls show.
    pub policy: LimitPolicy,
    /// Announced slots.
    pub slots: u32,
    /// Time in which a backend server that starts cold gets its full limit; zero if it is warm.
    pub ramp: Duration,
    /// Longest time a call should wait, at the rate at which calls finish.
    pub target_wait: Duration,
    /// Most waiting calls, whatever the rate.
    pub places: usize,
    /// Start of the sequence that spreads the times to come back.
    pub seed: u64,
    /// Running calls are cancelled for more important ones.
    pub preempts: bool,
    /// Share of the slots that is used, in percent: some backend servers turn slow when full.
    pub fill: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            policy: LimitPolicy::Aimd,
            slots: 1,
            ramp: Duration::ZERO,
            target_wait: Duration::from_millis(500),
            places: 4_096,
            seed: 1,
            preempts: true,
            fill: 100,
        }
    }
}

impl Options {
    /// The slots that are used of those announced; at least one.
    fn used(&self, slots: u32) -> u32 {
        let used = u64::from(slots) * u64::from(self.fill) / 100;
        u32::try_from(used).unwrap_or(slots).max(1)
    }
}

/// A call that runs.
#[derive(Clone, Debug)]
struct Running {
    arrival: Arrival,
    started: Instant,
    charged: Duration,
}

/// Admission to one backend server.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limit: Limit,
    line: Line,
    running: BTreeMap<Ticket, Running>,
    /// Running calls, the least important last.
    order: BTreeSet<(Class, Ticket)>,
    service: Mean,
    next: Ticket,
    spread: u64,
    draining: bool,
}

impl Admission {
    /// Admission to a backend server that announced itself at `now`.
    pub fn new(options: Options, now: Instant) -> Admission {
        Admission {
            options,
            limit: Limit::new(
                options.policy,
                options.used(options.slots),
                now,
                options.ramp,
            ),
            line: Line::default(),
            running: BTreeMap::new(),
            order: BTreeSet::new(),
            service: Mean::default(),
            next: 1,
            spread: options.seed,
            draining: false,
        }
    }

    /// Takes over another number of announced slots.
    pub fn set_slots(&mut self, now: Instant, slots: u32) -> Vec<Effect> {
        self.options.slots = slots;
        self.limit.set_slots(self.options.used(slots));
        self.fill(now)
    }

    /// Takes over other settings, but for the slots, the policy and the ramp of this backend server.
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

    /// Takes no new work from now on; what waits is still served.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Calls that run or wait.
    pub fn busy(&self) -> usize {
        self.running.len() + self.line.len()
    }

    /// The load as it is reported on answers.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            in_flight: self.running.len() as u32,
            limit: self.limit.get(now),
            queued: self.line.len() as u32,
            service_time: self.service.get(),
            incarnation: 0,
        }
    }

    /// Decides on a call that arrives, and on others that it displaces.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival) -> (Verdict, Vec<Effect>) {
        if self.draining {
            return (self.refuse(now, Kind::Draining), Vec::new());
        }
        if arrival.deadline <= now {
            return (self.refuse(now, Kind::DeadlineUnreachable), Vec::new());
        }
        let ticket = self.next;
        self.next += 1;
        if self.line.len() == 0 && self.free(now) {
            self.start(now, ticket, arrival);
            return (Verdict::Run(ticket), Vec::new());
        }
        if self.is_hopeless(now, &arrival) {
            return (self.refuse(now, Kind::DeadlineUnreachable), Vec::new());
        }
        self.queue(now, ticket, arrival)
    }

    /// A call that ran has ended.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, how: Finish) -> Vec<Effect> {
        self.release(now, ticket, how);
        self.fill(now)
    }

    /// The caller of a waiting or running call went away.
    pub fn leave(&mut self, now: Instant, ticket: Ticket) -> Vec<Effect> {
        if self.line.remove(ticket).is_some() {
            return Vec::new();
        }
        self.finish(now, ticket, Finish::Failed)
    }

    /// Ends waiting calls whose deadline has passed, and makes room for important ones whose
    /// deadline is near.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = self.rescue(now);
        while let Some((class, ticket)) = self.expired(now) {
            self.line.remove(ticket);
            effects.push(Effect::Refuse(
                ticket,
                self.refused(now, Kind::DeadlineWaiting),
            ));
            self.shed_less_important(now, class, &mut effects);
        }
        effects.extend(self.fill(now));
        effects
    }

    /// When [`Admission::tick`] should next be called.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let times = self.line.earliest().map(|(class, deadline, _)| {
            if self.can_preempt(class) {
                self.urgent_from(deadline).max(now)
            } else {
                deadline
            }
        });
        times.min()
    }

    fn urgent_from(&self, deadline: Instant) -> Instant {
        let ahead = (self.service.get() * URGENT).max(URGENT_FLOOR);
        deadline.checked_sub(ahead).unwrap_or(deadline)
    }

    fn can_preempt(&self, class: Class) -> bool {
        self.worst_running().is_some_and(|(worst, _)| worst > class)
    }

    fn expired(&self, now: Instant) -> Option<(Class, Ticket)> {
        let expired = self
            .line
            .earliest()
            .find(|(_, deadline, _)| *deadline <= now);
        expired.map(|(class, _, ticket)| (class, ticket))
    }

    /// Starts calls whose deadline is near in the place of less important ones.
    fn rescue(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((class, ticket)) = self.endangered(now) {
            self.preempt_for(now, class, &mut effects);
            if let Some(arrival) = self.line.remove(ticket) {
                self.start(now, ticket, arrival);
                effects.push(Effect::Run(ticket));
            }
        }
        effects
    }

    fn endangered(&self, now: Instant) -> Option<(Class, Ticket)> {
        let mut calls = self
            .line
            .earliest()
            .filter(|(_, deadline, _)| *deadline > now);
        let found = calls.find(|(class, deadline, _)| {
            self.can_preempt(*class) && self.urgent_from(*deadline) <= now
        });
        found.map(|(class, _, ticket)| (class, ticket))
    }

    /// Sheds what is less important than a call that was shed.
    fn shed_less_important(&mut self, now: Instant, class: Class, effects: &mut Vec<Effect>) {
        for ticket in self.line.less_important(class) {
            self.line.remove(ticket);
            effects.push(Effect::Refuse(ticket, self.refused(now, Kind::Overloaded)));
        }
    }

    fn free(&self, now: Instant) -> bool {
        (self.running.len() as u32) < self.limit.get(now)
    }

    /// Whether the call could not finish in time even if everything went as usual.
    ///
    /// A call that a lesser one holds up is never hopeless: the lesser one gives way.
    fn is_hopeless(&self, now: Instant, arrival: &Arrival) -> bool {
        if arrival.waits || self.is_held_up(arrival.class) {
            return false;
        }
        let wait = self.expected_wait(now, arrival.class);
        now + wait + self.service.get() > arrival.deadline
    }

    fn expected_wait(&self, now: Instant, class: Class) -> Duration {
        let ahead = self.line.ahead_of(class) as u32;
        self.service.get() * ahead / self.limit.get(now)
    }

    fn is_held_up(&self, class: Class) -> bool {
        let waits = self.line.worst_class().is_some_and(|worst| worst > class);
        waits || self.can_preempt(class)
    }

    /// The running call that gives way first, if any does.
    fn worst_running(&self) -> Option<(Class, Ticket)> {
        self.order.last().copied().filter(|_| self.options.preempts)
    }

    fn queue(&mut self, now: Instant, ticket: Ticket, arrival: Arrival) -> (Verdict, Vec<Effect>) {
        let class = arrival.class;
        self.line.push(ticket, arrival);
        let mut effects = self.rescue(now);
        effects.extend(self.fill(now));
        while self.line.len() > self.places(now) {
            let Some(worst) = self.line.worst() else {
                break;
            };
            let Some(victim) = self.line.get(worst).map(|call| call.class) else {
                break;
            };
            if self.preempt_for(now, victim, &mut effects) {
                effects.extend(self.fill(now));
                continue;
            }
            self.line.remove(worst);
            let kind = if victim > class {
                Kind::Overloaded
            } else {
                Kind::OverShare
            };
            effects.push(Effect::Refuse(worst, self.refused(now, kind)));
        }
        Self::own_verdict(ticket, effects)
    }

    /// Splits what happened to `ticket` itself from what happened to others.
    fn own_verdict(ticket: Ticket, mut effects: Vec<Effect>) -> (Verdict, Vec<Effect>) {
        let own = effects.iter().position(|effect| match effect {
            Effect::Run(other) | Effect::Refuse(other, _) => *other == ticket,
            Effect::Preempt(..) => false,
        });
        let verdict = match own.map(|index| effects.remove(index)) {
            Some(Effect::Run(_)) => Verdict::Run(ticket),
            Some(Effect::Refuse(_, refused)) => Verdict::Refuse(refused),
            _ => Verdict::Wait(ticket),
        };
        (verdict, effects)
    }

    /// Places in the queue: what finishes within the target wait, and never fewer than slots.
    fn places(&self, now: Instant) -> usize {
        let limit = self.limit.get(now) as usize;
        let service = self.service.get().as_nanos().max(1);
        let by_rate = self.options.target_wait.as_nanos() * limit as u128 / service;
        let by_rate = usize::try_from(by_rate).unwrap_or(usize::MAX);
        by_rate.max(limit).min(self.options.places)
    }

    /// Cancels a running call that is less important than `class`; false if there is none.
    fn preempt_for(&mut self, now: Instant, class: Class, effects: &mut Vec<Effect>) -> bool {
        let Some((worst, ticket)) = self.worst_running() else {
            return false;
        };
        if worst <= class {
            return false;
        }
        self.release(now, ticket, Finish::Failed);
        effects.push(Effect::Preempt(ticket, self.refused(now, Kind::Overloaded)));
        self.shed_less_important(now, worst, effects);
        true
    }

    /// Gives free slots to waiting calls.
    fn fill(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.free(now) {
            let Some((ticket, arrival)) = self.line.pop() else {
                break;
            };
            if arrival.deadline <= now {
                effects.push(Effect::Refuse(
                    ticket,
                    self.refused(now, Kind::DeadlineWaiting),
                ));
            } else if now + self.service.get() > arrival.deadline && !self.is_held_up(arrival.class)
            {
                effects.push(Effect::Refuse(
                    ticket,
                    self.refused(now, Kind::DeadlineUnreachable),
                ));
            } else {
                self.start(now, ticket, arrival);
                effects.push(Effect::Run(ticket));
            }
        }
        effects
    }

    fn start(&mut self, now: Instant, ticket: Ticket, arrival: Arrival) {
        let charged = self.service.get();
        self.line.charge(&arrival, charged);
        self.order.insert((arrival.class, ticket));
        self.running.insert(
            ticket,
            Running {
                arrival,
                started: now,
                charged,
            },
        );
    }

    fn release(&mut self, now: Instant, ticket: Ticket, how: Finish) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let Running {
            arrival,
            started,
            charged,
        } = running;
        self.order.remove(&(arrival.class, ticket));
        let took = now.saturating_duration_since(started);
        if how == Finish::Answered {
            self.service.add(took);
        }
        self.limit.finish(now, took, how);
        self.line.correct(
            arrival.class,
            &arrival.customer,
            arrival.share,
            charged,
            took,
        );
    }

    fn refuse(&mut self, now: Instant, kind: Kind) -> Verdict {
        Verdict::Refuse(self.refused(now, kind))
    }

    /// A refusal whose time to come back follows the drain rate, spread so that callers do not
    /// return together.
    fn refused(&mut self, now: Instant, kind: Kind) -> Refused {
        let drain = self.expected_wait(now, Class::MAX);
        let base = drain.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER / 2);
        Refused {
            kind,
            retry_after: base + base.mul_f64(self.next_spread()),
        }
    }

    /// The next number of a sequence in 0..1.
    fn next_spread(&mut self) -> f64 {
        const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
        self.spread = self.spread.wrapping_add(GOLDEN);
        self.spread as f64 / u64::MAX as f64
    }
}
