//! Records the departures of this host's backend server at the configuration source, so that they outlive
//! all daemons, and reads those that were recorded before this daemon started.

use crate::backend;
use crate::configuration::{
    ConfigurationSource, Departures, HostDepartures, SourceError, WriteOrder,
};
use crate::control::registration::renewal_delay;
use crate::control::source_reader::{Backoff, with_timeout};
use crate::daemon::{Daemon, lock};
use crate::start_waits;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_members::{DepartureLog, Instance, LogCall};
use indigospur_protocol::Era;
use indigospur_relay::runtime;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// Longest wait for a departure to be recorded: the backend server waits a second for the
/// acknowledgement that follows.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Default)]
struct State {
    log: DepartureLog,
    /// Signalled when the source has confirmed a record.
    waiters: Vec<Sender<()>>,
}

impl State {
    fn wake_waiters(&mut self) {
        for waiter in self.waiters.drain(..) {
            let _ = waiter.try_send(());
        }
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
    /// Signals that an instance of the backend server may have left.
    pub(crate) fn update(&self) {
        let _ = self.changed.0.try_send(());
    }

    /// Takes note of the era of an answer of the source at its present address.
    pub(crate) fn observe_era(&self, era: Era) {
        if lock(&self.state).log.observe_era(era) {
            self.update();
        }
    }

    /// Forgets what is recorded, as the address of the source has changed.
    pub(crate) fn restart(&self) {
        lock(&self.state).log.change_address();
        self.update();
    }
}

/// Instances whose departures the record of this host should hold, the oldest first.
fn departed_instances(daemon: &Daemon) -> Vec<Instance> {
    DepartureLog::recordable(&lock(&daemon.instances))
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
                if state.log.holds(&instances) {
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
        let call = lock(&daemon.departures.state).log.next_call(&instances);
        let outcome = match call {
            LogCall::Read => read(&daemon, source.as_ref()).await,
            LogCall::Write => write(&daemon, source.as_ref()).await,
            LogCall::Nothing => {
                let _ = daemon.departures.changed.1.recv().await;
                continue;
            }
        };
        match outcome {
            Ok(()) => backoff = Backoff::default(),
            Err(error) => {
                if error == SourceError::Outdated {
                    lock(&daemon.departures.state).log.record_outdated_write();
                }
                log::debug!(error:display; "the departures of this host could not be read or recorded at the configuration source; trying again");
                backoff.wait(&daemon).await;
            }
        }
    }
}

async fn read(daemon: &Arc<Daemon>, source: &dyn ConfigurationSource) -> Result<(), SourceError> {
    let address_changes = lock(&daemon.departures.state).log.address_changes();
    let reader = daemon.clone();
    let outcome = with_timeout(Duration::ZERO, source.departures(), move |departures| {
        restore(&reader, address_changes, departures);
    })
    .await;
    if outcome.is_err() {
        start_waits::end_record_wait(daemon);
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
    let is_current = {
        let mut state = lock(&daemon.departures.state);
        let is_current = state.log.record_read(address_changes, departures.era, own);
        state.wake_waiters();
        is_current
    };
    if is_current {
        log::info!(count; "departures of this host's backend server read from the configuration source");
        lock(&daemon.instances).complete_history();
        start_waits::end_record_wait(daemon);
    }
}

async fn write(daemon: &Arc<Daemon>, source: &dyn ConfigurationSource) -> Result<(), SourceError> {
    let (address_changes, can_wait) = {
        let state = lock(&daemon.departures.state);
        let can_wait = state.log.is_lost() && state.waiters.is_empty();
        (state.log.address_changes(), can_wait)
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
    let clock_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let clock_ms = clock_ms.unwrap_or_default().as_millis() as u64;
    let order = WriteOrder {
        generation: lock(&daemon.departures.state).log.begin_write(clock_ms),
        process: daemon.nonce as u32,
    };
    let writer = daemon.clone();
    let call = source.record_departures(departures, order);
    with_timeout(Duration::ZERO, call, move |era| {
        let mut state = lock(&writer.departures.state);
        state.log.record_write(address_changes, era, instances);
        state.wake_waiters();
    })
    .await
}
