//! A call arrives at the daemon beside the chosen backend server and is run there.

use crate::backend::{self, Backend};
use crate::daemon::{Daemon, lock};
use crate::dialect::{Meaning, Sending};
use crate::slots::Slot;
use indigospur_admission::{AdmissionRefusal, Arrival, Completion};
use indigospur_budget::{ClosedCall, add_work};
use indigospur_members::Verdict;
use indigospur_once::RecordOutcome;
use indigospur_protocol::{
    Answer, Context, Crash, Kind, Outcome, Ran, Refusal, RelayMessage, Reply, Work,
};
use indigospur_relay::{BackendError, HttpRequest, ResponseCheck, runtime};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pauses between questions whether a backend server that broke a connection still lives.
const ENDING: [Duration; 2] = [Duration::from_millis(40), Duration::ZERO];

/// Runs a call at the backend server, or refuses it.
pub(crate) async fn serve(daemon: &Arc<Daemon>, message: RelayMessage) -> Reply {
    let retries = message.context.retries;
    let not_ready = |detail| Reply::refused(Refusal::new(Kind::NotReady, detail), retries);
    let Some(backend) = daemon.backend() else {
        return not_ready("no backend server has announced itself");
    };
    if backend.service != message.call.service {
        return not_ready("the backend server serves another service");
    }
    let known = learn_crashes(daemon, &message);
    let digest = message.context.digest;
    let mut reply = admit(daemon, &backend, message).await;
    reply.crashes = crashes_beyond(daemon, digest, known);
    reply.pressures = lock(&daemon.pressures).reports(Instant::now());
    let mut load = backend.slots.load();
    load.incarnation = daemon.incarnation;
    reply.load = Some(load);
    reply
}

/// Learns the crashes that the sender lays to the request; the number of those known then.
fn learn_crashes(daemon: &Daemon, message: &RelayMessage) -> usize {
    let crashes = &message.context.crashes;
    if !crashes.is_empty() {
        lock(&daemon.fleet).suspects.merge(crashes);
    }
    crashes.len()
}

/// The crashes laid to the request, if the sender does not know them all: it must not try another
/// host before it does.
fn crashes_beyond(daemon: &Daemon, digest: u64, known: usize) -> Vec<Crash> {
    let crashes = lock(&daemon.fleet).suspects.crashes_of(digest);
    if crashes.len() > known {
        crashes
    } else {
        Vec::new()
    }
}

async fn admit(daemon: &Arc<Daemon>, backend: &Arc<Backend>, message: RelayMessage) -> Reply {
    let retries = message.context.retries;
    let deadline = Instant::now() + message.context.remaining;
    let suspect = match Suspected::start(daemon, message.context.digest) {
        Ok(suspect) => suspect,
        Err(refusal) => return Reply::refused(refusal, retries),
    };
    let slot = backend
        .slots
        .acquire(arrival(daemon, &message.context, deadline))
        .await;
    let slot = match slot {
        Ok(slot) => slot,
        Err(refused) => return Reply::refused(shed(refused), retries),
    };
    if let Err(refusal) = record(daemon, &message.context) {
        return Reply::refused(refusal, retries);
    }
    let digest = message.context.digest;
    let reply = run(daemon, backend, message, slot, deadline).await;
    if matches!(reply.outcome, Outcome::Answered(_)) {
        lock(&daemon.fleet).suspects.clear(digest);
    }
    drop(suspect);
    reply
}

fn arrival(daemon: &Daemon, context: &Context, deadline: Instant) -> Arrival {
    let class = if daemon.settings().chains_first {
        Arrival::chain_class(context.class, context.depth > 0)
    } else {
        context.class
    };
    Arrival {
        class,
        rank: context.rank,
        customer: context.customer.clone(),
        share: context.share,
        deadline,
        waits: context.waits,
    }
}

fn shed(refused: AdmissionRefusal) -> Refusal {
    Refusal::new(
        refused.kind,
        "the backend server's slots and queue are taken",
    )
    .with_retry_after(refused.retry_after)
}

