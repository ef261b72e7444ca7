//! Follows the platform's log, directly and through records that other daemons have read.

use crate::control::{epochs, gossip};
use crate::daemon::{Daemon, lock};
use crate::deadline::Moment;
use crate::peers;
use indigospur_protocol::State;
use indigospur_publish::{Body, Change, FetchedRecord, Link, Record, STREAM};
use indigospur_relay::{LogBatch, runtime};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two reads for each member of the fleet: the fleet as a whole reads at a constant
/// rate.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(50);
/// Records are renewed after the retention divided by this.
const RENEWAL_DIVISOR: u32 = 3;

/// Reads the log for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut seeded = false;
    loop {
        let read = read(&daemon).await;
        if read && !seeded {
            seeded = append_seed(&daemon).await;
        }
        renew(&daemon).await;
        report_metrics(&daemon);
        let size = lock(&daemon.fleet).members.len() as u32;
        let pause = daemon
            .settings()
            .poll_interval
            .max(INTERVAL_PER_MEMBER * size);
        let pause = lock(&daemon.rng).random_range(pause / 2..pause * 3 / 2);
        runtime::sleep(pause).await;
    }
}

/// Reads the log once; returns whether it answered.
async fn read(daemon: &Arc<Daemon>) -> bool {
    let started = Instant::now();
    let from = lock(&daemon.follower).next();
    let batch = match daemon.log.read(STREAM, from).await {
        Ok(batch) => batch,
        Err(error) => {
            log::debug!(error:debug; "the log could not be read; trying again after the poll interval");
            return false;
        }
    };
    let bytes: usize = batch.records.iter().map(|record| record.body.len()).sum();
    daemon.metrics.count_control_bytes(bytes);
    apply_batch(daemon, started, batch);
    true
}

fn apply_batch(daemon: &Arc<Daemon>, started: Instant, batch: LogBatch) {
    let records: Vec<FetchedRecord> = batch
        .records
        .into_iter()
        .map(|record| {
            FetchedRecord::new(
                started,
                record.offset,
                record.age(),
                record.body.into_bytes(),
            )
        })
        .collect();
    let changes = lock(&daemon.follower).read(batch.first, &records);
    apply(daemon, changes);
    lock(&daemon.last_contact).record(Moment::now());
    *lock(&daemon.last_log_read) = Some(started);
    if let Some(once) = lock(&daemon.once).as_mut() {
        once.renew_lease(started);
    }
    apply_empty_rules(daemon);
}

/// Puts the empty rule set in force if the log was read and holds none.
fn apply_empty_rules(daemon: &Daemon) {
    if daemon.rules().is_some() {
        return;
    }
    match indigospur_rules::parse("default", "") {
        Ok(rules) => daemon.apply_rules(Arc::new(rules)),
        Err(problems) => {
            log::error!(problems:%; "the empty rule set can't be parsed; the daemon is not ready until the log has a rule set")
        }
    }
}

/// Fetches the records from offset `from` on that the daemon at `address` has accepted.
pub(crate) async fn fetch_from(daemon: Arc<Daemon>, address: Arc<str>, from: u64) {
    let now = Instant::now();
    let Ok(reply) = peers::fetch(&daemon, &address, from).await else {
        return;
    };
    let bytes: usize = reply.records.iter().map(|record| record.body.len()).sum();
    daemon.metrics.count_control_bytes(bytes);
    let records: Vec<FetchedRecord> = reply
        .records
        .into_iter()
        .map(|record| {
            let age = Duration::from_millis(record.age_millis);
            FetchedRecord::new(now, record.offset, age, record.body)
        })
        .collect();
    let changes = lock(&daemon.follower).adopt(&records, reply.gap);
    apply(&daemon, changes);
}

/// Applies the changes that records have made and wakes gossip.
fn apply(daemon: &Arc<Daemon>, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            Change::Rules(in_force) => {
                log::info!(version = in_force.version; "rule set in force");
                daemon.apply_rules(in_force.rules);
            }
            Change::Epoch(epoch) => epochs::apply(daemon, epoch),
            Change::Seed(address) => drop(gossip::join_via(daemon, address)),
        }
    }
    daemon.wake_gossip();
}

/// Appends this daemon's address to the log as a seed, which new daemons ask for the member list.
/// Returns whether the log accepted it.
async fn append_seed(daemon: &Daemon) -> bool {
    let address = lock(&daemon.fleet).members.me().address.clone();
    let record = Record {
        id: daemon.new_token(),
        link: Link::default(),
        body: Body::Seed { address },
    };
    daemon.log.append(STREAM, &record.encode()).await.is_ok()
}

/// Appends the rule set in force and a seed again before the log drops them. Only the ready member
/// whose host name sorts first does this.
async fn renew(daemon: &Daemon) {
    if !is_first_ready(daemon) {
        return;
    }
    let due = daemon.settings().log_retention / RENEWAL_DIVISOR;
    let seed_read = lock(&daemon.follower).newest_seed();
    if seed_read.is_none_or(|at| at.elapsed() >= due) {
        append_seed(daemon).await;
    }
    let renewal = lock(&daemon.follower).renewal(Instant::now(), daemon.new_token(), due);
    if let Some(record) = renewal {
        let appended = daemon.log.append(STREAM, &record.encode()).await;
        log::info!(appended:debug; "tried to renew the rule set in the log");
    }
}

/// Whether this host is the first of the ready members, by host name.
fn is_first_ready(daemon: &Daemon) -> bool {
    let fleet = lock(&daemon.fleet);
    let first = fleet
        .members
        .all()
        .find(|member| member.state == State::Ready);
    first.is_some_and(|member| member.host == *daemon.host())
}

fn report_metrics(daemon: &Daemon) {
    let members = lock(&daemon.fleet).members.len();
    let age = lock(&daemon.last_log_read).map_or(Duration::MAX, |at| at.elapsed());
    let follower = lock(&daemon.follower);
    let version = follower.active_rules().map(|in_force| in_force.version);
    daemon
        .metrics
        .record_control_state(members, version, follower.skipped(), age);
}
