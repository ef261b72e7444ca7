//! The room at services, as told on answers from hop to hop.

use indigospur_protocol::{Pressure, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which what was told counts for nothing.
const LIFETIME: Duration = Duration::from_millis(1_500);
/// Services told of in one answer, the fullest first.
const MOST_TOLD: usize = 8;

/// What was last told of one service.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Instant,
    occupied: u32,
    capacity: u32,
}

impl Told {
    fn level(&self) -> f64 {
        f64::from(self.occupied) / f64::from(self.capacity.max(1))
    }
}

/// The room at services.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    told: HashMap<ServiceName, Told>,
}

impl Pressures {
    /// Takes in what another daemon told.
    pub fn hear(&mut self, now: Instant, pressures: &[Pressure]) {
        for pressure in pressures.iter().filter(|told| told.age < LIFETIME) {
            let Some(at) = now.checked_sub(pressure.age) else {
                continue;
            };
            let known = self.told.get(&pressure.service);
            if known.is_some_and(|known| known.at >= at) {
                continue;
            }
            let told = Told {
                at,
                occupied: pressure.occupied,
                capacity: pressure.capacity,
            };
            self.told.insert(pressure.service.clone(), told);
        }
    }

    /// What to tell others, the fullest services first.
    pub fn tell(&self, now: Instant) -> Vec<Pressure> {
        let fresh = self.told.iter().map(|(service, told)| {
            let age = now.saturating_duration_since(told.at);
            (service, told, age)
        });
        let mut fresh: Vec<_> = fresh.filter(|(_, _, age)| *age < LIFETIME).collect();
        fresh.sort_by(|(_, a, _), (_, b, _)| b.level().total_cmp(&a.level()));
        let told = fresh.into_iter().take(MOST_TOLD);
        told.map(|(service, told, age)| Pressure {
            service: service.clone(),
            occupied: told.occupied,
            capacity: told.capacity,
            age,
        })
        .collect()
    }

    /// Time since a service was told of; zero if it never was.
    pub fn age(&self, now: Instant, service: &str) -> Duration {
        let told = self.told.get(service);
        told.map_or(Duration::ZERO, |told| {
            now.saturating_duration_since(told.at)
        })
    }

    /// The services that were ever told of.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.told.keys()
    }

    /// Calls that run or wait at a service over those that may run, if it was told of lately.
    pub fn level(&self, now: Instant, service: &str) -> Option<f64> {
        let told = self.told.get(service)?;
        (now.saturating_duration_since(told.at) < LIFETIME).then(|| told.level())
    }
}
