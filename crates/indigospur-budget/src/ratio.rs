//! The share of retries among the calls of one link.

use crate::cutoff::Cutoff;
use indigospur_protocol::Class;

/// Retries that can be owed: a flood of forced ones does not stop the others for long.
const MOST_OWED: f64 = 20.0;

/// How many retries a bucket allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioOptions {
    /// Retries that a hundred first attempts earn.
    pub percent: u32,
    /// Retries that can be saved up; at least one.
    pub saved: f64,
}

impl Default for RatioOptions {
    fn default() -> Self {
        RatioOptions {
            percent: 10,
            saved: 10.0,
        }
    }
}

/// A bucket that first attempts fill and retries empty, so that retries stay under a share of the
/// calls however many fail. While it does not last for all, the most urgent calls get them.
#[derive(Clone, Copy, Debug)]
pub struct RetryRatio {
    options: RatioOptions,
    /// In retries; at most what `options` let be saved.
    level: f64,
    /// Repeats that were made without credit; zero while `level` is not.
    owed: f64,
    cutoff: Cutoff,
}

impl Default for RetryRatio {
    fn default() -> Self {
        RetryRatio::new(RatioOptions::default())
    }
}

impl RetryRatio {
    /// A full bucket.
    pub fn new(options: RatioOptions) -> RetryRatio {
        RetryRatio {
            options,
            level: options.saved,
            owed: 0.0,
            cutoff: Cutoff::default(),
        }
    }

    /// Changes what is allowed from now on.
    pub fn set_options(&mut self, options: RatioOptions) {
        self.options = options;
        self.level = self.level.min(options.saved);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        let level = self.level + f64::from(self.options.percent) / 100.0;
        if level > self.options.saved {
            self.cutoff.relax();
        }
        self.level = level.min(self.options.saved);
        self.settle();
    }

    /// Takes a repeat into account that can't be refused; later retries wait for it.
    pub fn charge(&mut self) {
        self.owed = (self.owed + 1.0).min(MOST_OWED);
        self.settle();
    }

    fn settle(&mut self) {
        let paid = self.owed.min(self.level);
        self.owed -= paid;
        self.level -= paid;
    }

    /// Spends a retry; false if the link has spent its share, or keeps the rest for more urgent
    /// calls.
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
