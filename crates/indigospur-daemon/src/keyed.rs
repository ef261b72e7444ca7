//! Calls with an idempotency key, which run at most once: any daemon sends a claim to the key's
//! home, and the home sends the call to an executor.

use crate::daemon::{Daemon, lock};
use crate::deadline::{Deadline, Moment};
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

/// Maximum number of times that a claim is sent, each time to the home by the newest known epoch.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// Longest time for which a claim waits until a new home has received the records of earlier homes
/// and executors.
const MAX_SERVING_WAIT: Duration = Duration::from_secs(1);
/// Pause before a claim is sent again, in which the next epoch may arrive.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a claim to the key's home, and to the new home if it has changed meanwhile.
pub(crate) async fn send(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let deadline = Deadline::after(Moment::now(), message.context.remaining);
    let retries = message.context.retries;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let Some(home) = find_home(daemon, &message.call.service, key) else {
            return Reply::refused(home_unavailable(daemon, &message.call.service), retries);
        };
        let mut message = message.clone();
        message.context.remaining = deadline.remaining(Moment::now());
        let reply = claim_at(daemon, message, key, &home).await;
        let home_changed =
            matches!(&reply.outcome, Outcome::Refused(refusal) if refusal.kind == Kind::StaleEpoch);
        if !home_changed {
            return reply;
        }
        runtime::sleep(CLAIM_RETRY_PAUSE).await;
    }
    Reply::refused(
        Refusal::new(Kind::HomeUnavailable, "the key's home is changing"),
        retries,
    )
}

fn find_home(daemon: &Daemon, service: &str, key: &str) -> Option<MemberId> {
    let epochs = lock(&daemon.epochs);
    epochs
        .get(service)
        .and_then(|epoch| home_of(epoch, key))
        .cloned()
}

fn home_unavailable(daemon: &Daemon, service: &str) -> Refusal {
    let detail = format!("the log has no member list of {service} yet");
    daemon.refuse_for_service(service, Refusal::new(Kind::HomeUnavailable, detail))
}

async fn claim_at(
    daemon: &Arc<Daemon>,
    message: RelayMessage,
    key: &Key,
    home: &MemberId,
) -> Reply {
    if home.host == *daemon.host() {
        return claim_as_home(daemon, message, key).await;
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

/// Decides a claim as the key's home, and runs the call if it is granted. The run continues when
/// the caller disconnects, so that its outcome is known when the key is sent again.
pub(crate) async fn claim_as_home(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let retries = message.context.retries;
    let claim = claim_when_serving(daemon, &message, key).await;
    let refusal = match claim {
        ClaimOutcome::Granted(epoch) => {
            return run_detached(daemon, message, key.clone(), epoch).await;
        }
        ClaimOutcome::Running => return wait_for_outcome(daemon, message, key).await,
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

/// Claims the key, and waits up to [`MAX_SERVING_WAIT`] where this host is a new home that has not
/// yet received the records of the others.
async fn claim_when_serving(daemon: &Daemon, message: &RelayMessage, key: &Key) -> ClaimOutcome {
    let wait_end = Instant::now() + message.context.remaining.min(MAX_SERVING_WAIT);
    loop {
        let claim = try_claim(daemon, message, key);
        if claim != ClaimOutcome::NotServing || Instant::now() >= wait_end {
            return claim;
        }
        runtime::sleep(CLAIM_RETRY_PAUSE).await;
    }
}

fn try_claim(daemon: &Daemon, message: &RelayMessage, key: &Key) -> ClaimOutcome {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut once = lock(&daemon.once);
    let digest = message.context.digest;
    once.as_mut().map_or(ClaimOutcome::NotServing, |state| {
        state.claim(now, wall, key, digest)
    })
}

async fn run_detached(
    daemon: &Arc<Daemon>,
    message: RelayMessage,
    key: Key,
    epoch: Epoch,
) -> Reply {
    let running = RunningKey::new(daemon);
    runtime::spawn(async move { run(&running.0, message, key, epoch).await }).await
}

/// Counts a running call with a key, which delays the stop of the daemon, until it is dropped.
struct RunningKey(Arc<Daemon>);

impl RunningKey {
    fn new(daemon: &Arc<Daemon>) -> RunningKey {
        daemon.running_keys.fetch_add(1, Ordering::Relaxed);
        RunningKey(daemon.clone())
    }
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        self.0.running_keys.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(daemon: &Arc<Daemon>, mut message: RelayMessage, key: Key, epoch: Epoch) -> Reply {
    message.context.epoch = epoch;
    message.context.home = Some(daemon.host().clone());
    message.context.idempotent = false;
    let limits = outbound::SendLimits {
        excluded: non_executors(daemon, &message.call.service, &key),
        max_runs: u32::MAX,
        retry_order: message.context.retry_order,
        timed_as: message.call.service.clone(),
    };
    let reply = outbound::send(daemon, message, limits).await;
    record_outcome(daemon, &key, &reply);
    for waiter in lock(&daemon.waiters).remove(&key).unwrap_or_default() {
        let _ = waiter.try_send(reply.clone());
    }
    reply
}

/// Hosts of the service that are no executors of the key in this epoch.
fn non_executors(daemon: &Daemon, service: &str, key: &str) -> Vec<HostId> {
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

/// Records the outcome of a run at the home of its key.
fn record_outcome(daemon: &Daemon, key: &str, reply: &Reply) {
    let mut once = lock(&daemon.once);
    let Some(state) = once.as_mut() else { return };
    match &reply.outcome {
        Outcome::Answered(answer) => state.mark_ran(key, answer),
        Outcome::Refused(refusal) if refusal.ran == Ran::No => state.release(key),
        Outcome::Refused(_) => state.mark_uncertain(key),
    }
}

/// Waits for the outcome of the run of the same key that is in progress.
async fn wait_for_outcome(daemon: &Arc<Daemon>, message: RelayMessage, key: &Key) -> Reply {
    let receiver = add_waiter(daemon, key);
    let received = runtime::timeout(message.context.remaining, receiver.recv()).await;
    match received {
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

fn add_waiter(daemon: &Daemon, key: &Key) -> Receiver<Reply> {
    let (sender, receiver) = bounded(1);
    lock(&daemon.waiters)
        .entry(key.clone())
        .or_default()
        .push(sender);
    receiver
}
