//! Discrete-event simulation of overload in virtual time: the daemons' decision code in front of
//! simulated backend servers.

mod engine;
mod measure;
mod policy;
mod scenario;
mod server;

pub use engine::simulate;
pub use measure::RunSummary;
pub use policy::Policy;
pub use scenario::{Scenario, Service, lisbon, tasmania};
