//! Conversions between the wire messages and the types of this crate.

use crate::once::HandOver;
use crate::records::{KeyRecord, KeyState};
use indigospur_protocol::{Epoch, MemberId, WireError, wire::peer};
use std::time::Duration;

const UNCERTAIN: u32 = 1;
const RAN: u32 = 2;

impl From<&KeyRecord> for peer::KeyRecord {
    fn from(record: &KeyRecord) -> Self {
        peer::KeyRecord {
            key: record.key.to_string(),
            digest: record.digest.to_le_bytes().to_vec(),
            state: match record.state {
                KeyState::Uncertain => UNCERTAIN,
                KeyState::Ran => RAN,
            },
            age_millis: u64::try_from(record.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<peer::KeyRecord> for KeyRecord {
    type Error = WireError;

    fn try_from(wire: peer::KeyRecord) -> Result<Self, WireError> {
        let digest = wire
            .digest
            .as_slice()
            .try_into()
            .map_err(|_| WireError::OutOfRange("digest"))?;
        Ok(KeyRecord {
            key: wire.key.into(),
            digest: u64::from_le_bytes(digest),
            state: match wire.state {
                UNCERTAIN => KeyState::Uncertain,
                RAN => KeyState::Ran,
                _ => return Err(WireError::OutOfRange("state")),
            },
            age: Duration::from_millis(wire.age_millis),
        })
    }
}

impl HandOver {
    /// Converts to the wire message. `service` names the service that the epoch belongs to.
    pub fn to_wire(&self, service: &str) -> peer::HandOverRequest {
        let fence = |(member, epoch): &(MemberId, Epoch)| peer::Fence {
            host: member.host.to_string(),
            incarnation: member.incarnation,
            epoch: *epoch,
        };
        peer::HandOverRequest {
            service: service.to_owned(),
            from: self.from.host.to_string(),
            incarnation: self.from.incarnation,
            epoch: self.epoch,
            records: self.records.iter().map(Into::into).collect(),
            fences: self.fences.iter().map(fence).collect(),
            complete: self.complete.clone(),
        }
    }
}

impl TryFrom<peer::HandOverRequest> for HandOver {
    type Error = WireError;

    fn try_from(wire: peer::HandOverRequest) -> Result<Self, WireError> {
        if wire.from.is_empty() {
            return Err(WireError::MissingField("from"));
        }
        let records: Result<Vec<KeyRecord>, WireError> =
            wire.records.into_iter().map(TryInto::try_into).collect();
        let fence = |fence: peer::Fence| {
            (
                MemberId {
                    host: fence.host.into(),
                    incarnation: fence.incarnation,
                },
                fence.epoch,
            )
        };
        Ok(HandOver {
            from: MemberId {
                host: wire.from.into(),
                incarnation: wire.incarnation,
            },
            epoch: wire.epoch,
            records: records?,
            fences: wire.fences.into_iter().map(fence).collect(),
            complete: wire.complete,
        })
    }
}
