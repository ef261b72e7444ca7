//! The interface of a running daemon for the program that embeds it.

use crate::daemon::Daemon;
use crate::{backend, control};
use indigospur_members::Instance;
use indigospur_protocol::Announcement;
use std::sync::Arc;

/// A handle to a running daemon; clones refer to the same daemon.
#[derive(Clone, Debug)]
pub struct DaemonHandle {
    daemon: Arc<Daemon>,
}

impl DaemonHandle {
    pub(crate) fn new(daemon: Arc<Daemon>) -> DaemonHandle {
        DaemonHandle { daemon }
    }

    /// Whether callers should send calls to the daemon: a rule set is in force and no shutdown has
    /// begun.
    pub fn is_ready(&self) -> bool {
        self.daemon.is_ready()
    }

    /// Applies an announcement of the backend server. If it says that the backend server is leaving,
    /// other daemons are informed before this returns, if any can be reached, so that a crash of this
    /// daemon does not undo it.
    ///
    /// # Errors
    /// The announcement is invalid, or is for another service; the text gives the reason.
    pub async fn announce(&self, announcement: &Announcement) -> Result<(), &'static str> {
        backend::validate(announcement)?;
        if !self.daemon.dialect.accepts_service(&announcement.service) {
            return Err("the service is not the one of this host");
        }
        if backend::handle_announcement(&self.daemon, announcement) {
            control::gossip_now(&self.daemon).await;
        }
        Ok(())
    }

    /// Marks an instance of the backend server as leaving. `started_ms` is its start in milliseconds
    /// since the Unix epoch, or zero if unknown. Other daemons are informed as by
    /// [`DaemonHandle::announce`].
    pub async fn mark_leaving(&self, instance: &str, started_ms: u64) {
        if backend::handle_departure(&self.daemon, &Instance::new(instance, started_ms)) {
            control::gossip_now(&self.daemon).await;
        }
    }

    /// Counts an announcement that the embedding program could not decode or that was refused.
    pub fn count_skipped_announcement(&self) {
        self.daemon.metrics.count_skipped_announcement();
    }

    /// The metrics of the daemon in the Prometheus text format.
    pub fn metrics(&self) -> Vec<u8> {
        self.daemon.scrape()
    }
}
