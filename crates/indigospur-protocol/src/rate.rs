//! Rates of calls.

use std::time::Duration;

/// A rate of calls, stored in thousandths of a call a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate {
    millihertz: u64,
}

impl Rate {
    /// A rate of this many calls a second; `None` if that is negative, not finite or too large.
    pub fn per_second(calls: f64) -> Option<Rate> {
        let millihertz = (calls * 1_000.0).round();
        let is_valid = millihertz >= 0.0 && millihertz < u64::MAX as f64;
        is_valid.then_some(Rate {
            millihertz: millihertz as u64,
        })
    }

    /// A rate of this many calls in 1,000 seconds.
    pub fn from_millihertz(millihertz: u64) -> Rate {
        Rate { millihertz }
    }

    /// The rate in calls in 1,000 seconds.
    pub fn millihertz(self) -> u64 {
        self.millihertz
    }

    /// The rate in calls a second.
    pub fn calls_per_second(self) -> f64 {
        self.millihertz as f64 / 1_000.0
    }

    /// Time between two calls at this rate; [`Duration::MAX`] for a rate of zero.
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.calls_per_second()).unwrap_or(Duration::MAX)
    }
}
