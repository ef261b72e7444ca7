//! What goes wrong in the tool, and its exit status.

use displaydoc::Display;
use indigospur_document::Problems;
use indigospur_relay::{HttpError, LogError};
use std::io;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum ToolError {
    /// {0} can't be read: {1}; check the path
    Unreadable(String, io::Error),
    /// the rule set has problems:\n{0}
    Problems(Problems),
    /// {0} has problems:\n{1}
    Document(String, String),
    /// {0} is published by its own platform, not by this tool; write it to the platform's store, or give a rule set in TOML
    Foreign(String),
    /// the log at {0} did not answer ({1:?}); nothing was published, try again when it is up
    LogDown(String, LogError),
    /// the log at {0} did not answer, and the rule set may or may not arrive there; run the same command again with --id {1}
    Unsure(String, String),
    /// {operator} published version {version} first, so this rule set is not in force; look at the difference and publish again:\n{difference}
    Conflict {
        /// Who was first.
        operator: String,
        /// The version in force.
        version: u64,
        /// What the two differ in.
        difference: String,
    },
    /// the daemon at {0} did not answer ({1:?}); check the address and that it runs
    DaemonDown(String, HttpError),
    /// the daemon at {0} answered {1}: {2}
    DaemonRefused(String, u16, String),
}

impl std::error::Error for ToolError {}

impl ToolError {
    /// The exit status.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ToolError::Unreadable(..)
            | ToolError::Problems(_)
            | ToolError::Document(..)
            | ToolError::Foreign(_) => 2,
            ToolError::Conflict { .. } => 3,
            ToolError::Unsure(..) => 4,
            ToolError::LogDown(..) | ToolError::DaemonDown(..) => 5,
            ToolError::DaemonRefused(..) => 6,
        })
    }
}
