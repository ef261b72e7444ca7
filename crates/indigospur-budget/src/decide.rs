//! Whether a failed attempt is followed by another.

use crate::credit::Credit;
use crate::ratio::RetryRatio;
use indigospur_protocol::{Class, Kind, Ran, Refusal, RetryReason};
use std::time::Duration;

/// Options of the retry decision.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// The call may run more than once.
    pub idempotent: bool,
    /// Time left until the caller gives up.
    pub remaining: Duration,
    /// Time an attempt usually takes.
    pub expected: Duration,
    /// Upstreams that may still be passed over without credit, see [`decide_retry`].
    pub passes: u32,
    /// Backend servers' own refusals after which the call may still go elsewhere without credit.
    pub sheds: u32,
    /// Class of the call; zero is tried again first.
    pub class: Class,
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempted<'a> {
    /// How it failed.
    pub refusal: &'a Refusal,
    /// Another attempt was already made further down.
    pub retried: bool,
}

/// Whether the upstream itself was out of order and did nothing for the call.
pub fn is_pass(refusal: &Refusal) -> bool {
    refusal.ran == Ran::No && refusal.kind.info().upstream_unavailable
}

/// Decides whether to try again, and spends credit and ratio if so.
///
/// An upstream that is proven not to have run the call, for a reason of its own such as being down
/// or leaving, is passed over without credit, a few times in a call: nothing was done there, so
/// nothing below is repeated, and the credit is left for failures that cost work. A backend server
/// that turns calls away by itself is passed over in the same way, but within the ratio: it has been
/// bothered.
///
/// # Errors
/// The reason for not trying again.
pub fn decide_retry(
    options: RetryOptions,
    attempted: Attempted<'_>,
    credit: &mut Credit,
    ratio: &mut RetryRatio,
) -> Result<RetryReason, RetryReason> {
    let refusal = attempted.refusal;
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
    if attempted.retried {
        return Err(RetryReason::RetriedBelow);
    }
    if options.remaining <= options.expected {
        return Err(RetryReason::NoTimeLeft);
    }
    if is_pass(refusal) && options.passes > 0 {
        return Ok(reason);
    }
    let free = refusal.kind == Kind::BackendShed && refusal.ran == Ran::No && options.sheds > 0;
    if credit.left() == 0 && !free {
        return Err(RetryReason::CreditSpent);
    }
    if !ratio.spend(options.class) {
        return Err(RetryReason::RatioSpent);
    }
    if !free {
        credit.spend();
    }
    Ok(reason)
}
