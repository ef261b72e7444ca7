//! Follows a configuration source, directly and through configurations that other daemons have read.

use crate::configuration::{ConfigurationBatch, ConfigurationSource, SourceError};
use crate::control::registration::Registration;
use crate::daemon::{Daemon, lock};
use crate::deadline::Moment;
use crate::peers;
use indigospur_protocol::State;
use indigospur_publish::{Cursor, Position};
use indigospur_relay::LogError;
use indigospur_relay::runtime::{self, BoxFuture};
use rand::Rng;
use std::sync::atomic::Ordering;
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
    registration: Arc<Registration>,
    progress: Mutex<Progress>,
}

/// Registers this daemon and follows the source, for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, source: Arc<dyn ConfigurationSource>) {
    let registration = Registration::new(daemon.clone(), source.clone());
    runtime::spawn(registration.clone().run());
    let reader = Arc::new(Reader {
        daemon: daemon.clone(),
        source,
        registration,
        progress: Mutex::default(),
    });
    let mut backoff = Backoff::default();
    loop {
        let read = async { Event::ReadEnded(reader.read().await) };
        match futures_lite::future::or(read, interruption(&daemon)).await {
            Event::AddressChanged => {
                reader.restart();
                reader.registration.restart();
                daemon.departures.restart();
            }
            Event::BecameWatcher | Event::ReadEnded(Ok(())) => backoff = Backoff::default(),
            Event::ReadEnded(Err(SourceError::PositionExpired)) => {
                // The source answers. A short wait bounds the calls if it expires all positions.
                backoff = Backoff::default();
                backoff.wait(&daemon).await;
            }
            Event::ReadEnded(Err(_)) => backoff.wait(&daemon).await,
        }
    }
}

/// What ends the wait for a read.
enum Event {
    ReadEnded(Result<(), SourceError>),
    /// The address of the source has changed.
    AddressChanged,
    /// This daemon has become a watcher, and its read may have gone silent.
    BecameWatcher,
}

/// Completes when the next read must not wait for the present one.
async fn interruption(daemon: &Daemon) -> Event {
    let address_changed = async {
        let _ = daemon.source_address_changed.1.recv().await;
        Event::AddressChanged
    };
    let became_watcher = async {
        let _ = daemon.became_watcher.1.recv().await;
        Event::BecameWatcher
    };
    futures_lite::future::or(address_changed, became_watcher).await
}

/// Starts the next read at once if this daemon has become a watcher by a change of the member list.
pub(crate) fn update_role(daemon: &Daemon) {
    let watches = is_watcher(daemon);
    let watched = daemon.watches_source.swap(watches, Ordering::Relaxed);
    if watches && !watched {
        let _ = daemon.became_watcher.0.try_send(());
    }
}

impl Reader {
    async fn read(self: &Arc<Self>) -> Result<(), SourceError> {
        let started = Instant::now();
        let (from, address_changes) = {
            let progress = lock(&self.progress);
            (progress.cursor.position(), progress.address_changes)
        };
        // The wait of this read takes earlier changes of the role into account.
        let _ = self.daemon.became_watcher.1.try_recv();
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
        // Under the lock, so that a change of the address does not come between the two.
        self.registration.observe_era(progress.cursor.era());
        self.daemon.departures.observe_era(progress.cursor.era());
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
        if error == SourceError::PositionExpired {
            progress.cursor.expire(read.from);
            log::info!(from:? = read.from; "the configuration source no longer holds the read position; the newest configuration is read");
            return;
        }
        let took_ms = read.started.elapsed().as_millis() as u64;
        log::info!(error:display, from:? = read.from, took_ms; "read of the configuration source failed");
        let was_available = std::mem::replace(&mut progress.available, false);
        // Reading can't continue from this position, but may from the newest configuration.
        if error == SourceError::Malformed {
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
pub(crate) async fn with_timeout<T: Send + 'static>(
    wait: Duration,
    call: BoxFuture<Result<T, SourceError>>,
    apply: impl FnOnce(T) + Send + 'static,
) -> Result<(), SourceError> {
    let mut task = runtime::spawn(async move { call.await.map(apply) });
    let outcome = runtime::timeout(wait + ANSWER_TIMEOUT, &mut task).await;
    outcome.unwrap_or(Err(SourceError::RequestFailed(LogError::Unanswered)))
}

/// Exponential backoff with jitter.
pub(crate) struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { delay: MIN_BACKOFF }
    }
}

impl Backoff {
    pub(crate) async fn wait(&mut self, daemon: &Daemon) {
        let jittered = lock(&daemon.rng).random_range(self.delay / 2..self.delay);
        runtime::sleep(jittered).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

/// Wait for a change in one read.
fn change_wait(daemon: &Daemon) -> Duration {
    let watches = is_watcher(daemon);
    daemon.watches_source.store(watches, Ordering::Relaxed);
    if watches { WATCHER_WAIT } else { DEFAULT_WAIT }
}

/// Whether this daemon is a watcher: one of the first members by host name that are ready, or wait for
/// their backend server.
fn is_watcher(daemon: &Daemon) -> bool {
    let fleet = lock(&daemon.fleet);
    let ready = fleet
        .members
        .all()
        .filter(|member| matches!(member.state, State::Ready | State::Waiting));
    let mut first = ready.take(WATCHER_COUNT);
    first.any(|member| member.host == *daemon.host())
}

/// Records a successful read; `was_available` says whether the one before succeeded.
fn record_success(daemon: &Daemon, started: Instant, was_available: bool) {
    lock(&daemon.last_contact).record(Moment::now());
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
