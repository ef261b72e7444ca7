//! The daemon's life: starting, serving, stopped. Each state is a type with just its own steps.

use crate::builtin_dialect::BuiltinDialect;
use crate::configuration::Configuration;
use crate::daemon::Daemon;
use crate::dialect::Dialect;
use crate::failure::StartError;
use crate::peer_service::PeerService;
use crate::port::Port;
use crate::settings::Settings;
use crate::{admin, caller, control};
use async_std::net::TcpListener;
use indigospur_relay::{
    Bounds, Handler, HttpService, RefusalEncoder, runtime, serve_http, serve_peers,
};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Largest body on the admin port, in bytes.
const LARGEST_ADMIN_BODY: u64 = 64 * 1024;
/// Most connections on the admin port.
const MOST_ADMIN_CONNECTIONS: usize = 256;
/// Time between two looks at what is still in flight.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a stopping daemon goes on answering, so that others learn that it leaves.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// Time for the last log lines to be written.
const LOG_TIME: Duration = Duration::from_millis(10);
/// Longest time that a stopping daemon waits to hand its keys over.
const HAND_OVER_TIME: Duration = Duration::from_secs(8);

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// For callers.
    pub calls: String,
    /// For other daemons.
    pub peers: String,
    /// For announcements and operators.
    pub admin: String,
}

/// A daemon with checked settings that does not listen yet.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    source: Option<Arc<dyn Configuration>>,
}

/// A daemon that serves.
#[derive(Debug)]
pub struct Serving {
    daemon: Arc<Daemon>,
    addresses: Addresses,
}

impl Starting {
    /// A daemon that is about to start.
    pub fn new(settings: Settings) -> Starting {
        Starting {
            settings,
            dialect: Arc::new(BuiltinDialect),
            source: None,
        }
    }

    /// Uses other HTTP conventions towards callers and the backend server.
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> Starting {
        self.dialect = dialect;
        self
    }

    /// Takes rule sets from another source than the daemon's own log.
    pub fn with_source(mut self, source: Arc<dyn Configuration>) -> Starting {
        self.source = Some(source);
        self
    }

    /// Listens and serves.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub async fn serve(self) -> Result<Serving, StartError> {
        let calls = listen("listen.calls", &self.settings.calls).await?;
        let peers = listen("listen.peers", &self.settings.peers).await?;
        let admin_port = listen("listen.admin", &self.settings.admin).await?;
        let addresses = Addresses {
            calls: calls.1,
            peers: peers.1,
            admin: admin_port.1,
        };
        let told = self
            .settings
            .advertise
            .clone()
            .unwrap_or_else(|| addresses.peers.as_str().into());
        let daemon = Daemon::new(self.settings, self.dialect, self.source, &told);
        runtime::spawn(serve_peers(peers.0, Arc::new(PeerService(daemon.clone()))));
        let bounds = daemon.settings().caller_bounds(None);
        let callers = HttpService::new(bounds, caller_handler(&daemon), refuse(&daemon));
        let callers = daemon.callers.get_or_init(|| callers).clone();
        runtime::spawn(serve_http(calls.0, callers));
        let bounds = Bounds {
            body_bytes: LARGEST_ADMIN_BODY,
            connections: MOST_ADMIN_CONNECTIONS,
            ..Bounds::default()
        };
        let admin = HttpService::new(bounds, admin_handler(&daemon), refuse(&daemon));
        runtime::spawn(serve_http(admin_port.0, admin));
        control::start(&daemon);
        log::info!(calls = &*addresses.calls, peers = &*addresses.peers, admin = &*addresses.admin; "serving");
        Ok(Serving { daemon, addresses })
    }
}

/// Listens on the address that the settings give at `key`; the listener and the address it has.
///
/// # Errors
/// The address can't be listened on.
pub async fn listen(key: &'static str, address: &str) -> Result<(TcpListener, String), StartError> {
    let failed = |error| StartError::Listen(key, address.to_owned(), error);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound.to_string()))
}

fn caller_handler(daemon: &Arc<Daemon>) -> Handler {
    let daemon = daemon.clone();
    Arc::new(move |received| Box::pin(caller::answer(daemon.clone(), received)))
}

fn admin_handler(daemon: &Arc<Daemon>) -> Handler {
    let daemon = daemon.clone();
    Arc::new(move |received| Box::pin(admin::answer(daemon.clone(), received)))
}

fn refuse(daemon: &Arc<Daemon>) -> RefusalEncoder {
    let daemon = daemon.clone();
    Arc::new(move |refusal| {
        daemon.metrics.refused(refusal.kind);
        daemon.dialect.write_refusal(refusal)
    })
}

impl Serving {
    /// What programs that embed the daemon may ask of it and tell it.
    pub fn port(&self) -> Port {
        Port::new(self.daemon.clone())
    }

    /// Addresses that the daemon listens on.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Puts changed settings in force, but for those that hold from start to stop.
    pub fn change_settings(&self, settings: Settings) {
        self.daemon.change_settings(settings);
    }

    /// Counts changed settings that could not be used.
    pub(crate) fn skip_settings(&self) {
        self.daemon.metrics.skip_settings();
    }

    /// Stops gracefully: takes no new work, finishes what is in flight, hands its keys over.
    /// Whether all of it was done within the settings' bound.
    pub async fn stop(self) -> bool {
        let daemon = self.daemon;
        let bound = daemon.settings().shutdown;
        let begun = Instant::now();
        daemon.drain();
        runtime::sleep(LEAVE_TIME).await;
        let finished = runtime::timeout(bound, leave(&daemon)).await.is_some();
        let left = bound.saturating_sub(begun.elapsed()).min(HAND_OVER_TIME);
        let handed = runtime::timeout(left, hand_over(&daemon)).await.is_some();
        if let Some(callers) = daemon.callers.get() {
            callers.stop_listening();
        }
        let finished = finished && runtime::timeout(bound, finish(&daemon)).await.is_some();
        log::info!(finished, handed, left = busy(&daemon), took_ms = begun.elapsed().as_millis() as u64; "stopped");
        runtime::sleep(LOG_TIME).await;
        // What came meanwhile on a kept connection is refused, and its answer written.
        finished && runtime::timeout(bound, finish(&daemon)).await.is_some()
    }
}

/// Waits until callers have noticed, and then for what is in flight.
async fn leave(daemon: &Daemon) {
    while daemon.accepts_callers() {
        runtime::sleep(DRAIN_PAUSE).await;
    }
    daemon.drain_slots();
    finish(daemon).await;
}

async fn finish(daemon: &Daemon) {
    while busy(daemon) > 0 {
        runtime::sleep(DRAIN_PAUSE).await;
    }
}

fn busy(daemon: &Daemon) -> usize {
    let slots = daemon
        .backend()
        .map_or(0, |backend| backend.slots.outstanding());
    let keys = daemon.running_keys.load(Ordering::Relaxed);
    let callers = daemon.callers.get().map_or(0, HttpService::open_requests);
    slots + keys + callers
}

async fn hand_over(daemon: &Arc<Daemon>) {
    if !daemon.settings().at_most_once {
        return;
    }
    while !control::hand_over_to_all(daemon).await {
        runtime::sleep(DRAIN_PAUSE * 5).await;
    }
}
