//! Load balancing across the upstreams of a service: nearest first, the better of two random choices
//! by load or by expected time, and ejection of failing upstreams that never leaves a service without
//! any.

mod discovery;
mod expected_time;
mod locality;
mod placement;
mod rate_share;
mod router;
mod upstream;

pub use discovery::Discovery;
pub use placement::{Distance, LeavingChange, Placement, PlacementReason, Policy};
pub use router::{Criteria, Router};
pub use upstream::{AttemptResult, Upstream};
