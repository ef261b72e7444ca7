//! Handles the requests of callers: prepares the call, sends it and answers.

use crate::daemon::{Daemon, lock};
use crate::deadline::{Deadline, Moment};
use crate::preparation::{Prepared, RequestNotes, prepare};
use crate::timing::Timing;
use crate::{keyed, outbound};
use indigospur_protocol::{Answer, Outcome, Ran, Refusal, RelayMessage, Reply};
use indigospur_relay::{ReceivedRequest, runtime};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two looks at whether the first upstream of a service is known.
const DISCOVERY_POLL: Duration = Duration::from_millis(10);

/// Handles a caller's request and returns the answer or the refusal to send back.
pub(crate) async fn answer(daemon: Arc<Daemon>, mut received: ReceivedRequest) -> Answer {
    let started = Instant::now();
    let mut notes = RequestNotes::default();
    let outcome = match prepare(&daemon, &mut received, &mut notes) {
        Ok(prepared) => execute(&daemon, prepared).await,
        Err(refusal) => Outcome::Refused(refusal),
    };
    match outcome {
        Outcome::Answered(answer) => {
            daemon.metrics.record_answer(started.elapsed());
            answer
        }
        Outcome::Refused(refusal) => {
            let now = Instant::now();
            if let Some(workspace) = notes.charged.filter(|_| refusal.ran == Ran::No) {
                lock(&daemon.quotas.gate).refund(now, &workspace.name);
            }
            let remaining = notes
                .deadline
                .map(|deadline| deadline.saturating_duration_since(now));
            let refusal = daemon.with_retry_advice(refusal, remaining);
            daemon.metrics.count_refusal(refusal.kind);
            log_refusal(&daemon, &refusal, &notes.request_id, &received, started);
            daemon.dialect.write_refusal(&refusal)
        }
    }
}

fn log_refusal(
    daemon: &Daemon,
    refusal: &Refusal,
    request: &str,
    received: &ReceivedRequest,
    started: Instant,
) {
    // Includes the time for receiving the request.
    let waited = started.saturating_duration_since(received.started);
    log::info!(
        request,
        version = daemon.accepted_version(),
        kind = refusal.kind.name(),
        ran = refusal.ran.as_str(),
        detail = &*refusal.detail,
        host = &*received.host,
        path = &*received.path,
        waited_ms = waited.as_millis() as u64,
        took_ms = started.elapsed().as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64);
        "request refused"
    );
}

async fn execute(daemon: &Arc<Daemon>, prepared: Prepared) -> Outcome {
    let Prepared {
        mut message,
        parent,
        rule,
        max_runs,
        retry_order,
        timed_as,
    } = prepared;
    let timing = Timing::start(&daemon.response_times, &timed_as);
    let lent_retries = message.context.retries;
    let key = message.context.key.clone();
    let reply = match key {
        Some(key) => keyed::send(daemon, message, &key).await,
        None => {
            wait_for_upstream(daemon, &mut message).await;
            let limits = outbound::SendLimits {
                excluded: Vec::new(),
                max_runs,
                retry_order,
                timed_as: timed_as.clone(),
            };
            outbound::send(daemon, message, limits).await
        }
    };
    timing.finish(&reply.outcome);
    match parent {
        Some(token) => report_to_parent(daemon, &token, lent_retries, &reply),
        None => learn_work(daemon, rule.as_ref(), &reply),
    }
    reply.outcome
}

/// Holds a call of a daemon that has just started until an upstream of the service is known, as long as
/// [`Discovery`](indigospur_routing::Discovery) allows. The call's remaining time shrinks by the wait.
async fn wait_for_upstream(daemon: &Daemon, message: &mut RelayMessage) {
    let started = Instant::now();
    let remaining = message.context.remaining;
    let Some(end) = daemon.discovery.wait_until(started, remaining) else {
        return;
    };
    let knows_service = || lock(&daemon.router).knows(&message.call.service);
    if knows_service() {
        return;
    }
    let deadline = Deadline::after(Moment::now(), message.context.remaining);
    while !knows_service() && Instant::now() < end {
        runtime::sleep(DISCOVERY_POLL).await;
    }
    message.context.remaining = deadline.remaining(Moment::now());
    log::debug!(
        request = &*message.context.request_id,
        service = &*message.call.service,
        found = knows_service(),
        waited_ms = started.elapsed().as_millis() as u64;
        "call held until an upstream of its service is known"
    );
}

/// Records the result of a nested call in its parent call's ledger entry: unused retry credit, work
/// done, and whether the call was refused for overload.
fn report_to_parent(daemon: &Daemon, parent: &str, lent_retries: u32, reply: &Reply) {
    let mut ledger = lock(&daemon.ledger);
    ledger.reclaim(parent, lent_retries, reply.retries_left, reply.retried);
    ledger.record_work(parent, &reply.work);
    if matches!(&reply.outcome, Outcome::Refused(refusal) if refusal.kind.is_overload()) {
        ledger.record_shed_below(parent);
    }
}

/// Updates the mean slot time that a request of the rule takes at each service, from a request that
/// was answered, and its mean numbers of calls, from one that succeeded.
fn learn_work(daemon: &Daemon, rule: Option<&Arc<str>>, reply: &Reply) {
    let (Some(rule), Outcome::Answered(answer)) = (rule, &reply.outcome) else {
        return;
    };
    let mut ingress = lock(&daemon.ingress);
    ingress.record_work(rule, &reply.work);
    if answer.status < 400 {
        ingress.record_calls(rule, &reply.work);
    }
}
