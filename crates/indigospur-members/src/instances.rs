//! The instances of the backend server on a daemon's host, as known from its announcements.
//!
//! A new instance begins with each start of the backend server. Announcements may arrive late,
//! twice, or from an instance that has ended. Once an instance with a name has announced that it
//! leaves, its later announcements that it is ready are ignored.

use indigospur_protocol::{Announcement, Rate, State};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_DEPARTED: usize = 32;
const MAX_REPLACED: usize = 8;
/// Time without an announcement of the current instance after which an instance that seems older
/// may replace it: the start time comes from a clock that may have been set back. Two announcements
/// are missed by then.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an instance that left with an unknown start time matches all instances of its
/// name; longer than the delay of any announcement.
const NAME_RETENTION: Duration = Duration::from_secs(30);

/// One run of a backend server process, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name that the backend server announces, or empty; a later instance may reuse it.
    pub name: Arc<str>,
    /// Start time in milliseconds since the Unix epoch; zero if it is unknown.
    pub started_ms: u64,
}

impl Instance {
    /// Creates an instance from its name and its start time in milliseconds since the Unix epoch.
    pub fn new(name: &str, started_ms: u64) -> Instance {
        Instance {
            name: name.into(),
            started_ms,
        }
    }

    /// Whether it was started before `other`; false if either start time is unknown.
    fn is_older(&self, other: &Instance) -> bool {
        self.started_ms > 0 && other.started_ms > 0 && self.started_ms < other.started_ms
    }
}

/// Limit on the rate of calls that an instance has named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedLimit {
    /// Instance that it applies to.
    pub instance: Instance,
    /// The limit on calls from all hosts together.
    pub rate: Rate,
}

#[derive(Debug)]
struct Departed {
    instance: Instance,
    at: Instant,
}

impl Departed {
    /// Whether `instance` may be the instance that left.
    fn matches(&self, now: Instant, instance: &Instance) -> bool {
        let is_recent = now.saturating_duration_since(self.at) < NAME_RETENTION;
        let same_time = self.instance.started_ms == instance.started_ms;
        let time_unknown = instance.started_ms == 0 || (self.instance.started_ms == 0 && is_recent);
        self.instance.name == instance.name && (same_time || time_unknown)
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announced instance is now the current one and was not before.
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
    instance: Instance,
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
pub struct InstanceTracker {
    current: Option<Current>,
    /// Earlier instances that another one has replaced, the oldest first.
    replaced: VecDeque<Instance>,
    /// Instances that are leaving or have left, the oldest first.
    departed: Vec<Departed>,
}

impl InstanceTracker {
    /// Processes an announcement.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        announced: &Announcement,
    ) -> AnnouncementOutcome {
        let instance = Instance {
            name: announced.instance.clone(),
            started_ms: announced.started_ms,
        };
        if announced.state == State::Draining {
            return self.process_leaving(now, instance, announced.sequence);
        }
        if self.has_departed(now, &instance) {
            return AnnouncementOutcome::Stale;
        }
        let outcome = match &self.current {
            Some(current) if current.instance == instance => {
                let is_newer = announced.sequence > current.sequence || announced.sequence == 0;
                let sequence_reset = instance.started_ms == 0 && current.is_overdue(now);
                if !is_newer && !sequence_reset {
                    return AnnouncementOutcome::Stale;
                }
                AnnouncementOutcome::Known
            }
            Some(current) if self.seems_older(&instance, current) && !current.is_overdue(now) => {
                return AnnouncementOutcome::Stale;
            }
            _ => AnnouncementOutcome::New,
        };
        self.set_current(now, instance, announced.sequence);
        outcome
    }

    fn process_leaving(
        &mut self,
        now: Instant,
        instance: Instance,
        sequence: u64,
    ) -> AnnouncementOutcome {
        let other = self.current.as_ref().is_some_and(|current| {
            let later = current.instance.is_older(&instance) || current.is_overdue(now);
            current.instance != instance && !later
        });
        // A backend server without a name may announce that it leaves and then come back.
        if !instance.name.is_empty() {
            self.record_departed(now, instance.clone());
        }
        if other {
            return AnnouncementOutcome::Stale;
        }
        self.set_current(now, instance, sequence);
        AnnouncementOutcome::Leaving
    }

    /// Whether an instance seems to have been started before the current one.
    fn seems_older(&self, instance: &Instance, current: &Current) -> bool {
        if instance.started_ms > 0 && current.instance.started_ms > 0 {
            return instance.is_older(&current.instance);
        }
        self.replaced.contains(instance)
    }

    fn set_current(&mut self, now: Instant, instance: Instance, sequence: u64) {
        self.replaced.retain(|replaced| *replaced != instance);
        let current = Current {
            instance: instance.clone(),
            sequence,
            last_announced: now,
        };
        let previous = self
            .current
            .replace(current)
            .map(|previous| previous.instance);
        self.replaced
            .extend(previous.filter(|previous| *previous != instance));
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Records that an instance has left; returns true if it is the current one and was not known
    /// to be leaving. An instance of the same name is taken for the current one, unless it was
    /// started earlier.
    pub fn mark_left(&mut self, now: Instant, instance: &Instance) -> bool {
        let current = self.current.as_ref().map(|current| &current.instance);
        let is_meant =
            |current: &&Instance| current.name == instance.name && !instance.is_older(current);
        let Some(current) = current.filter(is_meant).cloned() else {
            self.record_departed(now, instance.clone());
            return false;
        };
        // A backend server without a name may leave and then come back.
        if current.name.is_empty() {
            return true;
        }
        if instance.started_ms > current.started_ms {
            self.record_departed(now, instance.clone());
        }
        self.record_departed(now, current)
    }

    /// Records an instance as departed; returns false if it already was.
    fn record_departed(&mut self, now: Instant, instance: Instance) -> bool {
        if self
            .departed
            .iter()
            .any(|departed| departed.instance == instance)
        {
            return false;
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push(Departed { instance, at: now });
        true
    }

    fn has_departed(&self, now: Instant, instance: &Instance) -> bool {
        self.departed
            .iter()
            .any(|departed| departed.matches(now, instance))
    }
}
