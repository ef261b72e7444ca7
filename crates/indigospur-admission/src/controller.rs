//! The share of the requests that need one service which is refused on arrival.
//!
//! The load: a deep service is asked for up to twice its slots, by requests that enter at every daemon of
//! the fleet. Each daemon decides by itself; what it refuses is reported to the others, so that callers
//! are refused alike wherever they enter.

use indigospur_protocol::{Class, Shedding};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Set point of the level: running and queued calls at a service divided by its concurrency limit.
/// Slightly above 1, so that all slots are taken and the queue is short.
const TARGET_LEVEL: f64 = 1.05;
/// Proportional gain, in shares of all classes per unit of error. The error is the level minus the
/// target. A gain for each class would make the level swing where all requests are of one class.
const PROPORTIONAL_GAIN: f64 = 0.25;
/// Integral gain while the service is above the target, in shares of all classes a second per unit of
/// error.
const INTEGRAL_GAIN_UP: f64 = 0.4;
/// Integral gain while it is below, in the same unit. Larger, since an idle slot is wasted capacity
/// while a queued call is only delayed.
const INTEGRAL_GAIN_DOWN: f64 = 1.25;
/// Bound of the error, against integral wind-up by a burst.
const MAX_ERROR: f64 = 0.6;
/// Error of a service without a fresh report, so that refusals fade out.
const STALE_ERROR: f64 = -0.4;
/// Longest time step of the controller, as after a pause without requests.
const MAX_STEP: Duration = Duration::from_millis(500);
/// Largest share of a class that is refused. The admitted rest shows when the service has capacity
/// again.
const MAX_SHED_SHARE: f64 = 0.95;
/// Weight of another daemon's report in the integral term.
const REPORT_WEIGHT: f64 = 1.0 / 8.0;
/// Age of the latest step from which the integral term is not reported.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time for which a class counts among those that need the service after its latest request.
const CLASS_LIFETIME: Duration = Duration::from_secs(10);
/// Time over which earlier demand loses its weight.
const DEMAND_DECAY: Duration = Duration::from_secs(2);
/// Least admitted share of the requests of a rule class as a part of that of all requests of the class: a
/// workspace whose class takes precedence must not lose all its less urgent requests while the more
/// urgent ones are served.
const LEAST_ADMITTED: f64 = 0.5;

/// Proportional-integral controller of the share of requests refused for one service.
#[derive(Debug)]
pub(crate) struct Controller {
    /// Time of the latest step.
    updated: Instant,
    /// Integral term in classes: at 1.5 all requests of the lowest-priority class are to be refused
    /// and half of those of the next.
    integral: f64,
    /// Recent demand for the service's slots by class, and in it by the class of the rule. Holds the
    /// classes whose requests need the service.
    demand: BTreeMap<Class, Demand>,
}

impl Controller {
    pub(crate) fn new(now: Instant) -> Controller {
        Controller {
            updated: now,
            integral: 0.0,
            demand: BTreeMap::new(),
        }
    }

    /// Counts the slot time that a request needs, whether or not it is admitted.
    pub(crate) fn record_demand(
        &mut self,
        now: Instant,
        class: Class,
        rule_class: Class,
        cost: Duration,
    ) {
        let demand = self.demand.entry(class).or_insert_with(|| Demand::new(now));
        demand.record(now, rule_class, cost);
    }

    /// Advances to `now` and returns how many classes to refuse, lowest priority first; `level` is
    /// `None` without a fresh report.
    pub(crate) fn step(&mut self, now: Instant, level: Option<f64>) -> f64 {
        let step = now.saturating_duration_since(self.updated).min(MAX_STEP);
        self.updated = now;
        let error = level.map_or(STALE_ERROR, |level| {
            (level - TARGET_LEVEL).clamp(-MAX_ERROR, MAX_ERROR)
        });
        self.demand
            .retain(|_, demand| now.saturating_duration_since(demand.known) < CLASS_LIFETIME);
        let class_count = self.demand.len() as f64;
        let rate = if error > 0.0 {
            INTEGRAL_GAIN_UP
        } else {
            INTEGRAL_GAIN_DOWN
        };
        let integral = self.integral + class_count * rate * error * step.as_secs_f64();
        self.integral = integral.clamp(0.0, class_count);
        (self.integral + class_count * PROPORTIONAL_GAIN * error).clamp(0.0, class_count)
    }

