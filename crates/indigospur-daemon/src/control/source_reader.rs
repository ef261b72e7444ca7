//! Follows a configuration source, directly and through configurations that other daemons have read.

use crate::configuration::{ConfigurationBatch, ConfigurationSource, Contact, SourceError};
use crate::control::gossip;
use crate::daemon::{Daemon, lock};
use crate::{backend, peers};
use indigospur_protocol::State;
use indigospur_publish::{Cursor, Position};
use indigospur_relay::LogError;
use indigospur_relay::runtime::{self, BoxFuture};
use rand::Rng;
use rand::seq::SliceRandom;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for a change in one read by a watcher, a daemon that follows the source closely for
/// the whole fleet. A silent connection is noticed after this time.
const WATCHER_WAIT: Duration = Duration::from_millis(1_500);
/// Longest wait for a change in one read by any other daemon; these learn of changes from the
/// watchers by gossip.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Number of watchers.
const WATCHER_COUNT: usize = 3;
/// Registered daemons that are asked for the member list at a time.
const CONTACTS_AT_ONCE: usize = 4;
/// Time after which the next ones are asked, if none of them has answered.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which the source should answer, in addition to the wait in the request. After it the
/// request is repeated, but a late answer is still used.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// First delay after a failed read; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay after a failed read: the end of an outage is noticed within it.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// State of reading the source.
#[derive(Debug, Default)]
struct Progress {
    /// Position at the present address of the source.
    cursor: Cursor,
    /// Whether the last read succeeded.
    available: bool,
    /// Number of changes of the source's address. The cursor holds only at the address that it was
    /// read from.
    address_changes: u64,
}

/// A read in progress.
#[derive(Clone, Copy, Debug)]
struct StartedRead {
    started: Instant,
    /// Position that it reads from; `None` if it reads the newest configuration.
    from: Option<Position>,
    /// [`Progress::address_changes`] at its start.
    address_changes: u64,
}

/// The reader of a source.
#[derive(Debug)]
struct Reader {
    daemon: Arc<Daemon>,
    source: Arc<dyn ConfigurationSource>,
    progress: Mutex<Progress>,
}

/// Registers this daemon and follows the source, for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, source: Arc<dyn ConfigurationSource>) {
    runtime::spawn(register(daemon.clone(), source.clone()));
    let reader = Arc::new(Reader {
        daemon: daemon.clone(),
        source,
        progress: Mutex::default(),
    });
    let mut backoff = Backoff::default();
    loop {
        let read = async { Some(reader.read().await) };
        match futures_lite::future::or(read, address_changed(&daemon)).await {
            None => {
                reader.restart();
                runtime::spawn(register(daemon.clone(), reader.source.clone()));
            }
            Some(Ok(())) => backoff = Backoff::default(),
            Some(Err(_)) => backoff.wait(&daemon).await,
        }
    }
}

/// Completes when the address of the source has changed.
async fn address_changed<T>(daemon: &Daemon) -> Option<T> {
    let _ = daemon.source_address_changed.1.recv().await;
    None
}

impl Reader {
    async fn read(self: &Arc<Self>) -> Result<(), SourceError> {
        let started = Instant::now();
        let (from, address_changes) = {
            let progress = lock(&self.progress);
            (progress.cursor.position(), progress.address_changes)
        };
        let wait = from.map_or(Duration::ZERO, |_| change_wait(&self.daemon));
        let call = match from {
            Some(from) => self.source.changes(from, wait),
            None => self.source.newest(),
        };
        let read = StartedRead {
            started,
            from,
            address_changes,
        };
        let reader = self.clone();
        with_timeout(wait, call, move |batch| reader.apply(read, batch))
            .await
            .inspect_err(|error| self.record_failure(read, *error))
    }

    /// Applies the answer to a read.
    fn apply(&self, read: StartedRead, batch: ConfigurationBatch) {
        let mut progress = lock(&self.progress);
        let is_restored = read.address_changes == progress.address_changes
            && progress.cursor.advance(read.from, batch.next);
        let was_available = std::mem::replace(&mut progress.available, true);
        drop(progress);
        log_read(read.from, &batch, is_restored);
        record_success(&self.daemon, read.started, was_available);
        for body in batch.bodies {
            self.daemon.metrics.count_control_bytes(body.len());
            apply_if_newer(&self.daemon, self.source.as_ref(), &body, "source");
        }
    }

