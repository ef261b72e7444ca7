//! The limit on the rate of calls that a backend server names in its answers.

use indigospur_protocol::Rate;
use std::time::{Duration, Instant};

/// Lowest rate at which calls are started, in thousandths of a call a second. Only an answer can say
/// that a limit no longer applies.
const MIN_MILLIHERTZ: u64 = 500;
/// Calls that start together at most, as the time in which the limit allows them.
const BURST: Duration = Duration::from_millis(250);

/// Spaces the starts of calls by the limit in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    limit: Option<Limit>,
    /// When the next call would start if all were evenly spaced.
    next: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    /// When an answer last named a limit.
    named: Instant,
}

impl RateLimiter {
    /// A limiter without a limit.
    pub(crate) fn new(now: Instant) -> RateLimiter {
        RateLimiter {
            limit: None,
            next: now,
        }
    }

    /// Records what an answer says of the limit; the call was started at `started`.
    ///
    /// Answers may arrive in another order than they were made. One without a limit counts only if
    /// its call was started after the last answer that named one.
    pub(crate) fn observe(&mut self, now: Instant, started: Instant, rate: Option<Rate>) {
        match rate {
            Some(rate) => {
                self.limit = Some(Limit { rate, named: now });
                // After a change the next call waits no longer than the new limit asks for.
                let spaced = self
                    .interval()
                    .map_or(now, |interval| now + BURST + interval);
                self.next = self.next.min(spaced);
            }
            None if self.limit.is_some_and(|limit| started >= limit.named) => self.limit = None,
            None => {}
        }
    }

    /// The limit in force.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Time between two calls at the limit; `None` without a limit.
    pub(crate) fn interval(&self) -> Option<Duration> {
        let lowest = Rate::from_millihertz(MIN_MILLIHERTZ);
        self.rate().map(|rate| rate.max(lowest).interval())
    }

    /// When the next call may start; `None` if it may start at once.
    pub(crate) fn ready_at(&self, now: Instant) -> Option<Instant> {
        self.limit?;
        let earliest = self.next.checked_sub(BURST).unwrap_or(now);
        (earliest > now).then_some(earliest)
    }

    /// Wait of a call that starts after `ahead` others.
    pub(crate) fn wait(&self, now: Instant, ahead: u32) -> Duration {
        let Some(interval) = self.interval() else {
            return Duration::ZERO;
        };
        let own = self.ready_at(now).unwrap_or(now);
        own.saturating_duration_since(now) + interval.saturating_mul(ahead)
    }

    /// Counts a call that starts.
    pub(crate) fn start(&mut self, now: Instant) {
        if let Some(interval) = self.interval() {
            self.next = self.next.max(now) + interval;
        }
    }
}
