//! Errors of the tool and their exit statuses.

use displaydoc::Display;
use indigospur_document::Problems;
use indigospur_relay::{HttpError, LogError};
use std::io;
use std::process::ExitCode;

/// Reason why a command failed; displayed as a message to the operator.
#[derive(Debug, Display)]
pub enum ToolError {
    /// the rule set file {0} can't be read: {1}; check the path and its permissions
    UnreadableFile(String, io::Error),
    /// the rule set is invalid; correct these problems:\n{0}
    InvalidRules(Problems),
    /// the configuration in {0} is invalid; correct these problems:\n{1}
    InvalidDocument(String, String),
    /// {0} holds a configuration that is published by its own platform, not by this tool; write it to the platform's store, or pass a rule set in TOML
    NotPublishable(String),
    /// the platform's log at {0} did not answer successfully ({1:?}); nothing was published; check the address, and run the same command again when the log is available
    LogUnavailable(String, LogError),
    /// the platform's log at {0} did not confirm the publish, which may still take effect; run the same command again with --id {1} to learn the outcome without publishing twice
    UnknownOutcome(String, String),
    /// {operator} published version {version} first, so this rule set is not active; merge the differences and publish again (+ marks lines only in version {version}, - lines only in your file):\n{difference}
    Conflict {
        /// Name of the operator who published first, or "another operator" if not known.
        operator: String,
        /// Version of the rule set that was published first.
        version: u64,
        /// Lines that only one of the two rule sets has, each with its sign.
        difference: String,
    },
    /// the daemon at {0} did not answer ({1:?}); check that this is its admin address and that it is running
    DaemonUnavailable(String, HttpError),
    /// the daemon at {0} refused the request with HTTP status {1}: {2}
    DaemonRefused(String, u16, String),
}

impl std::error::Error for ToolError {}

impl ToolError {
    /// Exit status of the tool for this error: 2 if the rule set can't be used, 3 for a conflict,
    /// 4 for an unknown outcome, 5 if the log or the daemon is unavailable, and 6 for a refusal by
    /// the daemon.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ToolError::UnreadableFile(..)
            | ToolError::InvalidRules(_)
            | ToolError::InvalidDocument(..)
            | ToolError::NotPublishable(_) => 2,
            ToolError::Conflict { .. } => 3,
            ToolError::UnknownOutcome(..) => 4,
            ToolError::LogUnavailable(..) | ToolError::DaemonUnavailable(..) => 5,
            ToolError::DaemonRefused(..) => 6,
        })
    }
}
