//! The member lists of services in the log, and the hand-over of keys when they change.

use crate::daemon::{Daemon, lock};
use crate::peers;
use indigospur_once::HandOver;
use indigospur_protocol::{EpochRecord, HostId, Member, MemberId, ServiceName, State};
use indigospur_publish::{Body, Record, STREAM};
use indigospur_relay::runtime;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Time between two looks at the member list.
const PAUSE: Duration = Duration::from_millis(250);
/// Time for which the members must stay the same before their list is appended.
const STABLE: Duration = Duration::from_secs(1);
/// Time by which each further member waits longer, so that one appends.
const TURN: Duration = Duration::from_secs(1);

/// The member list that should come next, and since when.
#[derive(Debug, Default)]
struct Wanted {
    members: Vec<MemberId>,
    since: Option<Instant>,
}

/// Members to which the keys of an epoch were handed over.
#[derive(Debug, Default)]
struct Handed {
    epoch: u64,
    members: HashSet<MemberId>,
}

/// Keeps the member list in the log current and hands keys over.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut wanted = Wanted::default();
    let mut handed = Handed::default();
    loop {
        runtime::sleep(PAUSE).await;
        propose(&daemon, &mut wanted).await;
        hand_over(&daemon, &mut handed).await;
        tick(&daemon);
    }
}

fn tick(daemon: &Daemon) {
    if let Some(part) = lock(&daemon.once).as_mut() {
        part.tick(Instant::now());
        daemon.metrics.keys(part.len());
    }
    let settings = daemon.settings();
    let age = settings.key_horizon + settings.key_lease * 2;
    lock(&daemon.follower).prune_epochs(Instant::now(), age);
}

/// Appends the member list of this daemon's service when it has changed and stays so.
async fn propose(daemon: &Arc<Daemon>, wanted: &mut Wanted) {
    let Some(service) = daemon.backend().map(|backend| backend.service.clone()) else {
        return;
    };
    let members = ready_members(daemon, &service);
    let current = lock(&daemon.epochs)
        .get(&service)
        .map(|epoch| epoch.members.clone());
    if members.is_empty() || current.as_ref() == Some(&members) {
        wanted.since = None;
        return;
    }
    let now = Instant::now();
    if wanted.since.is_none() || wanted.members != members {
        *wanted = Wanted {
            members,
            since: Some(now),
        };
        return;
    }
    let turn = wanted
        .members
        .iter()
        .position(|member| member.host == *daemon.host());
    let wait = STABLE + TURN * turn.unwrap_or(wanted.members.len()) as u32;
    let waited = wanted
        .since
        .is_some_and(|since| now.saturating_duration_since(since) >= wait);
    if waited {
        append(daemon, &service, wanted.members.clone()).await;
        wanted.since = Some(now);
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
    log::info!(service = &**service, appended:debug; "appended a member list");
}

/// Puts a member list in force.
pub(crate) fn apply(daemon: &Daemon, epoch: EpochRecord) {
    log::info!(service = &*epoch.service, number = epoch.number; "member list in force");
    let own = daemon
        .backend()
        .is_some_and(|backend| backend.service == epoch.service)
        || lock(&daemon.fleet).members.me().service == epoch.service;
    if own && let Some(part) = lock(&daemon.once).as_mut() {
        part.apply(Instant::now(), SystemTime::now(), epoch.clone());
    }
    lock(&daemon.epochs).insert(epoch.service.clone(), epoch);
}

/// Hands keys over to the members of the current epoch that have not taken them yet.
async fn hand_over(daemon: &Arc<Daemon>, handed: &mut Handed) {
    let Some((service, epoch)) = current(daemon) else {
        return;
    };
    if handed.epoch != epoch.number {
        *handed = Handed {
            epoch: epoch.number,
            members: HashSet::new(),
        };
    }
    for member in epoch
        .members
        .iter()
        .filter(|member| member.host != *daemon.host())
    {
        if !handed.members.contains(member) && hand_over_to(daemon, &service, &member.host).await {
            handed.members.insert(member.clone());
        }
    }
}

fn current(daemon: &Daemon) -> Option<(ServiceName, EpochRecord)> {
    let once = lock(&daemon.once);
    let epoch = once.as_ref()?.current()?.clone();
    Some((epoch.service.clone(), epoch))
}

async fn hand_over_to(daemon: &Arc<Daemon>, service: &str, host: &HostId) -> bool {
    let address = daemon.address_of(host);
    let told = lock(&daemon.once)
        .as_ref()
        .and_then(|part| part.hand_over(Instant::now(), host));
    let (Some(address), Some(told)) = (address, told) else {
        return false;
    };
    matches!(
        peers::hand_over(daemon, &address, service, &told).await,
        Ok(true)
    )
}

/// Hands keys over before this daemon stops, once it is no longer a member; whether all took them.
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

/// Takes what another member hands over; whether it was taken.
pub(crate) fn take_hand_over(daemon: &Daemon, service: &str, hand_over: HandOver) -> bool {
    let mut once = lock(&daemon.once);
    let Some(part) = once.as_mut() else {
        return false;
    };
    let own = part
        .current()
        .is_some_and(|epoch| &*epoch.service == service);
    own && part.apply_hand_over(Instant::now(), SystemTime::now(), hand_over)
}
