//! Sites of real processes (daemons, backend servers and the platform's log) for tests, benchmarks
//! and demonstrations, with HTTP clients and fault-injecting proxies.

mod client;
mod connection;
mod fault_proxy;
mod node;
mod process;
mod scripted_backend;
mod site;

pub use client::{Call, Response, get, post, request, send_raw};
pub use connection::{ClientBehaviour, Connection};
pub use fault_proxy::{Direction, FaultProxy, silence};
pub use node::{Node, ServicePlan, fetch_status, ready_members};
pub use process::{
    AddressReservation, Process, StartingProcess, program_path, signal, wait_for_main,
};
pub use scripted_backend::{Script, ScriptedBackend};
pub use site::{HostProxies, Site, SitePlan, wait_until};
