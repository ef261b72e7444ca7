//! Records the departures of this host's backend server at the configuration source, so that they outlive
//! all daemons, and reads those that were recorded before this daemon started.

use crate::backend;
use crate::configuration::{ConfigurationSource, Departures, HostDepartures, SourceError};
use crate::control::registration::renewal_delay;
use crate::control::source_reader::{Backoff, with_timeout};
use crate::daemon::{Daemon, lock};
use crate::start_waits;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_members::Instance;
use indigospur_publish::Era;
use indigospur_relay::runtime;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum number of departures in the record of a host.
const MAX_RECORDED: usize = 8;
/// Longest wait for a departure to be recorded: the backend server waits a second for the
/// acknowledgement that follows.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// What the source last confirmed to hold for this host.
#[derive(Debug)]
struct Confirmed {
    era: Era,
    instances: Vec<Instance>,
}

#[derive(Debug, Default)]
struct State {
    /// Latest era of the source.
    latest: Era,
    /// `None` until the source has been read.
    confirmed: Option<Confirmed>,
    /// Whether a read has failed.
    failed: bool,
    /// Number of changes of the source's address; answers from an earlier address count for nothing.
    address_changes: u64,
    /// Signalled when the source has confirmed a record.
    waiters: Vec<Sender<()>>,
}

impl State {
    /// Takes note of a record that the source holds, and wakes all waiters.
    fn confirm(&mut self, era: Era, instances: Vec<Instance>) {
        self.confirmed = Some(Confirmed { era, instances });
        self.latest = self.latest.max(era);
        for waiter in self.waiters.drain(..) {
            let _ = waiter.try_send(());
        }
    }

    /// Whether the source holds the departures of `instances`.
    fn holds(&self, instances: &[Instance]) -> bool {
        let Some(confirmed) = &self.confirmed else {
            return false;
        };
        let mut instances = instances.iter();
        instances.all(|instance| !self.is_lost() && confirmed.instances.contains(instance))
    }

    /// Whether the source may have lost the record: it is in a later era than at the confirmation.
    fn is_lost(&self) -> bool {
        let confirmed = self.confirmed.as_ref();
        confirmed.is_some_and(|confirmed| confirmed.era < self.latest)
    }
}

/// Record of the departures of this host at the source.
#[derive(Debug)]
pub(crate) struct DepartureRecord {
    state: Mutex<State>,
    /// Signals that there may be something to read or to write.
    changed: (Sender<()>, Receiver<()>),
}

impl Default for DepartureRecord {
    fn default() -> Self {
        DepartureRecord {
            state: Mutex::default(),
            changed: bounded(1),
        }
    }
}

impl DepartureRecord {
    /// Whether the departures that were recorded before have been read.
    fn is_read(&self) -> bool {
        lock(&self.state).confirmed.is_some()
    }

    /// Whether the departures that were recorded before have been read, or a read has failed.
    pub(crate) fn is_read_or_failed(&self) -> bool {
        let state = lock(&self.state);
        state.confirmed.is_some() || state.failed
    }

    /// Signals that an instance of the backend server may have left.
    pub(crate) fn update(&self) {
        let _ = self.changed.0.try_send(());
    }

    /// Takes note of the era of an answer of the source at its present address.
    pub(crate) fn observe_era(&self, era: Era) {
        let mut state = lock(&self.state);
        if era > state.latest {
            state.latest = era;
            self.update();
        }
    }

    /// Forgets what is recorded, as the address of the source has changed.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        *state = State {
            address_changes: state.address_changes + 1,
            waiters: std::mem::take(&mut state.waiters),
            ..State::default()
        };
        self.update();
    }

    /// Runs `apply` on the state unless the address of the source has changed since.
    fn apply(&self, address_changes: u64, apply: impl FnOnce(&mut State)) -> bool {
        let mut state = lock(&self.state);
        let is_current = state.address_changes == address_changes;
        if is_current {
            apply(&mut state);
        }
        is_current
    }
}

/// Instances whose departures the record of this host should hold, the oldest first.
fn departed_instances(daemon: &Daemon) -> Vec<Instance> {
    let instances = lock(&daemon.instances);
    let newest = instances.departed().rev().take(MAX_RECORDED);
    let mut newest: Vec<Instance> = newest.cloned().collect();
    newest.reverse();
    newest
}

