//! A site of real processes for tests, benchmarks and a first look.

mod client;
mod process;
mod raw;
mod site;

pub use client::{Answered, Call, get, post, request};
pub use process::{Process, program};
pub use raw::{RawBackend, Script, Wire};
pub use site::{Node, ServicePlan, Site, SitePlan, ready_members, status_of, wait_until};
