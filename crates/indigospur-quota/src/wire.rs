//! Conversions between the wire messages and the types of this crate.

use crate::placement::SlotSet;
use crate::report::{QuotaGrant, QuotaReport, WorkspaceCounts, WorkspaceLimit};
use indigospur_protocol::{WireError, wire::peer};

impl From<&WorkspaceCounts> for peer::WorkspaceCounts {
    fn from(counts: &WorkspaceCounts) -> Self {
        peer::WorkspaceCounts {
            name: counts.name.to_string(),
            asked: counts.asked,
            admitted: counts.admitted,
            new_asked: counts.new_asked,
            new_admitted: counts.new_admitted,
            debt: counts.debt as f32,
        }
    }
}

impl TryFrom<peer::WorkspaceCounts> for WorkspaceCounts {
    type Error = WireError;

    fn try_from(wire: peer::WorkspaceCounts) -> Result<Self, WireError> {
        let is_valid = wire.debt.is_finite() && wire.debt >= 0.0;
        if !is_valid {
            return Err(WireError::OutOfRange("debt"));
        }
        Ok(WorkspaceCounts {
            name: wire.name.into(),
            asked: wire.asked,
            admitted: wire.admitted,
            new_asked: wire.new_asked,
            new_admitted: wire.new_admitted,
            debt: f64::from(wire.debt),
        })
    }
}

impl From<&QuotaReport> for peer::QuotaReport {
    fn from(report: &QuotaReport) -> Self {
        peer::QuotaReport {
            from: report.from.to_string(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            slots: report.slots.0,
            counts: report.counts.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<peer::QuotaReport> for QuotaReport {
    type Error = WireError;

    fn try_from(wire: peer::QuotaReport) -> Result<Self, WireError> {
        if wire.from.is_empty() {
            return Err(WireError::MissingField("from"));
        }
        let counts: Result<Vec<WorkspaceCounts>, WireError> =
            wire.counts.into_iter().map(TryInto::try_into).collect();
        Ok(QuotaReport {
            from: wire.from.into(),
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            slots: SlotSet(wire.slots),
            counts: counts?,
        })
    }
}

impl From<&QuotaGrant> for peer::QuotaGrant {
    fn from(grant: &QuotaGrant) -> Self {
        let limit = |limit: &WorkspaceLimit| peer::WorkspaceLimit {
            name: limit.name.to_string(),
            share: limit.share as f32,
            level: limit.level as f32,
        };
        peer::QuotaGrant {
            incarnation: grant.incarnation,
            sequence: grant.sequence,
            slots: grant.slots.0,
            limits: grant.limits.iter().map(limit).collect(),
        }
    }
}

impl TryFrom<peer::QuotaGrant> for QuotaGrant {
    type Error = WireError;

    fn try_from(wire: peer::QuotaGrant) -> Result<Self, WireError> {
        let limit = |limit: peer::WorkspaceLimit| {
            if !(0.0..=1.0).contains(&limit.share) {
                return Err(WireError::OutOfRange("share"));
            }
            if !limit.level.is_finite() {
                return Err(WireError::OutOfRange("level"));
            }
            Ok(WorkspaceLimit {
                name: limit.name.into(),
                share: f64::from(limit.share),
                level: f64::from(limit.level),
            })
        };
        let limits: Result<Vec<WorkspaceLimit>, WireError> =
            wire.limits.into_iter().map(limit).collect();
        Ok(QuotaGrant {
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            slots: SlotSet(wire.slots),
            limits: limits?,
        })
    }
}
