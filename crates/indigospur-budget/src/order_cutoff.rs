//! Chooses the requests that get retries while a retry window does not suffice for all.

use crate::claim::{RetryClaim, RetryStatus};
use crate::window::RetryWindow;
use indigospur_protocol::RetryOrder;
use std::time::{Duration, Instant};

/// Time over which attempts and refusals lose their weight in the refused share.
const SHARE_DECAY: Duration = Duration::from_millis(250);
/// Largest share of refused attempts that is reckoned with. Above it a call would need more attempts
/// than its deadline allows.
const MAX_SHARE: f64 = 0.9;
/// Time between two computations of the cutoff.
const INTERVAL: Duration = Duration::from_millis(20);
/// Age at which a cutoff is no longer in force, since no call has asked for a retry.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Longest time of retries at the pace that is made up for after it was not used, or was exceeded.
const MAX_CREDIT: Duration = Duration::from_millis(500);
const MAX_DEBT: Duration = Duration::from_secs(1);
/// Time in which retries above or below the pace are made up for.
const CORRECTION: Duration = Duration::from_secs(2);
/// Time for which the retries that are left must suffice.
const RESERVE: Duration = Duration::from_secs(2);
/// First sends below which nothing is known about the order of requests.
const MIN_SAMPLES: usize = 20;
/// Reciprocal of the part by which a request may lie above the fleet's cutoff, which moves while the
/// request makes its calls: retries spent on an admitted request are lost if its last call gets none.
const ADMITTED_MARGIN: u64 = 8;

/// The position in the retry order up to which calls get retries.
///
/// A request of several calls may need a retry at each of them, so retries that are spread over all
/// requests complete hardly any. Retries are also spread over time: those of a window must not all go
/// to its first seconds.
#[derive(Clone, Debug)]
pub(crate) struct OrderCutoff {
    /// Time up to which `attempts` and `refused` have decayed.
    decayed: Instant,
    attempts: f64,
    refused: f64,
    /// Time of the latest computation.
    computed: Option<Instant>,
    cutoff: Option<RetryOrder>,
    /// Retries at the pace that were not made; negative after more than that were made.
    level: f64,
}

impl OrderCutoff {
    pub(crate) fn new(now: Instant) -> OrderCutoff {
        OrderCutoff {
            decayed: now,
            attempts: 0.0,
            refused: 0.0,
            computed: None,
            cutoff: None,
            level: 0.0,
        }
    }

    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, now: Instant, refused: bool) {
        let decay = self.decay(now);
        self.decayed = self.decayed.max(now);
        self.attempts = self.attempts * decay + 1.0;
        self.refused = self.refused * decay + if refused { 1.0 } else { 0.0 };
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.decayed);
        (-age.as_secs_f64() / SHARE_DECAY.as_secs_f64()).exp()
    }

    /// Counts a retry against the pace.
    pub(crate) fn count_repeat(&mut self) {
        self.level -= 1.0;
    }

    /// The refused share now, and the cutoff if still in force.
    pub(crate) fn status(&self, now: Instant) -> RetryStatus {
        let decay = self.decay(now);
        let is_fresh = |at| now.saturating_duration_since(at) < MAX_AGE;
        RetryStatus {
            refused: self.refused / self.attempts.max(1.0),
            cutoff: self.cutoff.filter(|_| self.computed.is_some_and(is_fresh)),
            attempts: self.attempts * decay,
        }
    }

    /// Whether a call gets a retry by its position.
    pub(crate) fn allows(
        &mut self,
        now: Instant,
        claim: RetryClaim,
        window: &mut RetryWindow,
        percent: u32,
    ) -> bool {
        let since = self
            .computed
            .map(|at| now.saturating_duration_since(at))
            .filter(|since| *since < MAX_AGE);
        if since.is_none_or(|since| since >= INTERVAL) {
            self.compute(now, since, claim.fleet, window, percent);
        }
        let Some(own) = self.cutoff else { return true };
        let fleet = claim.fleet.and_then(|fleet| fleet.cutoff);
        let admitted = fleet.map_or(0, |fleet| {
            let margin = (fleet & u64::from(u32::MAX)) / ADMITTED_MARGIN;
            fleet.saturating_add(margin)
        });
        claim.order <= own.max(admitted)
    }

    /// Sets the cutoff to the highest position at which the retries that requests up to it need come
    /// at the pace of the window, corrected for earlier retries.
    fn compute(
        &mut self,
        now: Instant,
        since: Option<Duration>,
        fleet: Option<RetryStatus>,
        window: &mut RetryWindow,
        percent: u32,
    ) {
        let pace = window.pace(now, percent);
        // After a time without failures nothing is left over from before.
        self.level = since.map_or(0.0, |since| self.level + pace * since.as_secs_f64());
        self.level = self.level.clamp(
            -pace * MAX_DEBT.as_secs_f64(),
            pace * MAX_CREDIT.as_secs_f64(),
        );
        // What is left must last for a while, for the calls that come first.
        let left = window.available(now, percent).max(0.0) / RESERVE.as_secs_f64();
        let allowed = (pace + self.level / CORRECTION.as_secs_f64()).clamp(0.0, left);
        let refused = fleet.map_or(self.status(now).refused, |fleet| fleet.refused);
        let refused = refused.clamp(0.0, MAX_SHARE);
        let retries_per_call = refused / (1.0 - refused);
        let rates = window.first_rates(now);
        self.computed = Some(now);
        self.cutoff = None;
        if rates.len() < MIN_SAMPLES {
            return;
        }
        let mut needed = 0.0;
        let mut last = rates[0].0.saturating_sub(1);
        for (order, rate) in rates {
            needed += rate * retries_per_call;
            if needed > allowed {
                self.cutoff = Some(last);
                return;
            }
            last = order;
        }
    }
}
