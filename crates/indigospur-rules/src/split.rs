//! Traffic splitting among the targets of a rule by a low-discrepancy sequence, so that even a few
//! calls come close to the weights.

use crate::treatment::Treatment;
use indigospur_protocol::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;

/// Step between consecutive points of a rule, modulo 1: the fractional part of the golden ratio. It
/// spreads any number of points evenly, and no periodic pattern of calls stays in phase with it.
const STEP: f64 = 0.618_033_988_749_895;

/// Splits the calls of each rule among its targets in proportion to their weights.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    /// Next point of the sequence by name of the rule, in [0, 1).
    next: HashMap<Arc<str>, f64>,
}

impl TrafficSplit {
    /// Target of the next call under `rule`; `None` if the treatment has no targets. `start` gives
    /// the first point, in [0, 1), and is called once for each rule with several targets; it should
    /// differ from daemon to daemon.
    pub fn target(
        &mut self,
        rule: &Arc<str>,
        treatment: &Treatment,
        start: impl FnOnce() -> f64,
    ) -> Option<ServiceName> {
        if treatment.targets.len() < 2 {
            return treatment.target(0.0).cloned();
        }
        let next = self.next.entry(rule.clone()).or_insert_with(start);
        let point = *next;
        *next = (point + STEP).fract();
        treatment.target(point).cloned()
    }
}
