//! Which upstreams there are and what they do: announcements, gossip, liveness, and the requests
//! that take backend servers down.

mod exchange;
mod members;
mod rumours;
mod starts;
mod suspects;

pub use exchange::{Exchange, Message};
pub use members::Members;
pub use starts::{Heard, Start, Starts};
pub use suspects::{Suspects, Verdict};