    /// Starts again from the newest configuration, at the new address of the source.
    fn restart(&self) {
        let mut progress = lock(&self.progress);
        progress.cursor = Cursor::default();
        progress.address_changes += 1;
    }

    fn record_failure(&self, read: StartedRead, error: SourceError) {
        let mut progress = lock(&self.progress);
        let was_available = std::mem::replace(&mut progress.available, false);
        // Reading can't continue from this position, but may from the newest configuration.
        if matches!(error, SourceError::PositionExpired | SourceError::Malformed) {
            progress.cursor.expire(read.from);
        }
        drop(progress);
        record_failure(&self.daemon, error, was_available);
    }
}

/// Logs a read that brought configurations or is the first one since the source was restored.
fn log_read(from: Option<Position>, batch: &ConfigurationBatch, is_restored: bool) {
    let Position { era, offset } = batch.next;
    if is_restored {
        log::warn!(era, from:?, next = offset; "the configuration source was restored from an earlier copy; the newest configuration is read again");
    }
    if !batch.bodies.is_empty() {
        log::info!(era, from:?, next = offset, count = batch.bodies.len(); "configurations read from the source");
    }
}

/// Runs a call that may take `wait` and passes its result to `apply`, even if it is late: a slow
/// source is followed though all its answers are too late.
///
/// # Errors
/// The call failed, or did not complete within `wait` and [`ANSWER_TIMEOUT`].
async fn with_timeout<T: Send + 'static>(
    wait: Duration,
    call: BoxFuture<Result<T, SourceError>>,
    apply: impl FnOnce(T) + Send + 'static,
) -> Result<(), SourceError> {
    let mut task = runtime::spawn(async move { call.await.map(apply) });
    let outcome = runtime::timeout(wait + ANSWER_TIMEOUT, &mut task).await;
    outcome.unwrap_or(Err(SourceError::RequestFailed(LogError::Unanswered)))
}

/// Exponential backoff with jitter.
struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { delay: MIN_BACKOFF }
    }
}

impl Backoff {
    async fn wait(&mut self, daemon: &Daemon) {
        let jittered = lock(&daemon.rng).random_range(self.delay / 2..self.delay);
        runtime::sleep(jittered).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

/// Wait for a change in one read. The first members by host name that are ready, or wait for their
/// backend server, are the watchers.
fn change_wait(daemon: &Daemon) -> Duration {
    let fleet = lock(&daemon.fleet);
    let ready = fleet
        .members
        .all()
        .filter(|member| matches!(member.state, State::Ready | State::Waiting));
    let mut first = ready.take(WATCHER_COUNT);
    if first.any(|member| member.host == *daemon.host()) {
        WATCHER_WAIT
    } else {
        DEFAULT_WAIT
    }
}

/// Records a successful read; `was_available` says whether the one before succeeded.
fn record_success(daemon: &Daemon, started: Instant, was_available: bool) {
    let before = lock(&daemon.last_log_read).replace(started);
    if !was_available {
        let age = before.map_or(0, |at| at.elapsed().as_millis() as u64);
        log::info!(last_read_ms_ago = age; "the configuration source answers; its configurations are followed");
    }
}

/// Records a failed read; `was_available` says whether the one before succeeded.
fn record_failure(daemon: &Daemon, error: SourceError, was_available: bool) {
    daemon.metrics.count_source_failure();
    if was_available {
        let version = lock(&daemon.newest).version();
        log::warn!(error:display, version; "the configuration source can't be read; the last configuration stays in force");
    }
}

/// Decodes a configuration and puts it in force if its version is newer.
fn apply_if_newer(
    daemon: &Arc<Daemon>,
    source: &dyn ConfigurationSource,
    body: &Arc<[u8]>,
    from: &str,
) {
    let published = match source.decode(body) {
        Ok(published) => published,
        Err(reason) => {
            daemon.metrics.count_skipped_configuration();
            log::warn!(reason, from, bytes = body.len(); "a configuration can't be decoded and is skipped");
            return;
        }
    };
    let accepted = lock(&daemon.newest).accept_newer(published.version, body.clone());
    if !accepted {
        return;
    }
    let rules = published.rules.rules.len();
    log::info!(version = published.version, rules, from; "configuration in force");
    daemon.apply_rules(published.rules);
    daemon.wake_gossip();
}

/// Fetches the newest configuration of the daemon at `address`.
pub(crate) async fn fetch_from(daemon: Arc<Daemon>, address: Arc<str>) {
    let Some(source) = daemon.source.clone() else {
        return;
    };
    let from = lock(&daemon.newest).version();
    let reply = match peers::fetch(&daemon, &address, from).await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!(address = &*address, error:debug; "a daemon did not send its configuration; nothing was fetched");
            return;
        }
    };
    for record in reply.records {
        daemon.metrics.count_control_bytes(record.body.len());
        apply_if_newer(&daemon, source.as_ref(), &record.body.into(), &address);
    }
}