/// Waits until the source holds all departures on this host, for at most [`RECORD_TIMEOUT`]. Returns
/// whether it does; without a source there is nothing to wait for.
pub(crate) async fn wait_until_recorded(daemon: &Daemon) -> bool {
    if daemon.source.is_none() {
        return true;
    }
    let recorded = async {
        loop {
            let instances = departed_instances(daemon);
            let (sender, confirmed) = bounded(1);
            {
                let mut state = lock(&daemon.departures.state);
                if state.holds(&instances) {
                    return;
                }
                state.waiters.retain(|waiter| !waiter.is_closed());
                state.waiters.push(sender);
            }
            daemon.departures.update();
            let _ = confirmed.recv().await;
        }
    };
    let recorded = runtime::timeout(RECORD_TIMEOUT, recorded).await.is_some();
    if !recorded {
        log::warn!(
            "a departure of the backend server is not recorded at the configuration source yet; it gets no new calls, but the departure is not acknowledged"
        );
    }
    recorded
}

/// Reads the record, then keeps it up to date for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, source: Arc<dyn ConfigurationSource>) {
    let mut backoff = Backoff::default();
    loop {
        let instances = departed_instances(&daemon);
        let outcome = if !daemon.departures.is_read() {
            read(&daemon, source.as_ref()).await
        } else if lock(&daemon.departures.state).holds(&instances) {
            let _ = daemon.departures.changed.1.recv().await;
            continue;
        } else {
            write(&daemon, source.as_ref()).await
        };
        match outcome {
            Ok(()) => backoff = Backoff::default(),
            Err(error) => {
                log::debug!(error:display; "the departures of this host could not be read or recorded at the configuration source; trying again");
                backoff.wait(&daemon).await;
            }
        }
    }
}

async fn read(daemon: &Arc<Daemon>, source: &dyn ConfigurationSource) -> Result<(), SourceError> {
    let address_changes = lock(&daemon.departures.state).address_changes;
    let reader = daemon.clone();
    let outcome = with_timeout(Duration::ZERO, source.departures(), move |departures| {
        restore(&reader, address_changes, departures);
    })
    .await;
    if outcome.is_err() {
        lock(&daemon.departures.state).failed = true;
        start_waits::handle_pending(daemon);
    }
    outcome
}

/// Applies departures that were recorded before.
fn restore(daemon: &Daemon, address_changes: u64, departures: Departures) {
    let mut own = Vec::new();
    for departures in departures.hosts {
        if departures.host == *daemon.host() {
            own = departures.instances;
        } else if let Some(newest) = departures.instances.into_iter().next_back() {
            // Tells the daemon there, in case it can't read the source.
            let mut fleet = lock(&daemon.fleet);
            fleet.members.recall_departed(departures.host, newest);
        }
    }
    for instance in &own {
        backend::handle_departure(daemon, instance);
    }
    let count = own.len();
    let is_current = daemon.departures.apply(address_changes, |state| {
        // A late answer does not replace what was confirmed meanwhile.
        if state.confirmed.is_none() {
            state.confirm(departures.era, own);
        }
    });
    if is_current {
        log::info!(count; "departures of this host's backend server read from the configuration source");
        lock(&daemon.instances).complete_history();
        start_waits::handle_pending(daemon);
    }
}

async fn write(daemon: &Arc<Daemon>, source: &dyn ConfigurationSource) -> Result<(), SourceError> {
    let (address_changes, can_wait) = {
        let state = lock(&daemon.departures.state);
        let can_wait = state.is_lost() && state.waiters.is_empty();
        (state.address_changes, can_wait)
    };
    if can_wait {
        let changed = daemon.departures.changed.1.recv();
        runtime::timeout(renewal_delay(daemon), changed).await;
    }
    let departures = HostDepartures {
        host: daemon.host().clone(),
        instances: departed_instances(daemon),
    };
    let instances = departures.instances.clone();
    let writer = daemon.clone();
    let call = source.record_departures(departures);
    with_timeout(Duration::ZERO, call, move |era| {
        writer.departures.apply(address_changes, |state| {
            state.confirm(era, instances);
        });
    })
    .await
}
