//! Rule sets and member lists in the platform's log: which records are accepted, how a rule set is
//! published, and when records are renewed; and the reading position in an external source.
//!
//! Conflicts are resolved by the order of the log alone: each record names its predecessor, and the
//! first record in the log with a given predecessor wins.

mod chain;
mod cursor;
mod follower;
mod publisher;
mod record;

pub use chain::{Chain, Link, OfferOutcome};
pub use cursor::{Cursor, Position};
pub use follower::{ActiveRules, Change, FetchedRecord, Follower};
pub use publisher::{Conflict, PublishAttempt, PublishOutcome};
pub use record::{Body, Record, RecordError};

/// Name of the control stream in the platform's log.
pub const STREAM: &str = "indigospur-control";
