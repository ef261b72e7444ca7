//! A caller's request is carried out and answered.

use crate::daemon::{Daemon, lock};
use crate::preparation::{Prepared, prepare};
use crate::{keyed, outbound};
use indigospur_protocol::{Answer, Outcome, Refusal, Reply, RequestId};
use indigospur_relay::ReceivedRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers a caller's request.
pub(crate) async fn answer(daemon: Arc<Daemon>, mut received: ReceivedRequest) -> Answer {
    let begun = Instant::now();
    let mut request: RequestId = "".into();
    let outcome = match prepare(&daemon, &mut received, &mut request) {
        Ok(prepared) => carry_out(&daemon, prepared).await,
        Err(refusal) => Outcome::Refused(refusal),
    };
    match outcome {
        Outcome::Answered(answer) => {
            daemon.metrics.record_answer(begun.elapsed());
            answer
        }
        Outcome::Refused(refusal) => {
            let refusal = daemon.advise(refusal);
            daemon.metrics.count_refusal(refusal.kind);
            log_refusal(&daemon, &refusal, &request, &received, begun.elapsed());
            daemon.dialect.write_refusal(&refusal)
        }
    }
}

fn log_refusal(
    daemon: &Daemon,
    refusal: &Refusal,
    request: &str,
    received: &ReceivedRequest,
    took: Duration,
) {
    log::info!(
        request,
        version = daemon.accepted(),
        kind = refusal.kind.name(),
        ran = refusal.ran.as_str(),
        detail = &*refusal.detail,
        host = &*received.host,
        path = &*received.path,
        took_ms = took.as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64);
        "request refused"
    );
}

async fn carry_out(daemon: &Arc<Daemon>, prepared: Prepared) -> Outcome {
    let Prepared {
        message,
        above,
        rule,
        attempts,
    } = prepared;
    let lent = message.context.retries;
    let key = message.context.key.clone();
    let reply = match key {
        Some(key) => keyed::send(daemon, message, &key).await,
        None => {
            let bounds = outbound::Bounds {
                avoid: Vec::new(),
                attempts,
            };
            outbound::send(daemon, message, bounds).await
        }
    };
    match above {
        Some(token) => account(daemon, &token, lent, &reply),
        None => learn(daemon, rule.as_ref(), &reply),
    }
    reply.outcome
}

/// Gives what is left of a call inside a chain back to the call above.
fn account(daemon: &Daemon, above: &str, lent: u32, reply: &Reply) {
    let mut ledger = lock(&daemon.ledger);
    ledger.reclaim(above, lent, reply.retries_left, reply.retried);
    ledger.record_work(above, &reply.work);
    if matches!(&reply.outcome, Outcome::Refused(refusal) if refusal.kind.is_overload()) {
        ledger.record_shed_below(above);
    }
}

/// Learns what a whole request of a rule takes.
fn learn(daemon: &Daemon, rule: Option<&Arc<str>>, reply: &Reply) {
    if let (Some(rule), Outcome::Answered(_)) = (rule, &reply.outcome) {
        lock(&daemon.entry).record_work(rule, &reply.work);
    }
}
