//! Runs calls at the backend server of this host, after admission.

use crate::backend::{self, Backend};
use crate::backend_refusal::BackendRefusal;
use crate::backend_status;
use crate::crashes::{self, SuspectGuard, crashes_for_sender};
use crate::daemon::{Daemon, lock};
use crate::deadline::{Deadline, Moment};
use crate::dialect::{AnswerMeaning, OutgoingCall};
use crate::slots::Slot;
use crate::stopping::{call_kind, too_late};
use crate::timing::Timing;
use indigospur_admission::{AdmissionRefusal, Arrival, Completion};
use indigospur_budget::{ClosedCall, add_work};
use indigospur_once::RecordOutcome;
use indigospur_protocol::{Context, Kind, Outcome, Ran, Refusal, RelayMessage, Reply, Work};
use indigospur_relay::{BackendError, BackendResponse, HttpRequest, ResponseCheck, Reuse, runtime};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pauses between liveness probes of a backend server that broke a connection; the zero ends the
/// probing.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(40), Duration::ZERO];

/// Runs a call at the backend server, or refuses it.
pub(crate) async fn serve(daemon: &Arc<Daemon>, mut message: RelayMessage) -> Reply {
    let arrived = Instant::now();
    let retries = message.context.retries;
    let not_ready = |detail| Reply::refused(Refusal::new(Kind::NotReady, detail), retries);
    let Some(backend) = daemon.backend() else {
        return not_ready("no backend server has announced itself");
    };
    if backend.service != message.call.service {
        return not_ready("the backend server serves another service");
    }
    let known_to_sender = std::mem::take(&mut message.context.crashes);
    if !known_to_sender.is_empty() {
        lock(&daemon.fleet)
            .suspects
            .merge(arrived, &known_to_sender);
    }
    let digest = message.context.digest;
    let mut reply = admit(daemon, &backend, message).await;
    reply.crashes = crashes_for_sender(daemon, digest, &known_to_sender);
    let now = Instant::now();
    reply.pressures = lock(&daemon.pressures).reports(now);
    lock(&daemon.ingress).report(now, &mut reply.pressures);
    let mut load = backend.slots.load();
    load.incarnation = daemon.incarnation;
    load.residence = arrived.elapsed();
    reply.load = Some(load);
    reply
}

async fn admit(daemon: &Arc<Daemon>, backend: &Arc<Backend>, message: RelayMessage) -> Reply {
    let retries = message.context.retries;
    let now = Moment::now();
    let deadline = Deadline::after(now, message.context.remaining);
    let sender_end = message.context.ends_within;
    let sender_end = sender_end.map(|left| Deadline::after(now, left));
    if let Err(refusal) = check_end(daemon, backend, &message.context, deadline, None) {
        return Reply::refused(refusal, retries);
    }
    let suspect = match SuspectGuard::start(daemon, &message.call.service, message.context.digest) {
        Ok(suspect) => suspect,
        Err(refusal) => return Reply::refused(refusal, retries),
    };
    let slot = backend
        .slots
        .acquire(arrival(daemon, &message.context, deadline, now))
        .await;
    let slot = match slot {
        Ok(slot) => slot,
        Err(refused) => return Reply::refused(shed_refusal(refused), retries),
    };
    if deadline.remaining(Moment::now()).is_zero() {
        let detail = "the deadline passed before the call got its slot";
        return Reply::refused(Refusal::new(Kind::DeadlineWaiting, detail), retries);
    }
    if slot.has_waited()
        && let Err(refusal) = check_end(daemon, backend, &message.context, deadline, sender_end)
    {
        return Reply::refused(refusal, retries);
    }
    if let Err(refusal) = record_key(daemon, &message.context) {
        return Reply::refused(refusal, retries);
    }
    let digest = message.context.digest;
    let reply = run(daemon, backend, message, slot, deadline).await;
    if matches!(reply.outcome, Outcome::Answered(_)) {
        lock(&daemon.fleet).suspects.clear(Instant::now(), digest);
    }
    drop(suspect);
    reply
}

/// Refuses a call that is not expected to end before this daemon, or before the caller's at `sender_end`.
fn check_end(
    daemon: &Daemon,
    backend: &Backend,
    context: &Context,
    deadline: Deadline,
    sender_end: Option<Deadline>,
) -> Result<(), Refusal> {
    let now = Moment::now();
    let remaining = deadline.remaining(now);
    let kind = call_kind(&backend.service, context);
    if !daemon.ends_in_time(now.instant, &daemon.backend_times, kind, remaining) {
        return Err(too_late());
    }
    let Some(sender_end) = sender_end else {
        return Ok(());
    };
    let bound = lock(&daemon.backend_times).bound(now.instant, kind);
    if remaining.min(bound) > sender_end.remaining(now) {
        let detail = "the caller's daemon is stopping before the call would end";
        return Err(Refusal::new(Kind::DeadlineUnreachable, detail));
    }
    Ok(())
}

