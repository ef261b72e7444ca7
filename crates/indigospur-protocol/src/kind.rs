//! The closed list of refusal kinds and the table from kind to answer.

/// Whether the backend server ran the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// Proven never to have been handed to a backend server.
    No,
    /// A backend server ran it.
    Yes,
    /// It may or may not have run.
    Unknown,
}

impl Ran {
    /// The word used in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }

    /// What is known after an earlier attempt ended with `self` and a later one with `later`.
    pub fn then(self, later: Ran) -> Ran {
        match (self, later) {
            (Ran::No, later) => later,
            (earlier, Ran::No) => earlier,
            (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
            _ => Ran::Unknown,
        }
    }
}

/// What the caller should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// The same request will never succeed.
    Never,
    /// Come back after the time in `Retry-After`.
    Later,
    /// Come back after the time in `Retry-After`, with the same idempotency key.
    LaterSameKey,
}

/// Why a call got no whole answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Kind {
    /// The request head could not be understood.
    BadRequest = 1,
    /// The request head exceeds the limit.
    HeadTooLarge,
    /// The request body exceeds the limit.
    BodyTooLarge,
    /// No upstream has ever announced the service.
    UnknownService,
    /// The deadline header is not a number of milliseconds within the limit.
    BadDeadline,
    /// The idempotency key is empty, too long or not printable ASCII.
    BadKey,
    /// The call chain is deeper than the limit.
    TooDeep,
    /// The daemon has no configuration yet.
    NotReady,
    /// The receiver is leaving and takes no new work.
    Draining,
    /// More important calls hold the capacity, or the queue is full.
    Overloaded,
    /// The customer already holds its share of the queue.
    OverShare,
    /// The deadline would pass before the call could finish.
    DeadlineUnreachable,
    /// The deadline passed while the call waited.
    DeadlineWaiting,
    /// The deadline passed while the call ran.
    DeadlineRunning,
    /// Every upstream of the service is down, ejected or leaving.
    NoUpstream,
    /// No connection to the backend server or its daemon could be opened.
    ConnectFailed,
    /// The link broke or went silent while the call was under way.
    LinkLost,
    /// The backend server's answer was truncated, mis-framed or not its own.
    BadAnswer,
    /// The backend server went away while it ran the call.
    BackendGone,
    /// The request has taken down several backend servers.
    Poisonous,
    /// The idempotency key was used with another request.
    KeyConflict,
    /// An earlier use of the key may have run, and its fate can't be known.
    KeyUnknown,
    /// An earlier use of the key is still running.
    KeyRunning,
    /// The key is older than keys are remembered.
    KeyExpired,
    /// The key's home is not serving yet.
    HomeUnavailable,
    /// The sender's member list is out of date.
    StaleEpoch,
    /// The caller went away.
    Cancelled,
    /// The daemon failed by its own fault.
    Internal,
    /// No rule allows the call.
    NoRoute,
    /// A service that the call needs further down has no room for it.
    OverloadedBelow,
    /// The backend server itself turned the call away.
    BackendShed,
    /// The request did not arrive whole in time.
    RequestTimeout,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct KindRow {
    /// The kind.
    pub kind: Kind,
    /// Name in headers, logs and counters.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// What is known of the attempt when this kind ends it.
    pub ran: Ran,
    /// What the caller should do next.
    pub advice: RetryAdvice,
    /// Another upstream may do better.
    pub elsewhere: bool,
    /// The kind speaks of the receiver's state, so the sender should prefer others for a while.
    pub blames: bool,
}

const fn row(
    kind: Kind,
    name: &'static str,
    status: u16,
    ran: Ran,
    advice: RetryAdvice,
    elsewhere: bool,
    blames: bool,
) -> KindRow {
    KindRow {
        kind,
        name,
        status,
        ran,
        advice,
        elsewhere,
        blames,
    }
}

use RetryAdvice::{Later, LaterSameKey, Never};

