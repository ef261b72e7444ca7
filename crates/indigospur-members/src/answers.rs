//! Memory of the requests that were answered lately.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time for which an answer is remembered at least, unless there are too many; at most twice as long.
const ANSWER_LIFETIME: Duration = Duration::from_secs(30);
/// Answers kept in a generation.
const MAX_ANSWERS: usize = 2_048;

/// Fingerprints of answered requests, in two generations; the older one is forgotten as a whole.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// When `current` was begun.
    begun_at: Option<Instant>,
}

impl RecentAnswers {
    pub(crate) fn insert(&mut self, now: Instant, fingerprint: u64) {
        let begun_at = *self.begun_at.get_or_insert(now);
        let age = now.saturating_duration_since(begun_at);
        if age >= ANSWER_LIFETIME || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            if age >= ANSWER_LIFETIME * 2 {
                self.previous.clear();
            }
            self.begun_at = Some(now);
        }
        self.current.insert(fingerprint);
    }

    pub(crate) fn contains(&self, now: Instant, fingerprint: u64) -> bool {
        let age = self.begun_at.map(|at| now.saturating_duration_since(at));
        let is_within = |lifetime: Duration| age.is_some_and(|age| age < lifetime);
        is_within(ANSWER_LIFETIME * 2) && self.current.contains(&fingerprint)
            || is_within(ANSWER_LIFETIME) && self.previous.contains(&fingerprint)
    }
}
