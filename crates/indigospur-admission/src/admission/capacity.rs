//! How many calls run and wait at a time, and for how long they wait.

use crate::admission::Admission;
use crate::effect::Arrival;
use indigospur_protocol::Class;
use std::time::{Duration, Instant};

impl Admission {
    /// Whether the rate limit allows no call to start now.
    pub(super) fn is_rate_limited(&self, now: Instant) -> bool {
        self.rate_limiter.ready_at(now).is_some()
    }

    pub(super) fn has_free_slot(&self, now: Instant) -> bool {
        (self.running.len() as u32) < self.limit.get(now) && !self.is_rate_limited(now)
    }

    /// Calls that run at a time if slots are the only limit, or calls start at the rate limit.
    pub(super) fn sustained_concurrency(&self, now: Instant) -> u32 {
        let limit = self.limit.get(now);
        let Some(interval) = self.rate_limiter.interval() else {
            return limit;
        };
        let by_rate = self
            .service_time
            .get()
            .as_nanos()
            .div_ceil(interval.as_nanos().max(1));
        limit.min(u32::try_from(by_rate).unwrap_or(u32::MAX).max(1))
    }

    /// Whether the call would miss its deadline at the expected waiting and service times.
    ///
    /// False for a call that can displace one of lower priority, as it need not wait its turn.
    pub(super) fn misses_deadline(&self, now: Instant, arrival: &Arrival) -> bool {
        if arrival.waits || self.can_displace(arrival.class) {
            return false;
        }
        let wait = self.expected_wait(now, arrival.class);
        now + wait + self.service_time.get() > arrival.deadline
    }

    pub(super) fn expected_wait(&self, now: Instant, class: Class) -> Duration {
        let calls_ahead = self.queue.count_ahead(class) as u32;
        let by_slots = self.service_time.get() * calls_ahead / self.limit.get(now);
        by_slots.max(self.rate_limiter.wait(now, calls_ahead))
    }

    /// Calls that may wait: as many as finish within the target wait, but at least the concurrency
    /// limit, and at most the configured bound, which takes precedence. Under a rate limit, at most
    /// as many as start within the target wait.
    pub(super) fn queue_capacity(&self, now: Instant) -> usize {
        let limit = self.limit.get(now) as usize;
        let service_time = self.service_time.get().as_nanos().max(1);
        let finished_in_target = self.options.target_wait.as_nanos() * limit as u128 / service_time;
        let finished_in_target = usize::try_from(finished_in_target).unwrap_or(usize::MAX);
        let capacity = finished_in_target.max(limit).min(self.options.max_queued);
        match self.rate_limiter.interval() {
            None => capacity,
            Some(interval) => {
                let started = self.options.target_wait.div_duration_f64(interval).round();
                capacity.min(started as usize)
            }
        }
    }
}
