//! The operators' command-line tool. Each command is a module of its own, listed in a registry.

mod client;
mod commands;
mod error;
mod example;
mod format;
mod output;
mod run;
mod workspace_report;

pub use commands::examples;
pub use error::ToolError;
pub use example::Example;
pub use format::RuleFormat;
pub use run::{run, run_args};
