//! Cancelling running calls for calls of higher priority.

use crate::admission::Admission;
use crate::effect::{Completion, Effect, Ticket};
use indigospur_protocol::{Class, Kind};
use std::time::{Duration, Instant};

/// A queued call is urgent when its deadline is nearer than this many mean service times.
const URGENT_SERVICE_TIMES: u32 = 2;
/// A queued call is urgent at the latest this long before its deadline.
const MIN_URGENT_MARGIN: Duration = Duration::from_millis(5);

impl Admission {
    /// Time from which a queued call with this deadline is urgent.
    pub(super) fn urgent_from(&self, deadline: Instant) -> Instant {
        let margin = (self.service_time.get() * URGENT_SERVICE_TIMES).max(MIN_URGENT_MARGIN);
        deadline.checked_sub(margin).unwrap_or(deadline)
    }

    pub(super) fn can_preempt(&self, class: Class) -> bool {
        self.preemption_candidate()
            .is_some_and(|(lowest, _)| lowest > class)
    }

    /// Starts urgent calls in the slots of running calls of lower priority.
    pub(super) fn preempt_for_urgent(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((class, ticket)) = self.next_urgent(now) {
            self.preempt_for(now, class, &mut effects);
            if let Some(arrival) = self.queue.remove(ticket) {
                self.start(now, ticket, arrival);
                effects.push(Effect::Run(ticket));
            }
        }
        effects
    }

    fn next_urgent(&self, now: Instant) -> Option<(Class, Ticket)> {
        if self.is_rate_limited(now) {
            return None;
        }
        let mut calls = self
            .queue
            .earliest_deadlines()
            .filter(|(_, deadline, _)| *deadline > now);
        let urgent = calls.find(|(class, deadline, _)| {
            self.can_preempt(*class) && self.urgent_from(*deadline) <= now
        });
        urgent.map(|(class, _, ticket)| (class, ticket))
    }

    /// Sheds all queued calls of lower priority than `class` after a call of `class` was preempted
    /// or expired in the queue, so that no call is refused in favour of one of lower priority.
    pub(super) fn shed_lower_priority(
        &mut self,
        now: Instant,
        class: Class,
        effects: &mut Vec<Effect>,
    ) {
        for ticket in self.queue.lower_priority(class) {
            self.queue.remove(ticket);
            effects.push(Effect::Refuse(ticket, self.refusal(now, Kind::Overloaded)));
        }
    }

    /// The running call to preempt first; `None` if preemption is off.
    fn preemption_candidate(&self) -> Option<(Class, Ticket)> {
        self.preemption_order
            .last()
            .copied()
            .filter(|_| self.options.preempts)
    }

    /// Cancels a running call of lower priority than `class`; false if there is none.
    pub(super) fn preempt_for(
        &mut self,
        now: Instant,
        class: Class,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some((lowest, ticket)) = self.preemption_candidate() else {
            return false;
        };
        if lowest <= class {
            return false;
        }
        self.release(now, ticket, Completion::Failed);
        effects.push(Effect::Preempt(ticket, self.refusal(now, Kind::Overloaded)));
        self.shed_lower_priority(now, lowest, effects);
        true
    }
}
