//! The closed list of reasons for another attempt, or for none.

/// Why a failed attempt was, or was not, followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The receiver proved that it did not run the call.
    NotRun,
    /// The call is idempotent and its attempt failed.
    Idempotent,
    /// Refused: the call may have run and must not run twice.
    MayHaveRun,
    /// Refused: the request's retry credit is spent.
    CreditSpent,
    /// Refused: the call may have run at as many upstreams as its rule allows.
    AttemptsSpent,
    /// Refused: the link's share of retries is spent.
    RatioSpent,
    /// Refused: the attempt was already retried further down.
    RetriedBelow,
    /// Refused: the time left does not suffice.
    NoTimeLeft,
    /// Refused: another upstream can do no better.
    Hopeless,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [RetryReason; 9] = [
        RetryReason::NotRun,
        RetryReason::Idempotent,
        RetryReason::MayHaveRun,
        RetryReason::CreditSpent,
        RetryReason::AttemptsSpent,
        RetryReason::RatioSpent,
        RetryReason::RetriedBelow,
        RetryReason::NoTimeLeft,
        RetryReason::Hopeless,
    ];

    /// Name in logs and counters.
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
            RetryReason::Hopeless => "hopeless",
        }
    }
}
