//! The backend server beside this daemon, as it announced itself.

use crate::daemon::{Daemon, lock};
use crate::slots::Slots;
use indigospur_admission::{Admission, Options};
use indigospur_members::{AnnouncementOutcome, Instance};
use indigospur_once::{Once, OnceOptions};
use indigospur_protocol::{Announcement, ServiceName, State};
use indigospur_publish::{Body, Record};
use indigospur_relay::{BackendPool, runtime};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Time without an announcement after which the backend server is asked for a connection.
const SILENCE: Duration = Duration::from_secs(3);
/// Time in which a daemon that starts hears of the others, if it reaches any.
const FLEET_TIME: Duration = Duration::from_millis(300);
/// Largest number of slots or connections that is believed.
const MOST_SLOTS: u32 = 65_536;

/// The backend server beside this daemon.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) service: ServiceName,
    /// Name of its start; empty if it gives none.
    pub(crate) instance: Arc<str>,
    born: u64,
    pub(crate) pool: BackendPool,
    pub(crate) slots: Arc<Slots>,
    /// Set by the first call that finds it gone.
    gone: AtomicBool,
}

impl Backend {
    fn new(daemon: &Daemon, announced: &Announcement, cold: bool) -> Arc<Backend> {
        let mut options = Options {
            slots: announced.slots,
            seed: daemon.incarnation,
            ..daemon.settings().admission()
        };
        if !cold {
            options.ramp = Duration::ZERO;
        }
        let slots = Slots::new(Admission::new(options, Instant::now()));
        runtime::spawn(slots.clone().run_ticks());
        Arc::new(Backend {
            service: announced.service.clone(),
            instance: announced.instance.clone(),
            born: announced.started_ms,
            pool: BackendPool::new(&announced.address, announced.connections),
            slots,
            gone: AtomicBool::new(false),
        })
    }

    /// Whether the caller is the first to find the backend server gone.
    pub(crate) fn is_first_to_find_gone(&self) -> bool {
        !self.gone.swap(true, Ordering::Relaxed)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.slots.retire();
    }
}

/// What is wrong with an announcement, if anything.
pub(crate) fn check(announced: &Announcement) -> Result<(), &'static str> {
    if announced.service.is_empty() {
        return Err("service is empty; give the name of the service");
    }
    if announced.address.parse::<SocketAddr>().is_err() {
        return Err("address is no IP number and port");
    }
    let counts = [announced.slots, announced.connections];
    if counts.iter().any(|count| !(1..=MOST_SLOTS).contains(count)) {
        return Err("slots and connections go from 1 to 65536");
    }
    Ok(())
}

/// Another daemon has told what it knows, or there was time for it: takes in the announcement that
/// waits for that.
pub(crate) fn fleet_heard(daemon: &Daemon) {
    if daemon.heard_fleet.swap(true, Ordering::Relaxed) {
        return;
    }
    let pending = lock(&daemon.pending).take();
    if let Some(announced) = pending {
        announce(daemon, &announced);
    }
}

/// Takes an announcement in; whether it is news that the backend server leaves.
///
/// A daemon that has just started does not know which starts of its backend server have left; the
/// others do. Until one of them has answered, announcements that would bring new work wait.
pub(crate) fn announce(daemon: &Daemon, announced: &Announcement) -> bool {
    let waits = !announced.instance.is_empty() && announced.state != State::Draining;
    if waits && !daemon.heard_fleet.load(Ordering::Relaxed) {
        *lock(&daemon.pending) = Some(announced.clone());
        return false;
    }
    let now = Instant::now();
    let heard = lock(&daemon.starts).record_announcement(now, announced);
    log_announcement(announced, heard);
    if heard == AnnouncementOutcome::Stale {
        return false;
    }
    *lock(&daemon.heard) = Some(now);
    let leaves = heard == AnnouncementOutcome::Leaving;
    if !leaves {
        take(daemon, announced);
    }
    let draining = leaves || daemon.is_draining();
    if leaves || !daemon.takes_callers() {
        daemon.drain_slots();
    }
    let changed = lock(&daemon.fleet).members.announce(now, |me| {
        me.service = announced.service.clone();
        me.slots = announced.slots;
        me.connections = announced.connections;
        me.instance = announced.instance.clone();
        me.started_ms = announced.started_ms;
        me.leaving = leaves;
        me.state = if draining {
            State::Draining
        } else {
            announced.state
        };
    });
    if changed {
        daemon.own_state_changed();
    }
    leaves && changed
}

