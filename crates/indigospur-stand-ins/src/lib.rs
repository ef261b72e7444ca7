//! Simulated platform log and backend server for tests, benchmarks and demonstrations. They are
//! not part of the product.

mod backend_server;
mod named_status;
mod platform_log;
mod reply;

pub use backend_server::{BackendOptions, BackendServer, DownstreamCall, JournalEntry};
pub use platform_log::{Mode, PlatformLog};
