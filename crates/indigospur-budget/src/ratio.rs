//! Token bucket that limits the ratio of retries to first attempts on one link.

use crate::cutoff::ClassCutoff;
use indigospur_protocol::Class;

/// Largest debt in retries, so that a burst of repeats that can't be refused does not block other
/// retries for long.
const MAX_DEBT: f64 = 20.0;

/// Size and fill rate of a retry bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioOptions {
    /// Number of retries earned by a hundred first attempts.
    pub percent: u32,
    /// Capacity of the bucket in retries; at least one.
    pub capacity: f64,
}

impl Default for RatioOptions {
    fn default() -> Self {
        RatioOptions {
            percent: 10,
            capacity: 10.0,
        }
    }
}

/// A token bucket that first attempts fill and retries drain, so that retries stay below a share of
/// the calls however many fail. While there are too few for all, calls of the higher-priority
/// classes get them.
#[derive(Clone, Copy, Debug)]
pub struct RetryRatio {
    options: RatioOptions,
    /// Retries in the bucket; at most the capacity in `options`.
    level: f64,
    /// Repeats still to be paid for; zero while `level` is positive.
    debt: f64,
    cutoff: ClassCutoff,
}

impl Default for RetryRatio {
    fn default() -> Self {
        RetryRatio::new(RatioOptions::default())
    }
}

impl RetryRatio {
    /// Creates a full bucket.
    pub fn new(options: RatioOptions) -> RetryRatio {
        RetryRatio {
            options,
            level: options.capacity,
            debt: 0.0,
            cutoff: ClassCutoff::default(),
        }
    }

    /// Changes fill rate and capacity; retries beyond the new capacity are dropped.
    pub fn set_options(&mut self, options: RatioOptions) {
        self.options = options;
        self.level = self.level.min(options.capacity);
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        let level = self.level + f64::from(self.options.percent) / 100.0;
        if level > self.options.capacity {
            self.cutoff.relax();
        }
        self.level = level.min(self.options.capacity);
        self.pay_debt();
    }

    /// Charges for a repeat that can't be refused; if the bucket is empty, the following earnings
    /// pay for it first.
    pub fn charge(&mut self) {
        self.debt = (self.debt + 1.0).min(MAX_DEBT);
        self.pay_debt();
    }

    fn pay_debt(&mut self) {
        let paid = self.debt.min(self.level);
        self.debt -= paid;
        self.level -= paid;
    }

    /// Takes a retry from the bucket; false if it is empty, or if the class is cut off in favour of
    /// higher-priority ones.
    pub fn spend(&mut self, class: Class) -> bool {
        if !self.cutoff.allows(class) {
            return false;
        }
        if self.level < 1.0 {
            self.cutoff.tighten();
            return false;
        }
        self.level -= 1.0;
        true
    }
}
