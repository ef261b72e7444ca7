//! Reasons for which a failed attempt is or isn't retried.

/// Why a daemon did or did not retry a failed attempt at another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// Retried: the call is known not to have run.
    NotRun,
    /// Retried: the call may have run, but is idempotent.
    Idempotent,
    /// Not retried: the call may have run and is not idempotent.
    MayHaveRun,
    /// Not retried: the call's retry credit is used up.
    CreditSpent,
    /// Not retried: the call may have run on as many upstreams as its rule allows.
    AttemptsSpent,
    /// Not retried: the daemon's retry budget for the called service, a share of first attempts, is
    /// used up.
    RatioSpent,
    /// Not retried: a call that the attempt caused further down the chain was already retried.
    RetriedBelow,
    /// Not retried: the time left is not longer than an attempt is expected to take.
    NoTimeLeft,
    /// Not retried: no other upstream could answer a call refused with this kind.
    NotRetryable,
}

impl RetryReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [RetryReason; 9] = [
        RetryReason::NotRun,
        RetryReason::Idempotent,
        RetryReason::MayHaveRun,
        RetryReason::CreditSpent,
        RetryReason::AttemptsSpent,
        RetryReason::RatioSpent,
        RetryReason::RetriedBelow,
        RetryReason::NoTimeLeft,
        RetryReason::NotRetryable,
    ];

    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryReason::NotRun => "not-run",
            RetryReason::Idempotent => "idempotent",
            RetryReason::MayHaveRun => "may-have-run",
            RetryReason::CreditSpent => "credit-spent",
            RetryReason::AttemptsSpent => "attempts-spent",
            RetryReason::RatioSpent => "ratio-spent",
            RetryReason::RetriedBelow => "retried-below",
            RetryReason::NoTimeLeft => "no-time-left",
            RetryReason::NotRetryable => "hopeless",
        }
    }
}
