//! Epochs: the numbered member lists of a service, in the order of the log.

use crate::ids::{Epoch, HostId, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};

/// One run of a daemon on a host, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Log record of a service's member list. Epochs are ordered by their position in the log only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EpochRecord {
    /// Name of the service.
    pub service: ServiceName,
    /// Epoch number: one more than that of the previous epoch.
    pub number: Epoch,
    /// Members, sorted by host; a host occurs at most once.
    pub members: Vec<MemberId>,
    /// Members of earlier epochs that an operator has declared dead: they will not run again.
    #[serde(default, rename = "gone")]
    pub dead_members: Vec<MemberId>,
}
