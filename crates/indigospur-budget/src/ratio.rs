//! The share of retries among the calls of one link.

/// Cost of a retry, in the unit of a bucket's level.
const RETRY: u32 = 100;
/// Repeats that can be owed: a flood of them does not stop retries for long.
const MOST_OWED: u32 = 20;

/// How many retries a bucket allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatioOptions {
    /// Retries that a hundred first attempts earn.
    pub percent: u32,
    /// Retries that can be saved up.
    pub saved: u32,
}

impl Default for RatioOptions {
    fn default() -> Self {
        RatioOptions {
            percent: 10,
            saved: 10,
        }
    }
}

/// A bucket that first attempts fill and retries empty, so that retries stay under a share of the
/// calls however many fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryRatio {
    options: RatioOptions,
    /// In hundredths of a retry; at most what `options` let be saved.
    level: u32,
    /// Repeats that were made without credit, in the same unit; zero while `level` is not.
    owed: u32,
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
            level: options.saved * RETRY,
            owed: 0,
        }
    }

    /// Changes what is allowed from now on.
    pub fn set_options(&mut self, options: RatioOptions) {
        self.options = options;
        self.level = self.level.min(options.saved * RETRY);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.level = (self.level + self.options.percent).min(self.options.saved * RETRY);
        self.settle();
    }

    /// Takes a repeat into account that can't be refused; later retries wait for it.
    pub fn charge(&mut self) {
        self.owed = (self.owed + RETRY).min(MOST_OWED * RETRY);
        self.settle();
    }

    fn settle(&mut self) {
        let paid = self.owed.min(self.level);
        self.owed -= paid;
        self.level -= paid;
    }

    /// Spends a retry; false if the link has spent its share.
    pub fn spend(&mut self) -> bool {
        self.spend_above(0.0)
    }

    /// Spends a retry if enough is saved: a part of what can be saved beyond one retry, of 1, is
    /// kept for others.
    pub fn spend_above(&mut self, reserve: f64) -> bool {
        let most_kept = f64::from(self.options.saved.saturating_sub(1) * RETRY);
        let needed = RETRY + (most_kept * reserve) as u32;
        if self.level < needed {
            return false;
        }
        self.level -= RETRY;
        true
    }
}
