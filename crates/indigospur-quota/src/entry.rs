//! Counts and admission of one workspace at one host.

use crate::portion::Portion;
use indigospur_rules::Quota;
use std::time::Instant;

/// Time constant, in seconds, of the rate of admitted requests that bounds an overdue share.
const PACE_DECAY: f64 = 4.0;
/// Time in seconds for which unused tokens stay valid while a share is overdue.
const OVERDUE_VALIDITY: f64 = 0.25;
/// Bounds, in seconds, of the time for which unused tokens of a host's portion of the rate stay valid.
const PORTION_VALIDITY: (f64, f64) = (0.25, 2.0);

/// Counts and thinning of one workspace.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) used: Instant,
    /// Requests since the entry was created.
    pub(crate) asked: u64,
    /// Requests admitted and not returned.
    pub(crate) admitted: u64,
    /// `asked` and `admitted` as of the last report that a home acknowledged.
    pub(crate) acknowledged: (u64, u64),
    /// Sequence number of the last report with counts of the workspace, with `asked` and `admitted`.
    pub(crate) sent: (u64, u64, u64),
    /// Sequence number of the first report that includes the last change.
    pub(crate) changed: u64,
    /// Accumulated shares, in 0..1. Starts at a number that differs among hosts, so that requests which
    /// are spread over many hosts are thinned evenly as well.
    accumulated: f64,
    /// Tokens for the time without a fresh share; `None` before the first request in such a time.
    portion: Option<Portion>,
    /// Admitted requests a second, by an estimate as of `used`.
    pace: f64,
    /// Tokens that bound an overdue share; `None` before the first request in such a time.
    overdue: Option<Portion>,
}

impl Entry {
    /// Creates an entry without requests. `phase`, in 0..1, differs among hosts.
    pub(crate) fn new(now: Instant, phase: f64) -> Entry {
        Entry {
            used: now,
            asked: 0,
            admitted: 0,
            acknowledged: (0, 0),
            sent: (0, 0, 0),
            changed: 0,
            accumulated: phase,
            portion: None,
            pace: 0.0,
            overdue: None,
        }
    }

    /// Admits `share` of the requests, evenly spaced.
    pub(crate) fn thin(&mut self, share: f64) -> bool {
        self.accumulated += share;
        if self.accumulated < 1.0 {
            return false;
        }
        self.accumulated -= 1.0;
        true
    }

    /// Admits this host's portion of the rate; the last share `expired` then.
    pub(crate) fn take_portion(
        &mut self,
        now: Instant,
        expired: Instant,
        quota: Quota,
        rate: f64,
    ) -> bool {
        let is_current = |portion: &Portion| portion.updated() >= expired;
        let portion = self.portion.filter(is_current);
        let mut portion = portion.unwrap_or_else(|| Portion::new(expired, self.accumulated));
        let (shortest, longest) = PORTION_VALIDITY;
        let validity = (quota.burst / quota.rate).clamp(shortest, longest);
        let is_admitted = portion.take(now, rate, validity);
        self.portion = Some(portion);
        is_admitted
    }

    /// Bounds an overdue share by the rate that this host admitted before or its portion of the rate,
    /// whichever is larger: a surge that begins while no home answers is not admitted.
    pub(crate) fn take_overdue(&mut self, now: Instant, since: Instant, portion: f64) -> bool {
        let is_current = |tokens: &Portion| tokens.updated() >= since;
        let tokens = self.overdue.filter(is_current);
        let mut tokens = tokens.unwrap_or_else(|| Portion::new(since, self.accumulated));
        let is_admitted = tokens.take(now, self.pace.max(portion), OVERDUE_VALIDITY);
        self.overdue = Some(tokens);
        is_admitted
    }

    /// Counts a decision on a request in the rate of admitted requests, as of `used`.
    pub(crate) fn record_pace(&mut self, is_admitted: bool) {
        self.pace += f64::from(u8::from(is_admitted)) / PACE_DECAY;
    }

    pub(crate) fn decay_pace(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.used).as_secs_f64();
        self.pace *= (-elapsed / PACE_DECAY).exp();
    }
}
