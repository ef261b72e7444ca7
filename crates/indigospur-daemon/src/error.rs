//! Errors that keep the daemon from starting.

use displaydoc::Display;
use indigospur_document::Problems;
use std::io;

/// An error that keeps the daemon from starting.
#[derive(Debug, Display)]
pub enum StartError {
    /// the settings file "{0}" can't be read: {1}; check the path and its permissions
    UnreadableSettings(String, io::Error),
    /// the settings file is invalid; correct each of these problems:\n{0}
    InvalidSettings(Problems),
    /// can't listen on {0} = "{1}": {2}; set {0} to a free address of this host
    Listen(&'static str, String, io::Error),
    /// the signal handlers can't be installed: {0}
    Signals(io::Error),
}

impl std::error::Error for StartError {}
