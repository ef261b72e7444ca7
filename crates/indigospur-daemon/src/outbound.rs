//! A call is sent to an upstream, and again to another where there is hope.

use crate::daemon::{Daemon, lock};
use crate::{inbound, peers};
use indigospur_budget::{
    Credit, FailedAttempt, RetryOptions, RetryRatio, add_work, decide_retry,
    is_upstream_unavailable,
};
use indigospur_protocol::{
    Crash, HostId, Kind, Member, Outcome, Ran, Refusal, RelayMessage, Reply, RetryReason,
    ServiceName, Work,
};
use indigospur_relay::{LinkError, runtime};
use indigospur_routing::{AttemptResult, Criteria};
use std::sync::Arc;
use std::time::Instant;

/// Upstreams out of order that a call may pass over without credit.
const MOST_PASSES: u32 = 2;
/// Backend servers' own refusals after which a call goes elsewhere without credit: with as many
/// upstreams as the smallest services have, all are tried.
const MOST_SHEDS: u32 = 2;

/// The attempts of one call so far.
struct Course {
    credit: Credit,
    /// Hosts that were tried, or must not be.
    avoid: Vec<HostId>,
    /// Upstreams at which the call may still run.
    runs_left: u32,
    /// What is known after the attempts so far.
    ran: Ran,
    retried: bool,
    attempts: u32,
    passes: u32,
    sheds: u32,
    deadline: Instant,
    crashes: Vec<Crash>,
    work: Vec<Work>,
}

/// Where a call may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    /// Hosts that must not be chosen.
    pub(crate) avoid: Vec<HostId>,
    /// Upstreams at which it may run.
    pub(crate) attempts: u32,
}

/// Sends a call to an upstream, and again while there is hope.
pub(crate) async fn send(daemon: &Arc<Daemon>, mut message: RelayMessage, bounds: Bounds) -> Reply {
    let mut course = Course {
        credit: Credit::new(message.context.retries),
        avoid: bounds.avoid,
        runs_left: bounds.attempts,
        ran: Ran::No,
        retried: false,
        attempts: 0,
        passes: MOST_PASSES,
        sheds: MOST_SHEDS,
        deadline: Instant::now() + message.context.remaining,
        crashes: Vec::new(),
        work: Vec::new(),
    };
    earn(daemon, &message);
    let mut last: Option<Refusal> = None;
    loop {
        let Some(member) = choose(daemon, &message, &course.avoid) else {
            let refusal = last.unwrap_or_else(|| no_upstream(daemon, &message.call.service));
            return course.conclude(Outcome::Refused(refusal));
        };
        let begun = Instant::now();
        let reply = attempt(daemon, &mut message, &mut course, &member).await;
        let refusal = match reply.outcome {
            Outcome::Answered(answer) => {
                log_failure(&message, &member, answer.status, begun);
                return course.conclude(Outcome::Answered(answer));
            }
            Outcome::Refused(refusal) => refusal,
        };
        let attempted = FailedAttempt {
            refusal: &refusal,
            retried: reply.retried,
        };
        if !tries_again(daemon, &message, &mut course, &member, attempted) {
            return course.conclude(Outcome::Refused(refusal));
        }
        course.avoid.push(member.host);
        last = Some(refusal);
    }
}

/// Logs an answer by which a backend server says that it has failed.
fn log_failure(message: &RelayMessage, member: &Member, status: u16, begun: Instant) {
    if status >= 500 {
        log::info!(
            request = &*message.context.request_id,
            service = &*message.call.service,
            upstream = &*member.host,
            instance = &*member.instance,
            status,
            took_ms = begun.elapsed().as_millis() as u64;
            "upstream answered with a failure"
        );
    }
}

