//! What signals ask of the daemon.

use crate::failure::StartError;
use async_std::channel::{Receiver, Sender, bounded};
use signal_hook::consts::{SIGALRM, SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::iterator;
use signal_hook::low_level::signal_name;

/// What a signal asks of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Stop gracefully.
    Stop,
    /// Take up changed settings.
    Reload,
}

/// Signals that are received, and what each asks for. Those that ask for nothing are received all
/// the same, since their default action is to end the process.
const RECEIVED: [(i32, Option<Request>); 6] = [
    (SIGTERM, Some(Request::Stop)),
    (SIGINT, Some(Request::Stop)),
    (SIGHUP, Some(Request::Reload)),
    (SIGUSR1, None),
    (SIGUSR2, None),
    (SIGALRM, None),
];

/// The requests that signals make. Each kind is kept apart and waits until it is taken, so that no
/// number of one can displace the other.
#[derive(Clone, Debug)]
pub struct Signals {
    stop: Receiver<()>,
    reload: Receiver<()>,
}

impl Signals {
    /// Receives signals from now on. To be called before anything else: until then each of them
    /// ends the process.
    ///
    /// # Errors
    /// Signals can't be received.
    pub fn receive() -> Result<Signals, StartError> {
        let numbers = RECEIVED.iter().map(|(number, _)| number);
        let mut received = iterator::Signals::new(numbers).map_err(StartError::Signals)?;
        let (stop, stops) = bounded(1);
        let (reload, reloads) = bounded(1);
        std::thread::spawn(move || {
            for number in received.forever() {
                pass_on(number, &stop, &reload);
            }
        });
        Ok(Signals {
            stop: stops,
            reload: reloads,
        })
    }

    /// The next request; a stop goes first.
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

/// Passes a signal's request on; one that waits already stands for it too.
fn pass_on(number: i32, stop: &Sender<()>, reload: &Sender<()>) {
    let request = RECEIVED.iter().find(|(known, _)| *known == number);
    let request = request.and_then(|(_, request)| *request);
    let _ = match request {
        Some(Request::Stop) => stop.try_send(()),
        Some(Request::Reload) => reload.try_send(()),
        None => Ok(()),
    };
    let signal = signal_name(number).unwrap_or("unknown");
    log::info!(signal, request:debug; "signal received");
}
