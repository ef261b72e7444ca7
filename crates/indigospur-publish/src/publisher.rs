//! Publishes a rule set by an append to the log, and determines the outcome.

use crate::chain::Chain;
use crate::follower::FetchedRecord;
use crate::record::{Body, Record};
use indigospur_protocol::Version;
use std::sync::Arc;

/// An attempt to publish a rule set; it may be appended more than once.
#[derive(Clone, Debug)]
pub struct PublishAttempt {
    record: Record,
}

/// The rule set that was published instead because it came first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version: its offset in the log.
    pub version: Version,
    /// The rule set in TOML.
    pub text: Arc<str>,
    /// Name of the operator who published it.
    pub operator: Arc<str>,
}

/// Outcome of an attempt, as far as the log shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The record is in the log and came first: the rule set is active or will be within seconds.
    /// Holds its version.
    Accepted(Version),
    /// Another rule set came first. This one will never become active.
    Rejected(Conflict),
    /// The record is not in the log so far; it may still arrive if its append got no reply.
    Absent,
}

impl PublishAttempt {
    /// Creates an attempt to publish `text` as the successor of the head of `chain`. `id` must be
    /// unique.
    pub fn new(chain: Chain, id: Arc<str>, text: Arc<str>, operator: Arc<str>) -> PublishAttempt {
        let body = Body::Rules { text, operator };
        PublishAttempt {
            record: Record {
                id,
                link: chain.next(),
                body,
            },
        }
    }

    /// Bytes to append. They are the same for each append, so that a retry after a lost reply can't
    /// publish twice: both records have the same predecessor.
    pub fn bytes(&self) -> Vec<u8> {
        self.record.encode()
    }

    /// Determines the outcome from all records in the log after the predecessor of this one.
    pub fn outcome(&self, records: &[FetchedRecord]) -> PublishOutcome {
        let mut contenders = records.iter().filter_map(|fetched| {
            let record = Record::decode(&fetched.body).ok()?;
            let Body::Rules { text, operator } = record.body else {
                return None;
            };
            let same_predecessor = record.link.builds_on == self.record.link.builds_on;
            same_predecessor.then_some((fetched.offset, record.id, text, operator))
        });
        match contenders.next() {
            None => PublishOutcome::Absent,
            Some((offset, id, ..)) if id == self.record.id => PublishOutcome::Accepted(offset),
            Some((version, _, text, operator)) => PublishOutcome::Rejected(Conflict {
                version,
                text,
                operator,
            }),
        }
    }
}