impl Course {
    fn conclude(self, outcome: Outcome) -> Reply {
        let outcome = match outcome {
            Outcome::Refused(refusal) => Outcome::Refused(refusal.after_attempts(self.ran)),
            answered => answered,
        };
        Reply {
            retried: self.retried,
            crashes: self.crashes,
            work: self.work,
            ..Reply::new(outcome, self.credit.left())
        }
    }
}

fn choose(daemon: &Daemon, message: &RelayMessage, avoid: &[HostId]) -> Option<Member> {
    let mut router = lock(&daemon.router);
    let mut rng = lock(&daemon.rng);
    router.choose(
        Instant::now(),
        &mut *rng,
        Criteria {
            service: &message.call.service,
            avoid,
        },
    )
}

fn no_upstream(daemon: &Daemon, service: &str) -> Refusal {
    let detail = format!("no upstream of {service} takes calls now");
    daemon.refuse_service(service, Refusal::new(Kind::NoUpstream, detail))
}

/// An attempt at an upstream, which ends for the router even if the caller goes away.
struct Open<'a> {
    daemon: &'a Daemon,
    service: &'a str,
    host: &'a str,
    ended: bool,
}

impl Open<'_> {
    fn end(&mut self, attempt: AttemptResult, reply: &Reply) {
        self.ended = true;
        lock(&self.daemon.router).finish(
            Instant::now(),
            self.service,
            self.host,
            attempt,
            reply.load,
        );
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = Instant::now();
            lock(&self.daemon.router).finish(
                now,
                self.service,
                self.host,
                AttemptResult::Abandoned,
                None,
            );
        }
    }
}

async fn attempt(
    daemon: &Arc<Daemon>,
    message: &mut RelayMessage,
    course: &mut Course,
    member: &Member,
) -> Reply {
    let lent = course.credit.lend();
    message.context.retries = lent.left();
    message.context.attempt = course.attempts;
    message.context.remaining = course.deadline.saturating_duration_since(Instant::now());
    message.context.crashes = lock(&daemon.fleet)
        .suspects
        .crashes_of(message.context.digest);
    course.attempts += 1;
    let service = message.call.service.clone();
    let mut open = Open {
        daemon,
        service: &service,
        host: &member.host,
        ended: false,
    };
    let (attempt, reply) = relay(daemon, message, member).await;
    open.end(judge(attempt, &reply.outcome), &reply);
    course.credit.reclaim(lent, reply.retries_left);
    course.retried |= reply.retried;
    hear(daemon, &service, &reply);
    course.crashes.extend(reply.crashes.iter().cloned());
    add_work(&mut course.work, &reply.work);
    if let Outcome::Refused(refusal) = &reply.outcome {
        course.ran = course.ran.then(refusal.ran);
        if refusal.kind == Kind::Draining {
            lock(&daemon.router).set_draining(&service, &member.host);
        }
    }
    reply
}

/// What an attempt says of the upstream, by its outcome too.
fn judge(attempt: AttemptResult, outcome: &Outcome) -> AttemptResult {
    match outcome {
        Outcome::Refused(refusal) if is_upstream_unavailable(refusal) => AttemptResult::Failed,
        Outcome::Refused(refusal)
            if matches!(refusal.kind, Kind::BackendShed | Kind::BadAnswer) =>
        {
            AttemptResult::Faulted
        }
        Outcome::Answered(answer) if answer.status >= 500 => AttemptResult::Faulted,
        _ => attempt,
    }
}

/// Takes in what a reply tells beside its outcome.
fn hear(daemon: &Daemon, service: &ServiceName, reply: &Reply) {
    let now = Instant::now();
    if !reply.crashes.is_empty() {
        lock(&daemon.fleet).suspects.merge(&reply.crashes);
    }
    let own = lock(&daemon.router).pressure(now, service);
    let mut pressures = lock(&daemon.pressures);
    pressures.merge(now, &reply.pressures);
    pressures.merge(now, own.as_slice());
}

