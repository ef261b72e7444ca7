//! The backend server of this host: its announcements, its liveness, and the start of at-most-once
//! execution for its service.

use crate::backend_status;
use crate::crashes;
use crate::daemon::{Daemon, lock};
use crate::slots::Slots;
use indigospur_admission::{Admission, Options};
use indigospur_members::{AnnouncementOutcome, Instance};
use indigospur_once::{Once, OnceOptions};
use indigospur_protocol::{Announcement, Rate, ServiceName, State};
use indigospur_publish::{Body, Record};
use indigospur_relay::{BackendPool, runtime};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// Time without an announcement after which the backend server is probed by opening a connection.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number of slots or connections accepted in an announcement.
const MAX_SLOTS: u32 = 65_536;

/// Rate limit that was announced to the fleet, and when.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnnouncedRate {
    pub(crate) rate: Option<Rate>,
    pub(crate) at: Option<Instant>,
}

/// The backend server of this host as last announced.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) service: ServiceName,
    /// Name that the backend server gives its present process; empty if it gives none.
    pub(crate) instance: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch; zero if not announced.
    started_ms: u64,
    pub(crate) pool: BackendPool,
    pub(crate) slots: Arc<Slots>,
    /// Rate limit last announced to the fleet.
    pub(crate) announced_rate: Mutex<AnnouncedRate>,
    /// Whether an answer of it has been read.
    pub(crate) has_answered: AtomicBool,
    /// Set by the first call that finds the backend server down.
    is_down: AtomicBool,
}

impl Backend {
    fn new(daemon: &Daemon, announcement: &Announcement, cold: bool) -> Arc<Backend> {
        let mut options = Options {
            slots: announcement.slots,
            seed: daemon.incarnation,
            ..daemon.settings().admission()
        };
        if !cold {
            options.ramp = Duration::ZERO;
        }
        let now = Instant::now();
        let slots = Slots::new(Admission::new(options, now));
        let instance = Instance::new(&announcement.instance, announcement.started_ms);
        let rate = backend_status::known_rate_limit(daemon, &instance);
        slots.observe_rate_limit(now, rate);
        runtime::spawn(slots.clone().run_ticks());
        Arc::new(Backend {
            service: announcement.service.clone(),
            instance: announcement.instance.clone(),
            started_ms: announcement.started_ms,
            pool: BackendPool::new(
                &announcement.address,
                announcement.connections,
                daemon.body_memory.clone(),
            ),
            slots,
            announced_rate: Mutex::new(AnnouncedRate { rate, at: None }),
            has_answered: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
        })
    }

    pub(crate) fn instance(&self) -> Instance {
        Instance::new(&self.instance, self.started_ms)
    }

    /// Marks the backend server as down. Returns true on the first call only, so that one crash is
    /// reported once.
    pub(crate) fn mark_down(&self) -> bool {
        !self.is_down.swap(true, Ordering::Relaxed)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.slots.retire();
    }
}

/// Validates an announcement; the error says what is wrong with it.
pub(crate) fn validate(announcement: &Announcement) -> Result<(), &'static str> {
    if announcement.service.is_empty() {
        return Err("service is empty; give the name of the service");
    }
    if announcement.address.parse::<SocketAddr>().is_err() {
        return Err("address is no IP number and port");
    }
    let counts = [announcement.slots, announcement.connections];
    if counts.iter().any(|count| !(1..=MAX_SLOTS).contains(count)) {
        return Err("slots and connections go from 1 to 65536");
    }
    Ok(())
}

