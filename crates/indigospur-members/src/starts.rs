//! The starts of the backend server beside a daemon, as its announcements tell of them.
//!
//! Announcements may arrive late, twice, or from a start that has ended. One that says that its
//! start leaves binds for good.

use indigospur_protocol::{Announcement, State};
use std::sync::Arc;

/// Starts that have left and are remembered.
const MOST_LEFT: usize = 32;

/// Names one start: the instance, and when it was born.
type Start = (Arc<str>, u64);

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
    left: Vec<Start>,
}

impl Starts {
    /// Takes an announcement in.
    pub fn hear(&mut self, announced: &Announcement) -> Heard {
        let start = (announced.instance.clone(), announced.born);
        if announced.state == State::Draining {
            return self.hear_leaving(start, announced.sequence);
        }
        if self.has_left(&start) {
            return Heard::Stale;
        }
        let heard = match &self.current {
            Some((current, _)) if is_older(&start, current) => return Heard::Stale,
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

    fn hear_leaving(&mut self, start: Start, sequence: u64) -> Heard {
        let other = self
            .current
            .as_ref()
            .is_some_and(|(current, _)| *current != start);
        // A backend server without a name may announce that it leaves and then come back.
        if !start.0.is_empty() {
            self.remember(start.clone());
        }
        if other {
            return Heard::Stale;
        }
        self.current = Some((start, sequence));
        Heard::Leaving
    }

    /// Notes that an instance has left, whenever it was born, up to what is known of it now; whether
    /// it is the present start and was not known to leave.
    pub fn leave(&mut self, instance: &str) -> bool {
        let current = self.current.as_ref().map(|(start, _)| start.clone());
        match current {
            Some(start) if &*start.0 == instance => {
                let known = self.has_left(&start);
                self.remember(start);
                !known
            }
            Some(_) => false,
            None => {
                self.remember((instance.into(), u64::MAX));
                false
            }
        }
    }

    fn remember(&mut self, start: Start) {
        if self.left.contains(&start) {
            return;
        }
        if self.left.len() >= MOST_LEFT {
            self.left.remove(0);
        }
        self.left.push(start);
    }

    /// Whether the start has left. One that is known only by its name counts for each birth until
    /// a later one is told.
    fn has_left(&self, start: &Start) -> bool {
        self.left
            .iter()
            .any(|left| left.0 == start.0 && (left.1 == start.1 || left.1 == u64::MAX))
    }
}

/// Whether a start was born before another one that is known.
fn is_older(start: &Start, known: &Start) -> bool {
    start.1 > 0 && known.1 > 0 && start.1 < known.1
}
