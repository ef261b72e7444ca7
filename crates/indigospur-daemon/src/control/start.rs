//! Starts the background tasks.

use crate::control::{departures, epochs, gossip, log_reader, quota, source_reader};
use crate::daemon::Daemon;
use indigospur_relay::runtime;
use std::sync::Arc;

/// Starts the background tasks of a daemon; supervised tasks are restarted if they panic.
pub(crate) fn start(daemon: &Arc<Daemon>) {
    supervise(daemon, "gossip", gossip::run);
    match daemon.source.clone() {
        Some(source) => {
            let recorder = source.clone();
            supervise(daemon, "departures", move |daemon| {
                departures::run(daemon, recorder.clone())
            });
            supervise(daemon, "configuration", move |daemon| {
                source_reader::run(daemon, source.clone())
            });
        }
        None => supervise(daemon, "log", log_reader::run),
    }
    if daemon.settings().at_most_once {
        supervise(daemon, "epochs", epochs::run);
    }
    supervise(daemon, "quota", quota::run);
    supervise(daemon, "backend server", crate::backend::watch);
    runtime::spawn(crate::start_waits::limit(daemon.clone()));
}

fn supervise<F>(
    daemon: &Arc<Daemon>,
    name: &'static str,
    task: impl Fn(Arc<Daemon>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let daemon = daemon.clone();
    runtime::supervise(name, move || task(daemon.clone()));
}
