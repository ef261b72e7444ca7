//! Placement by expected time: the better of two random candidates at each distance, and which of
//! these.

use crate::expected_time::{Mean, TimeBaseline};
use crate::locality::{Comparison, Leaving};
use crate::upstream::Upstream;
use indigospur_protocol::Member;
use rand::Rng;
use std::time::{Duration, Instant};

/// How upstreams are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By calls per slot; more distant upstreams while the nearer ones are full.
    #[default]
    Slots,
    /// By the expected time of a call.
    Time {
        /// Time that leaving the data centre must save beyond that of the link.
        stay: Duration,
    },
    /// As [`Policy::Time`] for services whose backend servers tell their pace, as [`Policy::Slots`] for
    /// the others.
    Paced {
        /// Time that leaving the data centre must save beyond that of the link.
        stay: Duration,
    },
}

impl Policy {
    /// Time that leaving the data centre must save beyond that of the link; `None` under
    /// [`Policy::Slots`].
    pub fn stay(self) -> Option<Duration> {
        match self {
            Policy::Slots => None,
            Policy::Time { stay } | Policy::Paced { stay } => Some(stay),
        }
    }
}

/// Where an upstream is, as seen from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the region.
    Region,
    /// In another region.
    Beyond,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Distance; 3] = [Distance::DataCentre, Distance::Region, Distance::Beyond];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::DataCentre => "data-centre",
            Distance::Region => "region",
            Distance::Beyond => "beyond",
        }
    }
}

/// A chosen upstream, and why it was chosen.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream as it was chosen.
    pub member: Member,
    /// Where it is.
    pub distance: Distance,
    /// Age of its load report; `None` without one.
    pub report_age: Option<Duration>,
    /// Figures of the placement by expected time; `None` under [`Policy::Slots`].
    pub reason: Option<PlacementReason>,
}

/// Figures that decided a placement by expected time. Times include the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementReason {
    /// Expected time at the chosen upstream.
    pub expected: Duration,
    /// Expected time at the candidate that lost against it: the more distant one of a call that
    /// stayed, the nearer one of a call that left; `None` if there was none.
    pub alternative: Option<Duration>,
    /// Share of the calls to the service that leave the data centre, 0 to 1.
    pub share: f64,
    /// The calls to the service start or stop leaving.
    pub change: Option<LeavingChange>,
}

/// Start or stop of leaving of the calls to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeavingChange {
    /// Distance of the upstreams that the calls leave for.
    pub distance: Distance,
    /// Whether leaving starts.
    pub starts: bool,
    /// Share of the calls that leaves now, 0 to 1.
    pub share: f64,
    /// Expected time at the nearer upstreams.
    pub here: Duration,
    /// Expected time at the more distant upstreams.
    pub there: Duration,
    /// Calls that run or wait per call that may run at a time, at the nearer upstreams.
    pub occupancy: f64,
}

/// State of the placement of the calls to one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Locality {
    /// Calls that leave the data centre.
    region: Leaving,
    /// Calls that leave the region.
    beyond: Leaving,
}

impl Locality {
    /// Share of the calls that leave the data centre, 0 to 1.
    pub(crate) fn share(&self) -> f64 {
        1.0 - (1.0 - self.region.share()) * (1.0 - self.beyond.share())
    }
}

/// A call to place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placing {
    pub(crate) now: Instant,
    pub(crate) stay: Duration,
    pub(crate) remaining: Option<Duration>,
    /// Whether the call is placed for the first time. Only these move the shares that leave: a call
    /// that is sent again avoids upstreams.
    pub(crate) first: bool,
}

/// An upstream that a call may go to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    /// Expected time in seconds.
    time: f64,
}

/// The usable upstreams at one distance.
#[derive(Debug, Default)]
struct Tier {
    indices: Vec<usize>,
    /// Calls that run or wait.
    calls: f64,
    /// Calls that may run at a time.
    limit: f64,
    link_time: Mean,
}

impl Tier {
    fn occupancy(&self) -> f64 {
        self.calls / self.limit.max(1.0)
    }
}

