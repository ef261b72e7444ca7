//! The operators' tool: one command a file, registered in one place.

mod commands;
mod example;
mod failure;
mod format;
mod output;
mod platform;
mod run;

pub use commands::examples;
pub use example::Example;
pub use failure::ToolError;
pub use format::Format;
pub use run::{run, run_with};
