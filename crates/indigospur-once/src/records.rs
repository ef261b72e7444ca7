//! Records of keys that were claimed or run.

use indigospur_protocol::Key;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Execution state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The call is running or may have run.
    Uncertain,
    /// The call ran.
    Ran,
}

/// Record of a key, as sent in a hand-over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// Idempotency key of the call.
    pub key: Key,
    /// Digest of the request that the key was first used with.
    pub digest: u64,
    /// Whether the call has run.
    pub state: KeyState,
    /// Time since the key was first recorded.
    pub age: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry<T> {
    pub(crate) digest: u64,
    pub(crate) recorded: Instant,
    pub(crate) value: T,
}

/// Entries by key, which expire.
#[derive(Debug)]
pub(crate) struct KeyTable<T> {
    entries: HashMap<Key, Entry<T>>,
    /// Keys with the time at which they were recorded, in order of insertion; may still hold keys
    /// that were removed.
    order: VecDeque<(Instant, Key)>,
}

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        KeyTable {
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<T> KeyTable<T> {
    pub(crate) fn get(&self, key: &str) -> Option<&Entry<T>> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut Entry<T>> {
        self.entries.get_mut(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Key, &Entry<T>)> {
        self.entries.iter()
    }

    pub(crate) fn insert(&mut self, recorded: Instant, key: &Key, digest: u64, value: T) {
        self.entries.insert(
            key.clone(),
            Entry {
                digest,
                recorded,
                value,
            },
        );
        self.order.push_back((recorded, key.clone()));
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<Entry<T>> {
        self.entries.remove(key)
    }

    /// Removes keys recorded longer ago than `lifetime`. A key that was inserted after a more
    /// recently recorded one stays until the latter expires.
    pub(crate) fn expire(&mut self, now: Instant, lifetime: Duration) {
        let expired = |recorded: Instant| now.saturating_duration_since(recorded) > lifetime;
        while let Some((recorded, _)) = self.order.front() {
            if !expired(*recorded) {
                break;
            }
            let Some((recorded, key)) = self.order.pop_front() else {
                break;
            };
            if self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.recorded == recorded)
            {
                self.entries.remove(&key);
            }
        }
    }
}
