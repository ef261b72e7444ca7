//! Memory of the requests that were answered lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an answer is remembered at least, unless there are too many; at most twice as long.
const ANSWER_LIFETIME: Duration = Duration::from_secs(30);
/// Answers kept in a generation.
const MAX_ANSWERS: usize = 2_048;

/// When requests were answered last, in two generations; the older one is forgotten as a whole.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    current: HashMap<u64, Instant>,
    previous: HashMap<u64, Instant>,
    /// When `current` was begun.
    begun_at: Option<Instant>,
}

impl RecentAnswers {
    pub(crate) fn insert(&mut self, now: Instant, fingerprint: u64) {
        self.insert_at(now, fingerprint, now);
    }

    /// Records an answer at an earlier time; returns false if it is too old, or not later than the
    /// last one known.
    pub(crate) fn insert_earlier(
        &mut self,
        now: Instant,
        fingerprint: u64,
        answered_at: Instant,
    ) -> bool {
        let is_recent = now.saturating_duration_since(answered_at) < ANSWER_LIFETIME;
        let is_new = self.last(now, fingerprint) < Some(answered_at);
        if is_recent && is_new {
            self.insert_at(now, fingerprint, answered_at);
        }
        is_recent && is_new
    }

    fn insert_at(&mut self, now: Instant, fingerprint: u64, answered_at: Instant) {
        let begun_at = *self.begun_at.get_or_insert(now);
        let age = now.saturating_duration_since(begun_at);
        if age >= ANSWER_LIFETIME || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            if age >= ANSWER_LIFETIME * 2 {
                self.previous.clear();
            }
            self.begun_at = Some(now);
        }
        self.current.insert(fingerprint, answered_at);
    }

    pub(crate) fn contains(&self, now: Instant, fingerprint: u64) -> bool {
        self.last(now, fingerprint).is_some()
    }

    /// Time since the request was answered last, if that is remembered.
    pub(crate) fn age(&self, now: Instant, fingerprint: u64) -> Option<Duration> {
        let last = self.last(now, fingerprint)?;
        Some(now.saturating_duration_since(last))
    }

    fn last(&self, now: Instant, fingerprint: u64) -> Option<Instant> {
        let age = self.begun_at.map(|at| now.saturating_duration_since(at));
        let is_within = |lifetime: Duration| age.is_some_and(|age| age < lifetime);
        let current = self.current.get(&fingerprint);
        let previous = self.previous.get(&fingerprint);
        let current = current.filter(|_| is_within(ANSWER_LIFETIME * 2));
        let previous = previous.filter(|_| is_within(ANSWER_LIFETIME));
        current.or(previous).copied()
    }
}
