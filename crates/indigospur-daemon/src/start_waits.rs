//! Waits of a starting daemon, which does not know yet which instances of its backend server have left.
//! Other daemons and the configuration source do: until one of them and the source have answered,
//! announcements that would bring new work are held back.

use crate::backend;
use crate::daemon::{Daemon, lock};
use indigospur_members::{InstanceTracker, StartGate};
use indigospur_protocol::Announcement;
use indigospur_relay::runtime;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What has ended so far, and what is held back.
#[derive(Debug)]
pub(crate) struct StartWaits {
    gate: Mutex<StartGate>,
    /// Whether this daemon has been registered at the source and has then asked all others that are.
    contacts_asked: AtomicBool,
}

impl StartWaits {
    pub(crate) fn new(has_source: bool) -> StartWaits {
        let gate = if has_source {
            StartGate::default()
        } else {
            StartGate::without_record()
        };
        StartWaits {
            gate: Mutex::new(gate),
            contacts_asked: AtomicBool::new(false),
        }
    }

    /// Whether the wait for the fleet has ended.
    pub(crate) fn is_fleet_wait_over(&self) -> bool {
        lock(&self.gate).is_fleet_wait_over()
    }

    /// Whether this daemon has been registered at the source and has then asked all others that are. Another
    /// one that was not among them finds this one.
    pub(crate) fn has_asked_contacts(&self) -> bool {
        self.contacts_asked.load(Ordering::Relaxed)
    }

    /// Takes note that this daemon, while registered, has asked all others that are.
    pub(crate) fn record_contacts_asked(&self) {
        self.contacts_asked.store(true, Ordering::Relaxed);
    }

    /// Keeps an announcement for later if announcements are held back. Returns whether they are.
    pub(crate) fn hold_back(&self, announcement: &Announcement) -> bool {
        lock(&self.gate).hold_back(announcement)
    }
}

/// Ends a wait, and handles the announcement that was held back unless it has to wait longer.
fn end_wait(daemon: &Daemon, end: impl FnOnce(&mut StartGate)) {
    let pending = {
        let mut gate = lock(&daemon.start_waits.gate);
        end(&mut gate);
        gate.release()
    };
    if let Some(announcement) = pending {
        backend::handle_announcement(daemon, &announcement);
    }
}

/// Ends the wait for the fleet.
pub(crate) fn end_fleet_wait(daemon: &Daemon) {
    end_wait(daemon, StartGate::record_fleet_answer);
}

/// Ends the wait for the recorded departures.
pub(crate) fn end_record_wait(daemon: &Daemon) {
    end_wait(daemon, StartGate::record_departures);
}

/// Ends all waits after [`StartGate::MAX_WAIT`], for a daemon that does not reach the others or the
/// source. Sets a backend server aside that has announced itself once only by the time at which a running
/// one has sent two announcements, unless it is known by then which ones have left.
pub(crate) async fn limit(daemon: Arc<Daemon>) {
    runtime::sleep(StartGate::MAX_WAIT).await;
    end_wait(&daemon, StartGate::time_out);
    runtime::sleep(InstanceTracker::CONFIRMATION_AGE - StartGate::MAX_WAIT).await;
    let is_unconfirmed = lock(&daemon.instances).is_unconfirmed(Instant::now());
    if is_unconfirmed && daemon.backend().is_some() {
        backend::set_aside(&daemon);
    }
}
