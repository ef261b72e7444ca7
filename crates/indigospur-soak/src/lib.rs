//! Fault-injection soak test on a site of real processes.
//!
//! A run consists of rounds. Each round draws a few faults from the seed, in sequence or
//! overlapping, while callers keep sending requests; then all faults end, the site must recover,
//! and the checks judge everything that callers and backend servers have observed since the start.
//!
//! All faults come from outside the processes: signals, settings files, limits on file descriptors,
//! and proxies on every connection between daemons, to the log and to the backend servers. Jumps of
//! the wall clock, CPU quotas and memory exhaustion are not injected, as they need special
//! privileges. Disk faults are not injected, as daemons do not write to disks.

mod callers;
mod checks;
mod environment;
mod faults;
mod hosts;
mod inject;
mod monitor;
mod observations;
mod options;
mod report;
mod soak;

pub use checks::{Breach, check};
pub use faults::{
    Fault, Link, LinkFault, LogFault, ScheduledFault, SettingsDefect, StopMethod, draw_faults,
};
pub use observations::{
    BackendDrain, ConnectionUse, DaemonStop, Observations, RateLimitSpan, RequestRecord,
    UnexpectedExit, VersionSample,
};
pub use options::{SoakOptions, read_options};
pub use report::Report;
pub use soak::Soak;
