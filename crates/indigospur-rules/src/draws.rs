//! Draws of targets in even steps, so that few calls already share out by weight.

use crate::treatment::Treatment;
use indigospur_protocol::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;

/// Part of the way round by which two draws of a rule differ: the golden ratio's, which spreads any
/// number of draws evenly and keeps step with no pattern in the calls.
const STEP: f64 = 0.618_033_988_749_895;

/// The next draw of each rule that shares its calls out among targets.
#[derive(Debug, Default)]
pub struct Draws {
    /// By name of the rule. From 0 to 1.
    next: HashMap<Arc<str>, f64>,
}

impl Draws {
    /// The target of a call under a rule; `None` if it names none. The rule's first draw is
    /// `start`, from 0 to 1, which should differ from daemon to daemon; it is asked for only then.
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
        let drawn = *next;
        *next = (drawn + STEP).fract();
        treatment.target(drawn).cloned()
    }
}
