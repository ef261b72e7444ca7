//! The address of a server that may move.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The address of a server, an `IP:port`; clones share it.
#[derive(Clone, Debug)]
pub struct Address(Arc<Mutex<Arc<str>>>);

impl Address {
    /// The address where the server is.
    pub fn get(&self) -> Arc<str> {
        self.lock().clone()
    }

    /// The server has moved.
    pub fn set(&self, address: Arc<str>) {
        *self.lock() = address;
    }

    fn lock(&self) -> MutexGuard<'_, Arc<str>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Arc<str>> for Address {
    fn from(address: Arc<str>) -> Self {
        Address(Arc::new(Mutex::new(address)))
    }
}
