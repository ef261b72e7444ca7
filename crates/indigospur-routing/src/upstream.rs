//! Load and health of one upstream, as observed by the daemon that sends calls to it.

use crate::rate_share::RateShare;
use crate::router::SPILLOVER_SCORE;
use indigospur_protocol::{Load, Member, State};
use std::time::{Duration, Instant};

/// Age at which a load report no longer has any weight.
pub(crate) const LOAD_LIFETIME: Duration = Duration::from_millis(1_000);
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one lasts twice as long as the one before.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Limit on how often the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Weight of the latest call in the moving average of an upstream's fault rate.
const FAULT_SMOOTHING: f64 = 0.05;
/// Half-life of the fault rate while no calls are sent, so that the upstream is retried.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Fault rate above that of the best upstream that is put down to chance and not penalised.
const FAULT_TOLERANCE: f64 = 0.05;
/// Exponent of the penalty on an upstream's success rate: a request makes a few calls in sequence
/// and needs all of them to succeed.
const FAULT_EXPONENT: i32 = 3;
/// Ratio to the fastest upstream's service time up to which there is no penalty: healthy upstreams
/// of one service differ by that much.
const SLOWNESS_TOLERANCE: f64 = 2.0;
/// Exponent of the penalty on a service time above that ratio.
const SLOWNESS_EXPONENT: f64 = 0.7;
/// Calls per slot added to the score before penalties multiply it, so that they also apply to an
/// idle upstream.
const PENALTY_OFFSET: f64 = 0.25;

/// Best values among the upstreams of a service, against which each of them is compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    /// Lowest fault rate.
    pub(crate) fault_rate: f64,
    /// Shortest service time in a current load report.
    pub(crate) service_time: Option<Duration>,
}

/// Result of an attempt, as it counts towards the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream replied with anything but a fault of its own.
    Replied,
    /// The upstream replied, but its backend server failed or rejected the call.
    Faulted,
    /// The upstream replied that the rate limit of its backend server allows no call now.
    RateLimited,
    /// The upstream was unreachable, stopped responding, violated the protocol or could not take the
    /// call.
    Failed,
    /// The attempt ended without evidence about the upstream: cancelled, past its deadline, or cut
    /// off when a working connection broke.
    Abandoned,
}

/// A host that serves a service, with its load and health.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest state of the host, as known from gossip and its replies.
    pub member: Member,
    /// Calls in flight from this daemon to the upstream.
    pub outstanding: u32,
    /// Latest load report, with the time it was received.
    pub(crate) load: Option<(Instant, Load)>,
    /// Calls that this daemon has started since then.
    pub(crate) started: u32,
    /// Moving average of the time of the link in seconds, with the time of its last update.
    pub(crate) link_time: Option<(Instant, f64)>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Moving average of the fault rate, from 0 to 1, with the time of its last update.
    fault_rate: (Option<Instant>, f64),
    /// This daemon's share of the backend server's rate limit; `None` while it names no limit or no
    /// call was sent since.
    share: Option<RateShare>,
}

impl Upstream {
    pub(crate) fn new(member: Member) -> Upstream {
        Upstream {
            member,
            outstanding: 0,
            load: None,
            started: 0,
            link_time: None,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            fault_rate: (None, 0.0),
            share: None,
        }
    }

    /// Applies a newer state of the host. A new incarnation resets the load and health records, but
    /// not the count of calls in flight.
    pub(crate) fn update(&mut self, member: &Member) {
        if member.incarnation != self.member.incarnation {
            *self = Upstream {
                outstanding: self.outstanding,
                ..Upstream::new(member.clone())
            };
        } else {
            self.member = member.clone();
            match (&mut self.share, member.rate_limit) {
                (Some(share), Some(limit)) => share.set_limit(limit),
                (share, _) => *share = None,
            }
        }
    }

    /// Counts a call that is sent to it, by one of `hosts` hosts that may send calls.
    pub(crate) fn start(&mut self, now: Instant, hosts: usize) {
        self.outstanding += 1;
        self.started += 1;
        if let Some(limit) = self.member.rate_limit {
            let share = self.share.get_or_insert(RateShare::new(now, limit, hosts));
            share.start(now);
        }
    }

    /// Whether this daemon has used its share of the backend server's rate limit.
    pub(crate) fn has_used_share(&self, now: Instant) -> bool {
        self.share.is_some_and(|share| share.is_used(now))
    }

