//! Signals that stop the daemon or reload its settings.

use crate::error::StartError;
use async_std::channel::{Receiver, Sender, bounded};
use signal_hook::consts::{SIGALRM, SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::iterator;
use signal_hook::low_level::signal_name;

/// A request that a signal makes of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Stop gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the settings file again: SIGHUP.
    Reload,
}

/// The handled signals and their requests. Signals without a request are handled too, since their
/// default action is to end the process.
const HANDLED_SIGNALS: [(i32, Option<Request>); 6] = [
    (SIGTERM, Some(Request::Stop)),
    (SIGINT, Some(Request::Stop)),
    (SIGHUP, Some(Request::Reload)),
    (SIGUSR1, None),
    (SIGUSR2, None),
    (SIGALRM, None),
];

/// Pending requests from signals. Each kind has its own queue of one, so that a flood of one kind
/// can't displace the other.
#[derive(Clone, Debug)]
pub struct Signals {
    stop: Receiver<()>,
    reload: Receiver<()>,
}

impl Signals {
    /// Installs the signal handlers. Call this first in the program: until then the default action
    /// of each handled signal ends the process.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub fn install() -> Result<Signals, StartError> {
        let numbers = HANDLED_SIGNALS.iter().map(|(number, _)| number);
        let mut signals = iterator::Signals::new(numbers).map_err(StartError::Signals)?;
        let (stop_sender, stop) = bounded(1);
        let (reload_sender, reload) = bounded(1);
        std::thread::spawn(move || {
            for number in signals.forever() {
                forward(number, &stop_sender, &reload_sender);
            }
        });
        Ok(Signals { stop, reload })
    }

    /// Waits for the next request; a stop goes before a reload.
    pub(crate) async fn next(&self) -> Request {
        let stop = async {
            let _ = self.stop.recv().await;
            Request::Stop
        };
        let reload = async {
            let _ = self.reload.recv().await;
            Request::Reload
        };
        futures_lite::future::or(stop, reload).await
    }
}

/// Queues the request of a signal, unless one of its kind is pending already.
fn forward(number: i32, stop: &Sender<()>, reload: &Sender<()>) {
    let request = HANDLED_SIGNALS.iter().find(|(known, _)| *known == number);
    let request = request.and_then(|(_, request)| *request);
    let _ = match request {
        Some(Request::Stop) => stop.try_send(()),
        Some(Request::Reload) => reload.try_send(()),
        None => Ok(()),
    };
    let signal = signal_name(number).unwrap_or("unknown");
    log::info!(signal, request:debug; "signal received");
}
