//! What goes into the admission decisions and what comes out.

use indigospur_protocol::{Class, Customer, Kind, Rank};
use std::time::{Duration, Instant};

/// Names an admitted call until it is finished.
pub type Ticket = u64;

/// A call that asks for a slot.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Class; zero is shed last.
    pub class: Class,
    /// Place in the shed order of the class; lower is shed later.
    pub rank: Rank,
    /// Customer.
    pub customer: Customer,
    /// Weight of the customer against the others; at least one.
    pub share: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The call waits until its deadline rather than be refused early.
    pub waits: bool,
}

impl Arrival {
    /// The class among calls where those inside chains go first: by class, and of a class what has
    /// work behind it.
    pub fn chain_class(class: Class, inside: bool) -> Class {
        class.saturating_mul(2).saturating_add((!inside).into())
    }
}

/// Why a call gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The refusal's kind.
    pub kind: Kind,
    /// When to come back.
    pub retry_after: Duration,
}

/// What becomes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now.
    Run(Ticket),
    /// It waits; an [`Effect`] says what becomes of it.
    Wait(Ticket),
    /// It gets no slot.
    Refuse(Refused),
}

/// What becomes of a call that waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Run the waiting call now.
    Run(Ticket),
    /// The waiting call gets no slot.
    Refuse(Ticket, Refused),
    /// Cancel the running call: a more important one needs its slot. The slot is already free.
    Preempt(Ticket, Refused),
}

/// How a call that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The backend server answered.
    Answered,
    /// The backend server shed the call itself, or a service below it did.
    Shed,
    /// The call failed, or its caller went away.
    Failed,
}
