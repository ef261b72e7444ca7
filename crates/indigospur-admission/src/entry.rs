//! Admission where a caller's request arrives, by the room at the services further down.
//!
//! A request that is let in makes a chain of calls, and one of them lost loses the request with all
//! the work above it. So what a deep service lacks is refused before anything is run: the least
//! important class first, and of a class an even share.

use crate::pressure::Pressures;
use indigospur_protocol::{Class, ServiceName, Work};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Weight of a new sample of a rule's slot time, as a divisor.
const SMOOTHING: u32 = 16;
/// Rules whose slot times are remembered.
const MOST_RULES: usize = 1_024;
/// Calls over slots at which a service is kept: full, with a short queue.
const TARGET: f64 = 1.05;
/// Share of the error by which requests are refused at once.
const PROPORTIONAL: f64 = 0.5;
/// Share of the error by which refusals grow a second.
const GROWTH: f64 = 0.8;
/// Share of the error by which they shrink: slots that stay free are lost at once, a queue is not.
const DECAY: f64 = 2.5;
/// Largest error that counts, so that one flood does not wind the control up.
const LARGEST_ERROR: f64 = 0.6;
/// Error of a service of which nothing was told lately: refusals fade out.
const SILENT_ERROR: f64 = -0.4;
/// Longest step of the control, as after a pause without requests.
const LONGEST_STEP: Duration = Duration::from_millis(500);
/// Largest share of a class that is refused: the rest shows when there is room again.
const MOST_SHED: f64 = 0.95;
/// Slot time under which a rule does not need a service.
const LEAST_COST: Duration = Duration::from_millis(1);
/// Bounds of the time to come back, in shares of the objective: a caller that comes back within it
/// can still be served in time.
const RETRY_AFTER: (f64, f64) = (0.2, 0.6);

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Asking<'a> {
    /// Name of the rule that decided on it.
    pub rule: &'a Arc<str>,
    /// Class; zero is shed last.
    pub class: Class,
    /// Time within which an answer is worth most.
    pub objective: Duration,
}

/// A request that is not let in.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed {
    /// The service that has no room for it.
    pub service: ServiceName,
    /// Share of its class that is refused, of 1.
    pub share: f64,
    /// Calls at the service over its slots.
    pub level: f64,
    /// Age of that level.
    pub age: Duration,
    /// When to come back.
    pub retry_after: Duration,
}

/// The refusals for one service.
#[derive(Debug)]
struct Control {
    at: Instant,
    /// Refusals that have built up, in classes: at 1.5 the least important one is refused and half
    /// of the next.
    integral: f64,
    /// Classes whose requests need the service.
    classes: BTreeSet<Class>,
}

impl Control {
    /// Classes to refuse at a level of the service, least important first.
    fn step(&mut self, now: Instant, level: Option<f64>) -> f64 {
        let step = now.saturating_duration_since(self.at).min(LONGEST_STEP);
        self.at = now;
        let error = level.map_or(SILENT_ERROR, |level| {
            (level - TARGET).clamp(-LARGEST_ERROR, LARGEST_ERROR)
        });
        let most = self.classes.len() as f64;
        let rate = if error > 0.0 { GROWTH } else { DECAY };
        let integral = self.integral + rate * error * step.as_secs_f64();
        self.integral = integral.clamp(0.0, most);
        (self.integral + PROPORTIONAL * error).clamp(0.0, most)
    }

    /// Share of a class that is refused when `shed` classes are.
    fn share(&self, class: Class, shed: f64) -> f64 {
        let lesser = self.classes.range(class..).count().saturating_sub(1);
        (shed - lesser as f64).clamp(0.0, MOST_SHED)
    }
}

/// Admission of callers' requests.
#[derive(Debug)]
pub struct Entry {
    /// Mean slot time that a request of a rule takes at each service.
    costs: HashMap<Arc<str>, HashMap<ServiceName, Duration>>,
    controls: HashMap<ServiceName, Control>,
    /// Refusals that are owed to each class: refused when it passes one.
    owed: HashMap<Class, f64>,
    spread: u64,
}

impl Entry {
    /// Admission that knows nothing yet; `seed` starts its spread.
    pub fn new(seed: u64) -> Entry {
        Entry {
            costs: HashMap::new(),
            controls: HashMap::new(),
            owed: HashMap::new(),
            spread: seed,
        }
    }

    /// Learns what a request of a rule took.
    pub fn learn(&mut self, rule: &Arc<str>, work: &[Work]) {
        if !self.costs.contains_key(rule) && self.costs.len() >= MOST_RULES {
            self.costs.clear();
        }
        let costs = self.costs.entry(rule.clone()).or_default();
        for cost in costs.values_mut() {
            *cost -= *cost / SMOOTHING;
        }
        for work in work {
            match costs.get_mut(&work.service) {
                Some(cost) => *cost += work.time / SMOOTHING,
                None => {
                    costs.insert(work.service.clone(), work.time);
                }
            }
        }
    }

    /// Whether a request is let in.
    ///
    /// # Errors
    /// A service that it needs has no room for it.
    pub fn admit(
        &mut self,
        now: Instant,
        asking: Asking<'_>,
        pressures: &Pressures,
    ) -> Result<(), Shed> {
        let Some((service, level, share)) = self.tightest(now, asking, pressures) else {
            return Ok(());
        };
        let start = self.next_spread();
        let owed = self.owed.entry(asking.class).or_insert(start);
        *owed += share;
        if *owed < 1.0 {
            return Ok(());
        }
        *owed -= 1.0;
        let (least, most) = RETRY_AFTER;
        let part = least + (most - least) * self.next_spread();
        Err(Shed {
            share,
            level,
            age: pressures.age(now, &service),
            service,
            retry_after: asking.objective.mul_f64(part),
        })
    }

    /// The service that refuses most of the request's class, its level, and the share refused.
    fn tightest(
        &mut self,
        now: Instant,
        asking: Asking<'_>,
        pressures: &Pressures,
    ) -> Option<(ServiceName, f64, f64)> {
        let mut tightest: Option<(ServiceName, f64, f64)> = None;
        for service in self.needed(asking.rule, pressures) {
            let control = self.controls.entry(service.clone()).or_insert(Control {
                at: now,
                integral: 0.0,
                classes: BTreeSet::new(),
            });
            control.classes.insert(asking.class);
            let level = pressures.level(now, &service);
            let shed = control.step(now, level);
            let share = control.share(asking.class, shed);
            if share > 0.0 && tightest.as_ref().is_none_or(|(_, _, most)| share > *most) {
                tightest = Some((service, level.unwrap_or_default(), share));
            }
        }
        tightest
    }

    /// The services that a request of a rule needs. While that is not known, as after a start, each
    /// service may be one: it is better to let few in for a moment than to flood a full service.
    fn needed(&self, rule: &str, pressures: &Pressures) -> Vec<ServiceName> {
        let Some(costs) = self.costs.get(rule) else {
            return pressures.services().cloned().collect();
        };
        let needed = costs.iter().filter(|(_, cost)| **cost >= LEAST_COST);
        needed.map(|(service, _)| service.clone()).collect()
    }

    /// The next number of a sequence in 0..1.
    fn next_spread(&mut self) -> f64 {
        const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
        self.spread = self.spread.wrapping_add(GOLDEN);
        self.spread as f64 / u64::MAX as f64
    }
}
