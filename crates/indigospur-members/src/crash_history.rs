//! Crashes of backend servers that ran one request, and what follows from them.

use indigospur_protocol::{Crash, CrashTiming, HostId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Crashes after which a request is refused.
const CRASHES_UNTIL_REFUSED: usize = 3;
/// Crashes after which a request runs on trial only, if the backend server may have gone down by itself.
const CRASHES_UNTIL_HELD: usize = 2;
/// Time between two crashes from which on they have different occasions: a loss of power takes many
/// backend servers at once.
const OCCASION_INTERVAL: Duration = Duration::from_secs(1);
/// Occasions before which a request that was answered lately is not refused.
const OCCASIONS_UNTIL_ANSWERED_REFUSED: u32 = 3;
/// The same until it runs on trial only.
const OCCASIONS_UNTIL_HELD: u32 = 2;
/// Crashes kept; the newest ones that are not cleared.
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Time after which a crash no longer counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a crash that was cleared is kept, while gossip of it may still arrive.
const CLEARED_LIFETIME: Duration = Duration::from_secs(30);
/// Time from the last crash of a refused request to its next trial run, and the factor on it for each
/// further occasion.
const TRIAL_DELAY: Duration = Duration::from_secs(10);
const TRIAL_DELAY_FACTOR: u32 = 4;
/// Time for which a trial that is due waits for its host.
const AWAY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds of the time for which a backend server must be up before a trial run.
const MIN_TRIAL_UPTIME: Duration = Duration::from_millis(500);
const MAX_TRIAL_UPTIME: Duration = Duration::from_millis(1_200);
/// A backend server that goes down without the request within so many times the time for which the
/// request was running in an earlier crash may have gone down by itself then, too.
const COMPARABLE_TIME_FACTOR: u32 = 2;
/// Two uptimes count as equal within this part of the longer one, and within this time.
const EQUAL_UPTIME_DIVISOR: u32 = 8;
const MAX_UPTIME_TOLERANCE: Duration = Duration::from_millis(250);
/// Time within which backend servers of several hosts count as having gone down at once.
const SIMULTANEITY: Duration = Duration::from_millis(100);
/// Least difference of two exposures that are told apart.
const MIN_EXPOSURE_DIFFERENCE: Duration = Duration::from_millis(200);

pub(crate) type CrashId = (HostId, u64);

/// Whether the backend server may have gone down by itself: the request had been running for most of the
/// time for which it was up, so that it would have gone down beside it, too.
fn is_ambiguous(timing: &CrashTiming) -> bool {
    timing.exposure * 2 >= timing.uptime
}

fn have_equal_uptime(one: &CrashTiming, other: &CrashTiming) -> bool {
    let longer = one.uptime.max(other.uptime);
    let tolerance = MAX_UPTIME_TOLERANCE.min(longer / EQUAL_UPTIME_DIVISOR);
    one.uptime.abs_diff(other.uptime) <= tolerance
}

/// Whether the request had been running for much longer in one of two crashes, while a request that
/// crashes backend servers takes about the same time to do so.
fn have_different_exposure(one: &CrashTiming, other: &CrashTiming) -> bool {
    let shorter = one.exposure.min(other.exposure);
    one.exposure.abs_diff(other.exposure) >= shorter.max(MIN_EXPOSURE_DIFFERENCE)
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    at: Instant,
    /// The request is the only possible cause.
    sole_suspect: bool,
    /// The request was answered since, or the backend server went down by itself.
    cleared: bool,
    timing: Option<CrashTiming>,
    on_trial: bool,
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
            timing: self.timing,
            on_trial: self.on_trial,
            age: now.saturating_duration_since(self.at),
            ..Crash::new(fingerprint, &id.0, id.1, false)
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It may run.
    Free,
    /// It may run on trial at once, as its backend servers may have gone down by themselves.
    Held,
    /// It crashes backend servers, and may run on trial some time after the last crash.
    Refused,
}

/// Crashes of backend servers that ran one request.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    /// At most [`MAX_CRASHES_PER_REQUEST`].
    records: BTreeMap<CrashId, CrashRecord>,
    /// Whether a trial run is under way on this host.
    in_trial: bool,
}

