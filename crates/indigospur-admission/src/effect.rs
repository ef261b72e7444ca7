//! Inputs and results of admission decisions.

use indigospur_protocol::{Class, Customer, Kind, Rank};
use std::time::{Duration, Instant};

/// Identifies a call at one [`Admission`](crate::Admission) from arrival to completion; never
/// reused.
pub type Ticket = u64;

/// A call that asks for a slot.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Priority class; zero is the highest priority and is shed last.
    pub class: Class,
    /// Shed order within a customer's calls of a class; a lower rank is shed later.
    pub rank: Rank,
    /// Customer whose fair share the call uses.
    pub customer: Customer,
    /// Weight of the customer in the fair queue of its class; zero counts as one.
    pub share: u32,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Instant,
    /// Queue the call on arrival even if it is not expected to finish before its deadline.
    pub waits: bool,
}

impl Arrival {
    /// Splits `class` in two, so that within a class calls made inside a chain (`in_chain`) go
    /// before first calls: refusing them would waste the work already done for their request.
    pub fn chain_class(class: Class, in_chain: bool) -> Class {
        class.saturating_mul(2).saturating_add((!in_chain).into())
    }
}

/// A refusal of a call by the admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason of the refusal.
    pub kind: Kind,
    /// Time until the queue has room, before which the caller should not try again.
    pub retry_after: Duration,
}

/// Decision on a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call has a slot; run it now.
    Run(Ticket),
    /// The call is queued; a later [`Effect`] runs or refuses it.
    Wait(Ticket),
    /// The call gets no slot.
    Refuse(AdmissionRefusal),
}

/// Change to a queued or running call that the caller of the admission has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Run the queued call now.
    Run(Ticket),
    /// The queued call is removed without a slot.
    Refuse(Ticket, AdmissionRefusal),
    /// Cancel the running call: one of higher priority needs its slot. The slot is already free, so
    /// the call needs no [`Admission::finish`](crate::Admission::finish).
    Preempt(Ticket, AdmissionRefusal),
}

/// Outcome of a call that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The backend server answered.
    Answered,
    /// The backend server shed the call, or a service that it calls did.
    Shed,
    /// The call failed or was cancelled.
    Failed,
}
