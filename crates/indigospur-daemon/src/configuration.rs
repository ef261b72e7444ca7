//! An external source of rule sets that keeps the newest one; it replaces the platform's log as the
//! place that the daemon reads rule sets from.

use displaydoc::Display;
use indigospur_members::{Contact, Instance};
use indigospur_protocol::{Era, Version};
use indigospur_publish::Position;
use indigospur_relay::LogError;
use indigospur_relay::runtime::BoxFuture;
use indigospur_rules::RuleSet;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

/// A decoded configuration.
#[derive(Clone, Debug)]
pub struct PublishedConfiguration {
    /// Version number; each publication has a higher one.
    pub version: Version,
    /// Rule set that the configuration holds.
    pub rules: Arc<RuleSet>,
}

/// Result of one read of a source.
#[derive(Clone, Debug)]
pub struct ConfigurationBatch {
    /// Encoded configurations, in the order of publication.
    pub bodies: Vec<Arc<[u8]>>,
    /// Position to continue reading from, in the era in which the source answered.
    pub next: Position,
}

/// Instances of the backend server on a host that have left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostDepartures {
    /// Host name, unique in the fleet.
    pub host: Arc<str>,
    /// The instances, the oldest departure first.
    pub instances: Vec<Instance>,
}

/// Place of a write among all writes of the same host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteOrder {
    /// Rises with each write, across restarts of the daemon.
    pub generation: u64,
    /// Random number of the daemon process. It tells processes apart that use the same generation, as the
    /// clock was set back between them.
    pub process: u32,
}

/// Departures recorded at a source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Departures by host; each host occurs at most once.
    pub hosts: Vec<HostDepartures>,
    /// Era in which the source answered.
    pub era: Era,
}

/// Why a call of a source failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum SourceError {
    /// the request to the source failed: {0:?}
    RequestFailed(LogError),
    /// the source no longer holds the requested position
    PositionExpired,
    /// the answer of the source can't be decoded
    Malformed,
    /// the source has executed a later write of this host
    Outdated,
}

impl std::error::Error for SourceError {}

impl From<LogError> for SourceError {
    fn from(error: LogError) -> Self {
        SourceError::RequestFailed(error)
    }
}

/// A source of rule sets. Each call completes within a few seconds, plus its `wait` if it has one,
/// with a result or an error.
pub trait ConfigurationSource: Debug + Send + Sync {
    /// Reads the newest configuration; the result is empty if none has been published.
    ///
    /// # Errors
    /// The source can't be read.
    fn newest(&self) -> BoxFuture<Result<ConfigurationBatch, SourceError>>;

    /// Reads the configurations published from position `from` on. If there is none, waits for one
    /// for at most `wait`. A source that was restored since may answer from the same offset of its
    /// new era.
    ///
    /// # Errors
    /// The source can't be read, or no longer holds `from`.
    fn changes(
        &self,
        from: Position,
        wait: Duration,
    ) -> BoxFuture<Result<ConfigurationBatch, SourceError>>;

    /// Sends later requests to another address, an IP address and a port.
    fn set_address(&self, address: Arc<str>);

    /// Decodes a published configuration.
    ///
    /// # Errors
    /// The configuration is invalid; the text gives the place and the reason.
    fn decode(&self, body: &[u8]) -> Result<PublishedConfiguration, String>;

    /// Reads the contacts of all registered daemons.
    ///
    /// # Errors
    /// The source can't be read.
    fn contacts(&self) -> BoxFuture<Result<Vec<Contact>, SourceError>>;

    /// Registers a daemon, so that other daemons find it in [`ConfigurationSource::contacts`].
    /// Returns the era in which the source confirmed it; a later one may have lost it.
    ///
    /// # Errors
    /// The source did not confirm the registration.
    fn register(&self, contact: Contact) -> BoxFuture<Result<Era, SourceError>>;

    /// Reads the departures recorded for all hosts.
    ///
    /// # Errors
    /// The source can't be read.
    fn departures(&self) -> BoxFuture<Result<Departures, SourceError>>;

    /// Records the departures of a host in place of those recorded for it before. Returns the era in
    /// which the source confirmed it; a later one may have lost it. A write that the source executes late
    /// must not replace one that comes after it in `order`.
    ///
    /// # Errors
    /// The source did not confirm the record, or has executed a later write.
    fn record_departures(
        &self,
        departures: HostDepartures,
        order: WriteOrder,
    ) -> BoxFuture<Result<Era, SourceError>>;
}

/// The newest accepted configuration of a source.
#[derive(Debug, Default)]
pub(crate) struct NewestConfiguration {
    accepted: Option<(Version, Arc<[u8]>)>,
}

impl NewestConfiguration {
    /// Version of the configuration; zero if none has been accepted.
    pub(crate) fn version(&self) -> Version {
        self.accepted.as_ref().map_or(0, |(version, _)| *version)
    }

    /// The encoded configuration.
    pub(crate) fn body(&self) -> Option<Arc<[u8]>> {
        self.accepted.as_ref().map(|(_, body)| body.clone())
    }

    /// Accepts a configuration if its version is higher than the present one; returns whether it
    /// was accepted.
    pub(crate) fn accept_newer(&mut self, version: Version, body: Arc<[u8]>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.accepted = Some((version, body));
        true
    }
}
