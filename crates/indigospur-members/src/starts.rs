//! The starts of the backend server beside a daemon, as its announcements tell of them.
//!
//! Announcements may arrive late, twice, or from a start that has ended. One that says that its
//! start leaves binds for good.

use indigospur_protocol::{Announcement, State};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts that have left and are remembered.
const MOST_LEFT: usize = 32;
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

/// The starts of one backend server.
#[derive(Debug, Default)]
pub struct Starts {
    /// The present start and the sequence of its last announcement.
    current: Option<(Start, u64)>,
    /// Starts that leave or have left, the oldest first.
    left: Vec<Left>,
}

impl Starts {
    /// Takes an announcement in.
    pub fn hear(&mut self, now: Instant, announced: &Announcement) -> Heard {
        let start = Start {
            instance: announced.instance.clone(),
            born: announced.born,
        };
        if announced.state == State::Draining {
            return self.hear_leaving(now, start, announced.sequence);
        }
        if self.has_left(now, &start) {
            return Heard::Stale;
        }
        let heard = match &self.current {
            Some((current, _)) if start.is_older(current) => return Heard::Stale,
            Some((current, last)) if *current == start => {
                if announced.sequence > 0 && announced.sequence <= *last {
                    return Heard::Stale;
                }
                Heard::Known
            }
            _ => Heard::New,
        };
        self.current = Some((start, announced.sequence));
        heard
    }

    fn hear_leaving(&mut self, now: Instant, start: Start, sequence: u64) -> Heard {
        let other = self
            .current
            .as_ref()
            .is_some_and(|(current, _)| *current != start && !current.is_older(&start));
        // A backend server without a name may announce that it leaves and then come back.
        if !start.instance.is_empty() {
            self.remember(now, start.clone());
        }
        if other {
            return Heard::Stale;
        }
        self.current = Some((start, sequence));
        Heard::Leaving
    }

    /// Notes that a start has left; whether it is the present one and was not known to leave. If it
    /// is not told when the start began, it is the present one where that has its name.
    pub fn leave(&mut self, now: Instant, start: &Start) -> bool {
        let current = self.current.as_ref().map(|(current, _)| current);
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
