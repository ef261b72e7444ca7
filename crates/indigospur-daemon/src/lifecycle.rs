//! The life cycle of the daemon. [`DaemonBuilder`] collects what it is built from;
//! [`RunningDaemon`] is the daemon until it stops.

use crate::build_info;
use crate::builtin_dialect::BuiltinDialect;
use crate::configuration::ConfigurationSource;
use crate::daemon::Daemon;
use crate::dialect::Dialect;
use crate::error::StartError;
use crate::handle::DaemonHandle;
use crate::peer_service::PeerService;
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

/// Largest request body on the admin port.
const MAX_ADMIN_BODY_BYTES: u64 = 64 * 1024;
/// Maximum number of connections on the admin port.
const MAX_ADMIN_CONNECTIONS: usize = 256;
/// Interval at which a stopping daemon checks for calls in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a stopping daemon goes on answering before it waits for the calls in flight, so
/// that other daemons learn that it is draining.
const ANNOUNCE_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Time for the log thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(10);
/// Longest time for which a stopping daemon tries to hand its keys over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Addresses that a daemon listens on, each an IP address and the port that is bound.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub calls: String,
    /// Address for other daemons.
    pub peers: String,
    /// Address for announcements of the backend server and for operators.
    pub admin: String,
}

/// Builds a daemon from valid settings; nothing listens before [`DaemonBuilder::start`].
#[derive(Debug)]
pub struct DaemonBuilder {
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    source: Option<Arc<dyn ConfigurationSource>>,
}

/// A running daemon.
#[derive(Debug)]
pub struct RunningDaemon {
    daemon: Arc<Daemon>,
    addresses: Addresses,
}

impl DaemonBuilder {
    /// A daemon with the built-in HTTP conventions that reads rule sets from the platform's log.
    pub fn new(settings: Settings) -> DaemonBuilder {
        DaemonBuilder {
            settings,
            dialect: Arc::new(BuiltinDialect),
            source: None,
        }
    }

    /// Sets the HTTP conventions towards callers and the backend server.
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> DaemonBuilder {
        self.dialect = dialect;
        self
    }

    /// Sets a source of rule sets that replaces the platform's log.
    pub fn with_source(mut self, source: Arc<dyn ConfigurationSource>) -> DaemonBuilder {
        self.source = Some(source);
        self
    }

    /// Binds the addresses of the settings and starts all tasks of the daemon.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(self) -> Result<RunningDaemon, StartError> {
        let calls = listen("listen.calls", &self.settings.caller_address).await?;
        let peers = listen("listen.peers", &self.settings.peer_address).await?;
        let admin_port = listen("listen.admin", &self.settings.admin_address).await?;
        let addresses = Addresses {
            calls: calls.1,
            peers: peers.1,
            admin: admin_port.1,
        };
        let advertised = self
            .settings
            .advertised_address
            .clone()
            .unwrap_or_else(|| addresses.peers.as_str().into());
        let daemon = Daemon::new(self.settings, self.dialect, self.source, &advertised);
        let memory = daemon.body_memory.clone();
        let peer_service = Arc::new(PeerService(daemon.clone()));
        runtime::spawn(serve_peers(peers.0, peer_service, memory.clone()));
        let bounds = daemon.settings().caller_bounds(None);
        let callers = HttpService::new(bounds, caller_handler(&daemon), refusal_encoder(&daemon))
            .with_memory(memory);
        let callers = daemon.callers.get_or_init(|| callers).clone();
        runtime::spawn(serve_http(calls.0, callers));
        let bounds = Bounds {
            body_bytes: MAX_ADMIN_BODY_BYTES,
            connections: MAX_ADMIN_CONNECTIONS,
            ..Bounds::default()
        };
        let admin = HttpService::new(bounds, admin_handler(&daemon), refusal_encoder(&daemon));
        runtime::spawn(serve_http(admin_port.0, admin));
        control::start(&daemon);
        log::info!(
            calls = &*addresses.calls,
            peers = &*addresses.peers,
            admin = &*addresses.admin,
            commit = build_info::COMMIT,
            sources = build_info::SOURCES,
            profile = build_info::PROFILE;
            "serving"
        );
        Ok(RunningDaemon { daemon, addresses })
    }
}

/// Listens on `address`, the value of `key` in the settings. Returns the listener and the bound
/// address.
///
/// # Errors
/// The address can't be bound.
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

fn refusal_encoder(daemon: &Arc<Daemon>) -> RefusalEncoder {
    let daemon = daemon.clone();
    Arc::new(move |refusal| {
        daemon.metrics.count_refusal(refusal.kind);
        let refusal = daemon.with_retry_advice(refusal.clone(), None);
        daemon.dialect.write_refusal(&refusal)
    })
}

impl RunningDaemon {
    /// A handle for the program that embeds the daemon.
    pub fn handle(&self) -> DaemonHandle {
        DaemonHandle::new(self.daemon.clone())
    }

    /// Addresses that the daemon listens on, with the ports that were bound.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Applies changed settings, except those that need a restart.
    pub fn change_settings(&self, settings: Settings) {
        self.daemon.change_settings(settings);
    }

    pub(crate) fn count_rejected_settings(&self) {
        self.daemon.metrics.count_rejected_settings();
    }

    /// Stops gracefully: stops taking new calls, finishes those in flight and hands the idempotency
    /// keys over. Returns whether all calls finished within the shutdown time of the settings.
    pub async fn stop(self) -> bool {
        let daemon = self.daemon;
        let timeout = daemon.settings().shutdown_timeout;
        let started = Instant::now();
        let left = || timeout.saturating_sub(started.elapsed());
        daemon.drain();
        runtime::sleep(ANNOUNCE_DRAIN_TIME.min(timeout / 2)).await;
        let finished = runtime::timeout(left(), drain(&daemon)).await.is_some();
        let hand_over_time = left().min(HAND_OVER_TIMEOUT);
        let handed = runtime::timeout(hand_over_time, hand_over(&daemon)).await;
        let handed = handed.is_some();
        if let Some(callers) = daemon.callers.get() {
            callers.stop_listening();
        }
        let finished = finished
            && runtime::timeout(left(), wait_until_idle(&daemon))
                .await
                .is_some();
        log::info!(finished, handed, left = open_work(&daemon), took_ms = started.elapsed().as_millis() as u64; "stopped");
        runtime::sleep(LOG_FLUSH_TIME).await;
        // Requests that arrived on kept-alive connections in the meantime get their refusals.
        finished
            && runtime::timeout(left(), wait_until_idle(&daemon))
                .await
                .is_some()
    }
}

/// Keeps taking calls until callers have had time to move to another daemon, then closes admission
/// and waits for the calls in flight.
async fn drain(daemon: &Daemon) {
    while daemon.accepts_callers() {
        runtime::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    daemon.drain_slots();
    wait_until_idle(daemon).await;
}

async fn wait_until_idle(daemon: &Daemon) {
    while open_work(daemon) > 0 {
        runtime::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Number of calls at the backend server, running calls with a key and requests of callers that
/// have not ended. One call may be counted as several of these.
fn open_work(daemon: &Daemon) -> usize {
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
        runtime::sleep(DRAIN_CHECK_INTERVAL * 5).await;
    }
}
