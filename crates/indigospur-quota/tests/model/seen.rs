//! What was seen of a workspace, and the bound on it.

use indigospur_rules::Quota;

/// Window of the bound on admitted requests, in seconds.
const WINDOW_SECONDS: f64 = 5.0;

/// What was seen of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    /// Times of admitted requests in seconds.
    pub(crate) admitted: Vec<f64>,
    /// Times of refused requests, without those that callers repeat.
    pub(crate) refused: Vec<f64>,
    /// Times and shares of refusals by a home's share.
    pub(crate) shares: Vec<(f64, f64)>,
}

impl Seen {
    pub(crate) fn count(times: &[f64], from: f64, until: f64) -> usize {
        times.iter().filter(|t| (from..until).contains(*t)).count()
    }

    /// Share of the requests refused between two times in seconds.
    pub(crate) fn refused_share(&self, from: f64, until: f64) -> f64 {
        let refused = Seen::count(&self.refused, from, until) as f64;
        let admitted = Seen::count(&self.admitted, from, until) as f64;
        refused / (refused + admitted).max(1.0)
    }

    /// Admitted requests a second between two times in seconds.
    pub(crate) fn admitted_rate(&self, from: f64, until: f64) -> f64 {
        Seen::count(&self.admitted, from, until) as f64 / (until - from)
    }

    /// Mean of the shares in force at refusals between two times, and their standard deviation in
    /// relation to it.
    pub(crate) fn share(&self, from: f64, until: f64) -> (f64, f64) {
        let within = self
            .shares
            .iter()
            .filter(|(at, _)| (from..until).contains(at));
        let shares: Vec<f64> = within.map(|(_, share)| *share).collect();
        let count = shares.len().max(1) as f64;
        let mean = shares.iter().sum::<f64>() / count;
        let variance = shares.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / count;
        (mean, variance.sqrt() / mean.max(1e-9))
    }

    /// The most requests admitted in any 5 s that begin in `from..until`.
    pub(crate) fn most_in_window(&self, from: f64, until: f64) -> usize {
        let mut most = 0;
        for (first, start) in self.admitted.iter().enumerate() {
            if (from..until).contains(start) {
                let end = self
                    .admitted
                    .partition_point(|t| *t < start + WINDOW_SECONDS);
                most = most.max(end - first);
            }
        }
        most
    }
}

/// Bound on the requests of a workspace that run in 5 s.
pub(crate) fn bound(quota: Quota) -> f64 {
    (quota.rate * WINDOW_SECONDS + quota.burst) * 1.1 + 20.0
}
