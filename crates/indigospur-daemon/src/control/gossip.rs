//! Gossip with other daemons: periodic rounds, urgent rounds and joining the fleet.

use crate::control::{log_reader, source_reader};
use crate::daemon::{Daemon, Fleet, lock};
use crate::deadline::Moment;
use crate::{backend, backend_status, peers, start_waits};
use indigospur_members::Message;
use indigospur_protocol::{HostId, Member};
use indigospur_relay::runtime;
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Mean time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two rounds of a daemon that started a moment ago.
const STARTUP_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for answers to urgent rounds: the backend server waits a second for the
/// acknowledgement that follows them.
const URGENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Gossips about once a second, and at once after an urgent change, for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    loop {
        if lock(&daemon.fleet).members.is_empty() {
            join_via_seeds(&daemon).await;
        }
        let is_starting = lock(&daemon.fleet).exchange.is_starting(Instant::now());
        let interval = if is_starting {
            STARTUP_ROUND_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        let pause = lock(&daemon.rng).random_range(interval / 2..interval * 3 / 2);
        let urgent = runtime::timeout(pause, daemon.gossip_wake.1.recv())
            .await
            .is_some();
        if urgent {
            start_urgent_round(&daemon);
        } else {
            runtime::spawn(round(daemon.clone()));
        }
        tick(&daemon);
    }
}

/// Gossips with a few daemons at once and waits until they have answered, or for
/// [`URGENT_TIMEOUT`].
pub(crate) async fn gossip_now(daemon: &Arc<Daemon>) {
    let exchanges = start_urgent_round(daemon);
    let answered = async {
        for exchange in exchanges {
            exchange.await;
        }
    };
    if runtime::timeout(URGENT_TIMEOUT, answered).await.is_none() {
        log::warn!(
            "not all daemons answered an urgent gossip round in time; the change spreads with later rounds"
        );
    }
}

/// Starts an exchange with each of the daemons that an urgent change is sent to.
fn start_urgent_round(daemon: &Arc<Daemon>) -> Vec<runtime::JoinHandle<()>> {
    let peers = {
        let fleet = lock(&daemon.fleet);
        let mut rng = lock(&daemon.rng);
        fleet.members.choose_urgent_peers(&mut *rng)
    };
    let exchanges = peers.into_iter().map(|peer| {
        let daemon = daemon.clone();
        runtime::spawn(async move { exchange(&daemon, &peer.address, Some(&peer.host)).await })
    });
    exchanges.collect()
}

/// Advances the failure detection of members.
fn tick(daemon: &Daemon) {
    let changed = lock(&daemon.fleet).members.tick(Instant::now());
    apply_changes(daemon, &changed);
}

/// Starts to join the fleet by way of the daemon at `address`, unless that daemon is known already.
pub(crate) fn join_via(daemon: &Arc<Daemon>, address: Arc<str>) -> Option<runtime::JoinHandle<()>> {
    let known = lock(&daemon.fleet)
        .members
        .all()
        .any(|member| member.address == address);
    let daemon = daemon.clone();
    (!known).then(|| runtime::spawn(async move { exchange(&daemon, &address, None).await }))
}

/// Exchanges gossip with the seeds from the settings and the log until another member is known.
async fn join_via_seeds(daemon: &Arc<Daemon>) {
    let own = lock(&daemon.fleet).members.me().address.clone();
    let mut seeds = daemon.settings().seeds.clone();
    seeds.extend(lock(&daemon.follower).seeds().cloned());
    for seed in seeds.iter().filter(|seed| **seed != own) {
        if lock(&daemon.fleet).members.is_empty() {
            exchange(daemon, seed, None).await;
        }
    }
}

/// Exchanges gossip with one random member.
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

/// Sends this daemon's state to the daemon at `address` and merges the answer. A second message
/// follows if either side needs the full member list.
async fn exchange(daemon: &Arc<Daemon>, address: &Arc<str>, host: Option<&HostId>) {
    let accepted = daemon.accepted_version();
    let message = lock(&daemon.fleet).open(accepted);
    let Some(answer) = send(daemon, address, host, message).await else {
        return;
    };
    merge(daemon, &answer, address);
    start_waits::end_fleet_wait(daemon);
    let needs_full_list = lock(&daemon.fleet).needs_full_list(&answer);
    if needs_full_list || answer.whole {
        let mut message = lock(&daemon.fleet).open(accepted);
        message.whole = needs_full_list;
        if answer.whole {
            message.members = lock(&daemon.fleet).members.all().cloned().collect();
            message.full = true;
        }
        if let Some(answer) = send(daemon, address, host, message).await {
            merge(daemon, &answer, address);
        }
    }
}

