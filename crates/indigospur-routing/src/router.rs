//! Upstreams of all services, and load balancing among them.

use crate::upstream::{AttemptResult, Baseline, Upstream};
use indigospur_protocol::{HostId, Load, Member, Pressure, ServiceName, State};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Score in calls per slot from which calls spill over to more distant upstreams.
pub(crate) const SPILLOVER_SCORE: f64 = 1.0;

/// Constraints on the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service the call is for.
    pub service: &'a str,
    /// Hosts that must not be chosen, such as those already tried.
    pub avoid: &'a [HostId],
}

/// Load balancer of one daemon, with the upstreams of all services.
#[derive(Debug)]
pub struct Router {
    data_centre: Arc<str>,
    region: Arc<str>,
    services: HashMap<ServiceName, Vec<Upstream>>,
}

impl Router {
    /// Creates a router without upstreams for a daemon in this data centre and region.
    pub fn new(data_centre: Arc<str>, region: Arc<str>) -> Router {
        Router {
            data_centre,
            region,
            services: HashMap::new(),
        }
    }

    /// Applies the latest state of a member: adds or updates it as an upstream of its service, and
    /// removes it from any other.
    pub fn update(&mut self, member: &Member) {
        for (service, upstreams) in &mut self.services {
            if *service != member.service {
                upstreams.retain(|upstream| upstream.member.host != member.host);
            }
        }
        if member.service.is_empty() {
            return;
        }
        let upstreams = self.services.entry(member.service.clone()).or_default();
        match upstreams
            .iter_mut()
            .find(|upstream| upstream.member.host == member.host)
        {
            Some(upstream) => upstream.update(member),
            None => upstreams.push(Upstream::new(member.clone())),
        }
    }

    /// Removes a host from all services.
    pub fn remove(&mut self, host: &str) {
        for upstreams in self.services.values_mut() {
            upstreams.retain(|upstream| &*upstream.member.host != host);
        }
    }

