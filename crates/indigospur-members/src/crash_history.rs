//! Crashes of backend servers that ran one request, and what follows from them.

use indigospur_protocol::{Crash, HostId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Crashes after which a request is refused.
const CRASHES_UNTIL_REFUSED: usize = 3;
/// The same for a request that was answered lately.
const CRASHES_UNTIL_ANSWERED_REFUSED: usize = 6;
/// Time between two crashes from which on they have different occasions: a loss of power takes many
/// backend servers at once.
const OCCASION_INTERVAL: Duration = Duration::from_secs(1);
/// Occasions before which a request that was answered lately is not refused.
const OCCASIONS_UNTIL_ANSWERED_REFUSED: u32 = 3;
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Time after which a crash no longer counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a crash that was cleared is kept, while gossip of it may still arrive.
const CLEARED_LIFETIME: Duration = Duration::from_secs(30);
/// Time from a crash to the first trial run.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Factor on that time for each further occasion.
const TRIAL_DELAY_FACTOR: u32 = 4;

type CrashId = (HostId, u64);

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    at: Instant,
    /// The request is the only possible cause.
    sole_suspect: bool,
    /// The request was answered since.
    cleared: bool,
}

impl CrashRecord {
    fn is_current(&self, now: Instant) -> bool {
        let lifetime = if self.cleared {
            CLEARED_LIFETIME
        } else {
            CRASH_LIFETIME
        };
        now.saturating_duration_since(self.at) < lifetime
    }

    fn to_crash(self, now: Instant, fingerprint: u64, id: &CrashId) -> Crash {
        Crash {
            sole_suspect: self.sole_suspect,
            cleared: self.cleared,
            age: now.saturating_duration_since(self.at),
            ..Crash::new(fingerprint, &id.0, id.1, false)
        }
    }
}

/// Crashes of backend servers that ran one request.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    /// At most [`MAX_CRASHES_PER_REQUEST`].
    records: BTreeMap<CrashId, CrashRecord>,
    /// When the last trial run on this host began.
    trial_at: Option<Instant>,
}

impl CrashHistory {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The crashes that are attributed to the request.
    fn attributed(&self, now: Instant) -> impl Iterator<Item = (&CrashId, &CrashRecord)> {
        let is_attributed = move |record: &CrashRecord| !record.cleared && record.is_current(now);
        self.records
            .iter()
            .filter(move |(_, record)| is_attributed(record))
    }

    /// Number of times that crashes happened at, those shortly after another counted with it.
    fn occasions(&self, now: Instant) -> u32 {
        let mut times: Vec<Instant> = self.attributed(now).map(|(_, record)| record.at).collect();
        times.sort_unstable();
        let mut last = None;
        let mut count = 0;
        for at in times {
            if last.is_none_or(|last| at.saturating_duration_since(last) >= OCCASION_INTERVAL) {
                count += 1;
            }
            last = Some(at);
        }
        count
    }

    /// Whether the request is a suspect; `answered` tells whether it was answered lately.
    pub(crate) fn is_suspect(&self, now: Instant, answered: bool) -> bool {
        let least = if answered { CRASHES_UNTIL_REFUSED } else { 1 };
        self.attributed(now).count() >= least
    }

    /// Whether the request is refused; `answered` tells whether it was answered lately.
    pub(crate) fn is_poisonous(&self, now: Instant, answered: bool) -> bool {
        let count = self.attributed(now).count();
        let has_sole = || self.attributed(now).any(|(_, record)| record.sole_suspect);
        if answered {
            count >= CRASHES_UNTIL_ANSWERED_REFUSED
                && self.occasions(now) >= OCCASIONS_UNTIL_ANSWERED_REFUSED
                && has_sole()
        } else {
            count >= CRASHES_UNTIL_REFUSED && has_sole()
        }
    }

    /// Whether the request, which is refused, may run on `host` on trial. All daemons choose the same
    /// host.
    pub(crate) fn allows_trial(&self, now: Instant, host: &HostId) -> bool {
        let first = self.attributed(now).next();
        if first.is_none_or(|((first, _), _)| first != host) {
            return false;
        }
        let last_crash = self.attributed(now).map(|(_, record)| record.at).max();
        let further = self
            .occasions(now)
            .saturating_sub(CRASHES_UNTIL_REFUSED as u32);
        let delay = FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR.saturating_pow(further);
        let last = last_crash.max(self.trial_at);
        last.is_none_or(|last| now.saturating_duration_since(last) >= delay)
    }

    pub(crate) fn begin_trial(&mut self, now: Instant) {
        self.trial_at = Some(now);
    }

    /// Clears all crashes; returns those that were not cleared before.
    pub(crate) fn clear(&mut self, now: Instant, fingerprint: u64) -> Vec<Crash> {
        self.records.retain(|_, record| record.is_current(now));
        self.trial_at = None;
        let mut cleared = Vec::new();
        for (id, record) in &mut self.records {
            if !record.cleared {
                record.cleared = true;
                cleared.push(record.to_crash(now, fingerprint, id));
            }
        }
        cleared
    }

    /// Merges a crash; returns false if nothing in it is new.
    pub(crate) fn insert(&mut self, now: Instant, crash: &Crash) -> bool {
        let id = (crash.host.clone(), crash.number);
        if let Some(record) = self.records.get_mut(&id) {
            let is_new =
                crash.cleared && !record.cleared || crash.sole_suspect && !record.sole_suspect;
            record.cleared |= crash.cleared;
            record.sole_suspect |= crash.sole_suspect;
            return is_new;
        }
        let record = CrashRecord {
            at: now.checked_sub(crash.age).unwrap_or(now),
            sole_suspect: crash.sole_suspect,
            cleared: crash.cleared,
        };
        if !record.is_current(now) {
            return false;
        }
        self.records.retain(|_, record| record.is_current(now));
        if self.records.len() >= MAX_CRASHES_PER_REQUEST {
            let cleared = self.records.iter().find(|(_, record)| record.cleared);
            let cleared = cleared.map(|(id, _)| id.clone());
            let Some(cleared) = cleared.filter(|_| !record.cleared) else {
                return false;
            };
            self.records.remove(&cleared);
        }
        self.records.insert(id, record);
        true
    }

    /// The known crashes, also those that are cleared.
    pub(crate) fn crashes(&self, now: Instant, fingerprint: u64) -> Vec<Crash> {
        let current = self
            .records
            .iter()
            .filter(|(_, record)| record.is_current(now));
        let crashes = current.map(|(id, record)| record.to_crash(now, fingerprint, id));
        crashes.collect()
    }

    /// The crash of `host` with `number`; `None` if it is not known or no longer counts.
    pub(crate) fn crash(
        &self,
        now: Instant,
        fingerprint: u64,
        host: &HostId,
        number: u64,
    ) -> Option<Crash> {
        let id = (host.clone(), number);
        let record = self.records.get(&id)?;
        let crash = record.to_crash(now, fingerprint, &id);
        record.is_current(now).then_some(crash)
    }
}
