//! Reading the platform's log, and what others have read of it.

use crate::control::{epochs, gossip};
use crate::daemon::{Daemon, lock};
use crate::peers;
use indigospur_protocol::State;
use indigospur_publish::{Body, Change, FetchedRecord, Link, Record, STREAM};
use indigospur_relay::{LogBatch, runtime};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two reads, for each member of the fleet: all together read at a steady rate.
const PAUSE_PER_MEMBER: Duration = Duration::from_millis(50);
/// Renewals begin after this share of the retention, as a divisor.
const RENEW_AFTER: u32 = 3;

/// Reads the log for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut seeded = false;
    loop {
        let read = read(&daemon).await;
        if read && !seeded {
            seeded = append_seed(&daemon).await;
        }
        renew(&daemon).await;
        report(&daemon);
        let size = lock(&daemon.fleet).members.len() as u32;
        let pause = daemon.settings().poll.max(PAUSE_PER_MEMBER * size);
        let pause = lock(&daemon.rng).random_range(pause / 2..pause * 3 / 2);
        runtime::sleep(pause).await;
    }
}

/// Reads the log once; whether it answered.
async fn read(daemon: &Arc<Daemon>) -> bool {
    let begun = Instant::now();
    let from = lock(&daemon.follower).next();
    let batch = match daemon.log.read(STREAM, from).await {
        Ok(batch) => batch,
        Err(error) => {
            log::debug!(error:debug; "the log was not read");
            return false;
        }
    };
    let bytes: usize = batch.records.iter().map(|record| record.body.len()).sum();
    daemon.metrics.control_bytes(bytes);
    take_batch(daemon, begun, batch);
    true
}

fn take_batch(daemon: &Arc<Daemon>, begun: Instant, batch: LogBatch) {
    let records: Vec<FetchedRecord> = batch
        .records
        .into_iter()
        .map(|record| {
            FetchedRecord::new(begun, record.offset, record.age(), record.body.into_bytes())
        })
        .collect();
    let news = lock(&daemon.follower).read(batch.first, &records);
    apply(daemon, news);
    *lock(&daemon.last_log_read) = Some(begun);
    if let Some(part) = lock(&daemon.once).as_mut() {
        part.renew_lease(begun);
    }
    start_without_rules(daemon);
}

/// A log that was read and holds no rule set means the rule set without rules.
fn start_without_rules(daemon: &Daemon) {
    if daemon.rules().is_some() {
        return;
    }
    match indigospur_rules::parse("default", "") {
        Ok(rules) => daemon.apply_rules(Arc::new(rules)),
        Err(problems) => log::error!(problems:%; "the rule set without rules can't be read"),
    }
}

/// Fetches what the daemon at `address` has accepted from offset `from` on.
pub(crate) async fn fetch_from(daemon: Arc<Daemon>, address: Arc<str>, from: u64) {
    let now = Instant::now();
    let Ok(reply) = peers::fetch(&daemon, &address, from).await else {
        return;
    };
    let bytes: usize = reply.records.iter().map(|record| record.body.len()).sum();
    daemon.metrics.control_bytes(bytes);
    let records: Vec<FetchedRecord> = reply
        .records
        .into_iter()
        .map(|record| {
            let age = Duration::from_millis(record.age_millis);
            FetchedRecord::new(now, record.offset, age, record.body)
        })
        .collect();
    let news = lock(&daemon.follower).adopt(&records);
    apply(&daemon, news);
}

/// Puts news in force and tells others.
fn apply(daemon: &Arc<Daemon>, news: Vec<Change>) {
    if news.is_empty() {
        return;
    }
    for item in news {
        match item {
            Change::Rules(in_force) => {
                log::info!(version = in_force.version; "rule set in force");
                daemon.apply_rules(in_force.rules);
            }
            Change::Epoch(epoch) => epochs::apply(daemon, epoch),
            Change::Seed(address) => gossip::meet(daemon, address),
        }
    }
    daemon.wake_gossip();
}

/// Tells in the log that this daemon can be asked for the fleet; whether it was told.
async fn append_seed(daemon: &Daemon) -> bool {
    let address = lock(&daemon.fleet).members.me().address.clone();
    let record = Record {
        id: daemon.new_token(),
        link: Link::default(),
        body: Body::Seed { address },
    };
    daemon.log.append(STREAM, &record.encode()).await.is_ok()
}

/// Renews the live rule set and the seeds before their retention ends. The lowest ready host does
/// it.
async fn renew(daemon: &Daemon) {
    if !is_first(daemon) {
        return;
    }
    let due = daemon.settings().retention / RENEW_AFTER;
    let newest = lock(&daemon.follower).newest_seed();
    if newest.is_none_or(|at| at.elapsed() >= due) {
        append_seed(daemon).await;
    }
    let renewal = lock(&daemon.follower).renewal(Instant::now(), daemon.new_token(), due);
    if let Some(record) = renewal {
        let appended = daemon.log.append(STREAM, &record.encode()).await;
        log::info!(appended:debug; "renewed the rule set in the log");
    }
}

fn is_first(daemon: &Daemon) -> bool {
    let fleet = lock(&daemon.fleet);
    let first = fleet
        .members
        .all()
        .find(|member| member.state == State::Ready);
    first.is_some_and(|member| member.host == *daemon.host())
}

fn report(daemon: &Daemon) {
    let members = lock(&daemon.fleet).members.len();
    let age = lock(&daemon.last_log_read).map_or(Duration::MAX, |at| at.elapsed());
    let follower = lock(&daemon.follower);
    let version = follower.active_rules().map(|in_force| in_force.version);
    daemon
        .metrics
        .control(members, version, follower.skipped(), age);
}
