//! The commands of the tool, one module each.

mod check;
mod drain;
mod explain;
mod publish;
mod registry;
mod status;
mod watch;

pub use registry::examples;
pub(crate) use registry::{options, run};