/// The deadline by which a call must get its slot is earlier where the caller's daemon or this one ends
/// before that of the call.
fn arrival(daemon: &Daemon, context: &Context, deadline: Deadline, now: Moment) -> Arrival {
    let instant = Instant::now();
    let ends = [context.ends_within, daemon.time_to_end(instant)];
    let ends = ends.into_iter().flatten().map(|left| instant + left);
    let deadline = ends.fold(deadline.instant(now), Instant::min);
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

fn shed_refusal(refused: AdmissionRefusal) -> Refusal {
    let detail = match refused.kind {
        Kind::RateLimited => {
            "the backend server is at the limit that it named on its rate of calls"
        }
        _ => "the backend server's slots and queue are taken",
    };
    Refusal::new(refused.kind, detail).with_retry_after(refused.retry_after)
}

/// Records the key of a call that runs at most once. From here on the call must be passed to the
/// backend server, or the record revoked by [`mark_key_not_run`].
fn record_key(daemon: &Daemon, context: &Context) -> Result<(), Refusal> {
    let (Some(key), Some(home)) = (&context.key, &context.home) else {
        return Ok(());
    };
    let mut once = lock(&daemon.once);
    let state = once
        .as_mut()
        .ok_or_else(|| Refusal::new(Kind::StaleEpoch, "no epoch is known here"))?;
    match state.record(Instant::now(), context.epoch, home, key, context.digest) {
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

/// How a call to the backend server ended.
enum CallEnd {
    Answered(BackendResponse),
    Failed(BackendError),
    DeadlinePassed,
    Preempted(AdmissionRefusal),
}

async fn run(
    daemon: &Arc<Daemon>,
    backend: &Arc<Backend>,
    message: RelayMessage,
    mut slot: Slot,
    deadline: Deadline,
) -> Reply {
    let started = Instant::now();
    let timing = Timing::start(&daemon.backend_times, &backend.service);
    let context = message.context.clone();
    let token = daemon.dialect.call_token(&message, daemon.new_token());
    let ledger_entry = LedgerEntry::new(daemon, token, &context);
    let call_end = call_backend(
        daemon,
        backend,
        &message,
        &ledger_entry.token,
        &slot,
        deadline,
    )
    .await;
    let outcome = handle_end(daemon, backend, &context, call_end, &mut slot, started).await;
    timing.finish(&outcome);
    let closed = ledger_entry.close();
    if closed.shed_below && !is_success(&outcome) && daemon.settings().yields_below {
        slot.set_completion(Completion::Shed);
    }
    let mut work = closed.work;
    let own_work = Work {
        service: backend.service.clone(),
        time: started.elapsed(),
        calls: u32::from(matches!(outcome, Outcome::Answered(_))),
    };
    add_work(&mut work, &[own_work]);
    Reply {
        retried: closed.retried,
        work,
        ..Reply::new(outcome, closed.retries_left)
    }
}

fn is_success(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if (200..400).contains(&answer.status))
}

async fn call_backend(
    daemon: &Daemon,
    backend: &Backend,
    message: &RelayMessage,
    token: &str,
    slot: &Slot,
    deadline: Deadline,
) -> CallEnd {
    let now = Moment::now();
    let head = daemon.dialect.write_request(&OutgoingCall {
        message,
        token,
        remaining: deadline.remaining(now),
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
        call_id: token,
        owner: &|answer| daemon.dialect.owner(answer, token),
        close_delimited: daemon.dialect.close_delimited(),
    };
    let reuse = match message.context.idempotent {
        true => Reuse::Latest,
        false => Reuse::Stated,
    };
    let answered = async {
        match backend.pool.call(&request, check, reuse).await {
            Ok(response) => CallEnd::Answered(response),
            Err(error) => CallEnd::Failed(error),
        }
    };
    let deadline_passed = async {
        runtime::sleep_until(deadline.instant(now)).await;
        CallEnd::DeadlinePassed
    };
    let preempted = async { CallEnd::Preempted(slot.preempted().await) };
    futures_lite::future::or(
        answered,
        futures_lite::future::or(deadline_passed, preempted),
    )
    .await
}

async fn handle_end(
    daemon: &Arc<Daemon>,
    backend: &Arc<Backend>,
    context: &Context,
    call_end: CallEnd,
    slot: &mut Slot,
    started: Instant,
) -> Outcome {
    match call_end {
        CallEnd::Answered(response) => {
            handle_answer(daemon, backend, context, response, slot, started)
        }
        CallEnd::Failed(BackendError::NoConnection) => {
            mark_key_not_run(daemon, context);
            check_down(daemon, backend, Some(context.digest)).await;
            let detail = "the backend server takes no connection";
            refused(Kind::ConnectFailed, detail)
        }
        CallEnd::Failed(BackendError::InvalidRequest) => {
            mark_key_not_run(daemon, context);
            let detail = "the request can't be passed on in HTTP/1.1";
            refused(Kind::BadRequest, detail)
        }
        CallEnd::Failed(BackendError::InvalidResponse) => {
            let detail = "the backend server's answer is not whole or not its own";
            refused(Kind::BadAnswer, detail)
        }
        CallEnd::Failed(BackendError::ConnectionLost) => {
            Outcome::Refused(connection_broken(daemon, backend).await)
        }
        CallEnd::DeadlinePassed => {
            refused(Kind::DeadlineRunning, "the deadline passed while it ran")
        }
        CallEnd::Preempted(refused) => {
            daemon.metrics.count_preemption();
            Outcome::Refused(Refusal {
                ran: Ran::Unknown,
                ..shed_refusal(refused)
            })
        }
    }
}

fn refused(kind: Kind, detail: &str) -> Outcome {
    Outcome::Refused(Refusal::new(kind, detail))
}

fn handle_answer(
    daemon: &Daemon,
    backend: &Arc<Backend>,
    context: &Context,
    response: BackendResponse,
    slot: &mut Slot,
    started: Instant,
) -> Outcome {
    let BackendResponse {
        mut answer,
        exchange,
    } = response;
    daemon.metrics.count_skipped_responses(exchange.skipped);
    let names_call = daemon.dialect.names_call(&answer);
    let status = daemon.dialect.read_status(&answer);
    let meaning = daemon.dialect.read_answer(&mut answer);
    // An answer with this kind comes from another process.
    if meaning != AnswerMeaning::NotRun(Kind::NotReady) {
        backend_status::observe(daemon, backend, status, started);
    }
    let (kind, ran) = match meaning {
        AnswerMeaning::Answer => {
            slot.set_completion(Completion::Answered);
            mark_key_finished(daemon, context);
            return Outcome::Answered(answer);
        }
        AnswerMeaning::NotRun(kind) => {
            mark_key_not_run(daemon, context);
            (kind, Ran::No)
        }
        AnswerMeaning::MaybeRun(kind) => (kind, Ran::Unknown),
    };
    let refusal = BackendRefusal {
        status: answer.status,
        ran,
        names_call,
        exchange,
    };
    refusal.observe(daemon, backend, context);
    if kind == Kind::NotReady {
        // Another process has taken over the address of this one.
        backend::remove(daemon, backend);
    } else {
        slot.set_completion(Completion::Shed);
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

async fn connection_broken(daemon: &Arc<Daemon>, backend: &Arc<Backend>) -> Refusal {
    if check_down(daemon, backend, None).await {
        Refusal::new(
            Kind::BackendLost,
            "the backend server went away while it ran the call",
        )
    } else {
        Refusal::new(Kind::LinkLost, "the connection to the backend server broke")
    }
}

/// Whether the backend server is down. The first call to find it down records a crash, which is
/// attributed to the calls that ran there. `unsent` is the digest of a call that did not reach the
/// backend server and is not blamed.
///
/// A process that exits closes its connections shortly before its listening port, so a backend
/// server that still accepts connections is probed again before the call may go to another host.
async fn check_down(daemon: &Arc<Daemon>, backend: &Arc<Backend>, unsent: Option<u64>) -> bool {
    for pause in PROBE_PAUSES {
        if !backend.pool.accepts_connections().await {
            break;
        }
        if pause.is_zero() {
            return false;
        }
        runtime::sleep(pause).await;
    }
    if backend.mark_down() {
        crashes::record_crash(daemon, unsent);
        log::warn!(
            service = &*backend.service;
            "backend server is down; no calls are sent to it until it announces itself again"
        );
        backend::remove(daemon, backend);
    }
    true
}

fn mark_key_finished(daemon: &Daemon, context: &Context) {
    if let (Some(key), Some(state)) = (&context.key, lock(&daemon.once).as_mut()) {
        state.finish_run(key);
    }
}

fn mark_key_not_run(daemon: &Daemon, context: &Context) {
    if let (Some(key), Some(state)) = (&context.key, lock(&daemon.once).as_mut()) {
        state.cancel_run(key);
    }
}

/// A running call's entry in the ledger, removed on close or drop.
struct LedgerEntry<'a> {
    daemon: &'a Daemon,
    token: Arc<str>,
}

impl<'a> LedgerEntry<'a> {
    fn new(daemon: &'a Daemon, token: Arc<str>, context: &Context) -> LedgerEntry<'a> {
        lock(&daemon.ledger).open(Instant::now(), token.clone(), context.clone());
        LedgerEntry { daemon, token }
    }

    /// Removes the entry; returns what its nested calls have used and left.
    fn close(self) -> ClosedCall {
        lock(&self.daemon.ledger).close(&self.token)
    }
}

impl Drop for LedgerEntry<'_> {
    fn drop(&mut self) {
        lock(&self.daemon.ledger).close(&self.token);
    }
}
