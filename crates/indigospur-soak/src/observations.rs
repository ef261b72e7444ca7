//! What callers, backend servers and the soak itself have observed.

use std::collections::HashMap;
use std::time::Duration;

/// How a caller uses its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The first request on a new connection.
    #[default]
    New,
    /// A request on a connection that has carried earlier requests.
    Reused,
    /// The caller closed the connection before the answer.
    Abandoned,
    /// The caller sent only a part of the request and closed the connection.
    Truncated,
    /// The request was behind one whose response closed the connection: it counts as not read.
    Unread,
}

impl ConnectionUse {
    /// Whether the caller waits for the answer.
    pub(crate) fn awaits_answer(self) -> bool {
        matches!(self, ConnectionUse::New | ConnectionUse::Reused)
    }
}

/// A request and its outcome. Times count from the start of the soak.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Number, unique in the soak; attempts with the same idempotency key share it.
    pub number: u64,
    /// The request has an idempotency key and must run at most once.
    pub keyed: bool,
    /// An earlier attempt with the same key left open whether the request ran.
    pub retry: bool,
    /// Query of the request's path.
    pub query: String,
    /// Name of the host whose daemon received the request.
    pub host: String,
    /// How the connection was used.
    pub connection: ConnectionUse,
    /// The request was sent in one write with others.
    pub pipelined: bool,
    /// When the request was sent.
    pub sent: Duration,
    /// When the request was answered or the connection failed.
    pub completed: Duration,
    /// HTTP status; zero if there was no complete answer.
    pub status: u16,
    /// Kind of the daemon's own refusal; empty for the answer of a backend server.
    pub kind: String,
    /// Whether the request ran according to the daemon's own refusal, as in its header.
    pub ran: String,
    /// Body, or how the connection failed.
    pub body: String,
}

/// Version of the rule set in force at a daemon at one time.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// Name of the daemon's host.
    pub host: String,
    /// Restarts of the host's daemon so far; the version may be lower after a restart.
    pub restarts: u32,
    /// Version of the rule set.
    pub version: u64,
}

/// A backend server that has announced that it leaves.
#[derive(Clone, Debug)]
pub struct BackendDrain {
    /// Name of the backend server's host.
    pub host: String,
    /// Runs begun there when all daemons have had time to notice.
    pub noticed_runs: usize,
    /// Runs begun there by the end of the watch that follows.
    pub later_runs: usize,
}

/// Calls that a backend server got while it named a limit on their rate.
#[derive(Clone, Debug)]
pub struct RateLimitSpan {
    /// Name of the backend server's host.
    pub host: String,
    /// Most calls that began within four seconds, from three seconds after the limit was named.
    pub starts: u64,
    /// Calls that the limit allows in four seconds.
    pub allowed: u64,
}

/// A process that exited although no stop of it was requested, or with an exit status that is not
/// allowed after a requested stop or a failed start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedExit {
    /// Program and host.
    pub process: String,
    /// Exit status.
    pub status: String,
    /// Last lines of the daemon's log; empty for a backend server and a daemon that was starting.
    pub log: String,
}

/// A stop of a daemon that the soak requested. Times count from the start of the soak.
#[derive(Clone, Debug)]
pub struct DaemonStop {
    /// Name of the daemon's host.
    pub host: String,
    /// When the stop was requested.
    pub from: Duration,
    /// When the host had a running daemon again.
    pub to: Duration,
}

/// All observations since the start of the soak.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests, in the order in which the callers recorded them.
    pub requests: Vec<RequestRecord>,
    /// Numbers of the requests that each process of a backend server has run, by host name and
    /// process ID.
    pub journals: HashMap<(String, u32), Vec<u64>>,
    /// Versions of the rule set, in chronological order.
    pub versions: Vec<VersionSample>,
    /// Backend servers that left while no unplanned fault hit their host.
    pub drains: Vec<BackendDrain>,
    /// Backend servers that named a rate limit while no unplanned fault hit their host.
    pub rate_limits: Vec<RateLimitSpan>,
    /// Unexpected exits of processes.
    pub exits: Vec<UnexpectedExit>,
    /// Requested stops of daemons.
    pub stops: Vec<DaemonStop>,
    /// Spans with planned work only, on a site that had recovered before.
    pub planned: Vec<(Duration, Duration)>,
    /// Other failures, such as a site that does not recover in time.
    pub findings: Vec<String>,
}

impl Observations {
    /// Whether the caller waited for the answer and only planned work was done meanwhile.
    pub(crate) fn is_planned_only(&self, record: &RequestRecord) -> bool {
        let within =
            |(from, to): &(Duration, Duration)| *from <= record.sent && record.completed <= *to;
        record.connection.awaits_answer() && self.planned.iter().any(within)
    }

    /// Number of runs of each request, by its number.
    pub fn runs(&self) -> HashMap<u64, usize> {
        let mut runs = HashMap::new();
        for number in self.journals.values().flatten() {
            *runs.entry(*number).or_insert(0) += 1;
        }
        runs
    }
}
