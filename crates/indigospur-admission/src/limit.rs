//! The concurrency limit of a backend server.

use crate::effect::Completion;
use std::time::{Duration, Instant};

/// A cold backend server starts with its slots divided by this.
const RAMP_START_DIVISOR: u32 = 4;
/// The limit never falls below the slots divided by this.
const MIN_LIMIT_DIVISOR: u32 = 8;
/// Factor applied to the limit when the backend server, or a service that it calls, sheds a call.
const DECREASE_FACTOR: f64 = 0.9;
/// Calls shed within this time of a decrease cause no further one.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Multiple of the smallest observed service time that the gradient policy tolerates.
const GRADIENT_TOLERANCE: f64 = 2.0;
/// Weight of a new target in the gradient policy.
const GRADIENT_SMOOTHING: f64 = 0.05;

/// How the concurrency limit adapts to the outcome of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPolicy {
    /// Fixed at the announced slots.
    Slots,
    /// Additive increase on success, multiplicative decrease when the backend server sheds calls;
    /// at most the announced slots.
    Aimd,
    /// Reduced when service times grow well beyond twice the smallest observed; at most the
    /// announced slots.
    Gradient,
}

/// The concurrency limit of one backend server, in calls.
#[derive(Clone, Debug)]
pub struct Limit {
    policy: LimitPolicy,
    /// Announced slots; at least one.
    slots: u32,
    /// The limit before the ramp is applied; between `slots / MIN_LIMIT_DIVISOR` and `slots`.
    current: f64,
    started: Instant,
    /// Time from the start to the full limit; zero for a warm backend server.
    ramp: Duration,
    last_decrease: Option<Instant>,
    min_service_time: Duration,
}

impl Limit {
    /// A limit that rises to `slots` (at least one) over `ramp` from `now`; a `ramp` of zero gives
    /// all slots at once.
    pub fn new(policy: LimitPolicy, slots: u32, now: Instant, ramp: Duration) -> Limit {
        let slots = slots.max(1);
        Limit {
            policy,
            slots,
            current: f64::from(slots),
            started: now,
            ramp,
            last_decrease: None,
            min_service_time: Duration::MAX,
        }
    }

    /// Changes the announced slots (at least one) and scales the limit in proportion.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.current *= f64::from(slots) / f64::from(self.slots);
        self.slots = slots;
    }

    /// Number of calls that may run at a time at `now`; at least one.
    pub fn get(&self, now: Instant) -> u32 {
        let limit = self.current * self.ramp_fraction(now);
        (limit.round() as u32).max(1)
    }

    /// Adapts the limit to the outcome of a call that ran for `service_time`.
    pub fn record(&mut self, now: Instant, service_time: Duration, outcome: Completion) {
        match (self.policy, outcome) {
            (LimitPolicy::Aimd, Completion::Shed) => self.decrease(now),
            (LimitPolicy::Aimd, Completion::Answered) => self.increase(),
            (LimitPolicy::Gradient, Completion::Answered) => self.follow_gradient(service_time),
            _ => {}
        }
    }

    /// Fraction of the limit that the ramp has reached, 0 to 1.
    fn ramp_fraction(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        if age >= self.ramp {
            return 1.0;
        }
        let start = 1.0 / f64::from(RAMP_START_DIVISOR);
        start + (1.0 - start) * age.as_secs_f64() / self.ramp.as_secs_f64()
    }

    fn decrease(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < MIN_DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.set_current(self.current * DECREASE_FACTOR);
    }

    fn increase(&mut self) {
        self.set_current(self.current + 1.0 / self.current);
    }

    fn follow_gradient(&mut self, service_time: Duration) {
        self.min_service_time = self.min_service_time.min(service_time);
        let ratio = GRADIENT_TOLERANCE * self.min_service_time.as_secs_f64()
            / service_time.as_secs_f64().max(1e-9);
        // The square root lets the limit grow again while service times are tolerable.
        let target = self.current * ratio.clamp(0.5, 1.0) + self.current.sqrt();
        self.set_current(self.current + GRADIENT_SMOOTHING * (target - self.current));
    }

    fn set_current(&mut self, limit: f64) {
        let slots = f64::from(self.slots);
        self.current = limit.clamp((slots / f64::from(MIN_LIMIT_DIVISOR)).max(1.0), slots);
    }
}
