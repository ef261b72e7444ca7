//! Appends the member lists of services, the epochs, to the log and hands keys over when they change.

use crate::daemon::{Daemon, lock};
use crate::peers;
use indigospur_once::HandOver;
use indigospur_protocol::{EpochRecord, HostId, Member, MemberId, ServiceName, State};
use indigospur_publish::{Body, Record, STREAM};
use indigospur_relay::runtime;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Interval at which the member list is compared with the current epoch.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the members must stay the same before their list is appended.
const STABLE_TIME: Duration = Duration::from_secs(1);
/// Additional wait for each place in the member list, so that normally only the first member
/// appends.
const STAGGER: Duration = Duration::from_secs(1);

/// The member list to append next, and since when it has been stable.
#[derive(Debug, Default)]
struct Proposal {
    members: Vec<MemberId>,
    since: Option<Instant>,
}

/// Members that have accepted the keys of an epoch.
#[derive(Debug, Default)]
struct HandOverProgress {
    epoch: u64,
    members: HashSet<MemberId>,
}

/// Keeps the member list in the log current and hands keys over, for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut proposal = Proposal::default();
    let mut progress = HandOverProgress::default();
    loop {
        runtime::sleep(CHECK_INTERVAL).await;
        append_if_changed(&daemon, &mut proposal).await;
        hand_over(&daemon, &mut progress).await;
        tick(&daemon);
    }
}

fn tick(daemon: &Daemon) {
    if let Some(once) = lock(&daemon.once).as_mut() {
        once.tick(Instant::now());
        daemon.metrics.record_keys(once.len());
    }
    let settings = daemon.settings();
    let max_age = settings.key_horizon + settings.key_lease * 2;
    lock(&daemon.follower).prune_epochs(Instant::now(), max_age);
}

/// Appends the member list of this daemon's service once it differs from the current epoch and has
/// been stable.
async fn append_if_changed(daemon: &Arc<Daemon>, proposal: &mut Proposal) {
    let Some(service) = daemon.backend().map(|backend| backend.service.clone()) else {
        return;
    };
    let members = ready_members(daemon, &service);
    let current = lock(&daemon.epochs)
        .get(&service)
        .map(|epoch| epoch.members.clone());
    if members.is_empty() || current.as_ref() == Some(&members) {
        proposal.since = None;
        return;
    }
    let now = Instant::now();
    if proposal.since.is_none() || proposal.members != members {
        *proposal = Proposal {
            members,
            since: Some(now),
        };
        return;
    }
    let position = proposal
        .members
        .iter()
        .position(|member| member.host == *daemon.host());
    let wait = STABLE_TIME + STAGGER * position.unwrap_or(proposal.members.len()) as u32;
    let waited = proposal
        .since
        .is_some_and(|since| now.saturating_duration_since(since) >= wait);
    if waited {
        append(daemon, &service, proposal.members.clone()).await;
        proposal.since = Some(now);
    }
}

fn ready_members(daemon: &Daemon, service: &str) -> Vec<MemberId> {
    let fleet = lock(&daemon.fleet);
    let ready = fleet
        .members
        .all()
        .filter(|member| member.state == State::Ready && &*member.service == service);
    ready.map(Member::id).collect()
}

async fn append(daemon: &Arc<Daemon>, service: &ServiceName, members: Vec<MemberId>) {
    let chain = lock(&daemon.follower).epoch_chain(service);
    let link = chain.next();
    let epoch = EpochRecord {
        service: service.clone(),
        number: link.height + 1,
        members,
        dead_members: Vec::new(),
    };
    let record = Record {
        id: daemon.new_token(),
        link,
        body: Body::Epoch(epoch),
    };
    let appended = daemon.log.append(STREAM, &record.encode()).await;
    log::info!(service = &**service, appended:debug; "tried to append a new member list to the log");
}

/// Makes a member list from the log the current epoch of its service.
pub(crate) fn apply(daemon: &Daemon, epoch: EpochRecord) {
    log::info!(service = &*epoch.service, number = epoch.number; "new epoch in force");
    let own_service = daemon
        .backend()
        .is_some_and(|backend| backend.service == epoch.service)
        || lock(&daemon.fleet).members.me().service == epoch.service;
    if own_service && let Some(once) = lock(&daemon.once).as_mut() {
        once.apply(Instant::now(), SystemTime::now(), epoch.clone());
    }
    lock(&daemon.epochs).insert(epoch.service.clone(), epoch);
}

/// Hands keys over to the members of the current epoch that have not accepted them yet.
async fn hand_over(daemon: &Arc<Daemon>, progress: &mut HandOverProgress) {
    let Some((service, epoch)) = current(daemon) else {
        return;
    };
    if progress.epoch != epoch.number {
        *progress = HandOverProgress {
            epoch: epoch.number,
            members: HashSet::new(),
        };
    }
    for member in epoch
        .members
        .iter()
        .filter(|member| member.host != *daemon.host())
    {
        if !progress.members.contains(member) && hand_over_to(daemon, &service, &member.host).await
        {
            progress.members.insert(member.clone());
        }
    }
}

fn current(daemon: &Daemon) -> Option<(ServiceName, EpochRecord)> {
    let once = lock(&daemon.once);
    let epoch = once.as_ref()?.current()?.clone();
    Some((epoch.service.clone(), epoch))
}

/// Hands over the keys whose home is the given host; returns whether the host accepted them.
async fn hand_over_to(daemon: &Arc<Daemon>, service: &str, host: &HostId) -> bool {
    let address = daemon.address_of(host);
    let keys = lock(&daemon.once)
        .as_ref()
        .and_then(|once| once.hand_over(Instant::now(), host));
    let (Some(address), Some(keys)) = (address, keys) else {
        return false;
    };
    matches!(
        peers::hand_over(daemon, &address, service, &keys).await,
        Ok(true)
    )
}

/// Hands all keys over before this daemon stops. Returns whether all other members accepted them;
/// false while the current epoch still has this daemon and others.
pub(crate) async fn hand_over_to_all(daemon: &Arc<Daemon>) -> bool {
    let Some((service, epoch)) = current(daemon) else {
        return true;
    };
    let me = lock(&daemon.fleet).members.own_id();
    if epoch.members.contains(&me) && epoch.members.len() > 1 {
        return false;
    }
    for member in epoch.members.iter().filter(|member| **member != me) {
        if !hand_over_to(daemon, &service, &member.host).await {
            return false;
        }
    }
    true
}

/// Accepts the keys that another member hands over; returns whether they were accepted.
pub(crate) fn accept_hand_over(daemon: &Daemon, service: &str, hand_over: HandOver) -> bool {
    let mut once = lock(&daemon.once);
    let Some(once) = once.as_mut() else {
        return false;
    };
    let own_service = once
        .current()
        .is_some_and(|epoch| &*epoch.service == service);
    own_service && once.apply_hand_over(Instant::now(), SystemTime::now(), hand_over)
}