/// The table from kind to answer, in the order of the kinds' numbers.
pub const KINDS: &[KindRow] = &[
    row(
        Kind::BadRequest,
        "bad-request",
        400,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(
        Kind::HeadTooLarge,
        "head-too-large",
        431,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(
        Kind::BodyTooLarge,
        "body-too-large",
        413,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(
        Kind::UnknownService,
        "unknown-service",
        404,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(
        Kind::BadDeadline,
        "bad-deadline",
        400,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(Kind::BadKey, "bad-key", 400, Ran::No, Never, false, false),
    row(Kind::TooDeep, "too-deep", 508, Ran::No, Never, false, false),
    row(Kind::NotReady, "not-ready", 503, Ran::No, Later, true, true),
    row(Kind::Draining, "draining", 503, Ran::No, Later, true, true),
    row(
        Kind::Overloaded,
        "overloaded",
        503,
        Ran::No,
        Later,
        true,
        false,
    ),
    row(
        Kind::OverShare,
        "over-share",
        429,
        Ran::No,
        Later,
        false,
        false,
    ),
    row(
        Kind::DeadlineUnreachable,
        "deadline-unreachable",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    row(
        Kind::DeadlineWaiting,
        "deadline-waiting",
        504,
        Ran::No,
        Later,
        false,
        false,
    ),
    row(
        Kind::DeadlineRunning,
        "deadline-running",
        504,
        Ran::Unknown,
        Later,
        false,
        false,
    ),
    row(
        Kind::NoUpstream,
        "no-upstream",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    row(
        Kind::ConnectFailed,
        "connect-failed",
        503,
        Ran::No,
        Later,
        true,
        true,
    ),
    row(
        Kind::LinkLost,
        "link-lost",
        502,
        Ran::Unknown,
        Later,
        true,
        true,
    ),
    row(
        Kind::BadAnswer,
        "bad-answer",
        502,
        Ran::Unknown,
        Later,
        true,
        false,
    ),
    row(
        Kind::BackendGone,
        "backend-gone",
        502,
        Ran::Unknown,
        Later,
        true,
        true,
    ),
    row(
        Kind::Poisonous,
        "poisonous",
        422,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    row(
        Kind::KeyConflict,
        "key-conflict",
        422,
        Ran::No,
        Never,
        false,
        false,
    ),
    row(
        Kind::KeyUnknown,
        "key-unknown",
        409,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    row(
        Kind::KeyRunning,
        "key-running",
        409,
        Ran::Unknown,
        LaterSameKey,
        false,
        false,
    ),
    row(
        Kind::KeyExpired,
        "key-expired",
        410,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    row(
        Kind::HomeUnavailable,
        "home-unavailable",
        503,
        Ran::Unknown,
        LaterSameKey,
        false,
        false,
    ),
    row(
        Kind::StaleEpoch,
        "stale-epoch",
        503,
        Ran::No,
        LaterSameKey,
        true,
        false,
    ),
    row(
        Kind::Cancelled,
        "cancelled",
        499,
        Ran::Unknown,
        Never,
        false,
        false,
    ),
    row(
        Kind::Internal,
        "internal",
        500,
        Ran::Unknown,
        Later,
        false,
        false,
    ),
    row(Kind::NoRoute, "no-route", 404, Ran::No, Never, false, false),
    row(
        Kind::OverloadedBelow,
        "overloaded-below",
        503,
        Ran::No,
        Later,
        false,
        false,
    ),
    row(
        Kind::BackendShed,
        "backend-shed",
        503,
        Ran::No,
        Later,
        true,
        false,
    ),
    row(
        Kind::RequestTimeout,
        "request-timeout",
        408,
        Ran::No,
        Later,
        false,
        false,
    ),
];

impl Kind {
    /// The kind's row of the table.
    pub fn row(self) -> &'static KindRow {
        &KINDS[self as usize - 1]
    }

    /// Whether the kind says that the receiver has more work than it can take.
    pub fn is_overload(self) -> bool {
        use Kind::{DeadlineUnreachable, DeadlineWaiting, OverShare, Overloaded, OverloadedBelow};
        matches!(
            self,
            Overloaded | OverShare | DeadlineUnreachable | DeadlineWaiting | OverloadedBelow
        )
    }

    /// Name in headers, logs and counters.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// The kind of a number on the wire, if there is one.
    pub fn from_number(number: u32) -> Option<Kind> {
        let index = usize::try_from(number).ok()?.checked_sub(1)?;
        KINDS.get(index).map(|row| row.kind)
    }

    /// The kind of a name, if there is one.
    pub fn from_name(name: &str) -> Option<Kind> {
        KINDS
            .iter()
            .find(|row| row.name == name)
            .map(|row| row.kind)
    }
}