/// Handles an announcement of the backend server. Returns whether it says that the backend server
/// leaves and this was not known yet. One that would bring new work may be held back while the daemon
/// starts.
pub(crate) fn handle_announcement(daemon: &Daemon, announcement: &Announcement) -> bool {
    if daemon.start_waits.hold_back(announcement) {
        return false;
    }
    let now = Instant::now();
    let outcome = lock(&daemon.instances).record_announcement(now, announcement);
    log_announcement(announcement, outcome);
    if matches!(
        outcome,
        AnnouncementOutcome::Stale | AnnouncementOutcome::Unconfirmed
    ) {
        return false;
    }
    *lock(&daemon.last_announced) = Some(now);
    let leaving = outcome == AnnouncementOutcome::Leaving;
    if !leaving {
        update_backend(daemon, announcement);
    }
    let draining = leaving || daemon.is_draining();
    if leaving {
        daemon.leave_slots();
        lock(&daemon.fleet).suspects.record_departure();
    } else if !daemon.accepts_callers() {
        daemon.drain_slots();
    }
    let rate_limit = daemon
        .backend()
        .and_then(|backend| lock(&backend.announced_rate).rate);
    let state_changed = lock(&daemon.fleet).members.announce(now, |me| {
        me.service = announcement.service.clone();
        me.slots = announcement.slots;
        me.connections = announcement.connections;
        me.instance = announcement.instance.clone();
        me.started_ms = announcement.started_ms;
        me.leaving = leaving;
        me.rate_limit = rate_limit;
        me.state = if draining {
            State::Draining
        } else {
            announcement.state
        };
    });
    if state_changed {
        daemon.publish_own_state();
    }
    leaving && state_changed
}

fn log_announcement(announcement: &Announcement, outcome: AnnouncementOutcome) {
    let level = match outcome {
        AnnouncementOutcome::Known => log::Level::Trace,
        AnnouncementOutcome::New | AnnouncementOutcome::Leaving => log::Level::Info,
        AnnouncementOutcome::Stale | AnnouncementOutcome::Unconfirmed => log::Level::Warn,
    };
    log::log!(
        level,
        instance = &*announcement.instance,
        born = announcement.started_ms,
        sequence = announcement.sequence,
        service = &*announcement.service,
        state:debug = announcement.state,
        slots = announcement.slots,
        cold_ms = announcement.cold_ms,
        heard:debug = outcome;
        "backend server announcement handled"
    );
}

/// Handles the message that a process of the backend server, identified by `instance`, has left.
/// Returns whether it is the current process and was not yet known to leave.
pub(crate) fn handle_departure(daemon: &Daemon, instance: &Instance) -> bool {
    let now = Instant::now();
    let mut instances = lock(&daemon.instances);
    let is_known = instances.departed().any(|departed| departed == instance);
    let has_left = instances.mark_left(now, instance);
    drop(instances);
    if !is_known {
        daemon.departures.update();
    }
    if !has_left {
        return false;
    }
    daemon.leave_slots();
    let mut fleet = lock(&daemon.fleet);
    fleet.suspects.record_departure();
    let state_changed = fleet.members.announce(now, |me| {
        me.state = State::Draining;
        me.leaving = true;
    });
    drop(fleet);
    if state_changed {
        log::info!(
            instance = &*instance.name,
            born = instance.started_ms;
            "backend server is leaving; it gets no new calls"
        );
        daemon.publish_own_state();
    }
    state_changed
}

/// Whether an instance that this daemon does not know serves on another host.
pub(crate) fn is_on_another_host(daemon: &Daemon, instance: &str) -> bool {
    if lock(&daemon.instances).knows(instance) {
        return false;
    }
    let fleet = lock(&daemon.fleet);
    let mut others = fleet
        .members
        .all()
        .filter(|member| member.host != *daemon.host() && member.state != State::Down);
    others.any(|member| &*member.instance == instance)
}

