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

/// How an attempt at an upstream ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It replied, whatever the reply was.
    Replied,
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
            Attempt::Replied => {
                self.failures = 0;
                self.ejections = 0;
                self.ejected = None;
            }
            Attempt::Failed => self.fail(now),
            Attempt::Abandoned => {}
        }
    }

    fn fail(&mut self, now: Instant) {
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
