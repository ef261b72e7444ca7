//! Calls that run at most once: from any daemon to the key's home, and from there to an executor.

use crate::daemon::{Daemon, lock};
use crate::{outbound, peers};
use async_std::channel::{Receiver, bounded};
use indigospur_once::{ClaimOutcome, executor_candidates, home_of};
use indigospur_protocol::{
    Epoch, HostId, Key, Kind, MemberId, Outcome, Ran, Refusal, RelayMessage, Reply,
};
use indigospur_relay::{LinkError, runtime};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

/// Times a claim is sent to another home after the epoch has changed.
const MOST_REDIRECTS: u32 = 3;
/// Longest time that a claim waits for what earlier homes and executors know.
const LONGEST_WAIT_TO_SERVE: Duration = Duration::from_secs(1);
/// Time to wait for the next epoch before a claim is sent again.
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);

/// Sends a claim to the key's home, and again if the home has changed.
pub(crate) async fn send(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let deadline = Instant::now() + message.context.remaining;
    let retries = message.context.retries;
    for _ in 0..MOST_REDIRECTS {
        let Some(home) = home(daemon, &message.call.service, key) else {
            return Reply::refused(unavailable(daemon, &message.call.service), retries);
        };
        let mut message = message.clone();
        message.context.remaining = deadline.saturating_duration_since(Instant::now());
        let reply = claim_at(daemon, message, key, &home).await;
        let moved =
            matches!(&reply.outcome, Outcome::Refused(refusal) if refusal.kind == Kind::StaleEpoch);
        if !moved {
            return reply;
        }
        runtime::sleep(REDIRECT_PAUSE).await;
    }
    Reply::refused(
        Refusal::new(Kind::HomeUnavailable, "the key's home is changing"),
        retries,
    )
}

fn home(daemon: &Daemon, service: &str, key: &str) -> Option<MemberId> {
    let epochs = lock(&daemon.epochs);
    epochs
        .get(service)
        .and_then(|epoch| home_of(epoch, key))
        .cloned()
}

fn unavailable(daemon: &Daemon, service: &str) -> Refusal {
    let detail = format!("the log has no member list of {service} yet");
    daemon.refuse_service(service, Refusal::new(Kind::HomeUnavailable, detail))
}

async fn claim_at(
    daemon: &Arc<Daemon>,
    message: RelayMessage,
    key: &Key,
    home: &MemberId,
) -> Reply {
    if home.host == *daemon.host() {
        return claim_here(daemon, message, key).await;
    }
    let retries = message.context.retries;
    let Some(address) = daemon.address_of(&home.host) else {
        return Reply::refused(
            Refusal::new(Kind::HomeUnavailable, "the key's home is not known here"),
            retries,
        );
    };
    let remaining = message.context.remaining;
    match runtime::timeout(remaining, peers::claim(daemon, &address, &message)).await {
        Some(Ok(reply)) => reply,
        Some(Err(LinkError::Connect)) => Reply::refused(
            Refusal::new(Kind::HomeUnavailable, "the key's home takes no connection"),
            retries,
        ),
        Some(Err(_)) => Reply::refused(
            Refusal::new(Kind::LinkLost, "the connection to the key's home broke"),
            0,
        ),
        None => Reply::refused(
            Refusal::new(
                Kind::DeadlineRunning,
                "the deadline passed while the call ran",
            ),
            0,
        ),
    }
}

/// Orders a claim as the key's home. The run goes on when the caller goes away, so that its
/// outcome is known when the key is sent again.
pub(crate) async fn claim_here(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let retries = message.context.retries;
    let claim = claim_when_served(daemon, &message, key).await;
    let refusal = match claim {
        ClaimOutcome::Granted(epoch) => {
            return run_detached(daemon, message, key.clone(), epoch).await;
        }
        ClaimOutcome::Running => return wait(daemon, message, key).await,
        ClaimOutcome::Repeat(answer) => {
            return Reply::new(Outcome::Answered(answer), retries);
        }
        ClaimOutcome::NotHome(_) => {
            Refusal::new(Kind::StaleEpoch, "another host is the key's home")
        }
        ClaimOutcome::Ran => Refusal {
            ran: Ran::Yes,
            ..Refusal::new(
                Kind::KeyOutcomeUnknown,
                "the key ran; its answer is not kept",
            )
        },
        ClaimOutcome::Uncertain => Refusal::new(
            Kind::KeyOutcomeUnknown,
            "an earlier use of the key may have run",
        ),
        ClaimOutcome::Conflict => {
            Refusal::new(Kind::KeyConflict, "the key was used with another request")
        }
        ClaimOutcome::Expired => Refusal::new(
            Kind::KeyExpired,
            "the key is older than keys are remembered",
        ),
        ClaimOutcome::NotServing => Refusal::new(
            Kind::HomeUnavailable,
            "the key's new home waits for what the old one knows",
        ),
    };
    Reply::refused(refusal, retries)
}

