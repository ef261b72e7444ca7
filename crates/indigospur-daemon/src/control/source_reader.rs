//! Reading a configuration's source, and what other daemons have read of it.

use crate::configuration::{Configuration, Contact, Found, Position, SourceError};
use crate::control::gossip;
use crate::daemon::{Daemon, lock};
use crate::{backend, peers};
use indigospur_protocol::State;
use indigospur_relay::LogError;
use indigospur_relay::runtime::{self, BoxFuture};
use rand::Rng;
use rand::seq::SliceRandom;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for a change in one read of a daemon that watches the source for the others: a
/// connection that has gone silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// The same of the others, which hear of changes from those that watch.
const WAIT: Duration = Duration::from_secs(20);
/// Daemons that watch the source.
const WATCHERS: usize = 3;
/// Registered daemons that are asked for the fleet at a time.
const MET_AT_ONCE: usize = 4;
/// Time after which others are asked, if none of them has answered.
const MEETING_TIME: Duration = Duration::from_millis(400);
/// Time in which the source should answer, beyond the time for which it was asked to wait; then it
/// is asked again, and an answer that still comes is taken.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// First pause after a failed read; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed read: an outage's end is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);

/// How far the source was read.
#[derive(Debug, Default)]
struct Progress {
    /// Where to read on; `None` before the newest configuration was read.
    position: Option<Position>,
    /// The last call was answered.
    answers: bool,
    /// How often the source has moved: positions in one say nothing of another.
    moves: u64,
}

/// Reads the source.
#[derive(Debug)]
struct Reader {
    daemon: Arc<Daemon>,
    source: Arc<dyn Configuration>,
    progress: Mutex<Progress>,
}

/// Reads the source for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, source: Arc<dyn Configuration>) {
    runtime::spawn(register(daemon.clone(), source.clone()));
    let reader = Arc::new(Reader {
        daemon: daemon.clone(),
        source,
        progress: Mutex::default(),
    });
    let mut backoff = Backoff::default();
    loop {
        let read = async { Some(reader.read().await) };
        match futures_lite::future::or(read, moved(&daemon)).await {
            None => {
                reader.start_over();
                runtime::spawn(register(daemon.clone(), reader.source.clone()));
            }
            Some(Ok(())) => backoff = Backoff::default(),
            Some(Err(error)) => {
                reader.lost(error);
                backoff.wait(&daemon).await;
            }
        }
    }
}

/// Ends when the source has moved.
async fn moved<T>(daemon: &Daemon) -> Option<T> {
    let _ = daemon.source_moved.1.recv().await;
    None
}

impl Reader {
    async fn read(self: &Arc<Self>) -> Result<(), SourceError> {
        let begun = Instant::now();
        let (position, moves) = {
            let progress = lock(&self.progress);
            (progress.position, progress.moves)
        };
        let wait = position.map_or(Duration::ZERO, |_| wait(&self.daemon));
        let call = match position {
            Some(from) => self.source.changes(from, wait),
            None => self.source.newest(),
        };
        let reader = self.clone();
        in_time(wait, call, move |found| reader.take(begun, moves, found)).await
    }

    /// Takes in what a call that began at `begun`, after so many moves of the source, has found.
    fn take(&self, begun: Instant, moves: u64, found: Found) {
        let mut progress = lock(&self.progress);
        if moves == progress.moves {
            progress.position = progress.position.max(Some(found.next));
        }
        let answered = std::mem::replace(&mut progress.answers, true);
        drop(progress);
        regained(&self.daemon, begun, answered);
        for body in found.bodies {
            self.daemon.metrics.control_bytes(body.len());
            offer(&self.daemon, self.source.as_ref(), &body, "source");
        }
    }

    /// The source has moved: it is read from the newest configuration on.
    fn start_over(&self) {
        let mut progress = lock(&self.progress);
        progress.position = None;
        progress.moves += 1;
    }

    fn lost(&self, error: SourceError) {
        let mut progress = lock(&self.progress);
        let answered = std::mem::replace(&mut progress.answers, false);
        // What can't be read on from here may be found by starting over.
        if matches!(error, SourceError::Forgotten | SourceError::Unreadable) {
            progress.position = None;
        }
        drop(progress);
        lost(&self.daemon, error, answered);
    }
}

/// Hands the outcome of a call that may wait for `wait` to `take`, also if it comes late: a source
/// that is slow is read though none of its answers is in time.
async fn in_time<T: Send + 'static>(
    wait: Duration,
    call: BoxFuture<Result<T, SourceError>>,
    take: impl FnOnce(T) + Send + 'static,
) -> Result<(), SourceError> {
    let mut called = runtime::spawn(async move { call.await.map(take) });
    let done = runtime::timeout(wait + ANSWER_TIME, &mut called).await;
    done.unwrap_or(Err(SourceError::Failed(LogError::Unanswered)))
}

/// Pauses between tries that fail, longer each time and spread.
struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { pause: FIRST_PAUSE }
    }
}

