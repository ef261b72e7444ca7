//! What comes back from a call.

use crate::call::{Crash, Header};
use crate::ids::{Incarnation, ServiceName};
use crate::kind::{Kind, Ran};
use std::sync::Arc;
use std::time::Duration;

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass back.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Arc<[u8]>,
}

/// An answer made by a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether the call ran, over all attempts made for it.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Explanation for people.
    pub detail: Arc<str>,
}

impl Refusal {
    /// A refusal with the kind's own answer to whether the call ran.
    pub fn new(kind: Kind, detail: impl Into<Arc<str>>) -> Refusal {
        Refusal {
            kind,
            ran: kind.row().ran,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// The same refusal with the time to come back.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// The same refusal with what is known of earlier attempts.
    pub fn after(mut self, earlier: Ran) -> Refusal {
        self.ran = earlier.then(self.ran);
        self
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server's whole answer.
    Answered(Answer),
    /// An answer made by a daemon.
    Refused(Refusal),
}

/// Load of an upstream as its daemon sees it, carried on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls the backend server runs now.
    pub in_flight: u32,
    /// Calls it may run at a time.
    pub limit: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Mean time a call takes to run.
    pub service_time: Duration,
    /// Start number of the daemon.
    pub incarnation: Incarnation,
}

/// A daemon's reply to a relayed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The result.
    pub outcome: Outcome,
    /// Retry credit that was not spent.
    pub retries_left: u32,
    /// Another attempt was already made further down.
    pub retried: bool,
    /// Load of the upstream that replied, where one was reached.
    pub load: Option<Load>,
    /// Crashes that the call has caused and that are new.
    pub crashes: Vec<Crash>,
    /// What the sender knows of the room at services.
    pub pressures: Vec<Pressure>,
    /// Slot time that the call took at each service, calls below it included.
    pub work: Vec<Work>,
}

/// Slots of a service that are taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pressure {
    /// Service.
    pub service: ServiceName,
    /// Calls that run or wait at its upstreams.
    pub occupied: u32,
    /// Calls that its upstreams may run.
    pub capacity: u32,
    /// Time since it was told.
    pub age: Duration,
}

/// Slot time that a call took at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Service.
    pub service: ServiceName,
    /// Slot time.
    pub time: Duration,
}

impl Reply {
    /// A reply that tells nothing beside its outcome and the credit left.
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

    /// A reply that gives back all of `retries`.
    pub fn refused(refusal: Refusal, retries: u32) -> Reply {
        Reply::new(Outcome::Refused(refusal), retries)
    }
}
