//! The instances of the backend server on a daemon's host, as known from its announcements.
//!
//! A new instance begins with each start of the backend server. Announcements may arrive late, twice,
//! or from an instance that has ended. Once an instance has announced that it leaves, its later
//! announcements that it is ready are ignored.

use indigospur_protocol::{Announcement, State};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_DEPARTED: usize = 32;
const MAX_REPLACED: usize = 8;
/// Time without an announcement of the current instance after which an instance that seems older may
/// replace it: the start time comes from a clock that may have been set back. Two announcements are
/// missed by then.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an instance that left with an unknown start time matches all instances of its name;
/// longer than the delay of any announcement.
const NAME_RETENTION: Duration = Duration::from_secs(30);

/// An instance of a backend server, which lasts from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Name that the backend server announces, or empty; a later instance may reuse it.
    pub instance: Arc<str>,
    /// Start time in milliseconds since the Unix epoch; zero if it is unknown.
    pub born: u64,
}

impl Start {
    /// Creates an instance from its name and its start time in milliseconds since the Unix epoch.
    pub fn new(instance: &str, born: u64) -> Start {
        Start {
            instance: instance.into(),
            born,
        }
    }

    /// Whether it was started before `other`; false if either start time is unknown.
    fn is_older(&self, other: &Start) -> bool {
        self.born > 0 && other.born > 0 && self.born < other.born
    }
}

#[derive(Debug)]
struct Departed {
    start: Start,
    at: Instant,
}

impl Departed {
    /// Whether `start` may be the instance that left.
    fn matches(&self, now: Instant, start: &Start) -> bool {
        let is_recent = now.saturating_duration_since(self.at) < NAME_RETENTION;
        let same_start = self.start.born == start.born;
        let start_unknown = start.born == 0 || (self.start.born == 0 && is_recent);
        self.start.instance == start.instance && (same_start || start_unknown)
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The announcement is of a new instance, which is now the current one.
    New,
    /// A newer announcement of the current instance.
    Known,
    /// The announced instance, now the current one, is leaving and takes no new work.
    Leaving,
    /// The announcement is outdated, a repetition, or from an instance that has left; ignore it.
    Stale,
}

#[derive(Debug)]
struct Current {
    start: Start,
    /// Sequence number of the last announcement.
    sequence: u64,
    last_announced: Instant,
}

impl Current {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_announced) >= ANNOUNCEMENT_TIMEOUT
    }
}

/// Tracks the instances of one backend server.
#[derive(Debug, Default)]
pub struct Starts {
    current: Option<Current>,
    /// Earlier instances that another one has replaced, the oldest first.
    replaced: VecDeque<Start>,
    /// Instances that are leaving or have left, the oldest first.
    departed: Vec<Departed>,
}

impl Starts {
    /// Processes an announcement.
    pub fn hear(&mut self, now: Instant, announced: &Announcement) -> Heard {
        let start = Start {
            instance: announced.instance.clone(),
            born: announced.started_ms,
        };
        if announced.state == State::Draining {
            return self.process_leaving(now, start, announced.sequence);
        }
        if self.has_departed(now, &start) {
            return Heard::Stale;
        }
        let outcome = match &self.current {
            Some(current) if current.start == start => {
                let is_newer = announced.sequence > current.sequence || announced.sequence == 0;
                let restarted_count = start.born == 0 && current.is_overdue(now);
                if !is_newer && !restarted_count {
                    return Heard::Stale;
                }
                Heard::Known
            }
            Some(current) if self.seems_older(&start, current) && !current.is_overdue(now) => {
                return Heard::Stale;
            }
            _ => Heard::New,
        };
        self.set_current(now, start, announced.sequence);
        outcome
    }

    fn process_leaving(&mut self, now: Instant, start: Start, sequence: u64) -> Heard {
        let other = self.current.as_ref().is_some_and(|current| {
            let later = current.start.is_older(&start) || current.is_overdue(now);
            current.start != start && !later
        });
        // A backend server without a name may announce that it leaves and then come back.
        if !start.instance.is_empty() {
            self.record_departed(now, start.clone());
        }
        if other {
            return Heard::Stale;
        }
        self.set_current(now, start, sequence);
        Heard::Leaving
    }

    /// Whether an instance seems to have been started before the current one.
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
            last_announced: now,
        };
        let previous = self.current.replace(current).map(|previous| previous.start);
        self.replaced
            .extend(previous.filter(|previous| *previous != start));
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Records that an instance has left; returns true if it is the current one and was not known to be
    /// leaving. An instance of the same name is taken for the current one, unless it was started earlier.
    pub fn leave(&mut self, now: Instant, start: &Start) -> bool {
        let current = self.current.as_ref().map(|current| &current.start);
        let is_meant =
            |current: &&Start| current.instance == start.instance && !start.is_older(current);
        let Some(current) = current.filter(is_meant).cloned() else {
            self.record_departed(now, start.clone());
            return false;
        };
        if start.born > current.born {
            self.record_departed(now, start.clone());
        }
        self.record_departed(now, current)
    }

    /// Records an instance as departed; returns false if it already was.
    fn record_departed(&mut self, now: Instant, start: Start) -> bool {
        if self.departed.iter().any(|departed| departed.start == start) {
            return false;
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push(Departed { start, at: now });
        true
    }

    fn has_departed(&self, now: Instant, start: &Start) -> bool {
        self.departed
            .iter()
            .any(|departed| departed.matches(now, start))
    }
}
