//! Random faults on a site of real processes, and checks of what must hold meanwhile.
//!
//! A run is made of rounds. In each a few faults are drawn from the seed, in series and overlapping,
//! while callers go on; then everything heals, the site must calm down, and the checks look at what
//! callers and backend servers have seen since the start.
//!
//! All faults come from outside the processes: signals, settings files, limits on descriptors, and
//! wires that every connection between daemons, to the log and to the backend servers leads
//! through. Not injected, as nothing outside a process can without special rights: jumps of the time
//! of day, a share of a core, and lack of memory. Daemons do not write to disks.

mod around;
mod callers;
mod checks;
mod faults;
mod hosts;
mod inject;
mod look;
mod observed;
mod options;
mod report;
mod soak;

pub use checks::{Breach, check};
pub use faults::{Fault, Link, LogTrouble, Scheduled, Spoil, Stop, Trouble, draw};
pub use observed::{Asked, Ended, Leave, Observed, Seen, Stopped, Use};
pub use options::{SoakOptions, read_options};
pub use report::Report;
pub use soak::Soak;
