//! Gossip rounds.

use crate::control::{log_reader, source_reader};
use crate::daemon::{Daemon, Fleet, lock};
use crate::{backend, peers};
use indigospur_members::Message;
use indigospur_protocol::{HostId, Member};
use indigospur_relay::runtime;
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Mean time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Longest wait for daemons that are told before something is acknowledged: a backend server waits
/// a second for its acknowledgement.
const TELL_TIME: Duration = Duration::from_millis(400);
/// Daemons told at once of something new.
const TOLD_AT_ONCE: usize = 3;

/// Gossips once a second, and at once when there is something new.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        if lock(&daemon.fleet).members.is_empty() {
            ask_seeds(&daemon).await;
        }
        let pause = lock(&daemon.rng).random_range(ROUND / 2..ROUND * 3 / 2);
        let news = runtime::timeout(pause, daemon.gossip_wake.1.recv())
            .await
            .is_some();
        let count = if news { TOLD_AT_ONCE } else { 1 };
        for _ in 0..count {
            runtime::spawn(round(daemon.clone()));
        }
        tick(&daemon);
    }
}

/// Tells a few daemons what is new and waits until they have heard it, or for a bound.
pub(crate) async fn tell_now(daemon: &Arc<Daemon>) {
    let rounds: Vec<_> = (0..TOLD_AT_ONCE)
        .map(|_| runtime::spawn(round(daemon.clone())))
        .collect();
    let told = async {
        for round in rounds {
            round.await;
        }
    };
    if runtime::timeout(TELL_TIME, told).await.is_none() {
        log::warn!("not all daemons that were told have answered in time");
    }
}

fn tick(daemon: &Daemon) {
    let changed = lock(&daemon.fleet).members.tick(Instant::now());
    route(daemon, &changed);
}

/// Asks a daemon that this one does not know yet for the fleet.
pub(crate) fn meet(daemon: &Arc<Daemon>, address: Arc<str>) {
    let known = lock(&daemon.fleet)
        .members
        .all()
        .any(|member| member.address == address);
    if !known {
        let daemon = daemon.clone();
        runtime::spawn(async move { exchange(&daemon, &address, None).await });
    }
}

/// Asks the seeds of the settings and of the log for the fleet while no other member is known.
async fn ask_seeds(daemon: &Arc<Daemon>) {
    let own = lock(&daemon.fleet).members.me().address.clone();
    let mut seeds = daemon.settings().seeds.clone();
    seeds.extend(lock(&daemon.follower).seeds().cloned());
    for seed in seeds.iter().filter(|seed| **seed != own) {
        if lock(&daemon.fleet).members.is_empty() {
            exchange(daemon, seed, None).await;
        }
    }
}

async fn round(daemon: Arc<Daemon>) {
    let peer = {
        let fleet = lock(&daemon.fleet);
        let mut rng = lock(&daemon.rng);
        fleet.members.choose_peer(&mut *rng)
    };
    if let Some(peer) = peer {
        exchange(&daemon, &peer.address, Some(&peer.host)).await;
    }
}

async fn exchange(daemon: &Arc<Daemon>, address: &Arc<str>, host: Option<&HostId>) {
    let accepted = daemon.accepted_version();
    let message = lock(&daemon.fleet).open(accepted);
    let Some(answer) = send(daemon, address, host, message).await else {
        return;
    };
    take(daemon, &answer, address);
    backend::end_fleet_wait(daemon);
    let wants_whole = lock(&daemon.fleet).wants_whole(&answer);
    if wants_whole || answer.whole {
        let mut message = lock(&daemon.fleet).open(accepted);
        message.whole = wants_whole;
        if answer.whole {
            message.members = lock(&daemon.fleet).members.all().cloned().collect();
            message.full = true;
        }
        if let Some(answer) = send(daemon, address, host, message).await {
            take(daemon, &answer, address);
        }
    }
}

impl Fleet {
    fn open(&mut self, accepted: u64) -> Message {
        self.exchange
            .open(&mut self.members, &mut self.suspects, accepted)
    }

    fn take(&mut self, message: &Message) -> Vec<Member> {
        let (members, suspects) = (&mut self.members, &mut self.suspects);
        self.exchange
            .merge(Instant::now(), members, suspects, message)
    }

    fn wants_whole(&mut self, message: &Message) -> bool {
        self.exchange
            .needs_full_list(Instant::now(), &self.members, message)
    }

    fn answer(&mut self, accepted: u64, heard: &Message) -> Message {
        let (members, suspects) = (&mut self.members, &mut self.suspects);
        self.exchange
            .answer(Instant::now(), members, suspects, accepted, heard)
    }
}

async fn send(
    daemon: &Daemon,
    address: &Arc<str>,
    host: Option<&HostId>,
    message: Message,
) -> Option<Message> {
    let answer = peers::gossip(daemon, address, message).await.ok();
    if let (None, Some(host)) = (&answer, host) {
        lock(&daemon.fleet)
            .members
            .record_failure(Instant::now(), host);
    }
    answer
}

/// Takes a message in. What follows from it is decided once: by the answer, or by who opened.
fn take(daemon: &Arc<Daemon>, message: &Message, address: &Arc<str>) {
    let changed = lock(&daemon.fleet).take(message);
    route(daemon, &changed);
    if changed.iter().any(|member| member.host == *daemon.host()) {
        backend::handle_new_incarnation(daemon);
        daemon.wake_gossip();
    }
    if let Some(start) = &message.departed {
        backend::handle_departure(daemon, start);
    }
    fetch(daemon, message.accepted, address);
}

/// Fetches what a daemon that has accepted records up to `told` may have and this one lacks.
fn fetch(daemon: &Arc<Daemon>, told: u64, address: &Arc<str>) {
    let address = address.clone();
    if daemon.source.is_some() {
        if told > daemon.accepted_version() {
            runtime::spawn(source_reader::fetch_from(daemon.clone(), address));
        }
    } else {
        let from = lock(&daemon.follower).fetch_offset(told);
        if let Some(from) = from {
            runtime::spawn(log_reader::fetch_from(daemon.clone(), address, from));
        }
    }
}

/// Answers the gossip of another daemon.
pub(crate) fn answer_gossip(daemon: &Arc<Daemon>, heard: Message) -> Message {
    let told = heard
        .members
        .iter()
        .find(|member| member.host == heard.from);
    let told = told.map(|member| member.address.clone());
    let address = told
        .or_else(|| daemon.address_of(&heard.from))
        .unwrap_or_default();
    take(daemon, &heard, &address);
    if !daemon.fleet_wait_over.load(Ordering::Relaxed) {
        // Who opens an exchange does not say what it knows of this host; its answers do.
        daemon.wake_gossip();
    }
    let accepted = daemon.accepted_version();
    lock(&daemon.fleet).answer(accepted, &heard)
}

/// Routes by what was learnt of members.
fn route(daemon: &Daemon, changed: &[Member]) {
    let mut router = lock(&daemon.router);
    for member in changed {
        router.update(member);
        log::info!(
            host = &*member.host,
            incarnation = member.incarnation,
            revision = member.revision,
            service = &*member.service,
            instance = &*member.instance,
            leaving = member.leaving,
            state:debug = member.state;
            "member changed"
        );
    }
}
