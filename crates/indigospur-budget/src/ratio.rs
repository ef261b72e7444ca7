//! Limit on the ratio of retries to first attempts on one link: a token bucket, or a sliding window.

use crate::claim::{RetryClaim, RetryStatus};
use crate::cutoff::ClassCutoff;
use crate::order_cutoff::OrderCutoff;
use crate::window::{RetryWindow, WindowOptions};
use indigospur_protocol::RetryOrder;
use std::time::Instant;

/// Largest debt in retries, so that a burst of repeats that can't be refused does not block other
/// retries for long.
const MAX_DEBT: f64 = 20.0;

/// Size and fill rate of a retry bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioOptions {
    /// Number of retries earned by a hundred first attempts.
    pub percent: u32,
    /// Capacity of the bucket in retries; at least one. Not used with a window.
    pub capacity: f64,
    /// Sliding window in place of the bucket; `None` for the bucket.
    pub window: Option<WindowOptions>,
}

impl Default for RatioOptions {
    fn default() -> Self {
        RatioOptions {
            percent: 10,
            capacity: 10.0,
            window: None,
        }
    }
}

/// A token bucket that first attempts fill and retries drain, so that retries stay below a share of
/// the calls however many fail. While there are too few for all, calls of the higher-priority
/// classes get them.
///
/// The bucket starts full and saves little. The second form, a sliding window, lets the first sends of
/// the last two windows pay for retries now.
#[derive(Clone, Debug)]
pub struct RetryRatio {
    options: RatioOptions,
    /// Retries in the bucket; at most the capacity in `options`.
    level: f64,
    /// Repeats still to be paid for; zero while `level` is positive.
    debt: f64,
    cutoff: ClassCutoff,
    /// Present if the options ask for a window; the bucket is not used then.
    window: Option<RetryWindow>,
    /// Used with the window.
    order_cutoff: OrderCutoff,
}

impl RetryRatio {
    /// Creates a full bucket, or an empty window.
    pub fn new(now: Instant, options: RatioOptions) -> RetryRatio {
        RetryRatio {
            options,
            level: options.capacity,
            debt: 0.0,
            cutoff: ClassCutoff::default(),
            window: options.window.map(|window| RetryWindow::new(now, window)),
            order_cutoff: OrderCutoff::new(now),
        }
    }

    /// Changes form, fill rate and capacity; retries beyond the new capacity are dropped.
    pub fn set_options(&mut self, now: Instant, options: RatioOptions) {
        let has_percent_changed = options.percent != self.options.percent;
        self.options = options;
        self.level = self.level.min(options.capacity);
        if has_percent_changed && let Some(window) = &mut self.window {
            window.forget_available();
        }
        match (&mut self.window, options.window) {
            (Some(window), Some(changed)) => window.set_options(now, changed),
            (window, changed) => {
                *window = changed.map(|changed| RetryWindow::new(now, changed));
            }
        }
    }

    /// Whether retries are bounded by a window.
    pub fn has_window(&self) -> bool {
        self.window.is_some()
    }

    /// Records whether a backend server of the service refused an attempt itself.
    pub fn record(&mut self, now: Instant, refused: bool) {
        self.order_cutoff.record(now, refused);
    }

    /// The share of attempts that the service refuses, and the cutoff; `None` without a window.
    pub fn status(&self, now: Instant) -> Option<RetryStatus> {
        self.has_window().then(|| self.order_cutoff.status(now))
    }

    /// Adds the share of a retry that a first attempt at a call of this position earns.
    pub fn earn(&mut self, now: Instant, order: RetryOrder) {
        if let Some(window) = &mut self.window {
            window.count_first(now, order);
            return;
        }
        let level = self.level + f64::from(self.options.percent) / 100.0;
        if level > self.options.capacity {
            self.cutoff.relax();
        }
        self.level = level.min(self.options.capacity);
        self.pay_debt();
    }

    /// Charges for a repeat that can't be refused; the earnings that follow an empty bucket pay for it
    /// first.
    pub fn charge(&mut self, now: Instant) {
        if let Some(window) = &mut self.window {
            window.count_repeat(now);
            self.order_cutoff.count_repeat();
            return;
        }
        self.debt = (self.debt + 1.0).min(MAX_DEBT);
        self.pay_debt();
    }

    fn pay_debt(&mut self) {
        let paid = self.debt.min(self.level);
        self.debt -= paid;
        self.level -= paid;
    }

    /// Takes a retry; false if none is left, or if the call is cut off in favour of others: of
    /// higher-priority classes with a bucket, of those before it in the retry order with a window.
    pub fn spend(&mut self, now: Instant, claim: RetryClaim) -> bool {
        if let Some(window) = &mut self.window {
            let percent = self.options.percent;
            let below_cutoff = self.order_cutoff.allows(now, claim, window, percent);
            let allowed = below_cutoff && window.available(now, percent) >= 1.0;
            if allowed {
                window.count_repeat(now);
                self.order_cutoff.count_repeat();
            }
            return allowed;
        }
        if !self.cutoff.allows(claim.class) {
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
