//! One daemon's share of the rate limit of an upstream, found by how many of its calls the upstream
//! holds back.

use indigospur_protocol::Rate;
use std::time::{Duration, Instant};

/// Factor on the share for each call that the upstream accepts.
const INCREASE: f64 = 1.1;
/// Factor on the share for each call that the upstream holds back.
const DECREASE: f64 = 0.5;
/// Smallest share, in calls a second: replies tell the sender that there is room again.
const MIN_SHARE: f64 = 0.1;

/// Share of a rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateShare {
    limit: Rate,
    /// Calls a second; at least [`MIN_SHARE`], and otherwise at most the limit.
    share: f64,
    /// When the share allows the next call.
    next: Instant,
}

impl RateShare {
    /// An equal share of the limit for each of `hosts` hosts; it grows if some of them don't call.
    pub(crate) fn new(now: Instant, limit: Rate, hosts: usize) -> RateShare {
        let equal = limit.calls_per_second() / hosts.max(1) as f64;
        RateShare {
            limit,
            share: equal.max(MIN_SHARE),
            next: now,
        }
    }

    /// Applies another limit.
    pub(crate) fn set_limit(&mut self, limit: Rate) {
        self.limit = limit;
        self.set_share(self.share);
    }

    /// Whether the share allows no call now.
    pub(crate) fn is_used(&self, now: Instant) -> bool {
        self.next > now
    }

    /// Counts a call that is sent.
    pub(crate) fn start(&mut self, now: Instant) {
        self.next = now + Duration::from_secs_f64(1.0 / self.share);
    }

    /// Adapts the share to a call that the upstream accepted or held back.
    pub(crate) fn record(&mut self, accepted: bool) {
        let factor = if accepted { INCREASE } else { DECREASE };
        self.set_share(self.share * factor);
    }

    fn set_share(&mut self, share: f64) {
        let limit = self.limit.calls_per_second();
        self.share = share.min(limit).max(MIN_SHARE);
    }
}