/// Claims the key. A new home is served by the others within moments, so the claim waits a little.
async fn claim_when_served(daemon: &Daemon, message: &RelayMessage, key: &Key) -> ClaimOutcome {
    let end = Instant::now() + message.context.remaining.min(LONGEST_WAIT_TO_SERVE);
    loop {
        let claim = claim_now(daemon, message, key);
        if claim != ClaimOutcome::NotServing || Instant::now() >= end {
            return claim;
        }
        runtime::sleep(REDIRECT_PAUSE).await;
    }
}

fn claim_now(daemon: &Daemon, message: &RelayMessage, key: &Key) -> ClaimOutcome {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut once = lock(&daemon.once);
    let digest = message.context.digest;
    once.as_mut().map_or(ClaimOutcome::NotServing, |part| {
        part.claim(now, wall, key, digest)
    })
}

async fn run_detached(
    daemon: &Arc<Daemon>,
    message: RelayMessage,
    key: Key,
    epoch: Epoch,
) -> Reply {
    let open = OpenKey::new(daemon);
    runtime::spawn(async move { run(&open.0, message, key, epoch).await }).await
}

/// A protected call that keeps the daemon from stopping.
struct OpenKey(Arc<Daemon>);

impl OpenKey {
    fn new(daemon: &Arc<Daemon>) -> OpenKey {
        daemon.open_keys.fetch_add(1, Ordering::Relaxed);
        OpenKey(daemon.clone())
    }
}

impl Drop for OpenKey {
    fn drop(&mut self) {
        self.0.open_keys.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(daemon: &Arc<Daemon>, mut message: RelayMessage, key: Key, epoch: Epoch) -> Reply {
    message.context.epoch = epoch;
    message.context.home = Some(daemon.host().clone());
    message.context.idempotent = false;
    let bounds = outbound::Bounds {
        avoid: not_executors(daemon, &message.call.service, &key),
        attempts: u32::MAX,
    };
    let reply = outbound::send(daemon, message, bounds).await;
    settle(daemon, &key, &reply);
    for waiter in lock(&daemon.waiters).remove(&key).unwrap_or_default() {
        let _ = waiter.try_send(reply.clone());
    }
    reply
}

/// Upstreams of the service that may not run the key in this epoch.
fn not_executors(daemon: &Daemon, service: &str, key: &str) -> Vec<HostId> {
    let epochs = lock(&daemon.epochs);
    let Some(epoch) = epochs.get(service) else {
        return Vec::new();
    };
    let candidates = executor_candidates(epoch, key);
    let router = lock(&daemon.router);
    let hosts = router
        .upstreams(service)
        .iter()
        .map(|upstream| &upstream.member.host);
    hosts
        .filter(|host| !candidates.iter().any(|member| member.host == **host))
        .cloned()
        .collect()
}

fn settle(daemon: &Daemon, key: &str, reply: &Reply) {
    let mut once = lock(&daemon.once);
    let Some(part) = once.as_mut() else { return };
    match &reply.outcome {
        Outcome::Answered(answer) => part.mark_ran(key, answer),
        Outcome::Refused(refusal) if refusal.ran == Ran::No => part.release(key),
        Outcome::Refused(_) => part.mark_uncertain(key),
    }
}

/// Waits for the outcome of the same key.
async fn wait(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let receiver = enlist(daemon, key);
    let replied = runtime::timeout(message.context.remaining, receiver.recv()).await;
    match replied {
        Some(Ok(reply)) => Reply {
            retries_left: message.context.retries,
            ..reply
        },
        _ => Reply::refused(
            Refusal::new(Kind::KeyRunning, "an earlier use of the key still runs"),
            message.context.retries,
        ),
    }
}

fn enlist(daemon: &Daemon, key: &Key) -> Receiver<Reply> {
    let (sender, receiver) = bounded(1);
    lock(&daemon.waiters)
        .entry(key.clone())
        .or_default()
        .push(sender);
    receiver
}
