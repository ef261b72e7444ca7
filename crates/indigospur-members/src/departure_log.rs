//! The departures on a host as a source that outlives the daemons has recorded them, and the calls of the
//! source that keep the record up to date.

use crate::instances::{Instance, InstanceTracker};
use indigospur_protocol::Era;

/// Maximum number of departures in the record of a host.
const MAX_RECORDED: usize = 8;
/// First increase of the generation after the source has refused a write as outdated, in milliseconds;
/// each further one doubles it.
const MIN_INCREASE_MS: u64 = 60_000;

/// What the source last confirmed to hold for the host.
#[derive(Clone, Debug)]
struct Confirmed {
    era: Era,
    instances: Vec<Instance>,
}

/// Next call of the source that a log needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogCall {
    /// The record has not been read yet.
    Read,
    /// The source does not hold all departures.
    Write,
    /// The record is up to date.
    Nothing,
}

/// What a daemon knows of the record of its host. Answers of the source may arrive late and in any order.
#[derive(Clone, Debug, Default)]
pub struct DepartureLog {
    /// Latest era of the source.
    latest: Era,
    /// `None` until the source has been read.
    confirmed: Option<Confirmed>,
    /// Number of changes of the source's address; answers from an earlier address count for nothing.
    address_changes: u64,
    /// Generation of the last write, in milliseconds since the Unix epoch. It is above those of earlier
    /// processes unless the clock was set back.
    generation: u64,
    /// Number of writes in a row that the source has refused as outdated.
    outdated_writes: u32,
}

impl DepartureLog {
    /// Instances that the record of a host should hold, the oldest departure first.
    pub fn recordable(instances: &InstanceTracker) -> Vec<Instance> {
        let newest = instances.departed().rev().take(MAX_RECORDED);
        let mut newest: Vec<Instance> = newest.cloned().collect();
        newest.reverse();
        newest
    }

    /// The call that is needed next, for a record that should hold `recordable`.
    pub fn next_call(&self, recordable: &[Instance]) -> LogCall {
        if !self.is_read() {
            LogCall::Read
        } else if self.holds(recordable) {
            LogCall::Nothing
        } else {
            LogCall::Write
        }
    }

    /// Whether the departures that were recorded before have been read.
    pub fn is_read(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Whether the source holds the departures of `instances`.
    pub fn holds(&self, instances: &[Instance]) -> bool {
        let Some(confirmed) = &self.confirmed else {
            return false;
        };
        let mut instances = instances.iter();
        instances.all(|instance| !self.is_lost() && confirmed.instances.contains(instance))
    }

    /// Whether the source may have lost the record: it is in a later era than at the confirmation.
    pub fn is_lost(&self) -> bool {
        let confirmed = self.confirmed.as_ref();
        confirmed.is_some_and(|confirmed| confirmed.era < self.latest)
    }

    /// Number of changes of the source's address, to be noted at the start of a call.
    pub fn address_changes(&self) -> u64 {
        self.address_changes
    }

    /// Takes note of the era of an answer of the source at its present address. Returns whether it is a
    /// later one than before.
    pub fn observe_era(&mut self, era: Era) -> bool {
        let is_later = era > self.latest;
        self.latest = self.latest.max(era);
        is_later
    }

    /// Takes note of the answer to a read that was started after `address_changes` changes of the address.
    /// Returns whether the address is the same.
    pub fn record_read(
        &mut self,
        address_changes: u64,
        era: Era,
        instances: Vec<Instance>,
    ) -> bool {
        let is_current = self.address_changes == address_changes;
        // A late answer does not replace what was confirmed meanwhile.
        if is_current && !self.is_read() {
            self.confirm(era, instances);
        }
        is_current
    }

    /// Returns the generation of a write that starts at `clock_ms`, in milliseconds since the Unix epoch. It
    /// is above that of all earlier writes of this process.
    pub fn begin_write(&mut self, clock_ms: u64) -> u64 {
        self.generation = clock_ms.max(self.generation + 1);
        self.generation
    }

    /// Takes note that the source has refused a write, since it knows one of a later generation.
    pub fn record_outdated_write(&mut self) {
        let increase = MIN_INCREASE_MS << self.outdated_writes.min(u32::BITS);
        self.generation = self.generation.saturating_add(increase);
        self.outdated_writes += 1;
    }

    /// Takes note of the answer to a write of `instances` that was started after `address_changes` changes
    /// of the address.
    pub fn record_write(&mut self, address_changes: u64, era: Era, instances: Vec<Instance>) {
        if self.address_changes == address_changes {
            self.confirm(era, instances);
            self.outdated_writes = 0;
        }
    }

    /// Forgets what is recorded, as the address of the source has changed.
    pub fn change_address(&mut self) {
        *self = DepartureLog {
            address_changes: self.address_changes + 1,
            generation: self.generation,
            ..DepartureLog::default()
        };
    }

    fn confirm(&mut self, era: Era, instances: Vec<Instance>) {
        self.confirmed = Some(Confirmed { era, instances });
        self.latest = self.latest.max(era);
    }
}
