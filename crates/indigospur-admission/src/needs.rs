//! The number of calls that the requests of each rule make to each service.

use indigospur_protocol::{Class, Rank, RetryOrder, ServiceName, Work};
use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the latest request in a rule's mean numbers of calls.
const SMOOTHING: f64 = 1.0 / 16.0;
/// Rules that are kept; with more, all are dropped and measured anew.
const MAX_RULES: usize = 1_024;
/// A rule that makes fewer calls to a service for each request does not need the service.
const MIN_CALLS: f64 = 0.05;

/// Mean number of calls of a request to each service, by rule.
#[derive(Debug, Default)]
pub(crate) struct CallNeeds {
    calls: HashMap<Arc<str>, HashMap<ServiceName, f64>>,
}

impl CallNeeds {
    /// Updates the mean numbers of a rule by those of one request that succeeded.
    pub(crate) fn record(&mut self, rule: &Arc<str>, work: &[Work]) {
        if !self.calls.contains_key(rule) && self.calls.len() >= MAX_RULES {
            self.calls.clear();
        }
        let means = self.calls.entry(rule.clone()).or_default();
        for mean in means.values_mut() {
            *mean -= *mean * SMOOTHING;
        }
        for work in work.iter().filter(|work| work.calls > 0) {
            let calls = f64::from(work.calls);
            match means.get_mut(&work.service) {
                Some(mean) => *mean += calls * SMOOTHING,
                None => {
                    means.insert(work.service.clone(), calls);
                }
            }
        }
    }

    /// The services that a rule needs, with the mean number of calls.
    pub(crate) fn of<'a>(&'a self, rule: &str) -> impl Iterator<Item = (&'a ServiceName, f64)> {
        let means = self.calls.get(rule).into_iter().flatten();
        means
            .map(|(service, calls)| (service, *calls))
            .filter(|(_, calls)| *calls >= MIN_CALLS)
    }
}

/// Position of a request of a class and rank that makes `calls` calls: requests with few calls come
/// first in their class, since they finish with few retries. At least one, which later hosts can tell
/// from an absent position.
pub(crate) fn retry_order(class: Class, rank: Rank, calls: f64) -> RetryOrder {
    let product = (f64::from(rank) * calls.max(1.0)).clamp(1.0, f64::from(u32::MAX));
    (u64::from(class) << 32) | product as u64
}
