//! Membership of the fleet: announcements of backend servers, gossip between daemons, failure
//! detection, and tracking of requests that crash backend servers.

mod answers;
mod broadcasts;
mod crash_history;
mod exchange;
mod instances;
mod joining;
mod members;
mod suspects;

pub use exchange::{Exchange, Message};
pub use instances::{AnnouncementOutcome, Instance, InstanceTracker, NamedLimit};
pub use joining::{Contact, Joining};
pub use members::Members;
pub use suspects::{Suspects, Verdict};
