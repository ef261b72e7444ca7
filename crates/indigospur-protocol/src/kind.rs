//! Refusal kinds and the properties of each.

/// Whether the backend server ran the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// The call is proven not to have run on any backend server.
    No,
    /// A backend server ran the call.
    Yes,
    /// The call may or may not have run.
    Unknown,
}

impl Ran {
    /// Value in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }

    /// Combines the result of an earlier attempt, `self`, with that of a `later` one.
    pub fn then(self, later: Ran) -> Ran {
        match (self, later) {
            (Ran::No, later) => later,
            (earlier, Ran::No) => earlier,
            (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
            _ => Ran::Unknown,
        }
    }
}

/// Whether and how the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// Don't retry: the same request will not succeed.
    Never,
    /// Retry after the time in `Retry-After`.
    Later,
    /// Retry after the time in `Retry-After`, with the same idempotency key.
    LaterSameKey,
}

/// Why a call got no complete answer of a backend server. The discriminant is the number on the
/// wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Kind {
    /// The request head could not be parsed.
    BadRequest = 1,
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// No upstream has ever announced the service.
    UnknownService,
    /// The deadline header is not a number of milliseconds within the limit.
    BadDeadline,
    /// The idempotency key is empty, too long or not printable ASCII.
    BadKey,
    /// The call chain exceeds the depth limit.
    TooDeep,
    /// The daemon can't run the call now: it has no rule set or no backend server for the service,
    /// or has not read the log for too long.
    NotReady,
    /// The receiver is draining and takes no new calls.
    Draining,
    /// The queue is full, or calls of higher priority use the capacity.
    Overloaded,
    /// The customer has used up its share of the queue.
    OverShare,
    /// The call is not expected to finish before its deadline.
    DeadlineUnreachable,
    /// The deadline passed before the call ran.
    DeadlineWaiting,
    /// The deadline passed while the call ran.
    DeadlineRunning,
    /// Every upstream of the service is down, ejected or draining.
    NoUpstream,
    /// No connection to the backend server or its daemon could be opened.
    ConnectFailed,
    /// The connection to the backend server or its daemon broke or stopped responding during the
    /// call.
    LinkLost,
    /// The backend server's answer was truncated or malformed, or belongs to another call.
    BadAnswer,
    /// The backend server stopped or crashed while it ran the call.
    BackendLost,
    /// The request has crashed several backend servers and is not run any more.
    PoisonRequest,
    /// The idempotency key was already used for a different request.
    KeyConflict,
    /// An earlier call with the key ran or may have run, and its answer is not available.
    KeyOutcomeUnknown,
    /// An earlier call with the key is still running.
    KeyRunning,
    /// The key is older than the retention period of keys.
    KeyExpired,
    /// The key's home can't be reached or does not serve the key yet.
    HomeUnavailable,
    /// The receiver's member list of the service is not the one that the sender used.
    StaleEpoch,
    /// The caller closed the connection or cancelled the call.
    Cancelled,
    /// The daemon itself failed, or another daemon violated the protocol.
    Internal,
    /// No rule allows the call, and calls without a rule are refused.
    NoRoute,
    /// A service that the request needs further down the call chain has no capacity for it.
    OverloadedBelow,
    /// The backend server itself rejected the call because of overload.
    BackendShed,
    /// The request was not received completely in time.
    RequestTimeout,
    /// The limit that the backend server named on its rate of calls allows none now.
    RateLimited,
    /// The method of the request is not one that the daemon handles.
    MethodNotImplemented,
    /// The request has no key, or one that no workspace holds.
    Unauthenticated,
    /// The workspace has used up its quota.
    OverQuota,
}

/// Properties of a refusal kind.
#[derive(Clone, Copy, Debug)]
pub struct KindInfo {
    /// Kind that the properties belong to.
    pub kind: Kind,
    /// Name of the kind in headers, logs and metrics.
    pub name: &'static str,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Whether an attempt that ends with this kind ran the call, unless the refusal knows better.
    pub ran: Ran,
    /// Whether and how the caller should retry.
    pub advice: RetryAdvice,
    /// Whether another upstream may answer the call, so that the daemon may retry there.
    pub retry_elsewhere: bool,
    /// Whether the upstream as a whole is unavailable, so that the sender should prefer others for a
    /// while.
    pub upstream_unavailable: bool,
}

const fn info(
    kind: Kind,
    name: &'static str,
    status: u16,
    ran: Ran,
    advice: RetryAdvice,
    retry_elsewhere: bool,
    upstream_unavailable: bool,
) -> KindInfo {
    KindInfo {
        kind,
        name,
        status,
        ran,
        advice,
        retry_elsewhere,
        upstream_unavailable,
    }
}

use RetryAdvice::{Later, LaterSameKey, Never};

