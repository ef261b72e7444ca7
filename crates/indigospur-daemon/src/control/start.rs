//! Starting the background work.

use crate::control::{epochs, gossip, log_reader, source_reader};
use crate::daemon::Daemon;
use indigospur_relay::runtime;
use std::sync::Arc;

/// Starts the background work.
pub(crate) fn start(daemon: &Arc<Daemon>) {
    runtime::spawn(gossip::run(daemon.clone()));
    match daemon.source.clone() {
        Some(source) => runtime::spawn(source_reader::run(daemon.clone(), source)),
        None => runtime::spawn(log_reader::run(daemon.clone())),
    };
    if daemon.settings().at_most_once {
        runtime::spawn(epochs::run(daemon.clone()));
    }
    runtime::spawn(crate::backend::watch(daemon.clone()));
    runtime::spawn(crate::backend::end_wait(daemon.clone()));
}