/// Records a key that runs at most once. From here on the call must be handed to the backend
/// server, or the record taken back.
fn record(daemon: &Daemon, context: &Context) -> Result<(), Refusal> {
    let (Some(key), Some(home)) = (&context.key, &context.home) else {
        return Ok(());
    };
    let mut once = lock(&daemon.once);
    let part = once
        .as_mut()
        .ok_or_else(|| Refusal::new(Kind::StaleEpoch, "no epoch is known here"))?;
    match part.record(Instant::now(), context.epoch, home, key, context.digest) {
        RecordOutcome::Run => Ok(()),
        RecordOutcome::Stale => Err(Refusal::new(Kind::StaleEpoch, "the epoch has changed")),
        RecordOutcome::LeaseExpired => Err(Refusal::new(
            Kind::NotReady,
            "the log was not read for too long",
        )),
        RecordOutcome::AlreadyRecorded => {
            let refusal = Refusal::new(Kind::KeyOutcomeUnknown, "the key was run here before");
            Err(Refusal {
                ran: Ran::Yes,
                ..refusal
            })
        }
    }
}

/// How a call that was handed to the backend server ended.
enum Ended {
    Whole(Answer),
    Failed(BackendError),
    Late,
    Preempted(AdmissionRefusal),
}

async fn run(
    daemon: &Arc<Daemon>,
    backend: &Arc<Backend>,
    message: RelayMessage,
    mut slot: Slot,
    deadline: Instant,
) -> Reply {
    let begun = Instant::now();
    let context = message.context.clone();
    let token = daemon.dialect.token(&message, daemon.new_token());
    let open = OpenCall::new(daemon, token, &context);
    let ended = exchange(daemon, backend, &message, &open.token, &slot, deadline).await;
    let outcome = conclude(daemon, backend, &context, ended, &mut slot).await;
    let closed = open.close();
    if closed.shed_below && !is_success(&outcome) && daemon.settings().yields_below {
        slot.ended(Completion::Shed);
    }
    let mut work = closed.work;
    let own = Work {
        service: backend.service.clone(),
        time: begun.elapsed(),
    };
    add_work(&mut work, &[own]);
    Reply {
        retried: closed.retried,
        work,
        ..Reply::new(outcome, closed.retries_left)
    }
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if (200..400).contains(&answer.status))
}

async fn exchange(
    daemon: &Daemon,
    backend: &Backend,
    message: &RelayMessage,
    token: &str,
    slot: &Slot,
    deadline: Instant,
) -> Ended {
    let head = daemon.dialect.write_request(&Sending {
        message,
        token,
        remaining: deadline.saturating_duration_since(Instant::now()),
        instance: &backend.instance,
    });
    let call = &message.call;
    let request = HttpRequest {
        method: &call.method,
        host: &head.host,
        path: &call.path,
        headers: &head.headers,
        body: &call.body,
    };
    let check = ResponseCheck {
        owner: &|answer| daemon.dialect.owner(answer, token),
        close_delimited: daemon.dialect.unframed(),
    };
    let answered = async {
        match backend.pool.call(&request, check).await {
            Ok(answer) => Ended::Whole(answer),
            Err(error) => Ended::Failed(error),
        }
    };
    let late = async {
        runtime::sleep_until(deadline).await;
        Ended::Late
    };
    let preempted = async { Ended::Preempted(slot.preempted().await) };
    futures_lite::future::or(answered, futures_lite::future::or(late, preempted)).await
}

async fn conclude(
    daemon: &Arc<Daemon>,
    backend: &Arc<Backend>,
    context: &Context,
    ended: Ended,
    slot: &mut Slot,
) -> Outcome {
    match ended {
        Ended::Whole(answer) => conclude_whole(daemon, backend, context, answer, slot),
        Ended::Failed(BackendError::NoConnection) => {
            not_run(daemon, context);
            find_gone(daemon, backend, Some(context.digest)).await;
            let detail = "the backend server takes no connection";
            refused(Kind::ConnectFailed, detail)
        }
        Ended::Failed(BackendError::InvalidRequest) => {
            not_run(daemon, context);
            let detail = "the request can't be passed on in HTTP/1.1";
            refused(Kind::BadRequest, detail)
        }
        Ended::Failed(BackendError::InvalidResponse) => {
            let detail = "the backend server's answer is not whole or not its own";
            refused(Kind::BadAnswer, detail)
        }
        Ended::Failed(BackendError::ConnectionLost) => {
            Outcome::Refused(broken(daemon, backend).await)
        }
        Ended::Late => refused(Kind::DeadlineRunning, "the deadline passed while it ran"),
        Ended::Preempted(refused) => {
            daemon.metrics.count_preemption();
            Outcome::Refused(Refusal {
                ran: Ran::Unknown,
                ..shed(refused)
            })
        }
    }
}