/// Chooses among the usable upstreams. Returns the index of the chosen one and what decided.
pub(crate) fn place_by_time(
    placing: Placing,
    rng: &mut impl Rng,
    all: &[Upstream],
    usable: &[usize],
    distance_of: impl Fn(&Member) -> Distance,
    locality: &mut Locality,
) -> Option<(usize, PlacementReason)> {
    let now = placing.now;
    let mut tiers: [Tier; 3] = Default::default();
    let mut service_time = Mean::default();
    let mut fault_rate = 1.0_f64;
    for index in usable.iter().copied() {
        let upstream = &all[index];
        let tier = &mut tiers[distance_of(&upstream.member) as usize];
        let (calls, limit) = upstream.occupancy(now);
        tier.indices.push(index);
        tier.calls += calls;
        tier.limit += limit;
        fault_rate = fault_rate.min(upstream.fault_rate(now));
        if let Some(weighted) = upstream.weighted_service_time(now) {
            service_time.add(weighted);
        }
        if let Some(weighted) = upstream.weighted_link_time(now) {
            tier.link_time.add(weighted);
        }
    }
    let mut best: Option<Candidate> = None;
    let mut alternative = None;
    let mut change = None;
    // The shortest expected time so far, the calls there and the limit. A call that stays although
    // there is a better place in the region must not count as one that the region has no place for.
    let (mut shortest, mut calls, mut limit) = (f64::INFINITY, 0.0, 0.0);
    for (distance, tier) in Distance::ALL.into_iter().zip(&tiers) {
        let baseline = TimeBaseline {
            service_time: service_time.get(),
            link_time: tier.link_time.get(),
            fault_rate,
        };
        let score = |index: usize| all[index].expected_time(now, baseline);
        let Some((time, index)) = pick_two(rng, &tier.indices, score) else {
            continue;
        };
        let there = Candidate { index, time };
        let Some(here) = best else {
            best = Some(there);
            (shortest, calls, limit) = (time, tier.calls, tier.limit);
            continue;
        };
        let leaving = match distance {
            Distance::Beyond => &mut locality.beyond,
            _ => &mut locality.region,
        };
        let comparison = Comparison {
            here: shortest,
            there: time,
            calls_ahead: all[index].calls_ahead(now).max(tier.occupancy()),
            occupancy: calls / limit,
            stay: placing.stay.as_secs_f64(),
            remaining: placing.remaining.map(|remaining| remaining.as_secs_f64()),
        };
        if placing.first {
            let starts = leaving.observe(now, &comparison);
            change = change.or(starts.map(|starts| LeavingChange {
                distance,
                starts,
                share: leaving.share(),
                here: seconds(shortest),
                there: seconds(time),
                occupancy: comparison.occupancy,
            }));
        }
        if leaving.leaves(rng, &comparison) {
            best = Some(there);
            alternative = Some(here.time);
        } else if alternative.is_none() {
            alternative = Some(time);
        }
        if comparison.has_room() {
            shortest = shortest.min(time);
        }
        calls += tier.calls;
        limit += tier.limit;
    }
    let best = best?;
    let reason = PlacementReason {
        expected: seconds(best.time),
        alternative: alternative.map(seconds),
        share: locality.share(),
        change,
    };
    Some((best.index, reason))
}

/// A duration for reports; a time that is too long for one is cut.
fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX)
}

/// Compares two random upstreams and returns the score and the index of the one with the lower score.
pub(crate) fn pick_two(
    rng: &mut impl Rng,
    usable: &[usize],
    score: impl Fn(usize) -> f64,
) -> Option<(f64, usize)> {
    let last = usable.len().checked_sub(1)?;
    let first = usable[rng.random_range(0..=last)];
    let mut second = usable[rng.random_range(0..=last)];
    if second == first && last > 0 {
        second = usable[(usable.iter().position(|i| *i == first)? + 1) % usable.len()];
    }
    let scored = [first, second].map(|index| (score(index), index));
    if scored[1].0 < scored[0].0 {
        Some(scored[1])
    } else {
        Some(scored[0])
    }
}
