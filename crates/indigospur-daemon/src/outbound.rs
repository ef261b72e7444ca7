//! Sends calls to upstreams, and retries them at other upstreams where a retry is allowed.

use crate::daemon::{Daemon, lock};
use crate::deadline::{Deadline, Moment};
use crate::placement::{self, PlacementSummary};
use crate::retry_budget::{count_in_ratio, fleet_status, is_shed, record_in_ratio};
use crate::stopping::call_kind;
use crate::{crashes, inbound, peers};
use indigospur_budget::{
    Credit, FailedAttempt, RetryClaim, RetryOptions, add_work, decide_retry, is_passed_over,
    is_upstream_unavailable,
};
use indigospur_protocol::{
    Crash, HostId, Kind, Member, Outcome, Ran, Refusal, RelayMessage, Reply, RetryOrder,
    RetryReason, ServiceName, Work,
};
use indigospur_relay::runtime;
use indigospur_routing::{AttemptResult, Criteria, Placement};
use std::sync::Arc;
use std::time::Instant;

/// Upstreams that are unavailable or at their rate limit and that a call may skip without spending
/// retry credit.
const MAX_FREE_FAILOVERS: u32 = 2;
/// Refusals by backend servers themselves after which one call may be sent to another upstream
/// without spending retry credit; enough to try all upstreams of the smallest services.
const MAX_FREE_SHEDS: u32 = 2;
/// The same where retries are bounded by a window, which then decides. At a service that refuses nine tenths,
/// one call in 850 needs more.
const MAX_WINDOW_SHEDS: u32 = 64;

/// Progress of one call over its attempts.
struct CallProgress {
    credit: Credit,
    /// Hosts that were tried or are excluded from the start.
    excluded: Vec<HostId>,
    /// Those of `excluded` that may take the call when it is sent once more.
    repeatable: Vec<HostId>,
    /// Number of upstreams on which the call may still run.
    runs_left: u32,
    /// Whether any attempt so far has run the call.
    ran: Ran,
    retried: bool,
    /// Whether the call was sent on to the host where it may run on trial.
    redirected: bool,
    attempts: u32,
    free_failovers: u32,
    free_sheds: u32,
    deadline: Deadline,
    crashes: Vec<Crash>,
    work: Vec<Work>,
}

/// Limits on where and how often a call may be sent.
#[derive(Clone, Debug)]
pub(crate) struct SendLimits {
    /// Hosts that must not be chosen.
    pub(crate) excluded: Vec<HostId>,
    /// Number of upstreams on which the call may run, whether or not it is known to have run there.
    pub(crate) max_runs: u32,
    /// Position of the call among those that compete for retries.
    pub(crate) retry_order: RetryOrder,
    /// Name of the response times that tell whether a retry ends before a stopping daemon does.
    pub(crate) timed_as: Arc<str>,
}

/// Sends a call to an upstream, and to further ones until it is answered or no retry is allowed.
pub(crate) async fn send(
    daemon: &Arc<Daemon>,
    mut message: RelayMessage,
    limits: SendLimits,
) -> Reply {
    let has_window = daemon.settings().retry_window.is_some();
    let mut progress = CallProgress {
        credit: Credit::new(message.context.retries),
        excluded: limits.excluded,
        repeatable: Vec::new(),
        runs_left: limits.max_runs,
        ran: Ran::No,
        retried: false,
        redirected: false,
        attempts: 0,
        free_failovers: MAX_FREE_FAILOVERS,
        free_sheds: if has_window {
            MAX_WINDOW_SHEDS
        } else {
            MAX_FREE_SHEDS
        },
        deadline: Deadline::after(Moment::now(), message.context.remaining),
        crashes: Vec::new(),
        work: Vec::new(),
    };
    count_in_ratio(daemon, &message);
    let mut last_refusal: Option<Refusal> = None;
    loop {
        let Some(placement) = choose_again(daemon, &message, &mut progress) else {
            let refusal =
                last_refusal.unwrap_or_else(|| no_upstream(daemon, &message.call.service));
            return progress.into_reply(Outcome::Refused(refusal));
        };
        placement::record(daemon, &message, &placement);
        let started = Instant::now();
        let reply = send_attempt(daemon, &mut message, &mut progress, &placement.member).await;
        let refusal = match reply.outcome {
            Outcome::Answered(answer) => {
                placement::log_answer(&message, &placement, answer.status, started.elapsed());
                return progress.into_reply(Outcome::Answered(answer));
            }
            Outcome::Refused(refusal) => refusal,
        };
        if matches!(refusal.kind, Kind::PoisonRequest | Kind::Overloaded) && !progress.redirected {
            // The host that refused it told its crashes, with which it goes to the host of the trial.
            let trial_host =
                crashes::trial_host(daemon, &message.call.service, message.context.digest);
            if trial_host.is_some_and(|host| host != placement.member.host) {
                progress.redirected = true;
                progress.excluded.push(placement.member.host);
                last_refusal = Some(refusal);
                continue;
            }
        }
        let failed_attempt = FailedAttempt {
            refusal: &refusal,
            retried: reply.retried,
        };
        if !retry_ends_in_time(daemon, &message, &progress, &limits.timed_as)
            || !decide_and_log_retry(
                daemon,
                &message,
                &mut progress,
                limits.retry_order,
                &placement,
                failed_attempt,
            )
        {
            return progress.into_reply(Outcome::Refused(refusal));
        }
        if may_take_again(&refusal, has_window) {
            progress.repeatable.push(placement.member.host.clone());
        }
        progress.excluded.push(placement.member.host);
        last_refusal = Some(refusal);
    }
}

