//! What programs that embed the daemon may ask of it and tell it.

use crate::daemon::Daemon;
use crate::{backend, control};
use indigospur_members::Instance;
use indigospur_protocol::Announcement;
use std::sync::Arc;

/// A daemon that serves, as seen by the program it is part of.
#[derive(Clone, Debug)]
pub struct Port {
    daemon: Arc<Daemon>,
}

impl Port {
    pub(crate) fn new(daemon: Arc<Daemon>) -> Port {
        Port { daemon }
    }

    /// Whether calls of callers are treated and more of them are wanted.
    pub fn is_ready(&self) -> bool {
        self.daemon.is_ready()
    }

    /// Takes an announcement of the backend server in. That it leaves binds also after a crash of
    /// this daemon: others are told before this returns, if any can be reached.
    ///
    /// # Errors
    /// What is wrong with it.
    pub async fn announce(&self, announced: &Announcement) -> Result<(), &'static str> {
        backend::validate(announced)?;
        if !self.daemon.dialect.accepts_service(&announced.service) {
            return Err("the service is not the one of this host");
        }
        if backend::handle_announcement(&self.daemon, announced) {
            control::tell_now(&self.daemon).await;
        }
        Ok(())
    }

    /// The backend server says that an instance of it has left whose start began at `born`, in
    /// milliseconds since the Unix epoch; zero if it doesn't say. Binds in the same way.
    pub async fn leave(&self, instance: &str, born: u64) {
        if backend::handle_departure(&self.daemon, &Instance::new(instance, born)) {
            control::tell_now(&self.daemon).await;
        }
    }

    /// Counts an announcement that could not be used.
    pub fn skip_announcement(&self) {
        self.daemon.metrics.skip_announcement();
    }

    /// The metrics as text.
    pub fn metrics(&self) -> Vec<u8> {
        self.daemon.scrape()
    }
}
