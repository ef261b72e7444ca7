//! How a backend server announces itself to its daemon.

use crate::member::State;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Body of `POST /announce`, repeated by the backend server as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Service it serves.
    pub service: Arc<str>,
    /// Address it serves on, as `IP:port`.
    pub address: Arc<str>,
    /// Calls it can run at a time; at least one.
    pub slots: u32,
    /// Connections it accepts; at least one.
    pub connections: u32,
    /// What it is doing.
    #[serde(default)]
    pub state: State,
    /// Name of this start of the backend server; empty if it has none.
    #[serde(default)]
    pub instance: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch; zero if it doesn't say.
    #[serde(default)]
    pub born: u64,
    /// Grows with each announcement of one start; zero if it doesn't count.
    #[serde(default)]
    pub sequence: u64,
    /// Time for which it is still slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}
