//! Results of calls, and the load reports that are returned with them.

use crate::call::{Class, Crash, Header, RetryOrder, find_header};
use crate::ids::{Incarnation, ServiceName};
use crate::kind::{Kind, Ran};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// The complete HTTP response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code, one of [`Answer::STATUSES`].
    pub status: u16,
    /// Headers that are returned to the caller.
    pub headers: Vec<Header>,
    /// Complete response body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Status codes of final responses (RFC 9110, 15).
    pub const STATUSES: RangeInclusive<u16> = 200..=599;

    /// Value of the first header with this name, in lower case; `None` if there is none or it is not
    /// UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// An error response made by a daemon in place of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal; decides the HTTP status.
    pub kind: Kind,
    /// Whether the call ran in any of the attempts made for it.
    pub ran: Ran,
    /// Time after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
    /// Explanation for people, sent as the body of the response.
    pub detail: Arc<str>,
}

impl Refusal {
    /// Creates a refusal whose `ran` is the default of its kind.
    pub fn new(kind: Kind, detail: impl Into<Arc<str>>) -> Refusal {
        Refusal {
            kind,
            ran: kind.info().ran,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Combines `ran` with that of the `earlier` attempts at the call.
    pub fn after_attempts(mut self, earlier: Ran) -> Refusal {
        self.ran = earlier.then(self.ran);
        self
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered(Answer),
    /// A daemon refused the call, or gave up on it.
    Refused(Refusal),
}

/// Load of an upstream as measured by its daemon, reported with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that the backend server is running.
    pub in_flight: u32,
    /// Current limit on concurrent calls.
    pub limit: u32,
    /// Calls waiting in the daemon's queue.
    pub queued: u32,
    /// Mean time that the backend server takes to run a call.
    pub service_time: Duration,
    /// Incarnation of the reporting daemon.
    pub incarnation: Incarnation,
    /// Time that work takes now, relative to `service_time`.
    pub pace: Pace,
    /// Whether the backend server tells its pace.
    pub paced: bool,
    /// Time from the arrival of the call to its reply at the reporting daemon, in which it waited for
    /// a slot and ran; zero if not known. The rest of the sender's reply time is the link's.
    pub residence: Duration,
}

/// Time that work takes, relative to a usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Percent of the usual time; in [`Pace::RANGE`].
    percent: u32,
}

impl Pace {
    /// Valid percentages. Nothing outside is acted upon, so that a wrong figure changes an expected
    /// time by a factor of ten at most.
    pub const RANGE: RangeInclusive<u32> = 25..=1_000;
    /// Work takes as long as usual.
    pub const USUAL: Pace = Pace { percent: 100 };

    /// Creates a pace from a percentage; one that is not valid counts as usual.
    pub fn from_percent(percent: u32) -> Pace {
        if Pace::RANGE.contains(&percent) {
            Pace { percent }
        } else {
            Pace::USUAL
        }
    }

    /// Creates a pace from a factor on the usual time, reduced or raised to the nearest valid one.
    pub fn from_factor(factor: f64) -> Pace {
        let percent = (factor * 100.0).round() as u32;
        Pace {
            percent: percent.clamp(*Pace::RANGE.start(), *Pace::RANGE.end()),
        }
    }

    /// Percent of the usual time.
    pub fn percent(self) -> u32 {
        self.percent
    }

    /// Factor on the usual time, as far as the pace still counts: at a weight of one in full, at zero
    /// not at all.
    pub fn factor(self, weight: f64) -> f64 {
        1.0 + (f64::from(self.percent) / 100.0 - 1.0) * weight
    }
}

impl Default for Pace {
    fn default() -> Pace {
        Pace::USUAL
    }
}

/// A daemon's reply to a call relayed by another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Result of the call.
    pub outcome: Outcome,
    /// Unused retry credit, which returns to the sender.
    pub retries_left: u32,
    /// Whether this call or one below it in the chain was already retried.
    pub retried: bool,
    /// Load of the upstream that replied; `None` if none was reached.
    pub load: Option<Load>,
    /// Crashes attributed to the request, if the sender of the call does not know all of them.
    pub crashes: Vec<Crash>,
    /// Slot occupancy of services as last reported to the replying daemon.
    pub pressures: Vec<Pressure>,
    /// Slot time that the call and the calls below it used, by service.
    pub work: Vec<Work>,
}

/// Slot occupancy of a service, summed over its upstreams, and its refusals as its callers see them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pressure {
    /// Name of the service.
    pub service: ServiceName,
    /// Calls that run or wait at the service's upstreams.
    pub occupied: u32,
    /// Sum of the concurrency limits of the service's upstreams.
    pub capacity: u32,
    /// Time since the upstreams reported it.
    pub age: Duration,
    /// Share of calls that its backend servers refuse themselves, in thousandths; `None` from hosts
    /// that do not measure it.
    pub refused: Option<u32>,
    /// Position in the retry order up to which requests get retries; `None` if all do.
    pub cutoff: Option<RetryOrder>,
    /// Recent attempts on which `refused` and `cutoff` rest: their weight beside other reports. Those
    /// of a report without weight are ignored.
    pub attempts: u32,
    /// What the reporting daemon refuses on arrival for the sake of the service; `None` if it admits no
    /// requests that need it, and from hosts of earlier versions.
    pub shedding: Option<Shedding>,
}

/// The classes whose requests a daemon refuses on arrival for the sake of a service, smoothed over time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shedding {
    /// Number of classes, lowest priority first, in thousandths: at 1,500 all requests of the lowest class
    /// are refused and half of those of the next.
    pub amount: u32,
    /// Classes whose requests at the daemon need the service, in ascending order.
    pub classes: Vec<Class>,
}

/// Slot time and calls that a call used at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Name of the service.
    pub service: ServiceName,
    /// Time for which the call occupied a slot.
    pub time: Duration,
    /// Number of calls that the service answered; zero from hosts of earlier versions.
    pub calls: u32,
}

impl Reply {
    /// Creates a reply without load reports, crashes or slot time.
    pub fn new(outcome: Outcome, retries_left: u32) -> Reply {
        Reply {
            outcome,
            retries_left,
            retried: false,
            load: None,
            crashes: Vec::new(),
            pressures: Vec::new(),
            work: Vec::new(),
        }
    }

    /// Creates a refusing reply that returns all of the lent retry credit `retries`.
    pub fn refused(refusal: Refusal, retries: u32) -> Reply {
        Reply::new(Outcome::Refused(refusal), retries)
    }
}
