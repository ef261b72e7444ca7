//! The messages between gates and homes.

use crate::placement::SlotSet;
use indigospur_protocol::{HostId, Incarnation};
use std::sync::Arc;

/// Counts of one workspace at one host.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceCounts {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Requests that asked for admission since the sender began to count.
    pub asked: u64,
    /// Requests admitted and not returned since the sender began to count.
    pub admitted: u64,
    /// Requests that asked since a home last acknowledged counts of the workspace.
    pub new_asked: u64,
    /// Requests admitted less requests returned since then, without those admitted while no home
    /// answered; negative if more were returned.
    pub new_admitted: i64,
    /// Requests by which the level at the last home was below zero, as far as the sender knows. A new home
    /// takes it over.
    pub debt: f64,
}

/// Report of a host to a home.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaReport {
    /// Host that sends it.
    pub from: HostId,
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Increases with each report of the same incarnation.
    pub sequence: u64,
    /// Slots for which the sender takes the receiver as their home.
    pub slots: SlotSet,
    /// Workspaces whose counts changed since a home last acknowledged them.
    pub counts: Vec<WorkspaceCounts>,
}

/// Limit on the requests of a workspace that is over its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceLimit {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Share of its requests to admit, 0 to 1.
    pub share: f64,
    /// Level of its token bucket in requests; negative if too many were admitted.
    pub level: f64,
}

/// Answer of a home to a report.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaGrant {
    /// Incarnation of the report that is answered.
    pub incarnation: Incarnation,
    /// Sequence number of the report that is answered.
    pub sequence: u64,
    /// Slots that the home can decide for. In these, workspaces without a limit are admitted in full.
    pub slots: SlotSet,
    /// Limits of the workspaces in `slots`.
    pub limits: Vec<WorkspaceLimit>,
}
