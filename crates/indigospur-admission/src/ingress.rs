//! Admission of requests where they enter the system, by the load of the services that they need.
//!
//! An admitted request makes a chain of calls, and if one of them is refused, all work done for the
//! request is wasted. So a request is refused here, before any work, when a service further down
//! its chain is full: lowest-priority classes first, and an even share of the requests of a class. The
//! same holds for a service that has slots and refuses calls all the same: requests that get no
//! retries there and would probably waste work are refused, unless their failure takes nothing from others.

use crate::controller::Controller;
use crate::needs::{CallNeeds, retry_order};
use crate::pressure::Pressures;
use crate::request::IngressRequest;
use crate::retry_after::retry_after;
use crate::shedding::{self, ShedRefusal};
use indigospur_protocol::{Class, Pressure, Rank, RetryOrder, ServiceName, Work};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reciprocal of the weight of a new sample of a rule's slot time.
const SMOOTHING: u32 = 16;
/// Rules whose slot times are kept; with more, all are dropped and measured anew.
const MAX_RULES: usize = 1_024;
/// A rule whose mean slot time at a service is smaller does not need the service.
const MIN_COST: Duration = Duration::from_millis(1);

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct IngressRefusal {
    /// The overloaded service because of which it was refused.
    pub service: ServiceName,
    /// Share of the requests of its class that is refused for want of room, 0 to 1.
    pub share: f64,
    /// Running and queued calls at the service divided by its concurrency limit; zero without a
    /// fresh report.
    pub level: f64,
    /// Age of the latest report on the service.
    pub age: Duration,
    /// Time the caller should wait before it tries again.
    pub retry_after: Duration,
    /// Position of the request among those that compete for retries.
    pub order: RetryOrder,
    /// Position up to which requests get retries at the service, if not all do.
    pub cutoff: Option<RetryOrder>,
    /// Chance that the request succeeds without retries, 0 to 1, if it was refused for that; `None` if
    /// the service has no room.
    pub chance: Option<f64>,
}

/// Admission of callers' requests by the load of the services that they need.
#[derive(Debug)]
pub struct IngressAdmission {
    /// Mean slot time of a request at each service, by rule.
    costs: HashMap<Arc<str>, HashMap<ServiceName, Duration>>,
    needs: CallNeeds,
    controllers: HashMap<ServiceName, Controller>,
    /// Accumulated refused shares by class. When the sum reaches one, a request is refused and one
    /// is subtracted, which spreads the refusals evenly.
    shed_fractions: HashMap<Class, f64>,
    jitter_state: u64,
}

impl IngressAdmission {
    /// Creates an admission without measured costs; `seed` starts its jitter.
    pub fn new(seed: u64) -> IngressAdmission {
        IngressAdmission {
            costs: HashMap::new(),
            needs: CallNeeds::default(),
            controllers: HashMap::new(),
            shed_fractions: HashMap::new(),
            jitter_state: seed,
        }
    }