    /// Whether the service has ever had an upstream, even if it has none now.
    pub fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Upstreams of a service; empty if the service is unknown.
    pub fn upstreams(&self, service: &str) -> &[Upstream] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses an upstream and counts the call as in flight there until [`Router::finish`].
    ///
    /// Ejected upstreams are chosen only when no other is left, so that ejection never makes a
    /// service unavailable. Returns `None` if no upstream is usable.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        criteria: Criteria<'_>,
    ) -> Option<Member> {
        let index = self.pick(now, rng, criteria)?;
        let hosts = self.services.values().map(Vec::len).sum();
        let upstream = self.services.get_mut(criteria.service)?.get_mut(index)?;
        upstream.start(now, hosts);
        Some(upstream.member.clone())
    }

    /// Records the end of a call to an upstream, with the load it reported, if any.
    pub fn finish(
        &mut self,
        now: Instant,
        service: &str,
        host: &str,
        result: AttemptResult,
        load: Option<Load>,
    ) {
        let Some(upstreams) = self.services.get_mut(service) else {
            return;
        };
        let found = upstreams
            .iter_mut()
            .find(|upstream| &*upstream.member.host == host);
        let Some(upstream) = found else { return };
        upstream.finish(now, result);
        if let Some(load) = load {
            upstream.record_load(now, load);
        }
    }

    /// Marks an upstream as draining when its reply to a call says so, before gossip brings its new
    /// state. `chosen` is the upstream as it was chosen for the call: if it has announced another
    /// state since, the reply is outdated.
    pub fn set_draining(&mut self, chosen: &Member) {
        let upstreams = self.services.get_mut(&chosen.service);
        let is_same = |upstream: &&mut Upstream| {
            upstream.member.host == chosen.host && upstream.member.recency() == chosen.recency()
        };
        for upstream in upstreams.into_iter().flatten().filter(is_same) {
            upstream.member.state = State::Draining;
        }
    }

    /// Longest of the mean service times that the upstreams last reported; zero without reports.
    pub fn expected_service_time(&self, service: &str) -> Duration {
        self.upstreams(service)
            .iter()
            .filter_map(Upstream::service_time)
            .max()
            .unwrap_or_default()
    }

    /// Occupied and total capacity of a service, summed over the current load reports of its ready
    /// upstreams; `None` without any.
    pub fn pressure(&self, now: Instant, service: &ServiceName) -> Option<Pressure> {
        let reports = self
            .upstreams(service)
            .iter()
            .filter(|upstream| upstream.is_ready())
            .filter_map(|upstream| upstream.fresh_load(now));
        let (occupied, capacity) = reports.fold((0, 0), |(occupied, capacity), load| {
            let calls = load.in_flight + load.queued;
            (occupied + calls, capacity + load.limit)
        });
        (capacity > 0).then(|| Pressure {
            service: service.clone(),
            occupied,
            capacity,
            age: Duration::ZERO,
            refused: None,
            cutoff: None,
            attempts: 0,
        })
    }

    fn pick(&self, now: Instant, rng: &mut impl Rng, criteria: Criteria<'_>) -> Option<usize> {
        let upstreams = self.services.get(criteria.service)?;
        let allowed = |index: &usize| {
            let host = &upstreams[*index].member.host;
            !criteria.avoid.contains(host)
        };
        let mut candidates: Vec<usize> = (0..upstreams.len()).filter(allowed).collect();
        if candidates.iter().any(|index| upstreams[*index].is_ready()) {
            candidates.retain(|index| upstreams[*index].is_ready());
        } else {
            candidates.retain(|index| upstreams[*index].is_last_resort());
        }
        let healthy: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|i| !upstreams[*i].is_ejected(now))
            .collect();
        let usable = if healthy.is_empty() {
            candidates
        } else {
            healthy
        };
        let baseline = baseline_of(now, upstreams, &usable);
        self.pick_by_locality(now, rng, upstreams, &usable, baseline)
    }

    /// Picks by power of two random choices within the data centre, then the region, then anywhere.
    /// A more distant tier is considered only while the nearer ones are full.
    fn pick_by_locality(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        all: &[Upstream],
        usable: &[usize],
        baseline: Baseline,
    ) -> Option<usize> {
        let tier_of = |upstream: &Upstream| match &upstream.member {
            member if member.data_centre == self.data_centre => 0,
            member if member.region == self.region => 1,
            _ => 2,
        };
        let mut best: Option<(f64, usize)> = None;
        for tier in 0..3 {
            let tier_members = usable.iter().copied().filter(|i| tier_of(&all[*i]) == tier);
            let tier_members: Vec<usize> = tier_members.collect();
            let Some((score, index)) = pick_two(now, rng, all, &tier_members, baseline) else {
                continue;
            };
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
            if score < SPILLOVER_SCORE && !all[index].has_queue(now) {
                break;
            }
        }
        best.map(|(_, index)| index)
    }
}

/// The best values among the usable upstreams.
fn baseline_of(now: Instant, all: &[Upstream], usable: &[usize]) -> Baseline {
    let usable = || usable.iter().map(|index| &all[*index]);
    let fault_rates = usable().map(|upstream| upstream.fault_rate(now));
    let loads = usable().filter_map(|upstream| upstream.fresh_load(now));
    Baseline {
        fault_rate: fault_rates.fold(1.0, f64::min),
        service_time: loads
            .map(|load| load.service_time)
            .filter(|time| !time.is_zero())
            .min(),
    }
}

/// Compares two random upstreams and returns the penalised score and the index of the one with the
/// lower score.
fn pick_two(
    now: Instant,
    rng: &mut impl Rng,
    all: &[Upstream],
    usable: &[usize],
    baseline: Baseline,
) -> Option<(f64, usize)> {
    let last = usable.len().checked_sub(1)?;
    let first = usable[rng.random_range(0..=last)];
    let mut second = usable[rng.random_range(0..=last)];
    if second == first && last > 0 {
        second = usable[(usable.iter().position(|i| *i == first)? + 1) % usable.len()];
    }
    let scored = [first, second].map(|index| (all[index].penalised_score(now, baseline), index));
    if scored[1].0 < scored[0].0 {
        Some(scored[1])
    } else {
        Some(scored[0])
    }
}
