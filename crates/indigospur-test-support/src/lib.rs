//! Sites of real processes (daemons, backend servers and the platform's log) for tests, benchmarks
//! and demonstrations, with HTTP clients and fault-injecting proxies.

mod client;
mod connection;
mod node;
mod process;
mod raw;
mod site;
mod wire;

pub use client::{Answered, Call, get, post, request};
pub use connection::{Connection, Manner};
pub use node::{Node, ServicePlan, ready_members, status_of};
pub use process::{Process, Starting, program, signal, wait_begun};
pub use raw::{RawBackend, Script};
pub use site::{Site, SitePlan, Wires, wait_until};
pub use wire::{Way, Wire};
