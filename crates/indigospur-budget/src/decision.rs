//! The decision whether to retry a failed attempt.

use crate::claim::RetryClaim;
use crate::credit::Credit;
use crate::ratio::RetryRatio;
use indigospur_protocol::{Kind, Ran, Refusal, RetryReason};
use std::time::{Duration, Instant};

/// Properties of a call that the retry decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// Time left until the deadline of the call.
    pub remaining: Duration,
    /// Expected duration of an attempt.
    pub expected: Duration,
    /// Number of upstreams that the call may still pass over without credit, see
    /// [`decide_retry`].
    pub free_failovers: u32,
    /// Number of refusals by backend servers themselves after which the call may still be sent to
    /// another upstream without credit.
    pub free_sheds: u32,
    /// Priority and position of the call among those that compete for retries.
    pub claim: RetryClaim,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// The refusal that ended the attempt.
    pub refusal: &'a Refusal,
    /// Whether a retry was already made further down the call tree.
    pub retried: bool,
}

/// Whether the upstream was unavailable: it did not run the call, for a reason of its own.
pub fn is_upstream_unavailable(refusal: &Refusal) -> bool {
    refusal.ran == Ran::No && refusal.kind.info().upstream_unavailable
}

/// Whether a failed attempt put no work on the upstream: it was unavailable, or its daemon held the
/// call back because of a rate limit.
pub fn is_passed_over(refusal: &Refusal) -> bool {
    let rate_limited = refusal.ran == Ran::No && refusal.kind == Kind::RateLimited;
    rate_limited || is_upstream_unavailable(refusal)
}

/// Decides whether to retry a failed attempt, and spends credit and ratio if so. Returns the reason
/// why the call may be retried.
///
/// An upstream that provably did not run the call, for a reason of its own such as being down,
/// draining or at its rate limit, is passed over without credit, `free_failovers` times in a call.
/// No work was done there that a retry would repeat, and the credit is kept for failures that cost
/// work. A backend server that refused the call itself is passed over without credit too,
/// `free_sheds` times, but within the ratio, since the refused attempt put load on it. With a retry
/// window this holds where retries were made below too: the window decides which requests get all
/// the retries that they need.
///
/// # Errors
/// The reason why the call is not retried.
pub fn decide_retry(
    now: Instant,
    options: RetryOptions,
    failed: FailedAttempt<'_>,
    credit: &mut Credit,
    ratio: &mut RetryRatio,
) -> Result<RetryReason, RetryReason> {
    let refusal = failed.refusal;
    let reason = if refusal.ran == Ran::No {
        RetryReason::NotRun
    } else {
        RetryReason::Idempotent
    };
    if !refusal.kind.info().retry_elsewhere {
        return Err(RetryReason::NotRetryable);
    }
    if reason == RetryReason::Idempotent && !options.idempotent {
        return Err(RetryReason::MayHaveRun);
    }
    let is_shed = refusal.kind == Kind::BackendShed && refusal.ran == Ran::No;
    if failed.retried && !(is_shed && ratio.has_window()) {
        return Err(RetryReason::RetriedBelow);
    }
    if options.remaining <= options.expected {
        return Err(RetryReason::NoTimeLeft);
    }
    if is_passed_over(refusal) && options.free_failovers > 0 {
        return Ok(reason);
    }
    let without_credit = is_shed && options.free_sheds > 0;
    if credit.left() == 0 && !without_credit {
        return Err(RetryReason::CreditSpent);
    }
    if !ratio.spend(now, options.claim) {
        return Err(RetryReason::RatioSpent);
    }
    if !without_credit {
        credit.spend();
    }
    Ok(reason)
}
