//! One upstream as the fleet knows it.

use crate::epoch::MemberId;
use crate::ids::{HostId, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What an upstream is doing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The daemon runs without a ready backend server.
    Waiting,
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Gone, or not reachable for others.
    Down,
}

impl State {
    /// The number on the wire.
    pub fn number(self) -> u32 {
        match self {
            State::Waiting => 0,
            State::Ready => 1,
            State::Draining => 2,
            State::Down => 3,
        }
    }

    /// The state of a number on the wire, if there is one.
    pub fn from_number(number: u32) -> Option<State> {
        [State::Waiting, State::Ready, State::Draining, State::Down]
            .into_iter()
            .find(|state| state.number() == number)
    }
}

/// One upstream: a daemon and the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Host name.
    pub host: HostId,
    /// Start number of the daemon; one that learns of a higher one of its own takes the next.
    pub incarnation: Incarnation,
    /// Grows with each change within one incarnation.
    pub revision: u64,
    /// Address for other daemons, as `IP:port`.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Service; empty while no backend server has announced itself.
    pub service: ServiceName,
    /// Calls the backend server can run at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// What it is doing.
    pub state: State,
    /// Start of the backend server, as it names itself; empty if it does not.
    pub instance: Arc<str>,
    /// When that start began, in milliseconds since the Unix epoch; zero if it doesn't say.
    pub born: u64,
    /// The backend server itself leaves, not just its daemon; it never takes new work again.
    pub leaving: bool,
}

impl Member {
    /// The start of the daemon that this member stands for.
    pub fn id(&self) -> MemberId {
        MemberId {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Orders two accounts of the same host; the higher one is newer.
    pub fn order(&self) -> (Incarnation, u64, State) {
        (self.incarnation, self.revision, self.state)
    }
}
