//! The interface of a running daemon for the program that embeds it.

use crate::daemon::Daemon;
use crate::{backend, control};
use indigospur_members::Instance;
use indigospur_protocol::{Announcement, State};
use std::sync::Arc;

/// Whether a message of the backend server may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The daemons are bound by the message, whichever of them are restarted.
    Acknowledged,
    /// A departure that is applied, but that a crash of all daemons could still undo.
    NotRecorded,
    /// A departure of an instance on another host, which changes nothing.
    WrongHost,
}

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

    /// Applies an announcement of the backend server. If it says that the backend server is leaving, the
    /// departure is recorded at the source and other daemons are informed before this returns, within
    /// a second.
    ///
    /// # Errors
    /// The announcement is invalid, or is for another service; the text gives the reason.
    pub async fn announce(&self, announcement: &Announcement) -> Result<Receipt, &'static str> {
        backend::validate(announcement)?;
        if !self.daemon.dialect.accepts_service(&announcement.service) {
            return Err("the service is not the one of this host");
        }
        if announcement.state != State::Draining {
            backend::handle_announcement(&self.daemon, announcement);
            return Ok(Receipt::Acknowledged);
        }
        if backend::is_on_another_host(&self.daemon, &announcement.instance) {
            return Ok(Receipt::WrongHost);
        }
        let is_news = backend::handle_announcement(&self.daemon, announcement);
        Ok(self.settle_departure(is_news).await)
    }

    /// Marks an instance of the backend server as leaving. `started_ms` is its start in milliseconds
    /// since the Unix epoch, or zero if unknown. The departure is recorded, and other daemons are
    /// informed, as by [`DaemonHandle::announce`].
    pub async fn mark_leaving(&self, instance: &str, started_ms: u64) -> Receipt {
        if backend::is_on_another_host(&self.daemon, instance) {
            return Receipt::WrongHost;
        }
        let instance = Instance::new(instance, started_ms);
        let is_news = backend::handle_departure(&self.daemon, &instance);
        self.settle_departure(is_news).await
    }

    /// Waits until a departure is recorded and, if it is news, until other daemons know of it.
    async fn settle_departure(&self, is_news: bool) -> Receipt {
        let told = async {
            if is_news {
                control::gossip_now(&self.daemon).await;
            }
        };
        let recorded = control::wait_until_recorded(&self.daemon);
        match futures_lite::future::zip(told, recorded).await {
            ((), true) => Receipt::Acknowledged,
            ((), false) => Receipt::NotRecorded,
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
