//! Admission to one backend server: how many calls run at a time, which wait, and which are shed.
//!
//! The decisions do no I/O and read no clock: the current time is an argument, and the caller
//! carries out the returned [`Effect`]s.

mod admission;
mod effect;
mod entry;
mod ewma;
mod fair_queue;
mod limit;
mod pressure;
mod queue;

pub use admission::{Admission, Options};
pub use effect::{Arrival, Effect, Finish, Refused, Ticket, Verdict};
pub use entry::{Asking, Entry, Shed};
pub use limit::{Limit, LimitPolicy};
pub use pressure::Pressures;