impl Fleet {
    fn open(&mut self, accepted: u64) -> Message {
        self.exchange.open(
            Instant::now(),
            &mut self.members,
            &mut self.suspects,
            accepted,
        )
    }

    fn merge(&mut self, message: &Message) -> Vec<Member> {
        let (members, suspects) = (&mut self.members, &mut self.suspects);
        self.exchange
            .merge(Instant::now(), members, suspects, message)
    }

    fn needs_full_list(&mut self, message: &Message) -> bool {
        self.exchange
            .needs_full_list(Instant::now(), &self.members, message)
    }

    fn answer(&mut self, accepted: u64, request: &Message) -> Message {
        let (members, suspects) = (&mut self.members, &mut self.suspects);
        self.exchange
            .answer(Instant::now(), members, suspects, accepted, request)
    }
}

/// Sends a message and returns the answer. Without one, a failure is recorded for the member on
/// `host`, if that is given.
async fn send(
    daemon: &Daemon,
    address: &Arc<str>,
    host: Option<&HostId>,
    message: Message,
) -> Option<Message> {
    let started = Instant::now();
    let error = match peers::gossip(daemon, address, message).await {
        Ok(answer) => return Some(answer),
        Err(error) => error,
    };
    let took_ms = started.elapsed().as_millis() as u64;
    log::info!(address = &**address, error:debug, took_ms; "gossip exchange failed");
    if let Some(host) = host {
        lock(&daemon.fleet)
            .members
            .record_failure(Instant::now(), host);
    }
    None
}

/// Merges a message from the daemon at `address` into this daemon's state and acts on the changes.
fn merge(daemon: &Arc<Daemon>, message: &Message, address: &Arc<str>) {
    lock(&daemon.last_contact).record(Moment::now());
    let changed = lock(&daemon.fleet).merge(message);
    apply_changes(daemon, &changed);
    if changed.iter().any(|member| member.host == *daemon.host()) {
        backend::handle_new_incarnation(daemon);
        daemon.wake_gossip();
    }
    if let Some(instance) = &message.departed {
        backend::handle_departure(daemon, instance);
    }
    if let Some(limit) = &message.limit {
        backend_status::recall_rate_limit(daemon, limit);
    }
    fetch_if_behind(daemon, message.accepted, address);
}

/// Fetches records or configurations from the daemon at `address` if it has accepted more of them
/// than this one; `accepted` is as in [`Daemon::accepted_version`].
fn fetch_if_behind(daemon: &Arc<Daemon>, accepted: u64, address: &Arc<str>) {
    let address = address.clone();
    if daemon.source.is_some() {
        if accepted > daemon.accepted_version() {
            runtime::spawn(source_reader::fetch_from(daemon.clone(), address));
        }
    } else {
        let from = lock(&daemon.follower).fetch_offset(accepted);
        if let Some(from) = from {
            runtime::spawn(log_reader::fetch_from(daemon.clone(), address, from));
        }
    }
}

/// Answers the gossip of another daemon.
pub(crate) fn answer_gossip(daemon: &Arc<Daemon>, request: Message) -> Message {
    let sender = request
        .members
        .iter()
        .find(|member| member.host == request.from);
    let sent_address = sender.map(|member| member.address.clone());
    let address = sent_address
        .or_else(|| daemon.address_of(&request.from))
        .unwrap_or_default();
    merge(daemon, &request, &address);
    if !daemon.start_waits.is_fleet_wait_over() {
        // A request does not carry what its sender knows of this host, but an answer does: open an
        // exchange with another daemon to get one.
        daemon.wake_gossip();
    }
    let accepted = daemon.accepted_version();
    lock(&daemon.fleet).answer(accepted, &request)
}

/// Updates the router, and this daemon's role as a reader of the source, with changed members.
fn apply_changes(daemon: &Daemon, changed: &[Member]) {
    if !changed.is_empty() {
        source_reader::update_role(daemon);
    }
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