fn refused(kind: Kind, detail: &str) -> Outcome {
    Outcome::Refused(Refusal::new(kind, detail))
}

fn conclude_whole(
    daemon: &Daemon,
    backend: &Arc<Backend>,
    context: &Context,
    mut answer: Answer,
    slot: &mut Slot,
) -> Outcome {
    let (kind, ran) = match daemon.dialect.read_answer(&mut answer) {
        Meaning::Answer => {
            slot.ended(Completion::Answered);
            finished(daemon, context);
            return Outcome::Answered(answer);
        }
        Meaning::NotRun(kind) => {
            not_run(daemon, context);
            (kind, Ran::No)
        }
        Meaning::Unproven(kind) => (kind, Ran::Unknown),
    };
    if kind == Kind::NotReady {
        // Another start of a backend server has the address.
        backend::lost(daemon, backend);
    } else {
        slot.ended(Completion::Shed);
    }
    let detail = format!(
        "the backend server turned the call away with {}",
        answer.status
    );
    Outcome::Refused(Refusal {
        ran,
        ..Refusal::new(kind, detail)
    })
}

async fn broken(daemon: &Arc<Daemon>, backend: &Arc<Backend>) -> Refusal {
    if find_gone(daemon, backend, None).await {
        Refusal::new(
            Kind::BackendLost,
            "the backend server went away while it ran the call",
        )
    } else {
        Refusal::new(Kind::LinkLost, "the connection to the backend server broke")
    }
}

/// Whether the backend server is gone. The first call that finds it so blames all that run.
///
/// A process that ends closes its connections a little before its port, so one that seems to live is
/// asked again before the call may go to another host.
async fn find_gone(daemon: &Arc<Daemon>, backend: &Arc<Backend>, unsent: Option<u64>) -> bool {
    for pause in ENDING {
        if !backend.pool.accepts_connections().await {
            break;
        }
        if pause.is_zero() {
            return false;
        }
        runtime::sleep(pause).await;
    }
    if backend.is_first_to_find_gone() {
        let number = daemon.new_crash();
        lock(&daemon.fleet)
            .suspects
            .record_crash(daemon.host(), number, unsent);
        log::warn!(service = &*backend.service; "the backend server is gone");
        backend::lost(daemon, backend);
    }
    true
}

fn finished(daemon: &Daemon, context: &Context) {
    if let (Some(key), Some(part)) = (&context.key, lock(&daemon.once).as_mut()) {
        part.finish_run(key);
    }
}

fn not_run(daemon: &Daemon, context: &Context) {
    if let (Some(key), Some(part)) = (&context.key, lock(&daemon.once).as_mut()) {
        part.cancel_run(key);
    }
}

/// A call among those that may take the backend server down, until it is dropped.
struct Suspected<'a> {
    daemon: &'a Daemon,
    fingerprint: u64,
}

impl<'a> Suspected<'a> {
    fn start(daemon: &'a Daemon, fingerprint: u64) -> Result<Suspected<'a>, Refusal> {
        match lock(&daemon.fleet).suspects.try_start(fingerprint) {
            Verdict::Run => Ok(Suspected {
                daemon,
                fingerprint,
            }),
            Verdict::OtherHost => Err(Refusal::new(
                Kind::Overloaded,
                "another suspect of a crash runs here",
            )),
            Verdict::Poisonous => Err(Refusal::new(
                Kind::PoisonRequest,
                "the request has taken down several backend servers",
            )),
        }
    }
}

impl Drop for Suspected<'_> {
    fn drop(&mut self) {
        lock(&self.daemon.fleet).suspects.finish(self.fingerprint);
    }
}

/// A call in the ledger, until it is closed or dropped.
struct OpenCall<'a> {
    daemon: &'a Daemon,
    token: Arc<str>,
}

impl<'a> OpenCall<'a> {
    fn new(daemon: &'a Daemon, token: Arc<str>, context: &Context) -> OpenCall<'a> {
        lock(&daemon.ledger).open(Instant::now(), token.clone(), context.clone());
        OpenCall { daemon, token }
    }

    fn close(self) -> ClosedCall {
        lock(&self.daemon.ledger).close(&self.token)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        lock(&self.daemon.ledger).close(&self.token);
    }
}
