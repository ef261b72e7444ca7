//! Announcements that a starting daemon holds back, since it does not know yet which instances of its
//! backend server have left.

use indigospur_protocol::{Announcement, State};
use std::time::Duration;

/// What a starting daemon still waits for, and the announcement that is held back meanwhile.
#[derive(Clone, Debug, Default)]
pub struct StartGate {
    /// Whether another daemon has answered gossip, none is registered, or the wait has timed out.
    fleet_answered: bool,
    /// Whether the recorded departures have been read or can't be read.
    record_answered: bool,
    timed_out: bool,
    /// Last announcement that is held back.
    pending: Option<Announcement>,
}

impl StartGate {
    /// Longest time for which announcements are held back.
    pub const MAX_WAIT: Duration = Duration::from_millis(300);

    /// Creates the gate of a daemon for which departures are not recorded.
    pub fn without_record() -> StartGate {
        StartGate {
            record_answered: true,
            ..StartGate::default()
        }
    }

    /// Whether the wait for the fleet has ended.
    pub fn is_fleet_wait_over(&self) -> bool {
        self.fleet_answered
    }

    /// Ends the wait for the fleet.
    pub fn record_fleet_answer(&mut self) {
        self.fleet_answered = true;
    }

    /// Ends the wait for the recorded departures.
    pub fn record_departures(&mut self) {
        self.record_answered = true;
    }

    /// Ends all waits, [`StartGate::MAX_WAIT`] after the start.
    pub fn time_out(&mut self) {
        self.fleet_answered = true;
        self.timed_out = true;
    }

    /// Keeps an announcement for later if it would bring new work while the waits last. Returns whether it
    /// is kept.
    pub fn hold_back(&mut self, announcement: &Announcement) -> bool {
        let brings_work =
            !announcement.instance.is_empty() && announcement.state != State::Draining;
        let holds_back = brings_work && !self.is_open();
        if holds_back {
            self.pending = Some(announcement.clone());
        }
        holds_back
    }

    /// Takes the announcement that was held back, if all waits have ended.
    pub fn release(&mut self) -> Option<Announcement> {
        if self.is_open() {
            self.pending.take()
        } else {
            None
        }
    }

    fn is_open(&self) -> bool {
        (self.fleet_answered && self.record_answered) || self.timed_out
    }
}
