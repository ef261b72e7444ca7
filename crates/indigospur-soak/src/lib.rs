//! Random faults on a site of real processes, and checks of what must hold meanwhile.
//!
//! A run is made of rounds. In each a few faults are drawn from the seed, in series and overlapping,
//! while callers go on; then everything heals, the site must calm down, and the checks look at what
//! callers and backend servers have seen since the start.

mod callers;
mod checks;
mod faults;
mod observed;
mod options;
mod report;
mod soak;

pub use checks::{Breach, check};
pub use faults::{Fault, Scheduled, draw};
pub use observed::{Asked, Leave, Observed, Seen};
pub use options::{SoakOptions, read_options};
pub use report::Report;
pub use soak::Soak;
