//! The time until which a call may run. It passes while the host is suspended too, unlike the clock of
//! `Instant`: a call that waited in a suspended daemon must not run for a caller that has given up.

use indigospur_relay::runtime;
use std::time::{Duration, Instant};

/// A point in time.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The monotonic clock.
    pub instant: Instant,
    /// Time for which the host had been suspended by then.
    pub suspended: Duration,
}

impl Moment {
    /// The present time.
    pub fn now() -> Moment {
        Moment {
            instant: Instant::now(),
            suspended: runtime::suspended_time(),
        }
    }
}

/// The end of the time that a call has.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    /// The end, if the host is not suspended before.
    at: Instant,
    /// Time for which the host had been suspended when the deadline was set.
    suspended: Duration,
}

impl Deadline {
    /// Sets a deadline `time` after `now`.
    pub fn after(now: Moment, time: Duration) -> Deadline {
        Deadline {
            at: now.instant + time,
            suspended: now.suspended,
        }
    }

    /// Returns the time left at `now`.
    pub fn remaining(&self, now: Moment) -> Duration {
        let left = self.at.saturating_duration_since(now.instant);
        left.saturating_sub(now.suspended.saturating_sub(self.suspended))
    }

    /// Returns the end of the time, if the host is not suspended any more.
    pub fn instant(&self, now: Moment) -> Instant {
        now.instant + self.remaining(now)
    }
}