impl Backoff {
    async fn wait(&mut self, daemon: &Daemon) {
        let spread = lock(&daemon.rng).random_range(self.pause / 2..self.pause);
        runtime::sleep(spread).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// The first of the ready daemons, in the order of their names, watch.
fn wait(daemon: &Daemon) -> Duration {
    let fleet = lock(&daemon.fleet);
    let ready = fleet
        .members
        .all()
        .filter(|member| matches!(member.state, State::Ready | State::Waiting));
    let mut first = ready.take(WATCHERS);
    if first.any(|member| member.host == *daemon.host()) {
        WATCH_WAIT
    } else {
        WAIT
    }
}

/// Notes a read that succeeded; `answered` says whether the one before did.
fn regained(daemon: &Daemon, begun: Instant, answered: bool) {
    let before = lock(&daemon.last_log_read).replace(begun);
    if !answered {
        let age = before.map_or(0, |at| at.elapsed().as_millis() as u64);
        log::info!(last_read_ms_ago = age; "the configuration's source answers");
    }
}

/// Notes a read that failed; `answered` says whether the one before did.
fn lost(daemon: &Daemon, error: SourceError, answered: bool) {
    daemon.metrics.source_failure();
    if answered {
        let version = lock(&daemon.newest).version();
        log::warn!(error:display, version; "the configuration's source does not answer; the last configuration stays in force");
    }
}

/// Puts a configuration in force if it is newer than the one that is.
fn offer(daemon: &Arc<Daemon>, source: &dyn Configuration, body: &Arc<[u8]>, from: &str) {
    let published = match source.decode(body) {
        Ok(published) => published,
        Err(reason) => {
            daemon.metrics.skip();
            log::warn!(reason, from, bytes = body.len(); "a configuration that can't be read is skipped");
            return;
        }
    };
    let accepted = lock(&daemon.newest).offer(published.version, body.clone());
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
            log::debug!(address = &*address, error:debug; "a daemon did not tell its configuration");
            return;
        }
    };
    for record in reply.records {
        daemon.metrics.control_bytes(record.body.len());
        offer(&daemon, source.as_ref(), &record.body.into(), &address);
    }
}

/// What came of registering and of asking who has registered.
#[derive(Debug, Default)]
struct Meeting {
    registered: bool,
    /// The last answer that was not used yet, and whether it was asked for after registering.
    contacts: Option<(bool, Vec<Contact>)>,
}

/// Registers this daemon and meets some of those registered, until it is registered and knows
/// another, or is known to be alone.
///
/// Each daemon registers before it reads, so that of two that start together at least one finds the
/// other. One that can't register yet reads all the same until it knows another, and once more after
/// it has registered.
async fn register(daemon: Arc<Daemon>, source: Arc<dyn Configuration>) {
    let own = Contact {
        host: daemon.host().clone(),
        address: lock(&daemon.fleet).members.me().address.clone(),
    };
    let progress = Arc::new(Mutex::new(Meeting::default()));
    let mut backoff = Backoff::default();
    loop {
        let registered = lock(&progress).registered;
        if !registered {
            let noted = progress.clone();
            let call = source.register(own.clone());
            let registers = in_time(Duration::ZERO, call, move |()| {
                lock(&noted).registered = true;
            });
            if let Err(error) = registers.await {
                log::debug!(error:display; "not registered yet");
            }
        }
        let registered = lock(&progress).registered;
        let alone = lock(&daemon.fleet).members.is_empty();
        if registered || alone {
            look_up(source.as_ref(), &progress).await;
        }
        let contacts = lock(&progress).contacts.take();
        if let Some((registered, contacts)) = contacts
            && meet_some(&daemon, contacts).await
            && registered
        {
            return;
        }
        backoff.wait(&daemon).await;
    }
}

/// Asks who has registered.
async fn look_up(source: &dyn Configuration, progress: &Arc<Mutex<Meeting>>) {
    let registered = lock(progress).registered;
    let noted = progress.clone();
    let reads = in_time(Duration::ZERO, source.contacts(), move |contacts| {
        lock(&noted).contacts = Some((registered, contacts));
    });
    if let Err(error) = reads.await {
        log::debug!(error:display; "the registered daemons are not known yet");
    }
}

/// Asks registered daemons for the fleet; whether one is known then, or there is no other.
async fn meet_some(daemon: &Arc<Daemon>, contacts: Vec<Contact>) -> bool {
    let others = contacts.into_iter();
    let others = others.filter(|contact| contact.host != *daemon.host());
    let mut others: Vec<Contact> = others.collect();
    if others.is_empty() {
        backend::end_fleet_wait(daemon);
        return true;
    }
    others.shuffle(&mut *lock(&daemon.rng));
    for contacts in others.chunks(MET_AT_ONCE) {
        for contact in contacts {
            gossip::meet(daemon, contact.address.clone());
        }
        runtime::sleep(MEETING_TIME).await;
        if !lock(&daemon.fleet).members.is_empty() {
            return true;
        }
    }
    false
}