impl CrashHistory {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a crash is attributed to the request, however old.
    pub(crate) fn has_attributed(&self) -> bool {
        self.records.values().any(|record| !record.cleared)
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
        let least = if answered { CRASHES_UNTIL_HELD } else { 1 };
        self.attributed(now).count() >= least
    }

    /// What holds for the request; `answered` tells whether it was answered lately.
    pub(crate) fn standing(&self, now: Instant, answered: bool) -> Standing {
        let count = self.attributed(now).count();
        let timings = self.attributed(now).map(|(_, record)| record.timing);
        let ambiguous = timings.flatten().filter(is_ambiguous).count();
        let has_sole = self.attributed(now).any(|(_, record)| record.sole_suspect);
        if count < CRASHES_UNTIL_HELD || !has_sole {
            return Standing::Free;
        }
        let occasions = self.occasions(now);
        let is_new = !answered && count >= CRASHES_UNTIL_REFUSED;
        let is_repeated = occasions >= OCCASIONS_UNTIL_ANSWERED_REFUSED;
        if ambiguous < count && (is_new || is_repeated) {
            Standing::Refused
        } else if ambiguous > 0 && (is_new || occasions >= OCCASIONS_UNTIL_HELD) {
            Standing::Held
        } else {
            Standing::Free
        }
    }