/// Whether an upstream that failed a call may take it when it is sent once more: its backend server refuses a
/// share of its calls, or closed a kept connection while the call was on its way.
fn may_take_again(refusal: &Refusal, has_window: bool) -> bool {
    refusal.kind == Kind::LinkLost || has_window && is_shed(refusal)
}

/// Whether a retry is expected to end before this daemon does.
fn retry_ends_in_time(
    daemon: &Daemon,
    message: &RelayMessage,
    progress: &CallProgress,
    timed_as: &str,
) -> bool {
    let kind = call_kind(timed_as, &message.context);
    let remaining = progress.deadline.remaining(Moment::now());
    daemon.ends_in_time(Instant::now(), &daemon.response_times, kind, remaining)
}

impl CallProgress {
    fn into_reply(self, outcome: Outcome) -> Reply {
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

/// Chooses an upstream that was not tried, or else one of those that may take the call now.
fn choose_again(
    daemon: &Daemon,
    message: &RelayMessage,
    progress: &mut CallProgress,
) -> Option<Placement> {
    let chosen = choose_upstream(daemon, message, progress);
    if chosen.is_some() || progress.repeatable.is_empty() {
        return chosen;
    }
    let repeatable = std::mem::take(&mut progress.repeatable);
    progress.excluded.retain(|host| !repeatable.contains(host));
    choose_upstream(daemon, message, progress)
}

fn choose_upstream(
    daemon: &Daemon,
    message: &RelayMessage,
    progress: &CallProgress,
) -> Option<Placement> {
    let service = &message.call.service;
    let trial_host = crashes::trial_host(daemon, service, message.context.digest);
    let mut router = lock(&daemon.router);
    if let Some(host) = trial_host.filter(|host| !progress.excluded.contains(host)) {
        let placement = router.place_at(Instant::now(), service, &host);
        if placement.is_some() {
            return placement;
        }
    }
    let mut rng = lock(&daemon.rng);
    router.place(
        Instant::now(),
        &mut *rng,
        Criteria {
            service,
            avoid: &progress.excluded,
            remaining: Some(progress.deadline.remaining(Moment::now())),
        },
    )
}

fn no_upstream(daemon: &Daemon, service: &str) -> Refusal {
    let detail = format!("no upstream of {service} takes calls now");
    daemon.refuse_for_service(service, Refusal::new(Kind::NoUpstream, detail))
}

/// An attempt in progress. Dropping it reports to the router that it was abandoned, as when the
/// caller disconnects.
struct OpenAttempt<'a> {
    daemon: &'a Daemon,
    service: &'a str,
    host: &'a str,
    started: Instant,
    finished: bool,
}

impl OpenAttempt<'_> {
    fn finish(&mut self, attempt: AttemptResult, reply: &Reply) {
        self.finished = true;
        let now = Instant::now();
        let mut router = lock(&self.daemon.router);
        if let Some(load) = reply.load {
            let took = now.saturating_duration_since(self.started);
            router.record_reply_time(now, self.service, self.host, took, load);
        }
        router.finish(now, self.service, self.host, attempt, reply.load);
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.finished {
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

async fn send_attempt(
    daemon: &Arc<Daemon>,
    message: &mut RelayMessage,
    progress: &mut CallProgress,
    member: &Member,
) -> Reply {
    let lent = progress.credit.lend();
    message.context.retries = lent.left();
    message.context.attempt = progress.attempts;
    message.context.remaining = progress.deadline.remaining(Moment::now());
    message.context.crashes = lock(&daemon.fleet)
        .suspects
        .crashes_of(Instant::now(), message.context.digest);
    message.context.ends_within = daemon.time_to_end(Instant::now());
    progress.attempts += 1;
    let service = message.call.service.clone();
    let mut open_attempt = OpenAttempt {
        daemon,
        service: &service,
        host: &member.host,
        started: Instant::now(),
        finished: false,
    };
    let (attempt, reply) = relay(daemon, message, member).await;
    open_attempt.finish(classify(attempt, &reply.outcome), &reply);
    progress.credit.reclaim(lent, reply.retries_left);
    progress.retried |= reply.retried;
    record_in_ratio(daemon, &service, &reply.outcome);
    apply_reply_info(daemon, &service, &reply);
    let is_remote = member.host != *daemon.host();
    if is_remote && matches!(reply.outcome, Outcome::Answered(_)) {
        lock(&daemon.fleet)
            .suspects
            .clear(Instant::now(), message.context.digest);
    }
    progress.crashes.extend(reply.crashes.iter().cloned());
    add_work(&mut progress.work, &reply.work);
    if let Outcome::Refused(refusal) = &reply.outcome {
        progress.ran = progress.ran.then(refusal.ran);
        if refusal.kind == Kind::Draining {
            lock(&daemon.router).set_draining(member);
        }
    }
    reply
}

/// Classifies an attempt for the health of the upstream, taking the outcome of the call into
/// account.
fn classify(attempt: AttemptResult, outcome: &Outcome) -> AttemptResult {
    match outcome {
        Outcome::Refused(refusal) if is_upstream_unavailable(refusal) => AttemptResult::Failed,
        Outcome::Refused(refusal) if refusal.kind == Kind::RateLimited => {
            AttemptResult::RateLimited
        }
        Outcome::Refused(refusal)
            if matches!(refusal.kind, Kind::BackendShed | Kind::BadAnswer) =>
        {
            AttemptResult::Faulted
        }
        Outcome::Answered(answer) if answer.status >= 500 => AttemptResult::Faulted,
        _ => attempt,
    }
}

/// Applies what a reply carries besides its outcome: crash reports and the load of services.
fn apply_reply_info(daemon: &Daemon, service: &ServiceName, reply: &Reply) {
    let now = Instant::now();
    if !reply.crashes.is_empty() {
        lock(&daemon.fleet).suspects.merge(now, &reply.crashes);
    }
    let mut own_pressure = lock(&daemon.router).pressure(now, service);
    let status = daemon.with_retry_ratio(service, now, |ratio| ratio.status(now));
    if let (Some(pressure), Some(status)) = (&mut own_pressure, status) {
        pressure.refused = Some((status.refused * 1_000.0).round() as u32);
        pressure.cutoff = status.cutoff;
        pressure.attempts = status.attempts.round() as u32;
    }
    let mut reported = reply.pressures.clone();
    if status.is_none() {
        // Refusals at ingress are for daemons whose retries are bounded by a window.
        for pressure in &mut reported {
            pressure.refused = None;
            pressure.cutoff = None;
        }
    }
    lock(&daemon.ingress).merge(now, &reported);
    let mut pressures = lock(&daemon.pressures);
    pressures.merge(now, &reported);
    pressures.merge(now, own_pressure.as_slice());
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
    let received =
        runtime::timeout(remaining, peers::relay(daemon, &member.address, message)).await;
    match received {
        Some(Ok(reply)) => (AttemptResult::Replied, reply),
        Some(Err(error)) => peers::link_failure(error, message.context.retries),
        None => {
            let refusal = Refusal::new(
                Kind::DeadlineRunning,
                "the deadline passed while the call was under way",
            );
            (AttemptResult::Abandoned, Reply::refused(refusal, 0))
        }
    }
}

/// Decides whether to retry after a failed attempt, spends what the retry costs and logs the
/// decision.
fn decide_and_log_retry(
    daemon: &Daemon,
    message: &RelayMessage,
    progress: &mut CallProgress,
    retry_order: RetryOrder,
    placement: &Placement,
    failed_attempt: FailedAttempt<'_>,
) -> bool {
    let refusal = failed_attempt.refusal;
    let service = &message.call.service;
    if refusal.ran != Ran::No {
        progress.runs_left = progress.runs_left.saturating_sub(1);
    }
    let now = Instant::now();
    let options = RetryOptions {
        idempotent: message.context.idempotent,
        remaining: progress.deadline.remaining(Moment::now()),
        expected: lock(&daemon.router).expected_service_time(service),
        free_failovers: progress.free_failovers,
        free_sheds: progress.free_sheds,
        claim: RetryClaim {
            class: message.context.class,
            order: retry_order,
            fleet: fleet_status(daemon, now, service),
        },
    };
    let credit = &mut progress.credit;
    let decision = match progress.runs_left {
        0 => Err(RetryReason::AttemptsSpent),
        _ => daemon.with_retry_ratio(service, now, |ratio| {
            decide_retry(now, options, failed_attempt, credit, ratio)
        }),
    };
    let (Ok(reason) | Err(reason)) = decision;
    daemon.metrics.count_retry(reason, decision.is_ok());
    log::info!(
        request = &*message.context.request_id,
        service = &**service,
        upstream = &*placement.member.host,
        placement:% = PlacementSummary(placement),
        class = message.context.class,
        order = retry_order,
        cutoff:? = options.claim.fleet.and_then(|fleet| fleet.cutoff),
        kind = refusal.kind.name(),
        ran = refusal.ran.as_str(),
        detail = &*refusal.detail,
        reason = reason.name(),
        again = decision.is_ok(),
        credit_left = progress.credit.left(),
        remaining_ms = options.remaining.as_millis() as u64;
        "attempt at an upstream failed"
    );
    if is_passed_over(refusal) {
        progress.free_failovers = progress.free_failovers.saturating_sub(1);
    } else if refusal.kind == Kind::BackendShed && progress.free_sheds > 0 {
        progress.free_sheds -= 1;
    } else {
        progress.retried |= decision.is_ok();
    }
    decision.is_ok()
}
