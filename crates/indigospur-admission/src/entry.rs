//! Admission where a caller's request arrives: by the room at the services further down.

use indigospur_protocol::{ServiceName, Work};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new sample of a rule's slot time, as a divisor.
const SMOOTHING: u32 = 16;
/// Rules whose slot times are remembered.
const MOST_RULES: usize = 1_024;

/// Admission of callers' requests.
#[derive(Debug)]
pub struct Entry {
    /// Mean slot time that a request of a rule takes at each service.
    costs: HashMap<Arc<str>, HashMap<ServiceName, Duration>>,
}

impl Entry {
    /// Admission that knows nothing yet; `seed` starts its spread.
    pub fn new(_seed: u64) -> Entry {
        Entry {
            costs: HashMap::new(),
        }
    }

    /// Learns what a request of a rule took.
    pub fn learn(&mut self, rule: &Arc<str>, work: &[Work]) {
        if !self.costs.contains_key(rule) && self.costs.len() >= MOST_RULES {
            self.costs.clear();
        }
        let costs = self.costs.entry(rule.clone()).or_default();
        for cost in costs.values_mut() {
            *cost -= *cost / SMOOTHING;
        }
        for work in work {
            match costs.get_mut(&work.service) {
                Some(cost) => *cost += work.time / SMOOTHING,
                None => {
                    costs.insert(work.service.clone(), work.time);
                }
            }
        }
    }

    /// Mean slot time that a request of a rule takes at a service.
    pub fn cost(&self, rule: &str, service: &str) -> Duration {
        let costs = self.costs.get(rule);
        let cost = costs.and_then(|costs| costs.get(service));
        cost.copied().unwrap_or_default()
    }
}