    /// The integral term, for the reports to other daemons; `None` if no request needed the service lately.
    /// Classes that are known from reports only are left out, so that one which no request has any more
    /// is forgotten by all.
    pub(crate) fn report(&self, now: Instant) -> Option<Shedding> {
        let is_fresh = now.saturating_duration_since(self.updated) < MAX_REPORT_AGE;
        let asked = self
            .demand
            .iter()
            .filter(|(_, demand)| demand.is_asked(now));
        is_fresh.then(|| Shedding {
            amount: (self.integral * 1_000.0).round() as u32,
            classes: asked.map(|(class, _)| *class).collect(),
        })
    }

    /// Moves the integral term towards that of another daemon. All see the same level, but at other
    /// moments, and their integral terms would drift apart: callers of one daemon would be refused
    /// twice as often as those of another.
    pub(crate) fn merge(&mut self, now: Instant, reported: &Shedding) {
        for class in &reported.classes {
            self.demand
                .entry(*class)
                .or_insert_with(|| Demand::new(now))
                .known = now;
        }
        let amount = (f64::from(reported.amount) / 1_000.0).min(self.demand.len() as f64);
        self.integral += REPORT_WEIGHT * (amount - self.integral);
    }

    /// Share of the requests of a class and rule class to refuse when `shed_classes` classes are
    /// refused in all.
    pub(crate) fn share(&self, class: Class, rule_class: Class, shed_classes: f64) -> f64 {
        let lower = self.demand.range(class..).count().saturating_sub(1);
        let share = (shed_classes - lower as f64).clamp(0.0, MAX_SHED_SHARE);
        match self.demand.get(&class) {
            Some(demand) => demand.refused_share(rule_class, share),
            None => share,
        }
    }
}

/// Recent demand of one class for the slots of a service.
#[derive(Debug)]
struct Demand {
    /// Time of the latest request that arrived here, up to which the demand has decayed; `None` if the
    /// class is known from other daemons only.
    updated: Option<Instant>,
    /// Time at which the class was last known to need the service.
    known: Instant,
    /// Decayed sum of slot times in seconds, by the class of the rule.
    by_rule: BTreeMap<Class, f64>,
}

impl Demand {
    fn new(now: Instant) -> Demand {
        Demand {
            updated: None,
            known: now,
            by_rule: BTreeMap::new(),
        }
    }

    /// Whether requests of the class arrived here lately.
    fn is_asked(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.updated.is_some_and(|at| age(at) < CLASS_LIFETIME)
    }

    fn record(&mut self, now: Instant, rule_class: Class, cost: Duration) {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        self.known = now;
        let factor = (-elapsed.as_secs_f64() / DEMAND_DECAY.as_secs_f64()).exp();
        for sum in self.by_rule.values_mut() {
            *sum *= factor;
        }
        *self.by_rule.entry(rule_class).or_default() += cost.as_secs_f64();
    }

    /// Share of the requests of a rule class to refuse so that `share` of the whole demand is refused:
    /// the most urgent rule classes are admitted first, but each of the others keeps
    /// [`LEAST_ADMITTED`] of the admitted share of all.
    fn refused_share(&self, rule_class: Class, share: f64) -> f64 {
        let total: f64 = self.by_rule.values().sum();
        if self.by_rule.len() < 2 || total <= 0.0 {
            return share;
        }
        let least = LEAST_ADMITTED * (1.0 - share);
        let mut left = (1.0 - share) * total;
        let mut lower = total;
        for (&current, &demand) in &self.by_rule {
            lower -= demand;
            // Without demand, all of it can be admitted.
            let available = (left - least * lower) / demand.max(f64::MIN_POSITIVE);
            let admitted = available.clamp(least, 1.0);
            if current == rule_class {
                return 1.0 - admitted;
            }
            left -= demand * admitted;
        }
        share
    }
}