/// Puts an announced backend server in place, or updates the one that is there already.
fn update_backend(daemon: &Daemon, announcement: &Announcement) {
    let current = daemon.backend();
    let unchanged = current.as_ref().filter(|backend| {
        backend.service == announcement.service
            && backend.pool.address() == &*announcement.address
            && backend.instance == announcement.instance
            && backend.started_ms == announcement.started_ms
    });
    match unchanged {
        Some(backend) => {
            backend.slots.set_slots(announcement.slots);
            if !daemon.is_draining() {
                backend.slots.resume();
                backend.pool.resume_sending();
            }
            let now = Instant::now();
            lock(&daemon.fleet).suspects.record_announcement(now);
        }
        None => {
            let crashed = daemon.backend_lost.swap(false, Ordering::Relaxed);
            let cold = crashed || announcement.cold_ms > 0;
            *lock(&daemon.backend) = Some(Backend::new(daemon, announcement, cold));
            crashes::record_start(daemon);
        }
    }
    start_at_most_once(daemon, &announcement.service);
}

/// Handles an increase of this daemon's incarnation, which was below one that the fleet knows from
/// an earlier start.
pub(crate) fn handle_new_incarnation(daemon: &Daemon) {
    if let Some(backend) = daemon.backend() {
        start_at_most_once(daemon, &backend.service);
    }
}

/// Starts at-most-once execution for the service of this host under the daemon's current
/// incarnation. State kept under another incarnation is dropped as in a crash, because other
/// daemons count that incarnation as dead.
fn start_at_most_once(daemon: &Daemon, service: &ServiceName) {
    if !daemon.settings().at_most_once {
        return;
    }
    let mut once = lock(&daemon.once);
    let me = lock(&daemon.fleet).members.own_id();
    if once.as_ref().is_some_and(|state| *state.me() == me) {
        return;
    }
    let settings = daemon.settings();
    let options = OnceOptions {
        horizon: settings.key_horizon,
        lease: settings.key_lease,
        ..OnceOptions::default()
    };
    let follower = lock(&daemon.follower);
    let mut state = Once::new(*lock(&daemon.last_log_read), me, options);
    for fetched in follower.records(0) {
        if let Ok(Record {
            body: Body::Epoch(epoch),
            ..
        }) = Record::decode(&fetched.body)
            && epoch.service == *service
        {
            state.apply(Instant::now(), SystemTime::now(), epoch);
        }
    }
    *once = Some(state);
}

/// Removes a backend server that is down: the host gets no calls until the next announcement.
pub(crate) fn remove(daemon: &Daemon, backend: &Arc<Backend>) {
    let mut current = lock(&daemon.backend);
    if current
        .as_ref()
        .is_some_and(|current| Arc::ptr_eq(current, backend))
    {
        *current = None;
        daemon.backend_lost.store(true, Ordering::Relaxed);
    }
    drop(current);
    announce_absence(daemon);
}

/// Sets the backend server aside until it announces itself again, since it may have left.
pub(crate) fn set_aside(daemon: &Daemon) {
    lock(&daemon.instances).set_aside();
    *lock(&daemon.backend) = None;
    announce_absence(daemon);
    log::info!(
        "the backend server has not announced itself again and may have left; it gets no new calls until it does"
    );
}

fn announce_absence(daemon: &Daemon) {
    let now = Instant::now();
    if lock(&daemon.fleet)
        .members
        .announce(now, |me| me.state = State::Waiting)
    {
        daemon.publish_own_state();
    }
}

/// Probes a backend server whose announcements have ceased, and removes it if it accepts no
/// connection. One that may have left is set aside without a probe.
pub(crate) async fn watch(daemon: Arc<Daemon>) {
    loop {
        runtime::sleep(ANNOUNCEMENT_TIMEOUT / 3).await;
        let is_silent =
            lock(&daemon.last_announced).is_some_and(|at| at.elapsed() > ANNOUNCEMENT_TIMEOUT);
        let Some(backend) = daemon.backend().filter(|_| is_silent) else {
            continue;
        };
        if lock(&daemon.instances).may_have_left(Instant::now()) {
            set_aside(&daemon);
            continue;
        }
        if !backend.pool.accepts_connections().await {
            remove(&daemon, &backend);
        }
    }
}
