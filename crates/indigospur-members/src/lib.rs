//! Membership of the fleet: announcements of backend servers, gossip between daemons, failure
//! detection, and tracking of requests that crash backend servers.

mod answers;
mod broadcasts;
mod crash_history;
mod departure_log;
mod exchange;
mod instances;
mod joining;
mod members;
mod start_gate;
mod suspects;

pub use departure_log::{DepartureLog, LogCall};
pub use exchange::{Exchange, Message};
pub use instances::{AnnouncementOutcome, Instance, InstanceTracker, NamedLimit};
pub use joining::{Contact, Joining};
pub use members::Members;
pub use start_gate::StartGate;
pub use suspects::{Suspects, Verdict};
