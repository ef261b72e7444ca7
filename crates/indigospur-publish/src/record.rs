//! Records of the control stream in the platform's log, as JSON.

use crate::chain::Link;
use displaydoc::Display;
use indigospur_protocol::EpochRecord;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A record of the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Unique identifier, by which the writer finds the record if the reply to its append was lost.
    pub id: Arc<str>,
    /// Position in its chain. Rule sets have one chain, and each service's member lists have one.
    pub link: Link,
    /// Contents.
    pub body: Body,
}

/// Contents of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// A rule set as TOML, and who published it.
    Rules {
        /// The rule set in TOML.
        text: Arc<str>,
        /// Name of the operator who published it.
        operator: Arc<str>,
    },
    /// A new epoch of a service, with its member list.
    Epoch(EpochRecord),
    /// A daemon that others can contact to join the gossip.
    Seed {
        /// Address at which the daemon listens for other daemons.
        address: Arc<str>,
    },
}

/// Reason for which every reader skips a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RecordError {
    /// the record is not a JSON record of the control stream; it was skipped
    Malformed,
    /// the rule set in the record is invalid; the record was skipped
    BadRules,
}

impl std::error::Error for RecordError {}

impl Record {
    /// Encodes the record as JSON for an append to the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record read from the log.
    ///
    /// # Errors
    /// [`RecordError::Malformed`] if `bytes` are not a record in JSON.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        serde_json::from_slice(bytes).map_err(|_| RecordError::Malformed)
    }
}
