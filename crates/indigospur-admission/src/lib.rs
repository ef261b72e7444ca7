//! Admission to one backend server: how many calls run at a time, which wait, and which are shed.
//!
//! All decisions are pure. The present time is an argument, and the caller carries out what the
//! returned [`Effect`]s say.

mod admission;
mod customers;
mod effect;
mod entry;
mod estimate;
mod limit;
mod line;
mod pressure;

pub use admission::{Admission, Options};
pub use effect::{Arrival, Effect, Finish, Refused, Ticket, Verdict};
pub use entry::{Asking, Entry, Shed};
pub use limit::{Limit, LimitPolicy};
pub use pressure::Pressures;
