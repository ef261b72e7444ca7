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
/// Age of a tracker from which on no announcement can be from before its start.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(30);

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

#[derive(Clone, Debug)]
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
    /// The announcement may be a late one of an instance that has left; ignore it until the next one
    /// shows that the instance is running.
    Unconfirmed,
}

/// What a tracker knows of the instances that left before it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum History {
    #[default]
    Known,
    /// Not read yet, by a tracker created at `since`.
    Unread { since: Instant },
}

#[derive(Clone, Debug)]
struct Current {
    instance: Instance,
    /// Sequence number of the last announcement.
    sequence: u64,
    last_announced: Instant,
    /// Whether it is known to be running: by a second announcement, or because it has just started.
    confirmed: bool,
}

impl Current {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_announced) >= ANNOUNCEMENT_TIMEOUT
    }
}

/// Tracks the instances of one backend server.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<Current>,
    /// Earlier instances that another one has replaced, the oldest first.
    replaced: VecDeque<Instance>,
    /// Instances that are leaving or have left, the oldest first.
    departed: Vec<Departed>,
    history: History,
    /// Last unconfirmed instance and the sequence number of its announcement.
    unconfirmed: Option<(Instance, u64)>,
}

impl InstanceTracker {
    /// Age of a tracker up to which one announcement shows that an instance is running although earlier
    /// departures are unknown. A running instance has announced itself twice by then.
    pub const CONFIRMATION_AGE: Duration = Duration::from_secs(3);

    /// Creates a tracker at `now` that does not know which instances left before.
    pub fn with_unread_history(now: Instant) -> InstanceTracker {
        InstanceTracker {
            history: History::Unread { since: now },
            ..InstanceTracker::default()
        }
    }

    /// Records that all instances that left before the tracker was created have been passed to
    /// [`InstanceTracker::mark_left`].
    pub fn complete_history(&mut self) {
        self.history = History::Known;
        self.unconfirmed = None;
    }

    /// Instances that are leaving or have left, the oldest first.
    pub fn departed(&self) -> impl DoubleEndedIterator<Item = &Instance> {
        self.departed.iter().map(|departed| &departed.instance)
    }

    /// Whether an instance of this name is the current one, or was it, or has left.
    pub fn knows(&self, name: &str) -> bool {
        let current = self.current.iter().map(|current| &current.instance);
        let mut known = current.chain(&self.replaced).chain(self.departed());
        known.any(|instance| &*instance.name == name)
    }

    /// Whether the current instance may be one that left before the tracker was created, so that it is
    /// used only for as long as it announces itself.
    pub fn may_have_left(&self, now: Instant) -> bool {
        let is_leaving = |current: &Current| self.has_departed(now, &current.instance);
        let in_use = self
            .current
            .as_ref()
            .is_some_and(|current| !is_leaving(current));
        in_use && self.unread_age(now).is_some()
    }

    /// Whether the current instance may have left and only one announcement of it has arrived by the
    /// time at which a running instance has sent two.
    pub fn is_unconfirmed(&self, now: Instant) -> bool {
        let confirmed = self
            .current
            .as_ref()
            .is_none_or(|current| current.confirmed);
        !confirmed && self.may_have_left(now) && self.needs_confirmation(now)
    }

    /// Sets the current instance aside until its next announcement.
    pub fn set_aside(&mut self) {
        let current = self.current.take();
        self.unconfirmed = current.map(|current| (current.instance, current.sequence));
    }

    /// Age of the tracker, while an instance that left before may still announce itself.
    fn unread_age(&self, now: Instant) -> Option<Duration> {
        let History::Unread { since } = self.history else {
            return None;
        };
        let age = now.saturating_duration_since(since);
        (age < MAX_ANNOUNCEMENT_DELAY).then_some(age)
    }

    /// Whether one announcement does not show that an unknown instance is running.
    fn needs_confirmation(&self, now: Instant) -> bool {
        self.unread_age(now)
            .is_some_and(|age| age >= Self::CONFIRMATION_AGE)
    }

    /// Whether an earlier, unconfirmed announcement of the same instance has arrived.
    fn is_announced_again(&self, instance: &Instance, sequence: u64) -> bool {
        let unconfirmed = self.unconfirmed.as_ref();
        unconfirmed.is_some_and(|(earlier, at)| earlier == instance && sequence > *at)
    }

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
        let again = self.is_announced_again(&instance, announced.sequence);
        // An instance that has just started can't have left long ago.
        let confirmed = again || announced.cold_ms > 0 || instance.name.is_empty();
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
            _ if !confirmed && self.needs_confirmation(now) => {
                self.unconfirmed = Some((instance, announced.sequence));
                return AnnouncementOutcome::Unconfirmed;
            }
            _ => AnnouncementOutcome::New,
        };
        let confirmed = confirmed || outcome == AnnouncementOutcome::Known;
        self.set_current(now, instance, announced.sequence, confirmed);
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
        self.set_current(now, instance, sequence, true);
        AnnouncementOutcome::Leaving
    }

    /// Whether an instance seems to have been started before the current one.
    fn seems_older(&self, instance: &Instance, current: &Current) -> bool {
        if instance.started_ms > 0 && current.instance.started_ms > 0 {
            return instance.is_older(&current.instance);
        }
        self.replaced.contains(instance)
    }

    fn set_current(&mut self, now: Instant, instance: Instance, sequence: u64, confirmed: bool) {
        self.replaced.retain(|replaced| *replaced != instance);
        let current = Current {
            instance: instance.clone(),
            sequence,
            last_announced: now,
            confirmed,
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
