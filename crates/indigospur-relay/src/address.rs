//! A server address that can change at run time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The address of a server as `IP:port`. Clones share it, so a change applies to all of them.
#[derive(Clone, Debug)]
pub struct SharedAddress(Arc<Mutex<Arc<str>>>);

impl SharedAddress {
    /// Returns the current address.
    pub fn get(&self) -> Arc<str> {
        self.lock().clone()
    }

    /// Replaces the address in all clones; connections that are open stay.
    pub fn set(&self, address: Arc<str>) {
        *self.lock() = address;
    }

    fn lock(&self) -> MutexGuard<'_, Arc<str>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Arc<str>> for SharedAddress {
    fn from(address: Arc<str>) -> Self {
        SharedAddress(Arc::new(Mutex::new(address)))
    }
}
