//! The upstreams of all services, and the choice among them.

use crate::upstream::{Attempt, Best, Upstream};
use indigospur_protocol::{HostId, Load, Member, Pressure, ServiceName, State};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Score of the best near upstream from which on farther ones are considered.
const SPILL_SCORE: f64 = 1.0;

/// What a choice must respect.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service the call is for.
    pub service: &'a str,
    /// Hosts that were tried before, or must not be chosen.
    pub avoid: &'a [HostId],
}

/// The upstreams of all services as one daemon sees them.
#[derive(Debug)]
pub struct Router {
    data_centre: Arc<str>,
    region: Arc<str>,
    services: HashMap<ServiceName, Vec<Upstream>>,
}

impl Router {
    /// A router for a daemon in a data centre.
    pub fn new(data_centre: Arc<str>, region: Arc<str>) -> Router {
        Router {
            data_centre,
            region,
            services: HashMap::new(),
        }
    }

    /// Takes over what a member announced.
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

    /// Forgets a host.
    pub fn remove(&mut self, host: &str) {
        for upstreams in self.services.values_mut() {
            upstreams.retain(|upstream| &*upstream.member.host != host);
        }
    }

    /// Whether the service was ever announced.
    pub fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// The upstreams of a service.
    pub fn upstreams(&self, service: &str) -> &[Upstream] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses an upstream and counts the call as open there.
    ///
    /// An upstream that is ejected is chosen only when no other is left: the floor of the ejection.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        request: Request<'_>,
    ) -> Option<Member> {
        let index = self.pick(now, rng, request)?;
        let upstream = self.services.get_mut(request.service)?.get_mut(index)?;
        upstream.open += 1;
        Some(upstream.member.clone())
    }

    /// Ends a call at an upstream.
    pub fn finish(
        &mut self,
        now: Instant,
        service: &str,
        host: &str,
        attempt: Attempt,
        load: Option<Load>,
    ) {
        let Some(upstreams) = self.services.get_mut(service) else {
            return;
        };
        let found = upstreams
            .iter_mut()
            .find(|upstream| &*upstream.member.host == host);
        let Some(upstream) = found else { return };
        upstream.finish(now, attempt);
        if let Some(load) = load {
            upstream.report(now, load);
        }
    }

    /// Takes the host's word that it leaves, before its announcement arrives.
    pub fn set_draining(&mut self, service: &str, host: &str) {
        let upstreams = self.services.get_mut(service).into_iter().flatten();
        for upstream in upstreams.filter(|upstream| &*upstream.member.host == host) {
            upstream.member.state = State::Draining;
        }
    }

    /// Mean time a call to the service takes, by the last reports.
    pub fn expected_time(&self, service: &str) -> Duration {
        self.upstreams(service)
            .iter()
            .filter_map(Upstream::service_time)
            .max()
            .unwrap_or_default()
    }

    /// The room at a service by the fresh reports of its upstreams; `None` without any.
    pub fn pressure(&self, now: Instant, service: &ServiceName) -> Option<Pressure> {
        let reports = self
            .upstreams(service)
            .iter()
            .filter(|upstream| upstream.is_ready())
            .filter_map(|upstream| upstream.fresh_load(now));
        let (occupied, capacity) = reports.fold((0, 0), |(occupied, capacity), load| {
            let taken = load.in_flight + load.queued;
            (occupied + taken, capacity + load.limit)
        });
        (capacity > 0).then(|| Pressure {
            service: service.clone(),
            occupied,
            capacity,
            age: Duration::ZERO,
        })
    }

    fn pick(&self, now: Instant, rng: &mut impl Rng, request: Request<'_>) -> Option<usize> {
        let upstreams = self.services.get(request.service)?;
        let untried = |index: &usize| {
            let host = &upstreams[*index].member.host;
            !request.avoid.contains(host)
        };
        let mut ready: Vec<usize> = (0..upstreams.len()).filter(untried).collect();
        if ready.iter().any(|index| upstreams[*index].is_ready()) {
            ready.retain(|index| upstreams[*index].is_ready());
        } else {
            ready.retain(|index| upstreams[*index].is_last_resort());
        }
        let healthy: Vec<usize> = ready
            .iter()
            .copied()
            .filter(|i| !upstreams[*i].is_ejected(now))
            .collect();
        let usable = if healthy.is_empty() { ready } else { healthy };
        let best = best_of(now, upstreams, &usable);
        self.pick_near(now, rng, upstreams, &usable, best)
    }

    /// Two random choices within the data centre, then within the region, then anywhere; a wider
    /// circle is asked only while the narrower one is full.
    fn pick_near(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        all: &[Upstream],
        usable: &[usize],
        trouble: Best,
    ) -> Option<usize> {
        let circle_of = |upstream: &Upstream| match &upstream.member {
            member if member.data_centre == self.data_centre => 0,
            member if member.region == self.region => 1,
            _ => 2,
        };
        let mut best: Option<(f64, usize)> = None;
        for circle in 0..3 {
            let near = usable
                .iter()
                .copied()
                .filter(|i| circle_of(&all[*i]) == circle);
            let near: Vec<usize> = near.collect();
            let Some((score, index)) = pick_two(now, rng, all, &near, trouble) else {
                continue;
            };
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
            if score < SPILL_SCORE && !all[index].has_queue(now) {
                break;
            }
        }
        best.map(|(_, index)| index)
    }
}

/// What the best of the usable upstreams shows.
fn best_of(now: Instant, all: &[Upstream], usable: &[usize]) -> Best {
    let usable = || usable.iter().map(|index| &all[*index]);
    let faults = usable().map(|upstream| upstream.faults(now));
    let times = usable().filter_map(|upstream| upstream.fresh_load(now));
    Best {
        faults: faults.fold(1.0, f64::min),
        service_time: times
            .map(|load| load.service_time)
            .filter(|time| !time.is_zero())
            .min(),
    }
}

/// The less loaded of two random upstreams.
fn pick_two(
    now: Instant,
    rng: &mut impl Rng,
    all: &[Upstream],
    usable: &[usize],
    best: Best,
) -> Option<(f64, usize)> {
    let last = usable.len().checked_sub(1)?;
    let first = usable[rng.random_range(0..=last)];
    let mut second = usable[rng.random_range(0..=last)];
    if second == first && last > 0 {
        second = usable[(usable.iter().position(|i| *i == first)? + 1) % usable.len()];
    }
    let scored = [first, second].map(|index| (all[index].weighed_score(now, best), index));
    if scored[1].0 < scored[0].0 {
        Some(scored[1])
    } else {
        Some(scored[0])
    }
}