    /// Whether it takes new calls, by its latest known state.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.state == State::Ready
    }

    /// Whether it may be used when no upstream is ready: its daemon is stopping, but the backend
    /// server keeps running.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.member.state == State::Draining && !self.member.leaving
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Expected calls per slot, at least the score of a full upstream if this daemon has used its
    /// share of a rate limit.
    pub(crate) fn score(&self, now: Instant) -> f64 {
        let by_load = self.score_by_load(now);
        if self.has_used_share(now) {
            by_load.max(SPILLOVER_SCORE)
        } else {
            by_load
        }
    }

    /// Expected calls per slot. The weight of a load report falls with its age, so that callers do
    /// not herd on an upstream because of a stale report.
    fn score_by_load(&self, now: Instant) -> f64 {
        let slots = f64::from(self.member.slots.max(1));
        let own = f64::from(self.outstanding);
        let Some((at, load)) = self.load else {
            return own / slots;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
        let fresh = (1.0 - age).max(0.0);
        let limit = f64::from(load.limit.max(1)) * fresh + slots * (1.0 - fresh);
        let reported = f64::from(load.in_flight + load.queued) * fresh;
        reported.max(own) / limit
    }

    /// The score, increased by penalties for faults and slowness relative to `baseline`.
    pub(crate) fn penalised_score(&self, now: Instant, baseline: Baseline) -> f64 {
        let fault_penalty = self.fault_penalty(now, baseline.fault_rate);
        let slowness = match (self.fresh_load(now), baseline.service_time) {
            (Some(load), Some(shortest)) if !shortest.is_zero() => {
                load.service_time.as_secs_f64() / shortest.as_secs_f64()
            }
            _ => 1.0,
        };
        let slowness_penalty = (slowness / SLOWNESS_TOLERANCE)
            .max(1.0)
            .powf(SLOWNESS_EXPONENT);
        (self.score(now) + PENALTY_OFFSET) * fault_penalty * slowness_penalty - PENALTY_OFFSET
    }

    /// Factor for a fault rate above the lowest among the upstreams.
    pub(crate) fn fault_penalty(&self, now: Instant, lowest: f64) -> f64 {
        let excess = (self.fault_rate(now) - lowest - FAULT_TOLERANCE).clamp(0.0, 0.95);
        (1.0 - excess).powi(-FAULT_EXPONENT)
    }

    /// Fault rate, decayed over the time since the last call.
    pub(crate) fn fault_rate(&self, now: Instant) -> f64 {
        let (Some(at), fault_rate) = self.fault_rate else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        fault_rate * 0.5_f64.powf(age / FAULT_HALF_LIFE.as_secs_f64())
    }

    fn update_fault_rate(&mut self, now: Instant, fault: bool) {
        let sample = if fault { 1.0 } else { 0.0 };
        let fault_rate = self.fault_rate(now);
        self.fault_rate = (
            Some(now),
            fault_rate + FAULT_SMOOTHING * (sample - fault_rate),
        );
    }

    /// Whether its load report, if still current, shows queued calls.
    pub(crate) fn has_queue(&self, now: Instant) -> bool {
        self.fresh_load(now).is_some_and(|load| load.queued > 0)
    }

    /// The latest load report, if younger than [`LOAD_LIFETIME`].
    pub(crate) fn fresh_load(&self, now: Instant) -> Option<Load> {
        let (at, load) = self.load?;
        (now.saturating_duration_since(at) < LOAD_LIFETIME).then_some(load)
    }

    /// Age of the latest load report; `None` without one.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        let (at, _) = self.load?;
        Some(now.saturating_duration_since(at))
    }

    /// Whether the latest load report, however old, says that the backend server tells its pace.
    pub(crate) fn is_paced(&self) -> bool {
        self.load.is_some_and(|(_, load)| load.paced)
    }

    /// Mean service time in the latest load report, however old.
    pub(crate) fn service_time(&self) -> Option<Duration> {
        self.load.map(|(_, load)| load.service_time)
    }

    pub(crate) fn record_load(&mut self, now: Instant, load: Load) {
        self.load = Some((now, load));
        self.started = 0;
    }

    pub(crate) fn finish(&mut self, now: Instant, result: AttemptResult) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(share) = &mut self.share {
            match result {
                AttemptResult::Replied | AttemptResult::Faulted => share.record(true),
                AttemptResult::RateLimited => share.record(false),
                AttemptResult::Failed | AttemptResult::Abandoned => {}
            }
        }
        match result {
            AttemptResult::Replied | AttemptResult::Faulted | AttemptResult::RateLimited => {
                self.update_fault_rate(now, result == AttemptResult::Faulted);
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.ejected_until = None;
            }
            AttemptResult::Failed => self.record_failure(now),
            AttemptResult::Abandoned => {}
        }
    }

    /// Counts a failure. Failures during an ejection are ignored: they belong to calls that were
    /// already in flight when it began.
    fn record_failure(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT {
            return;
        }
        // After the ejection, the next failure ejects the upstream again.
        self.consecutive_failures = FAILURES_TO_EJECT - 1;
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.ejected_until = Some(now + BASE_EJECTION * 2_u32.pow(doublings));
    }
}