    /// Updates the mean slot times of a rule by those of one request. A service missing from `work`
    /// counts as zero.
    pub fn record_work(&mut self, rule: &Arc<str>, work: &[Work]) {
        if !self.costs.contains_key(rule) && self.costs.len() >= MAX_RULES {
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

    /// Updates the mean numbers of calls of a rule by those of one request that succeeded. One that
    /// failed may have made a part of its calls only.
    pub fn record_calls(&mut self, rule: &Arc<str>, work: &[Work]) {
        self.needs.record(rule, work);
    }

    /// Position of a request among those that compete for retries, by the calls that requests of its
    /// rule make to the service that they call most.
    pub fn retry_order(&self, rule: Option<&str>, class: Class, rank: Rank) -> RetryOrder {
        let needs = rule.into_iter().flat_map(|rule| self.needs.of(rule));
        let most = needs.map(|(_, calls)| calls).fold(1.0, f64::max);
        retry_order(class, rank, most)
    }

    /// Decides whether a request is admitted.
    ///
    /// # Errors
    /// A service that the request needs is overloaded or refuses calls, and the request is among those
    /// to refuse.
    pub fn admit(
        &mut self,
        now: Instant,
        request: IngressRequest<'_>,
        pressures: &Pressures,
    ) -> Result<(), IngressRefusal> {
        let order = self.retry_order(Some(request.rule), request.class, request.rank);
        let outlook = shedding::check(now, request, order, &self.needs, pressures);
        if let Err(refusal) = outlook {
            return Err(self.shed_refusal(now, request, order, refusal, pressures));
        }
        let Some((service, level, share)) = self.bottleneck(now, request, pressures) else {
            return Ok(());
        };
        let start = self.next_jitter();
        let fraction = self.shed_fractions.entry(request.class).or_insert(start);
        *fraction += share;
        if *fraction < 1.0 {
            return Ok(());
        }
        *fraction -= 1.0;
        Err(IngressRefusal {
            share,
            level,
            age: pressures.age(now, &service),
            service,
            retry_after: self.retry_after(request),
            order,
            cutoff: None,
            chance: None,
        })
    }

    /// Adds to reports on services what is refused on arrival for their sake.
    pub fn report(&self, now: Instant, pressures: &mut [Pressure]) {
        for pressure in pressures {
            let controller = self.controllers.get(&pressure.service);
            pressure.shedding = controller.and_then(|controller| controller.report(now));
        }
    }

    /// Follows what other daemons refuse on arrival, by their reports on services.
    pub fn merge(&mut self, now: Instant, pressures: &[Pressure]) {
        for pressure in pressures {
            let controller = self.controllers.get_mut(&pressure.service);
            if let (Some(controller), Some(reported)) = (controller, &pressure.shedding) {
                controller.merge(now, reported);
            }
        }
    }

    fn shed_refusal(
        &mut self,
        now: Instant,
        request: IngressRequest<'_>,
        order: RetryOrder,
        refusal: ShedRefusal,
        pressures: &Pressures,
    ) -> IngressRefusal {
        IngressRefusal {
            share: 0.0,
            level: pressures.level(now, &refusal.service).unwrap_or_default(),
            age: pressures.age(now, &refusal.service),
            retry_after: self.retry_after(request),
            order,
            cutoff: refusal.cutoff,
            chance: Some(refusal.chance),
            service: refusal.service,
        }
    }

    /// Nothing tells when an overload ends, so the time depends on the caller's and on the request's alone.
    fn retry_after(&mut self, request: IngressRequest<'_>) -> Duration {
        let costs = self.costs.get(request.rule);
        let work = costs.and_then(|costs| costs.values().max().copied());
        let jitter = self.next_jitter();
        retry_after(request.remaining, work.unwrap_or_default(), jitter)
    }

    /// The service for which the largest share of the request's class is refused, with its level
    /// and that share; `None` if nothing is refused.
    fn bottleneck(
        &mut self,
        now: Instant,
        request: IngressRequest<'_>,
        pressures: &Pressures,
    ) -> Option<(ServiceName, f64, f64)> {
        let mut bottleneck: Option<(ServiceName, f64, f64)> = None;
        for (service, cost) in self.required_services(request.rule, pressures) {
            let controller = self
                .controllers
                .entry(service.clone())
                .or_insert_with(|| Controller::new(now));
            controller.record_demand(now, request.class, request.rule_class, cost);
            let level = pressures.level(now, &service);
            let shed_classes = controller.step(now, level);
            let share = controller.share(request.class, request.rule_class, shed_classes);
            if share > 0.0
                && bottleneck
                    .as_ref()
                    .is_none_or(|(_, _, highest)| share > *highest)
            {
                bottleneck = Some((service, level.unwrap_or_default(), share));
            }
        }
        bottleneck
    }

    /// The services that a request of a rule needs, with its mean slot time there. Until they are known,
    /// as after a restart, all services count: admitting too few for a moment is better than flooding a
    /// full service.
    fn required_services(&self, rule: &str, pressures: &Pressures) -> Vec<(ServiceName, Duration)> {
        let Some(costs) = self.costs.get(rule) else {
            let services = pressures.services().cloned();
            return services.map(|service| (service, MIN_COST)).collect();
        };
        let required = costs.iter().filter(|(_, cost)| **cost >= MIN_COST);
        required
            .map(|(service, cost)| (service.clone(), *cost))
            .collect()
    }

    /// The next number of an evenly spread (golden-ratio) sequence in 0..1.
    fn next_jitter(&mut self) -> f64 {
        const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
        self.jitter_state = self.jitter_state.wrapping_add(GOLDEN);
        self.jitter_state as f64 / u64::MAX as f64
    }
}