/// Properties of all kinds, ordered by the number of the kind.
pub const KINDS: &[KindInfo] = &[
    info(
        Kind::BadRequest,
        "bad-request",
        400,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::HeadTooLarge,
        "head-too-large",
        431,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::BodyTooLarge,
        "body-too-large",
        413,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::UnknownService,
        "unknown-service",
        404,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::BadDeadline,
        "bad-deadline",
        400,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(Kind::BadKey, "bad-key", 400, Ran::No, Never, false, false),
    info(Kind::TooDeep, "too-deep", 508, Ran::No, Never, false, false),
    info(Kind::NotReady, "not-ready", 503, Ran::No, Later, true, true),
    info(Kind::Draining, "draining", 503, Ran::No, Later, true, true),
    info(
        Kind::Overloaded,
        "overloaded",
        503,
        Ran::No,
        Later,
        true,
        false,
    ),
    info(
        Kind::OverShare,
        "over-share",
        429,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::DeadlineUnreachable,
        "deadline-unreachable",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::DeadlineWaiting,
        "deadline-waiting",
        504,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::DeadlineRunning,
        "deadline-running",
        504,
        Ran::Unknown,
        Later,
        false,
        false,
    ),
    info(
        Kind::NoUpstream,
        "no-upstream",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::ConnectFailed,
        "connect-failed",
        503,
        Ran::No,
        Later,
        true,
        true,
    ),
    info(
        Kind::LinkLost,
        "link-lost",
        502,
        Ran::Unknown,
        Later,
        true,
        true,
    ),
    info(
        Kind::BadAnswer,
        "bad-answer",
        502,
        Ran::Unknown,
        Later,
        true,
        false,
    ),
    info(
        Kind::BackendLost,
        "backend-gone",
        502,
        Ran::Unknown,
        Later,
        true,
        true,
    ),
    info(
        Kind::PoisonRequest,
        "poisonous",
        422,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    info(
        Kind::KeyConflict,
        "key-conflict",
        422,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::KeyOutcomeUnknown,
        "key-unknown",
        409,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    info(
        Kind::KeyRunning,
        "key-running",
        409,
        Ran::Unknown,
        LaterSameKey,
        false,
        false,
    ),
    info(
        Kind::KeyExpired,
        "key-expired",
        410,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    info(
        Kind::HomeUnavailable,
        "home-unavailable",
        503,
        Ran::Unknown,
        LaterSameKey,
        false,
        false,
    ),
    info(
        Kind::StaleEpoch,
        "stale-epoch",
        503,
        Ran::No,
        LaterSameKey,
        true,
        false,
    ),
    info(
        Kind::Cancelled,
        "cancelled",
        499,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    info(
        Kind::Internal,
        "internal",
        500,
        Ran::Unknown,
        Later,
        false,
        false,
    ),
    info(Kind::NoRoute, "no-route", 404, Ran::No, Never, false, false),
    info(
        Kind::OverloadedBelow,
        "overloaded-below",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::BackendShed,
        "backend-shed",
        503,
        Ran::No,
        Later,
        true,
        false,
    ),
    info(
        Kind::RequestTimeout,
        "request-timeout",
        408,
        Ran::No,
        Later,
        false,
        false,
    ),
    info(
        Kind::RateLimited,
        "rate-limited",
        503,
        Ran::No,
        Later,
        true,
        false,
    ),
    info(
        Kind::MethodNotImplemented,
        "method-not-implemented",
        501,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::Unauthenticated,
        "unauthenticated",
        401,
        Ran::No,
        Never,
        false,
        false,
    ),
    info(
        Kind::OverQuota,
        "over-quota",
        429,
        Ran::No,
        Later,
        false,
        false,
    ),
];

impl Kind {
    /// Properties of the kind.
    pub fn info(self) -> &'static KindInfo {
        &KINDS[self as usize - 1]
    }

    /// Whether calls are refused with this kind because of overload.
    pub fn is_overload(self) -> bool {
        use Kind::{
            DeadlineUnreachable, DeadlineWaiting, OverShare, Overloaded, OverloadedBelow,
            RateLimited,
        };
        matches!(
            self,
            Overloaded
                | OverShare
                | DeadlineUnreachable
                | DeadlineWaiting
                | OverloadedBelow
                | RateLimited
        )
    }

    /// Name of the kind in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        self.info().name
    }

    /// Decodes a number from the wire; `None` if no kind has it.
    pub fn from_number(number: u32) -> Option<Kind> {
        let index = usize::try_from(number).ok()?.checked_sub(1)?;
        KINDS.get(index).map(|info| info.kind)
    }

    /// Finds the kind with this name, as in headers; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Kind> {
        KINDS
            .iter()
            .find(|info| info.name == name)
            .map(|info| info.kind)
    }
}