async fn relay(
    daemon: &Arc<Daemon>,
    message: &RelayMessage,
    member: &Member,
) -> (AttemptResult, Reply) {
    if member.host == *daemon.host() {
        return (
            AttemptResult::Replied,
            inbound::serve(daemon, message.clone()).await,
        );
    }
    let remaining = message.context.remaining;
    let replied = runtime::timeout(remaining, peers::relay(daemon, &member.address, message)).await;
    match replied {
        Some(Ok(reply)) => (AttemptResult::Replied, reply),
        Some(Err(error)) => failed(error, message.context.retries),
        None => {
            let refusal = Refusal::new(
                Kind::DeadlineRunning,
                "the deadline passed while the call was under way",
            );
            (AttemptResult::Abandoned, Reply::refused(refusal, 0))
        }
    }
}

/// What a failed link says of the call and of the host. A connection that worked and broke does
/// not condemn the host; one that never worked counts against it. Credit that was `lent` comes back
/// only where it is certain that nothing was sent.
fn failed(error: LinkError, lent: u32) -> (AttemptResult, Reply) {
    let (attempt, kind, detail) = match error {
        LinkError::Connect => (
            AttemptResult::Failed,
            Kind::ConnectFailed,
            "the upstream's daemon takes no connection",
        ),
        LinkError::Mute => (
            AttemptResult::Failed,
            Kind::LinkLost,
            "the upstream's daemon gives no sign of life",
        ),
        LinkError::Lost => (
            AttemptResult::Abandoned,
            Kind::LinkLost,
            "the connection to the upstream's daemon broke",
        ),
        LinkError::Protocol => (
            AttemptResult::Failed,
            Kind::Internal,
            "the upstream's daemon does not understand",
        ),
    };
    let left = if error == LinkError::Connect { lent } else { 0 };
    (attempt, Reply::refused(Refusal::new(kind, detail), left))
}

/// Counts a first attempt. One that a repeated call above makes is a repeat as well.
fn earn(daemon: &Daemon, message: &RelayMessage) {
    if message.context.repeated {
        daemon.with_ratio(&message.call.service, RetryRatio::charge);
    } else {
        daemon.with_ratio(&message.call.service, RetryRatio::earn);
    }
}

fn tries_again(
    daemon: &Daemon,
    message: &RelayMessage,
    course: &mut Course,
    member: &Member,
    attempted: FailedAttempt<'_>,
) -> bool {
    let refusal = attempted.refusal;
    let service = &message.call.service;
    if refusal.ran != Ran::No {
        course.runs_left = course.runs_left.saturating_sub(1);
    }
    let options = RetryOptions {
        idempotent: message.context.idempotent,
        remaining: course.deadline.saturating_duration_since(Instant::now()),
        expected: lock(&daemon.router).expected_service_time(service),
        free_failovers: course.passes,
        free_sheds: course.sheds,
        class: message.context.class,
    };
    let credit = &mut course.credit;
    let decided = match course.runs_left {
        0 => Err(RetryReason::AttemptsSpent),
        _ => daemon.with_ratio(service, |ratio| {
            decide_retry(options, attempted, credit, ratio)
        }),
    };
    let (Ok(reason) | Err(reason)) = decided;
    daemon.metrics.count_retry(reason, decided.is_ok());
    log::info!(
        request = &*message.context.request_id,
        service = &**service,
        upstream = &*member.host,
        class = message.context.class,
        kind = refusal.kind.name(),
        ran = refusal.ran.as_str(),
        detail = &*refusal.detail,
        reason = reason.name(),
        again = decided.is_ok(),
        credit_left = course.credit.left(),
        remaining_ms = options.remaining.as_millis() as u64;
        "attempt failed"
    );
    if is_upstream_unavailable(refusal) {
        course.passes = course.passes.saturating_sub(1);
    } else if refusal.kind == Kind::BackendShed && course.sheds > 0 {
        course.sheds -= 1;
    } else {
        course.retried |= decided.is_ok();
    }
    decided.is_ok()
}