fn log_announcement(announced: &Announcement, heard: AnnouncementOutcome) {
    let level = match heard {
        AnnouncementOutcome::Known => log::Level::Trace,
        AnnouncementOutcome::New | AnnouncementOutcome::Leaving => log::Level::Info,
        AnnouncementOutcome::Stale => log::Level::Warn,
    };
    log::log!(
        level,
        instance = &*announced.instance,
        born = announced.started_ms,
        sequence = announced.sequence,
        service = &*announced.service,
        state:debug = announced.state,
        slots = announced.slots,
        cold_ms = announced.cold_ms,
        heard:debug;
        "backend server announced"
    );
}

/// A start of the backend server has left; whether that is news of the present one.
pub(crate) fn leave(daemon: &Daemon, start: &Instance) -> bool {
    let now = Instant::now();
    if !lock(&daemon.starts).mark_left(now, start) {
        return false;
    }
    log::info!(instance = &*start.name, born = start.started_ms; "backend server leaves");
    daemon.drain_slots();
    let changed = lock(&daemon.fleet).members.announce(now, |me| {
        me.state = State::Draining;
        me.leaving = true;
    });
    if changed {
        daemon.own_state_changed();
    }
    true
}

fn take(daemon: &Daemon, announced: &Announcement) {
    let known = daemon.backend();
    let same = known.as_ref().filter(|backend| {
        backend.service == announced.service
            && backend.pool.address() == &*announced.address
            && backend.instance == announced.instance
            && backend.born == announced.started_ms
    });
    match same {
        Some(backend) => backend.slots.set_slots(announced.slots),
        None => {
            let crashed = daemon.was_gone.swap(false, Ordering::Relaxed);
            let cold = crashed || announced.cold_ms > 0;
            *lock(&daemon.backend) = Some(Backend::new(daemon, announced, cold));
        }
    }
    start_once(daemon, &announced.service);
}

/// The number of this start was raised above that of an earlier one.
pub(crate) fn renumbered(daemon: &Daemon) {
    if let Some(backend) = daemon.backend() {
        start_once(daemon, &backend.service);
    }
}

/// Takes up this daemon's part in at-most-once execution for its service. The part of another
/// number of this start is dropped as by a crash: other daemons take that number for gone.
fn start_once(daemon: &Daemon, service: &ServiceName) {
    if !daemon.settings().at_most_once {
        return;
    }
    let mut once = lock(&daemon.once);
    let me = lock(&daemon.fleet).members.own_id();
    if once.as_ref().is_some_and(|part| *part.me() == me) {
        return;
    }
    let settings = daemon.settings();
    let options = OnceOptions {
        horizon: settings.key_horizon,
        lease: settings.key_lease,
        ..OnceOptions::default()
    };
    let follower = lock(&daemon.follower);
    let mut part = Once::new(*lock(&daemon.log_read), me, options);
    for fetched in follower.records(0) {
        if let Ok(Record {
            body: Body::Epoch(epoch),
            ..
        }) = Record::decode(&fetched.body)
            && epoch.service == *service
        {
            part.apply(Instant::now(), SystemTime::now(), epoch);
        }
    }
    *once = Some(part);
}

/// The backend server is gone: no new work until it announces itself again.
pub(crate) fn lost(daemon: &Daemon, backend: &Arc<Backend>) {
    let mut current = lock(&daemon.backend);
    if current
        .as_ref()
        .is_some_and(|current| Arc::ptr_eq(current, backend))
    {
        *current = None;
        daemon.was_gone.store(true, Ordering::Relaxed);
    }
    drop(current);
    let now = Instant::now();
    if lock(&daemon.fleet)
        .members
        .announce(now, |me| me.state = State::Waiting)
    {
        daemon.own_state_changed();
    }
}

/// Ends the wait for other daemons after a time, as when there are none.
pub(crate) async fn end_wait(daemon: Arc<Daemon>) {
    runtime::sleep(FLEET_TIME).await;
    fleet_heard(&daemon);
}

/// Notices a backend server that has fallen silent, by asking it for a connection.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        runtime::sleep(SILENCE / 3).await;
        let silent = lock(&daemon.heard).is_some_and(|at| at.elapsed() > SILENCE);
        let Some(backend) = daemon.backend().filter(|_| silent) else {
            continue;
        };
        if !backend.pool.accepts_connections().await {
            lost(&daemon, &backend);
        }
    }
}
