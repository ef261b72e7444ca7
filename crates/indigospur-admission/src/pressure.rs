//! Occupancy of services, and the share of calls that they refuse, as reported in answers and passed on
//! from daemon to daemon.

use indigospur_protocol::{Pressure, RetryOrder, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which an observation is stale and ignored.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Services reported in one answer, the fullest first.
const MAX_REPORTED: usize = 8;
/// Product of rank and calls in the middle of a class's scale of places: the lowest of a request of one
/// call with the usual rank.
const UNIT: f64 = 16_777_216.0;
/// Weight of the latest report in the refused share and the cutoff.
const REPORT_WEIGHT: f64 = 1.0 / 4.0;
/// Age up to which a report counts in them. Reports of other callers are older than the latest own one,
/// and must count beside it.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(250);

/// Weight of a report that is passed on: it is no new measurement, and what daemons know from each other
/// must fade beside what is measured.
const PASSED_ON: f64 = 0.5;

/// Smallest number of attempts behind a report that counts, as a part of the mean of those before: a
/// daemon that makes few calls measures little, and must not make older, better reports look fresh.
const MIN_WEIGHT: f64 = 0.125;
/// Number of attempts from which on a single report counts in full.
const MIN_ATTEMPTS: f64 = 6.0;
/// Time over which reports lose their weight beside a new one. A daemon that gets few replies would
/// otherwise follow a change for seconds.
const WEIGHT_DECAY: Duration = Duration::from_millis(500);
/// Factor of the weight of a report of a lower cutoff: a request let in by a cutoff that is too high fails at
/// the cost of its retries, one refused by a cutoff that is too low can come back.
const FALL_FACTOR: f64 = 3.0;
/// Age up to which a refused share counts as a whole.
const HOLD_AGE: Duration = Duration::from_secs(1);

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

/// What the callers of a service report on its refusals, smoothed over the reporters and weighted by the
/// attempts that each of them makes. Few daemons may make most of the calls, of other requests than
/// the many whose reports are as frequent.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    /// Time of the latest report.
    at: Instant,
    /// Share of calls that the service refuses.
    refused: f64,
    /// Share of the reporters that have a cutoff.
    cut: f64,
    /// Mean of their cutoffs, see [`place`].
    cutoff: f64,
    /// Time of the latest report that counts in the mean.
    cutoff_at: Instant,
    /// Mean number of recent attempts behind a report.
    attempts: f64,
}

/// Place of a position in the retry order on a scale on which means make sense: the class, plus the share
/// of the class that lies below the position if the products of rank and calls spread like 1 / x. The
/// mean of positions in two classes would be dominated by their distance.
fn place(order: RetryOrder) -> f64 {
    let product = (order & u64::from(u32::MAX)) as f64 / UNIT;
    (order >> 32) as f64 + product / (1.0 + product)
}

/// The position at a place.
fn position(place: f64) -> RetryOrder {
    let share = place.fract();
    let product = (share / (1.0 - share) * UNIT).min(f64::from(u32::MAX));
    ((place as u64) << 32) | product as u64
}

impl Refusals {
    fn new(at: Instant, refused: f64, cutoff: Option<RetryOrder>, attempts: u32) -> Refusals {
        Refusals {
            at,
            refused,
            cut: if cutoff.is_some() { 1.0 } else { 0.0 },
            cutoff: cutoff.map_or(0.0, place),
            cutoff_at: at,
            attempts: f64::from(attempts),
        }
    }

    /// The report where no other is known: a single refusal at a service that is seldom called is no large
    /// share.
    fn alone(self) -> Refusals {
        Refusals {
            refused: self.refused * (self.attempts / MIN_ATTEMPTS).min(1.0),
            ..self
        }
    }

    fn update(&mut self, report: Refusals) {
        if report.attempts < MIN_WEIGHT * self.attempts {
            return;
        }
        self.attempts = self.weight(report.at);
        self.at = self.at.max(report.at);
        self.attempts += REPORT_WEIGHT * (report.attempts - self.attempts);
        let weight = REPORT_WEIGHT * report.attempts / self.attempts;
        self.refused += weight * (report.refused - self.refused);
        if report.cut > 0.0 && self.covers(report) {
            self.cutoff_at = self.cutoff_at.max(report.at);
            // The first cutoff after a time without one counts as a whole.
            let cutoff_weight = match report.cutoff < self.cutoff {
                _ if self.cut <= 0.01 => 1.0,
                true => (weight * FALL_FACTOR).min(1.0),
                false => weight,
            };
            self.cutoff += cutoff_weight * (report.cutoff - self.cutoff);
        }
        self.cut += weight * (report.cut - self.cut);
    }

