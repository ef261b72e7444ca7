//! Occupancy of services, as reported in answers and passed on from daemon to daemon.

use indigospur_protocol::{Pressure, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which an observation is stale and ignored.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Services reported in one answer, the fullest first.
const MAX_REPORTED: usize = 8;

/// The latest report on one service.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    occupied: u32,
    capacity: u32,
}

impl Observation {
    fn level(&self) -> f64 {
        f64::from(self.occupied) / f64::from(self.capacity.max(1))
    }
}

/// Latest known occupancy of each service, measured at its upstreams.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    observations: HashMap<ServiceName, Observation>,
}

impl Pressures {
    /// Merges the reports of another daemon. Reports that are stale, or no newer than the known one
    /// of the same service, are ignored.
    pub fn merge(&mut self, now: Instant, pressures: &[Pressure]) {
        for pressure in pressures.iter().filter(|report| report.age < MAX_AGE) {
            let Some(at) = now.checked_sub(pressure.age) else {
                continue;
            };
            let known = self.observations.get(&pressure.service);
            if known.is_some_and(|known| known.at >= at) {
                continue;
            }
            let observation = Observation {
                at,
                occupied: pressure.occupied,
                capacity: pressure.capacity,
            };
            self.observations
                .insert(pressure.service.clone(), observation);
        }
    }

    /// The reports to send to other daemons: fresh ones only, the fullest services first, eight at
    /// most.
    pub fn reports(&self, now: Instant) -> Vec<Pressure> {
        let fresh = self.observations.iter().map(|(service, observation)| {
            let age = now.saturating_duration_since(observation.at);
            (service, observation, age)
        });
        let mut fresh: Vec<_> = fresh.filter(|(_, _, age)| *age < MAX_AGE).collect();
        fresh.sort_by(|(_, a, _), (_, b, _)| b.level().total_cmp(&a.level()));
        let reported = fresh.into_iter().take(MAX_REPORTED);
        reported
            .map(|(service, observation, age)| Pressure {
                service: service.clone(),
                occupied: observation.occupied,
                capacity: observation.capacity,
                age,
            })
            .collect()
    }

    /// Age of the latest report on a service; zero if there is none.
    pub fn age(&self, now: Instant, service: &str) -> Duration {
        let observation = self.observations.get(service);
        observation.map_or(Duration::ZERO, |observation| {
            now.saturating_duration_since(observation.at)
        })
    }

    /// All services with a report, however old.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.observations.keys()
    }

    /// Running and queued calls at a service divided by its concurrency limit; `None` without a
    /// fresh report.
    pub fn level(&self, now: Instant, service: &str) -> Option<f64> {
        let observation = self.observations.get(service)?;
        (now.saturating_duration_since(observation.at) < MAX_AGE).then(|| observation.level())
    }
}
