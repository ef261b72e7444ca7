//! Members of the fleet, as spread by gossip.

use crate::epoch::MemberId;
use crate::ids::{HostId, Incarnation, ServiceName};
use crate::rate::Rate;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Availability of an upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The daemon runs, but no backend server on its host is ready.
    Waiting,
    /// The upstream takes new calls.
    #[default]
    Ready,
    /// The upstream finishes its calls and takes no new ones.
    Draining,
    /// The daemon has stopped or can't be reached by other daemons.
    Down,
}

impl State {
    /// Number that stands for the state on the wire.
    pub fn number(self) -> u32 {
        match self {
            State::Waiting => 0,
            State::Ready => 1,
            State::Draining => 2,
            State::Down => 3,
        }
    }

    /// Decodes a number from the wire; `None` if no state has it.
    pub fn from_number(number: u32) -> Option<State> {
        [State::Waiting, State::Ready, State::Draining, State::Down]
            .into_iter()
            .find(|state| state.number() == number)
    }
}

/// One upstream: a daemon and the backend server on its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the daemon. A daemon that hears of a higher incarnation of itself takes the
    /// number after that.
    pub incarnation: Incarnation,
    /// Increases with each change within one incarnation.
    pub revision: u64,
    /// Address on which the daemon accepts calls of other daemons, as `IP:port`.
    pub address: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Service of the backend server; empty until one has announced itself.
    pub service: ServiceName,
    /// Concurrent calls that the backend server can run.
    pub slots: u32,
    /// Concurrent connections that the backend server accepts.
    pub connections: u32,
    /// Availability of the upstream.
    pub state: State,
    /// Name of the backend server's process instance; empty if the backend server sends none.
    pub instance: Arc<str>,
    /// Start time of that instance, in milliseconds since the Unix epoch; zero if not known.
    pub started_ms: u64,
    /// Whether the backend server itself is shutting down, not just its daemon; it takes no new
    /// calls any more.
    pub leaving: bool,
    /// Limit that the backend server names on its rate of calls from all hosts together.
    pub rate_limit: Option<Rate>,
}

impl Member {
    /// Identifies the run of the daemon that this member describes.
    pub fn id(&self) -> MemberId {
        MemberId {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Sort key for two descriptions of the same host: the greater is the newer.
    pub fn recency(&self) -> (Incarnation, u64, State) {
        (self.incarnation, self.revision, self.state)
    }
}
