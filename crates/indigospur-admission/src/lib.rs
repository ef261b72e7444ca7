//! Admission to one backend server: how many calls run at a time, which wait, and which are shed.
//!
//! The decisions do no I/O and read no clock: the current time is an argument, and the caller
//! carries out the returned [`Effect`]s.

mod admission;
mod controller;
mod effect;
mod ewma;
mod fair_queue;
mod ingress;
mod limit;
mod needs;
mod pace;
mod pressure;
mod queue;
mod rate_limiter;
mod request;
mod response_times;
mod retry_after;
mod shedding;

pub use admission::{Admission, Options};
pub use effect::{AdmissionRefusal, Arrival, Completion, Effect, Ticket, Verdict};
pub use ingress::{IngressAdmission, IngressRefusal};
pub use limit::{Limit, LimitPolicy};
pub use pressure::Pressures;
pub use request::IngressRequest;
pub use response_times::{CallKind, CallNumber, Caution, ResponseTimes};
pub use retry_after::retry_after;