    /// Whether a report tells anything about the class of the cutoff. A daemon that calls the service for
    /// less urgent requests only has its cutoff among those, and no calls of more urgent ones to refuse.
    fn covers(&self, report: Refusals) -> bool {
        let is_stale = report.at.saturating_duration_since(self.cutoff_at) >= MAX_AGE;
        self.cut <= 0.01 || is_stale || report.cutoff.trunc() <= self.cutoff.trunc()
    }

    /// Weight of what was reported, beside a report made at `now`.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.attempts * (-age.as_secs_f64() / WEIGHT_DECAY.as_secs_f64()).exp()
    }

    /// The share at `now`; without new reports it falls to zero from [`HOLD_AGE`] to [`MAX_AGE`].
    fn refused(&self, now: Instant) -> f64 {
        let left = MAX_AGE.saturating_sub(now.saturating_duration_since(self.at));
        let falls = MAX_AGE - HOLD_AGE;
        self.refused * (left.as_secs_f64() / falls.as_secs_f64()).min(1.0)
    }

    /// The cutoff, if at least half of the reporters have one.
    fn cutoff(&self, now: Instant) -> Option<RetryOrder> {
        let is_fresh = now.saturating_duration_since(self.at) < MAX_AGE;
        (is_fresh && self.cut >= 0.5).then(|| position(self.cutoff))
    }
}

/// Latest known occupancy of each service, measured at its upstreams, and what its callers report on
/// its refusals.
#[derive(Clone, Debug, Default)]
pub struct Pressures {
    observations: HashMap<ServiceName, Observation>,
    refusals: HashMap<ServiceName, Refusals>,
}

impl Pressures {
    /// Merges the reports of another daemon. Reports that are stale, or no newer than the known one
    /// of the same service, are ignored.
    pub fn merge(&mut self, now: Instant, pressures: &[Pressure]) {
        self.merge_refusals(now, pressures);
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

    fn merge_refusals(&mut self, now: Instant, pressures: &[Pressure]) {
        let is_counted = |it: &&Pressure| it.age < MAX_REFUSAL_AGE && it.attempts > 0;
        for pressure in pressures.iter().filter(is_counted) {
            let (Some(at), Some(refused)) = (now.checked_sub(pressure.age), pressure.refused)
            else {
                continue;
            };
            let refused = (f64::from(refused) / 1_000.0).min(1.0);
            let report = Refusals::new(at, refused, pressure.cutoff, pressure.attempts);
            match self.refusals.get_mut(&pressure.service) {
                Some(known) if now.saturating_duration_since(known.at) < MAX_AGE => {
                    known.update(report);
                }
                _ => {
                    self.refusals
                        .insert(pressure.service.clone(), report.alone());
                }
            }
        }
    }

    /// Share of calls that a service refuses, by the reports of its callers; zero without a fresh
    /// report.
    pub fn refused(&self, now: Instant, service: &str) -> f64 {
        let refusals = self.refusals.get(service);
        refusals.map_or(0.0, |refusals| refusals.refused(now))
    }

    /// Position in the retry order up to which requests get retries at a service; `None` if all do.
    pub fn cutoff(&self, now: Instant, service: &str) -> Option<RetryOrder> {
        self.refusals.get(service)?.cutoff(now)
    }

    /// The cutoff as a number: the class, plus the part of the class that lies below the cutoff; `None`
    /// if all requests get retries.
    pub fn cutoff_place(&self, now: Instant, service: &str) -> Option<f64> {
        self.cutoff(now, service).map(place)
    }

    /// The reports to send to other daemons: fresh ones only, the fullest services and those that
    /// refuse most first, eight at most.
    pub fn reports(&self, now: Instant) -> Vec<Pressure> {
        let fresh = self.observations.iter().map(|(service, observation)| {
            let age = now.saturating_duration_since(observation.at);
            (service, observation, age)
        });
        let mut fresh: Vec<_> = fresh.filter(|(_, _, age)| *age < MAX_AGE).collect();
        let urgency = |(service, observation, _): &(&ServiceName, &Observation, Duration)| {
            observation.level().max(self.refused(now, service))
        };
        fresh.sort_by(|a, b| urgency(b).total_cmp(&urgency(a)));
        let reported = fresh.into_iter().take(MAX_REPORTED);
        reported
            .map(|(service, observation, age)| Pressure {
                service: service.clone(),
                occupied: observation.occupied,
                capacity: observation.capacity,
                age,
                refused: self.refusals.get(service).and_then(|refusals| {
                    let is_fresh = now.saturating_duration_since(refusals.at) < MAX_REFUSAL_AGE;
                    is_fresh.then(|| (refusals.refused(now) * 1_000.0).round() as u32)
                }),
                cutoff: self.cutoff(now, service),
                attempts: self.refusals.get(service).map_or(0, |refusals| {
                    (refusals.weight(now) * PASSED_ON).ceil() as u32
                }),
                shedding: None,
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
