//! Registration and heartbeat of a backend server at the daemon on its host.

use crate::member::State;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// JSON body of `POST /announce`, which the backend server repeats as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Service that the backend server serves.
    pub service: Arc<str>,
    /// Address on which the backend server accepts calls, as `IP:port`.
    pub address: Arc<str>,
    /// Concurrent calls that the backend server can run; at least one.
    pub slots: u32,
    /// Concurrent connections that the backend server accepts; at least one.
    pub connections: u32,
    /// Whether the backend server takes new calls.
    #[serde(default)]
    pub state: State,
    /// Name of the backend server's process instance; empty if the backend server sends none.
    #[serde(default)]
    pub instance: Arc<str>,
    /// Start time of the instance, in milliseconds since the Unix epoch; zero if not sent.
    #[serde(default, rename = "born")]
    pub started_ms: u64,
    /// Sequence number, which increases with each announcement of an instance; zero if the backend
    /// server doesn't number its announcements.
    #[serde(default)]
    pub sequence: u64,
    /// Remaining warm-up time, in milliseconds; zero once the backend server runs at full speed.
    #[serde(default)]
    pub cold_ms: u64,
}
