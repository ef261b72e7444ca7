//! Upstreams of all services, and load balancing among them.

use crate::placement::{
    Distance, Locality, Placement, PlacementReason, Placing, Policy, pick_two, place_by_time,
};
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
    /// Time left until the call misses its deadline; `None` if it has none.
    pub remaining: Option<Duration>,
}

/// Load balancer of one daemon, with the upstreams of all services.
#[derive(Debug)]
pub struct Router {
    data_centre: Arc<str>,
    region: Arc<str>,
    services: HashMap<ServiceName, Vec<Upstream>>,
    policy: Policy,
    /// Calls that leave the data centre, by service; of services that calls were placed for by expected
    /// time.
    localities: HashMap<ServiceName, Locality>,
}

impl Router {
    /// Creates a router without upstreams for a daemon in this data centre and region. Its policy is
    /// [`Policy::Slots`].
    pub fn new(data_centre: Arc<str>, region: Arc<str>) -> Router {
        Router {
            data_centre,
            region,
            services: HashMap::new(),
            policy: Policy::default(),
            localities: HashMap::new(),
        }
    }

    /// Changes how upstreams are compared.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        if policy == Policy::Slots {
            self.localities.clear();
        }
    }

    /// Share of the calls to each service that leave the data centre, 0 to 1; of services that calls
    /// were placed for by expected time.
    pub fn leaving_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        let localities = self.localities.iter();
        localities.map(|(service, locality)| (service, locality.share()))
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
        let placement = self.place(now, rng, criteria)?;
        Some(placement.member)
    }

    /// Like [`Router::choose`], with the figures that decided.
    pub fn place(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        criteria: Criteria<'_>,
    ) -> Option<Placement> {
        let (index, reason) = self.pick(now, rng, criteria)?;
        self.start(now, criteria.service, index, reason)
    }

    fn start(
        &mut self,
        now: Instant,
        service: &str,
        index: usize,
        reason: Option<PlacementReason>,
    ) -> Option<Placement> {
        let hosts = self.services.values().map(Vec::len).sum();
        let upstream = self.services.get_mut(service)?.get_mut(index)?;
        upstream.start(now, hosts);
        let member = upstream.member.clone();
        let report_age = upstream.report_age(now);
        Some(Placement {
            distance: self.distance(&member),
            member,
            report_age,
            reason,
        })
    }

    /// Hosts of a service that take calls now.
    pub fn ready_hosts(&self, service: &str) -> Vec<HostId> {
        let upstreams = self.upstreams(service).iter();
        let ready = upstreams.filter(|upstream| upstream.is_ready());
        ready.map(|upstream| upstream.member.host.clone()).collect()
    }

    /// Places a call on `host`, if that takes calls, and counts it as in flight there.
    pub fn place_at(&mut self, now: Instant, service: &str, host: &HostId) -> Option<Placement> {
        let is_chosen = |upstream: &Upstream| upstream.is_ready() && upstream.member.host == *host;
        let index = self.upstreams(service).iter().position(is_chosen)?;
        self.start(now, service, index, None)
    }

    /// Records how long the reply to a call took, from which the time of the link is found: the reply
    /// time less the residence time in `load`, if it tells that.
    pub fn record_reply_time(
        &mut self,
        now: Instant,
        service: &str,
        host: &str,
        took: Duration,
        load: Load,
    ) {
        if load.residence.is_zero() {
            return;
        }
        let upstreams = self.services.get_mut(service).into_iter().flatten();
        let is_host = |upstream: &&mut Upstream| &*upstream.member.host == host;
        for upstream in upstreams.filter(is_host) {
            upstream.record_link_time(now, took.saturating_sub(load.residence));
        }
    }

    fn distance(&self, member: &Member) -> Distance {
        if member.data_centre == self.data_centre {
            Distance::DataCentre
        } else if member.region == self.region {
            Distance::Region
        } else {
            Distance::Beyond
        }
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
            shedding: None,
        })
    }

    fn pick(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        criteria: Criteria<'_>,
    ) -> Option<(usize, Option<PlacementReason>)> {
        let (service, upstreams) = self.services.get_key_value(criteria.service)?;
        let usable = usable(now, upstreams, criteria.avoid);
        let stay = match self.policy {
            Policy::Slots => None,
            Policy::Time { stay } => Some(stay),
            Policy::Paced { stay } => upstreams.iter().any(Upstream::is_paced).then_some(stay),
        };
        let Some(stay) = stay else {
            let baseline = baseline_of(now, upstreams, &usable);
            let index = self.pick_by_locality(now, rng, upstreams, &usable, baseline)?;
            return Some((index, None));
        };
        let placing = Placing {
            now,
            stay,
            remaining: criteria.remaining,
            first: criteria.avoid.is_empty(),
        };
        let mut locality = self.localities.get(service).copied().unwrap_or_default();
        let distance_of = |member: &Member| self.distance(member);
        let placed = place_by_time(placing, rng, upstreams, &usable, distance_of, &mut locality);
        self.localities.insert(service.clone(), locality);
        placed.map(|(index, reason)| (index, Some(reason)))
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
        let mut best: Option<(f64, usize)> = None;
        for distance in Distance::ALL {
            let is_there = |index: &usize| self.distance(&all[*index].member) == distance;
            let tier_members: Vec<usize> = usable.iter().copied().filter(is_there).collect();
            let penalised = |index: usize| all[index].penalised_score(now, baseline);
            let Some((score, index)) = pick_two(rng, &tier_members, penalised) else {
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

/// Indices of the upstreams that a call may go to: those that are ready and not ejected, and if there
/// are none, ejected ones or those that are a last resort.
fn usable(now: Instant, upstreams: &[Upstream], avoid: &[HostId]) -> Vec<usize> {
    let allowed = |index: &usize| !avoid.contains(&upstreams[*index].member.host);
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
    if healthy.is_empty() {
        candidates
    } else {
        healthy
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
