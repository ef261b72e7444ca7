//! Kinds of request, what decides on them, and what becomes of them.

use crate::bound::Arrivals;
use indigospur_protocol::Class;

/// What decides on retries and at entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Policy {
    /// A token bucket for the retries of each daemon.
    Bucket,
    /// The retry window, first come first served.
    Window,
    /// The retries of the window go to whole requests.
    Order,
    /// Ingress refuses requests that get no retries and would probably fail.
    Ingress,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    pub(crate) rule: &'static str,
    pub(crate) class: Class,
    /// Requests a second at the full size.
    pub(crate) rate: f64,
    /// Concurrent branches, and successive calls in each.
    pub(crate) branches: usize,
    pub(crate) calls: u32,
    /// Whether callers send a failed request again at once, one time.
    pub(crate) resends: bool,
    pub(crate) idempotent: bool,
}

/// What became of the requests of a kind that were first sent in one part of the time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u32,
    pub(crate) finished: u32,
    /// Requests that were never let in.
    pub(crate) refused: u32,
    /// Requests that were let in and did not finish.
    pub(crate) failed: u32,
    /// Calls that ran for requests, or runs of them, that failed.
    pub(crate) wasted: u32,
}

/// Result of a simulation: tallies by kind, in the fault and outside of it.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) during: Vec<Tally>,
    pub(crate) outside: Vec<Tally>,
    pub(crate) arrivals: Arrivals,
    /// Number of daemons.
    pub(crate) daemons: usize,
}
