//! One upstream as the caller's side sees it.

use indigospur_protocol::{Load, Member, State};
use std::time::{Duration, Instant};

/// Age at which a reported load counts for nothing.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_000);
/// Failures in a row after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Doublings of the length of an ejection.
const MOST_DOUBLINGS: u32 = 6;

/// Weight of one call in an upstream's share of faults.
const FAULT_WEIGHT: f64 = 0.05;
/// Time in which a share of faults halves without calls, so that the upstream is tried again.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of faults beyond the best upstream's that chance explains.
const USUAL_FAULTS: f64 = 0.05;
/// Power by which the share of good calls counts against an upstream: a request makes a few calls
/// in a row, and all of them have to succeed.
const FAULT_POWER: i32 = 3;
/// Service time over that of the fastest upstream from which on it counts: upstreams of one service
/// differ by as much without being in trouble.
const USUAL_SLOWNESS: f64 = 2.0;
/// Power by which service time beyond that counts against an upstream.
const SLOWNESS_POWER: f64 = 0.7;
/// Calls per slot that are added before an upstream's troubles are weighed, so that one in trouble
/// is passed over also when it is idle.
const TROUBLE_FLOOR: f64 = 0.25;

/// The best of the upstreams of a service, against which the others are weighed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Best {
    /// Least share of faults.
    pub(crate) faults: f64,
    /// Least service time by a fresh report.
    pub(crate) service_time: Option<Duration>,
}

/// How an attempt at an upstream ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It replied, whatever the reply was.
    Replied,
    /// It replied that it has failed or turned the call away, though it had room.
    Faulted,
    /// It could not be reached, went silent or lost the call.
    Failed,
    /// Nothing is known: the caller went away first.
    Abandoned,
}

/// One upstream of a service.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it announced.
    pub member: Member,
    /// Calls under way from here.
    pub open: u32,
    /// Load it reported last, and when.
    load: Option<(Instant, Load)>,
    failures: u32,
    ejections: u32,
    ejected: Option<Instant>,
    /// Share of faults among its last calls, and when it was last updated.
    faults: (Option<Instant>, f64),
}

impl Upstream {
    pub(crate) fn new(member: Member) -> Upstream {
        Upstream {
            member,
            open: 0,
            load: None,
            failures: 0,
            ejections: 0,
            ejected: None,
            faults: (None, 0.0),
        }
    }

    /// Takes over a newer account; a new start begins with a clean record.
    pub(crate) fn update(&mut self, member: &Member) {
        if member.incarnation != self.member.incarnation {
            *self = Upstream {
                open: self.open,
                ..Upstream::new(member.clone())
            };
        } else {
            self.member = member.clone();
        }
    }

    /// Whether it takes new work as far as is known.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.state == State::Ready
    }

    /// Whether it may still take work when no other does: its daemon stops, but the backend server
    /// stays.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.member.state == State::Draining && !self.member.leaving
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected.is_some_and(|until| until > now)
    }

    /// Expected calls per slot; reports fade with age, so that callers do not herd on an old one.
    pub(crate) fn score(&self, now: Instant) -> f64 {
        let announced = f64::from(self.member.slots.max(1));
        let own = f64::from(self.open);
        let Some((at, load)) = self.load else {
            return own / announced;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
        let fresh = (1.0 - age).max(0.0);
        let limit = f64::from(load.limit.max(1)) * fresh + announced * (1.0 - fresh);
        let reported = f64::from(load.in_flight + load.queued) * fresh;
        reported.max(own) / limit
    }

    /// The score with the upstream's troubles against the best one of its service.
    pub(crate) fn weighed_score(&self, now: Instant, best: Best) -> f64 {
        let excess = (self.faults(now) - best.faults - USUAL_FAULTS).clamp(0.0, 0.95);
        let by_faults = (1.0 - excess).powi(-FAULT_POWER);
        let slowness = match (self.fresh_load(now), best.service_time) {
            (Some(load), Some(best)) if !best.is_zero() => {
                load.service_time.as_secs_f64() / best.as_secs_f64()
            }
            _ => 1.0,
        };
        let by_time = (slowness / USUAL_SLOWNESS).max(1.0).powf(SLOWNESS_POWER);
        (self.score(now) + TROUBLE_FLOOR) * by_faults * by_time - TROUBLE_FLOOR
    }

    /// Share of faults among its last calls, fading without calls.
    pub(crate) fn faults(&self, now: Instant) -> f64 {
        let (Some(at), faults) = self.faults else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        faults * 0.5_f64.powf(age / FAULT_HALF_LIFE.as_secs_f64())
    }

    fn count_fault(&mut self, now: Instant, fault: bool) {
        let sample = if fault { 1.0 } else { 0.0 };
        let faults = self.faults(now);
        self.faults = (Some(now), faults + FAULT_WEIGHT * (sample - faults));
    }

    /// Whether calls wait there by its last fresh report.
    pub(crate) fn has_queue(&self, now: Instant) -> bool {
        self.fresh_load(now).is_some_and(|load| load.queued > 0)
    }

    /// Its last report, unless that is too old.
    pub(crate) fn fresh_load(&self, now: Instant) -> Option<Load> {
        let (at, load) = self.load?;
        (now.saturating_duration_since(at) < LOAD_LIFETIME).then_some(load)
    }

    /// Mean time a call takes there, by its last report.
    pub(crate) fn service_time(&self) -> Option<Duration> {
        self.load.map(|(_, load)| load.service_time)
    }

    pub(crate) fn report(&mut self, now: Instant, load: Load) {
        self.load = Some((now, load));
    }

    pub(crate) fn finish(&mut self, now: Instant, attempt: Attempt) {
        self.open = self.open.saturating_sub(1);
        match attempt {
            Attempt::Replied | Attempt::Faulted => {
                self.count_fault(now, attempt == Attempt::Faulted);
                self.failures = 0;
                self.ejections = 0;
                self.ejected = None;
            }
            Attempt::Failed => self.fail(now),
            Attempt::Abandoned => {}
        }
    }

    /// Counts a failure. Calls that were under way when the upstream was ejected tell nothing new.
    fn fail(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        self.failures = FAILURES_TO_EJECT - 1;
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejections += 1;
        self.ejected = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
    }
}