    /// The host that may run the request on trial, of `hosts`, which take calls now. All daemons choose
    /// the same one, if they know the same.
    ///
    /// A held request prefers a host whose backend server did not go down. A refused one stays at the first
    /// host that it crashed, so that others that have not heard of its last crash don't try it, too; unless
    /// that host has been away for long.
    pub(crate) fn trial_host<'a>(
        &self,
        now: Instant,
        standing: Standing,
        hosts: &'a [HostId],
    ) -> Option<&'a HostId> {
        if standing == Standing::Refused {
            let ((first, _), _) = self.attributed(now).next()?;
            let first = hosts.iter().find(|host| *host == first);
            let is_away = self.is_trial_due(now, AWAY_TIMEOUT);
            return first.or_else(|| hosts.iter().filter(|_| is_away).min());
        }
        let crashes = |host: &HostId| {
            let crashed = self.attributed(now).map(|((crashed, _), _)| crashed);
            crashed.filter(|crashed| *crashed == host).count()
        };
        hosts.iter().min_by_key(|host| (crashes(host), *host))
    }

    /// Whether the request, which is held or refused, may run on trial on `host`, which is this one and
    /// whose backend server has been up for `uptime`.
    ///
    /// A backend server that goes down by itself is given the time to do so without the request: it must
    /// have been up for longer than before its crashes.
    pub(crate) fn allows_trial(
        &self,
        now: Instant,
        standing: Standing,
        host: &HostId,
        uptime: Duration,
    ) -> bool {
        let own = self.attributed(now).filter(|((of, _), _)| of == host);
        let timings = own.filter_map(|(_, record)| record.timing);
        let longest = timings.map(|timing| timing.uptime * 3 / 2).max();
        let required = longest.unwrap_or(MAX_TRIAL_UPTIME);
        let required = required.clamp(MIN_TRIAL_UPTIME, MAX_TRIAL_UPTIME);
        let was_tried = self.attributed(now).any(|(_, record)| record.on_trial);
        let is_first = standing == Standing::Held && !was_tried;
        let is_due = is_first || self.is_trial_due(now, Duration::ZERO);
        !self.in_trial && uptime >= required && is_due
    }

    /// Whether the last crash is long enough ago for the next trial, and by `more` than that.
    fn is_trial_due(&self, now: Instant, more: Duration) -> bool {
        let last = self.attributed(now).map(|(_, record)| record.at).max();
        let refused_after = OCCASIONS_UNTIL_ANSWERED_REFUSED;
        let further = self.occasions(now).saturating_sub(refused_after);
        let delay = TRIAL_DELAY * TRIAL_DELAY_FACTOR.saturating_pow(further);
        last.is_none_or(|last| now.saturating_duration_since(last) >= delay + more)
    }

    pub(crate) fn begin_trial(&mut self) {
        self.in_trial = true;
    }

    /// Ends a trial run; returns whether there was one.
    pub(crate) fn end_trial(&mut self) -> bool {
        std::mem::take(&mut self.in_trial)
    }

    /// Clears all crashes; returns those that were not cleared before.
    pub(crate) fn clear(&mut self, now: Instant, fingerprint: u64) -> Vec<Crash> {
        self.records.retain(|_, record| record.is_current(now));
        self.in_trial = false;
        self.clear_where(now, fingerprint, |_, _| true)
    }

    /// Clears the crashes before an answer.
    pub(crate) fn clear_before(
        &mut self,
        now: Instant,
        fingerprint: u64,
        answered_at: Instant,
    ) -> Vec<Crash> {
        self.clear_where(now, fingerprint, |_, record| record.at < answered_at)
    }

    /// Clears the crashes of `host` that its backend server may have had by itself, as it went down
    /// after `uptime` without the request.
    pub(crate) fn clear_comparable(
        &mut self,
        now: Instant,
        fingerprint: u64,
        host: &HostId,
        uptime: Duration,
    ) -> Vec<Crash> {
        let is_comparable =
            |timing: &CrashTiming| uptime <= timing.exposure.saturating_mul(COMPARABLE_TIME_FACTOR);
        self.clear_where(now, fingerprint, |(of, _), record| {
            of == host && record.timing.as_ref().is_some_and(is_comparable)
        })
    }

    /// Clears crashes that can't be the request's, as told by a crash with `id` and others: a backend server
    /// that goes down at one age, however long the request has been running, or several that go down at
    /// one time, although it began at different ones.
    pub(crate) fn clear_independent(
        &mut self,
        now: Instant,
        fingerprint: u64,
        id: &CrashId,
    ) -> Vec<Crash> {
        let newest = self.records.get(id);
        let Some((newest, timing)) = newest.and_then(|newest| Some((*newest, newest.timing?)))
        else {
            return Vec::new();
        };
        let is_alike = |(host, _): &CrashId, record: &CrashRecord| {
            let Some(other) = record.timing else {
                return false;
            };
            let apart = record.at.max(newest.at) - record.at.min(newest.at);
            let at_once = *host != id.0 && apart <= SIMULTANEITY;
            at_once || have_equal_uptime(&timing, &other)
        };
        let differs = |record: &CrashRecord| {
            let other = record.timing.as_ref();
            other.is_some_and(|other| have_different_exposure(&timing, other))
        };
        let mut records = self.records.iter();
        if !records.any(|(other, record)| is_alike(other, record) && differs(record)) {
            return Vec::new();
        }
        self.clear_where(now, fingerprint, |other, record| {
            other == id || is_alike(other, record)
        })
    }

    fn clear_where(
        &mut self,
        now: Instant,
        fingerprint: u64,
        is_cleared: impl Fn(&CrashId, &CrashRecord) -> bool,
    ) -> Vec<Crash> {
        let mut cleared = Vec::new();
        for (id, record) in &mut self.records {
            if !record.cleared && is_cleared(id, record) {
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
            timing: crash.timing,
            on_trial: crash.on_trial,
        };
        if !record.is_current(now) {
            return false;
        }
        self.records.retain(|_, record| record.is_current(now));
        if self.records.len() >= MAX_CRASHES_PER_REQUEST {
            // The number breaks ties, so that all daemons keep the same ones.
            let rank =
                |id: &CrashId, record: &CrashRecord| (!record.cleared, record.at, id.clone());
            let ranked = self.records.iter().map(|(id, record)| rank(id, record));
            let lowest = ranked.min().filter(|lowest| *lowest < rank(&id, &record));
            let Some((_, _, least)) = lowest else {
                return false;
            };
            self.records.remove(&least);
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
