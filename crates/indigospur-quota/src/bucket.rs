//! Token bucket and demand estimate of one workspace.

use indigospur_rules::Quota;
use std::time::{Duration, Instant};

/// Time constant of the demand estimate, in seconds.
const DECAY: f64 = 1.0;
/// Time constant of a second estimate, in seconds, which follows a sudden surge.
const SURGE_DECAY: f64 = 0.3;
/// Time in seconds over which a positive level is spent.
const SPEND_SECONDS: f64 = 0.5;
/// Time over which a debt is repaid, in report intervals. Shorter times make the share swing more.
const REPAY_INTERVALS: f64 = 3.0;
/// Part of the limit's relative tolerance (a tenth of five seconds' requests and the burst) by which the
/// bucket is deeper than the burst.
const RELATIVE_DEPTH: f64 = 0.1;
/// Requests by which the limit may be exceeded in any case.
const FIXED_TOLERANCE: f64 = 20.0;
/// Requests of the fixed tolerance by which the bucket is deeper than the burst. Random
/// accumulations of a small workspace below its rate are admitted by it.
const FIXED_DEPTH: f64 = 6.0;
/// Level at which a limited workspace is held, as a fraction of the whole tolerance, so that the random
/// deviations of its admitted requests seldom leave a debt.
const RESERVE: f64 = 0.1;
/// Largest debt in seconds of the rate, plus [`DEBT_REQUESTS`]. Bounds the time without admissions after
/// counts that came late.
const DEBT_SECONDS: f64 = 4.0;
/// Largest debt in requests, beside [`DEBT_SECONDS`].
const DEBT_REQUESTS: f64 = 10.0;
/// Demand over the rate from which requests that were not reported yet are reserved for. Below it the
/// random deviations of the demand of a workspace within its quota would refuse requests.
const SURGE_RATIO: f64 = 1.5;
/// Shares above this are not limited, so that rounding and small errors of the estimate refuse nothing.
const FULL_SHARE: f64 = 0.98;
/// Demand in requests a second below which a workspace counts as unused.
const UNUSED_DEMAND: f64 = 0.001;

/// A quota, or the portion of it that a home may give.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Capacity of the bucket in requests.
    pub(crate) depth: f64,
    /// Level at which a limited workspace is held; below the depth.
    pub(crate) reserve: f64,
    /// Level of the bucket at a new home; at most the reserve.
    pub(crate) start: f64,
    /// Time between two reports of a host, in seconds.
    pub(crate) interval: f64,
}

impl Allowance {
    pub(crate) fn new(quota: Quota, portion: f64, interval: Duration) -> Allowance {
        let relative = 0.1 * (5.0 * quota.rate + quota.burst);
        let depth = (quota.burst + RELATIVE_DEPTH * relative + FIXED_DEPTH) * portion;
        let reserve = RESERVE * (relative + FIXED_TOLERANCE) * portion;
        Allowance {
            rate: quota.rate * portion,
            depth,
            reserve: reserve.min(0.5 * depth),
            start: RESERVE * FIXED_TOLERANCE * portion,
            interval: interval.as_secs_f64(),
        }
    }
}

/// Token bucket and demand estimate of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    updated: Instant,
    /// Requests that may still be admitted; at most the depth of the allowance, negative for a debt.
    pub(crate) level: f64,
    /// Estimates of the requests a second that ask, with [`DECAY`] and [`SURGE_DECAY`].
    demand: f64,
    surge: f64,
    /// Part of the level that is a debt taken over from the home before.
    taken_over: f64,
}

impl Bucket {
    /// Creates a bucket that has filled for `age`, from the reserve of a workspace without requests: the
    /// home before may have given all of the burst.
    pub(crate) fn new(now: Instant, allowance: Allowance, age: Duration) -> Bucket {
        Bucket {
            updated: now,
            level: (allowance.start + allowance.rate * age.as_secs_f64()).min(allowance.depth),
            demand: 0.0,
            surge: 0.0,
            taken_over: 0.0,
        }
    }

    /// Advances to `now`. A changed allowance applies at once, also its depth.
    pub(crate) fn advance(&mut self, now: Instant, allowance: Allowance) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.demand *= (-elapsed / DECAY).exp();
        self.surge *= (-elapsed / SURGE_DECAY).exp();
        self.level = (self.level + allowance.rate * elapsed).min(allowance.depth);
    }

    /// Records requests reported by a host; `admitted` is negative if more were returned.
    pub(crate) fn record(&mut self, allowance: Allowance, asked: f64, admitted: f64) {
        self.demand += asked / DECAY;
        self.surge += asked / SURGE_DECAY;
        self.spend(allowance, admitted);
    }

    /// Takes over the debt of the home before; of several reports of it, the largest counts.
    pub(crate) fn take_over(&mut self, allowance: Allowance, debt: f64) {
        let more = (debt - self.taken_over).max(0.0);
        self.taken_over += more;
        self.spend(allowance, more);
    }

    fn spend(&mut self, allowance: Allowance, requests: f64) {
        let largest_debt = DEBT_SECONDS * allowance.rate + DEBT_REQUESTS;
        self.level = (self.level - requests).clamp(-largest_debt, allowance.depth);
    }

    /// Share of the requests to admit, 0 to 1. The estimates are corrected for having started only
    /// `age` ago, and for the requests that were not reported yet.
    pub(crate) fn share(&self, allowance: Allowance, age: Duration) -> f64 {
        let age = (age.as_secs_f64() - 0.5 * allowance.interval).max(0.5 * allowance.interval);
        let demand = self.demand / (1.0 - (-age / DECAY).exp());
        let surge = self.surge / (1.0 - (-age / SURGE_DECAY).exp());
        // Less the standard deviations, so that a few requests at once are no surge, and a workspace just
        // below its rate is not limited. What is admitted beyond the rate by that lowers the level.
        let demand = demand - (demand / (2.0 * DECAY)).sqrt();
        let surge = surge - (surge / SURGE_DECAY).sqrt();
        let asked = demand.max(surge);
        let overload = (asked / allowance.rate - SURGE_RATIO).clamp(0.0, 1.0);
        // Hosts have admitted requests since their last reports that the level does not show yet. Without
        // this reserve surges of seven times the usual exceeded the limit by a hundredth.
        let unreported = allowance.rate * allowance.interval * overload;
        let excess = self.level - allowance.reserve - unreported.min(0.5 * allowance.depth);
        let horizon = match excess > 0.0 {
            true => SPEND_SECONDS,
            false => REPAY_INTERVALS * allowance.interval,
        };
        let available = (allowance.rate + excess / horizon).max(0.0);
        if asked * FULL_SHARE <= available {
            return 1.0;
        }
        available / asked
    }

    /// Whether the bucket is in the state of one that was never used.
    pub(crate) fn is_unused(&self, allowance: Allowance) -> bool {
        self.level >= allowance.depth && self.demand < UNUSED_DEMAND
    }
}