/// State of the registration, shared with calls that may complete late.
#[derive(Debug, Default)]
struct Registration {
    registered: bool,
    /// Last list of contacts that was not used yet, and whether it was requested after this daemon
    /// had registered.
    contacts: Option<(bool, Vec<Contact>)>,
}

/// Registers this daemon and joins the fleet by way of registered daemons, until it is registered
/// and either knows another member or is the only one registered.
///
/// A daemon registers before it reads the contacts, so that of two that start together at least one
/// finds the other. While it can't register it reads the contacts until it knows another member, and
/// reads them once more after it has registered.
async fn register(daemon: Arc<Daemon>, source: Arc<dyn ConfigurationSource>) {
    let own = Contact {
        host: daemon.host().clone(),
        address: lock(&daemon.fleet).members.me().address.clone(),
    };
    let registration = Arc::new(Mutex::new(Registration::default()));
    let mut backoff = Backoff::default();
    loop {
        let registered = lock(&registration).registered;
        if !registered {
            let shared = registration.clone();
            let call = source.register(own.clone());
            let attempt = with_timeout(Duration::ZERO, call, move |()| {
                lock(&shared).registered = true;
            });
            if let Err(error) = attempt.await {
                log::debug!(error:display; "this daemon could not be registered at the configuration source; trying again");
            }
        }
        let registered = lock(&registration).registered;
        let alone = lock(&daemon.fleet).members.is_empty();
        if registered || alone {
            read_contacts(source.as_ref(), &registration).await;
        }
        let contacts = lock(&registration).contacts.take();
        if let Some((registered, contacts)) = contacts
            && join_via_contacts(&daemon, contacts).await
            && registered
        {
            return;
        }
        backoff.wait(&daemon).await;
    }
}

/// Reads the contacts of the registered daemons.
async fn read_contacts(source: &dyn ConfigurationSource, registration: &Arc<Mutex<Registration>>) {
    let registered = lock(registration).registered;
    let shared = registration.clone();
    let read = with_timeout(Duration::ZERO, source.contacts(), move |contacts| {
        lock(&shared).contacts = Some((registered, contacts));
    });
    if let Err(error) = read.await {
        log::debug!(error:display; "the registered daemons could not be read from the configuration source; trying again");
    }
}

/// Joins the fleet by way of registered daemons. Returns whether another member is known then, or no
/// other daemon is registered.
async fn join_via_contacts(daemon: &Arc<Daemon>, contacts: Vec<Contact>) -> bool {
    let others = contacts.into_iter();
    let others = others.filter(|contact| contact.host != *daemon.host());
    let mut others: Vec<Contact> = others.collect();
    if others.is_empty() {
        backend::end_fleet_wait(daemon);
        return true;
    }
    others.shuffle(&mut *lock(&daemon.rng));
    for contacts in others.chunks(CONTACTS_AT_ONCE) {
        for contact in contacts {
            gossip::join_via(daemon, contact.address.clone());
        }
        runtime::sleep(CONTACT_TIMEOUT).await;
        if !lock(&daemon.fleet).members.is_empty() {
            return true;
        }
    }
    false
}
