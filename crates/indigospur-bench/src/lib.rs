//! Benchmarks with regression bounds. Each program prints its results as tables; one that checks
//! bounds exits with status 1 if any is exceeded. The bounds are the users' performance targets.

mod load;
pub mod overload;
mod table;

pub use load::{LoadProfile, Target, run_load};
pub use table::Table;

/// Upper bound on the difference that the daemons make to the 99th percentile of call latency.
pub const MAX_ADDED_P99: std::time::Duration = std::time::Duration::from_micros(340);
