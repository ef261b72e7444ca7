//! Waits of a starting daemon, which does not know yet which instances of its backend server have left.
//! Other daemons and the configuration source do: until one of them and the source have answered,
//! announcements that would bring new work are held back.

use crate::backend;
use crate::daemon::{Daemon, lock};
use indigospur_members::InstanceTracker;
use indigospur_protocol::Announcement;
use indigospur_relay::runtime;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time for which announcements are held back.
const START_WAIT: Duration = Duration::from_millis(300);

/// What has ended so far, and what is held back.
#[derive(Debug, Default)]
pub(crate) struct StartWaits {
    /// Whether another daemon has answered gossip, none is registered, or [`START_WAIT`] has passed.
    fleet_answered: AtomicBool,
    /// Whether [`START_WAIT`] has passed.
    timed_out: AtomicBool,
    /// Whether this daemon has been registered at the source and has then asked all others that are.
    contacts_asked: AtomicBool,
    /// Last announcement that is held back.
    pending: Mutex<Option<Announcement>>,
}

impl StartWaits {
    /// Whether the wait for the fleet has ended.
    pub(crate) fn is_fleet_wait_over(&self) -> bool {
        self.fleet_answered.load(Ordering::Relaxed)
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
}

fn holds_back(daemon: &Daemon) -> bool {
    let waits = &daemon.start_waits;
    let source_answered = daemon.source.is_none() || daemon.departures.is_read_or_failed();
    let all_answered = source_answered && waits.is_fleet_wait_over();
    !all_answered && !waits.timed_out.load(Ordering::Relaxed)
}

/// Keeps an announcement for later if announcements are held back. Returns whether they are.
pub(crate) fn hold_back(daemon: &Daemon, announcement: &Announcement) -> bool {
    let holds_back = holds_back(daemon);
    if holds_back {
        *lock(&daemon.start_waits.pending) = Some(announcement.clone());
    }
    holds_back
}

/// Handles the announcement that was held back, unless it has to wait longer.
pub(crate) fn handle_pending(daemon: &Daemon) {
    if holds_back(daemon) {
        return;
    }
    let pending = lock(&daemon.start_waits.pending).take();
    if let Some(announcement) = pending {
        backend::handle_announcement(daemon, &announcement);
    }
}

/// Ends the wait for the fleet.
pub(crate) fn end_fleet_wait(daemon: &Daemon) {
    let waits = &daemon.start_waits;
    if !waits.fleet_answered.swap(true, Ordering::Relaxed) {
        handle_pending(daemon);
    }
}

/// Ends all waits after [`START_WAIT`], for a daemon that does not reach the others or the source. Sets a
/// backend server aside that has announced itself once only by the time at which a running one has sent
/// two announcements, unless it is known by then which ones have left.
pub(crate) async fn limit(daemon: Arc<Daemon>) {
    runtime::sleep(START_WAIT).await;
    let waits = &daemon.start_waits;
    waits.timed_out.store(true, Ordering::Relaxed);
    waits.fleet_answered.store(true, Ordering::Relaxed);
    handle_pending(&daemon);
    runtime::sleep(InstanceTracker::CONFIRMATION_AGE - START_WAIT).await;
    let is_unconfirmed = lock(&daemon.instances).is_unconfirmed(Instant::now());
    if is_unconfirmed && daemon.backend().is_some() {
        backend::set_aside(&daemon);
    }
}
