//! How many calls the backend server may run at a time.

use crate::effect::Finish;
use std::time::{Duration, Instant};

/// Share of the slots that a backend server that has just started gets, as a divisor.
const RAMP_START: u32 = 4;
/// Smallest share of the slots that refusals can reduce the limit to, as a divisor.
const FLOOR: u32 = 8;
/// Factor of the limit after a call was shed by the backend server or below it.
const DECREASE: f64 = 0.9;
/// Shortest time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// Service time over the smallest seen at which the gradient policy reduces the limit.
const GRADIENT_TOLERANCE: f64 = 2.0;
/// Weight of a new limit in the gradient policy.
const GRADIENT_SMOOTHING: f64 = 0.05;

/// How the limit follows what calls show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPolicy {
    /// The announced slots.
    Slots,
    /// Announced slots, reduced when the backend server sheds calls itself.
    Aimd,
    /// Announced slots, reduced when service times grow over the smallest seen.
    Gradient,
}

/// The concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    policy: LimitPolicy,
    /// Announced slots; at least one.
    slots: u32,
    /// Always between `slots / FLOOR` and `slots`.
    current: f64,
    started: Instant,
    /// Time from the start to the full limit; zero for a backend server that is warm.
    ramp: Duration,
    decreased: Option<Instant>,
    fastest: Duration,
}

impl Limit {
    /// A limit that reaches its full size `ramp` after `now`; a warm backend server has none.
    pub fn new(policy: LimitPolicy, slots: u32, now: Instant, ramp: Duration) -> Limit {
        let slots = slots.max(1);
        Limit {
            policy,
            slots,
            current: f64::from(slots),
            started: now,
            ramp,
            decreased: None,
            fastest: Duration::MAX,
        }
    }

    /// Takes over another number of announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.current *= f64::from(slots) / f64::from(self.slots);
        self.slots = slots;
    }

    /// Calls that may run at a time; at least one.
    pub fn get(&self, now: Instant) -> u32 {
        let limit = self.current * self.ramped(now);
        (limit.round() as u32).max(1)
    }

    /// Takes in how a call that ran for `took` ended.
    pub fn finish(&mut self, now: Instant, took: Duration, how: Finish) {
        match (self.policy, how) {
            (LimitPolicy::Aimd, Finish::Shed) => self.decrease(now),
            (LimitPolicy::Aimd, Finish::Answered) => self.increase(),
            (LimitPolicy::Gradient, Finish::Answered) => self.follow_gradient(took),
            _ => {}
        }
    }

    /// Share of the limit that the ramp has reached.
    fn ramped(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        if age >= self.ramp {
            return 1.0;
        }
        let start = 1.0 / f64::from(RAMP_START);
        start + (1.0 - start) * age.as_secs_f64() / self.ramp.as_secs_f64()
    }

    fn decrease(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < DECREASE_PAUSE;
        if self.decreased.is_some_and(recent) {
            return;
        }
        self.decreased = Some(now);
        self.set_current(self.current * DECREASE);
    }

    fn increase(&mut self) {
        self.set_current(self.current + 1.0 / self.current);
    }

    fn follow_gradient(&mut self, took: Duration) {
        self.fastest = self.fastest.min(took);
        let ratio = GRADIENT_TOLERANCE * self.fastest.as_secs_f64() / took.as_secs_f64().max(1e-9);
        let target = self.current * ratio.clamp(0.5, 1.0) + self.current.sqrt();
        self.set_current(self.current + GRADIENT_SMOOTHING * (target - self.current));
    }

    fn set_current(&mut self, limit: f64) {
        let slots = f64::from(self.slots);
        self.current = limit.clamp((slots / f64::from(FLOOR)).max(1.0), slots);
    }
}
