//! A source of rule sets that keeps the newest one, in place of the daemon's own log.

use displaydoc::Display;
use indigospur_protocol::Version;
use indigospur_relay::LogError;
use indigospur_relay::runtime::BoxFuture;
use indigospur_rules::RuleSet;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

/// Where a reader of a source stands in it.
pub type Position = u64;

/// A configuration as it was published.
#[derive(Clone, Debug)]
pub struct Published {
    /// Grows with each publication.
    pub version: Version,
    /// What it says.
    pub rules: Arc<RuleSet>,
}

/// What a source was found to hold.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Configurations in the order of the source, as published.
    pub bodies: Vec<Arc<[u8]>>,
    /// Where to read on.
    pub next: Position,
}

/// A daemon that can be asked for the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Its host.
    pub host: Arc<str>,
    /// Its address for other daemons.
    pub address: Arc<str>,
}

/// Why a source gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum SourceError {
    /// it gave no answer: {0:?}
    Failed(LogError),
    /// what was to be read is no longer kept
    Forgotten,
    /// its answer can't be read
    Unreadable,
}

impl std::error::Error for SourceError {}

impl From<LogError> for SourceError {
    fn from(error: LogError) -> Self {
        SourceError::Failed(error)
    }
}

/// A source of rule sets. Each call ends within seconds beyond its wait, with an answer or without.
pub trait Configuration: Debug + Send + Sync {
    /// The newest configuration, if there is one.
    fn newest(&self) -> BoxFuture<Result<Found, SourceError>>;

    /// The configurations published after `from`; waits for one for at most `wait`.
    fn changes(&self, from: Position, wait: Duration) -> BoxFuture<Result<Found, SourceError>>;

    /// Reads and writes go to another address from now on.
    fn move_to(&self, address: Arc<str>);

    /// What a published configuration says.
    ///
    /// # Errors
    /// It can't be read; the place and the reason.
    fn decode(&self, body: &[u8]) -> Result<Published, String>;

    /// Daemons that have registered.
    fn contacts(&self) -> BoxFuture<Result<Vec<Contact>, SourceError>>;

    /// Registers a daemon for others to find.
    fn register(&self, contact: Contact) -> BoxFuture<Result<(), SourceError>>;
}

/// The newest configuration that was accepted.
#[derive(Debug, Default)]
pub(crate) struct Newest {
    accepted: Option<(Version, Arc<[u8]>)>,
}

impl Newest {
    /// Its version; zero if there is none.
    pub(crate) fn version(&self) -> Version {
        self.accepted.as_ref().map_or(0, |(version, _)| *version)
    }

    /// It as published.
    pub(crate) fn body(&self) -> Option<Arc<[u8]>> {
        self.accepted.as_ref().map(|(_, body)| body.clone())
    }

    /// Accepts a configuration if it is newer; the version never goes back.
    pub(crate) fn offer(&mut self, version: Version, body: Arc<[u8]>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.accepted = Some((version, body));
        true
    }
}
