//! Token buckets of one host for one workspace, for the time in which no home answers.

use std::time::Instant;

/// Token bucket for the portion of a rate that falls to one host.
///
/// The portion is often far below one request in a window, so a full bucket of one token on every host
/// would exceed the quota. Tokens therefore become available at times that differ among hosts, and those
/// that are not used expire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Portion {
    updated: Instant,
    /// Tokens, of which only whole ones admit a request.
    credit: f64,
}

impl Portion {
    /// Creates a bucket that holds `credit` tokens at `now`; its fraction should differ among hosts.
    pub(crate) fn new(now: Instant, credit: f64) -> Portion {
        Portion {
            updated: now,
            credit,
        }
    }

    /// Time of the last update.
    pub(crate) fn updated(&self) -> Instant {
        self.updated
    }

    /// Takes a token if there is one. They are added at `rate` a second and stay valid for `validity`
    /// seconds.
    pub(crate) fn take(&mut self, now: Instant, rate: f64, validity: f64) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let added = elapsed * rate;
        let limit = (1.0 + validity * rate).max(self.credit);
        self.credit += added;
        if self.credit > limit {
            self.credit -= (self.credit - limit).ceil();
        }
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
