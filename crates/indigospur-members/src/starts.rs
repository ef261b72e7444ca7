//! The starts of the backend server beside a daemon, as its announcements tell of them.
//!
//! Announcements may arrive late, twice, or from a start that has ended. One that says that its
//! start leaves binds for good.

use indigospur_protocol::{Announcement, State};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts that have left and are remembered.
const MOST_LEFT: usize = 32;
/// Starts that were replaced and are remembered.
const MOST_REPLACED: usize = 8;
/// Time without an announcement of the present start after which one that seems older may be the one
/// that runs: its birth comes from a clock that may have been set back. Two announcements are missed
/// by then.
const SILENCE: Duration = Duration::from_secs(3);
/// Time for which a name counts as left whenever its start began, if that was not told: longer than
/// any announcement is late.
const NAME_MEMORY: Duration = Duration::from_secs(30);

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Name that it gives itself; a later start may have it again.
    pub instance: Arc<str>,
    /// When it began, in milliseconds since the Unix epoch; zero if it doesn't say.
    pub born: u64,
}

impl Start {
    /// The start of an instance.
    pub fn new(instance: &str, born: u64) -> Start {
        Start {
            instance: instance.into(),
            born,
        }
    }

    /// Whether it began before another start, as far as both say when.
    fn is_older(&self, other: &Start) -> bool {
        self.born > 0 && other.born > 0 && self.born < other.born
    }
}

/// A start that leaves or has left, and when that was heard.
#[derive(Debug)]
struct Left {
    start: Start,
    at: Instant,
}

impl Left {
    /// Whether it may be this start.
    fn covers(&self, now: Instant, start: &Start) -> bool {
        let fresh = now.saturating_duration_since(self.at) < NAME_MEMORY;
        let same = self.start.born == start.born;
        let untold = start.born == 0 || (self.start.born == 0 && fresh);
        self.start.instance == start.instance && (same || untold)
    }
}

/// What an announcement brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A start that was not known.
    New,
    /// A newer announcement of the present start.
    Known,
    /// The start leaves, or has left: no new work.
    Leaving,
    /// An announcement that is older than what is known; nothing follows from it.
    Stale,
}

/// The present start.
#[derive(Debug)]
struct Current {
    start: Start,
    /// Sequence of its last announcement, and when that was heard.
    sequence: u64,
    heard: Instant,
}

impl Current {
    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= SILENCE
    }
}

/// The starts of one backend server.
#[derive(Debug, Default)]
pub struct Starts {
    current: Option<Current>,
    /// Starts that another one was heard after, the oldest first.
    replaced: VecDeque<Start>,
    /// Starts that leave or have left, the oldest first.
    left: Vec<Left>,
}

impl Starts {
    /// Takes an announcement in.
    pub fn hear(&mut self, now: Instant, announced: &Announcement) -> Heard {
        let start = Start {
            instance: announced.instance.clone(),
            born: announced.started_ms,
        };
        if announced.state == State::Draining {
            return self.hear_leaving(now, start, announced.sequence);
        }
        if self.has_left(now, &start) {
            return Heard::Stale;
        }
        let heard = match &self.current {
            Some(current) if current.start == start => {
                let counted = announced.sequence > current.sequence || announced.sequence == 0;
                let anew = start.born == 0 && current.is_silent(now);
                if !counted && !anew {
                    return Heard::Stale;
                }
                Heard::Known
            }
            Some(current) if self.seems_older(&start, current) && !current.is_silent(now) => {
                return Heard::Stale;
            }
            _ => Heard::New,
        };
        self.set_current(now, start, announced.sequence);
        heard
    }

    fn hear_leaving(&mut self, now: Instant, start: Start, sequence: u64) -> Heard {
        let other = self.current.as_ref().is_some_and(|current| {
            let later = current.start.is_older(&start) || current.is_silent(now);
            current.start != start && !later
        });
        // A backend server without a name may announce that it leaves and then come back.
        if !start.instance.is_empty() {
            self.remember(now, start.clone());
        }
        if other {
            return Heard::Stale;
        }
        self.set_current(now, start, sequence);
        Heard::Leaving
    }

    /// Whether a start seems to have begun before the present one.
    fn seems_older(&self, start: &Start, current: &Current) -> bool {
        if start.born > 0 && current.start.born > 0 {
            return start.is_older(&current.start);
        }
        self.replaced.contains(start)
    }

    fn set_current(&mut self, now: Instant, start: Start, sequence: u64) {
        self.replaced.retain(|replaced| *replaced != start);
        let current = Current {
            start: start.clone(),
            sequence,
            heard: now,
        };
        let before = self.current.replace(current).map(|before| before.start);
        self.replaced
            .extend(before.filter(|before| *before != start));
        while self.replaced.len() > MOST_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Notes that a start has left; whether it is the present one and was not known to leave. If it
    /// is not told when the start began, it is the present one where that has its name.
    pub fn leave(&mut self, now: Instant, start: &Start) -> bool {
        let current = self.current.as_ref().map(|current| &current.start);
        let meant =
            |current: &&Start| current.instance == start.instance && !start.is_older(current);
        let Some(current) = current.filter(meant).cloned() else {
            self.remember(now, start.clone());
            return false;
        };
        if start.born > current.born {
            self.remember(now, start.clone());
        }
        self.remember(now, current)
    }

    /// Remembers a start as left; false if it was.
    fn remember(&mut self, now: Instant, start: Start) -> bool {
        if self.left.iter().any(|left| left.start == start) {
            return false;
        }
        if self.left.len() >= MOST_LEFT {
            self.left.remove(0);
        }
        self.left.push(Left { start, at: now });
        true
    }

    fn has_left(&self, now: Instant, start: &Start) -> bool {
        self.left.iter().any(|left| left.covers(now, start))
    }
}
