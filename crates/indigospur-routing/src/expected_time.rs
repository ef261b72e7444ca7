//! Time in which a new call is expected to finish at an upstream, by its load reports, the calls of
//! this daemon and the time of the link.

use crate::upstream::{LOAD_LIFETIME, Upstream};
use std::time::{Duration, Instant};

/// Age at which a reported service time no longer counts. Until then a slow upstream is left aside;
/// later it is tried like one of the mean service time, which brings a new report.
const SERVICE_TIME_LIFETIME: Duration = Duration::from_secs(3);
/// Age at which a reported pace no longer counts; backend servers change it many times a second.
const PACE_LIFETIME: Duration = Duration::from_millis(500);
/// Age at which a measured link time no longer counts, so that a link that was slow is tried again.
const LINK_TIME_LIFETIME: Duration = Duration::from_secs(2);
/// Weight of the latest call in the moving average of the link time.
const LINK_SMOOTHING: f64 = 0.125;
/// Service time in seconds while no upstream has reported one.
const ASSUMED_SERVICE_TIME: f64 = 0.02;
/// Part by which a full upstream without a queue is expected to take longer than an idle one. Other
/// daemons send calls between two reports, so an upstream near its limit often has a queue when the
/// call arrives; without it all calls would go to the upstream with the lowest reported service time.
const CONTENTION: f64 = 0.5;
/// Calls ahead per slot that are assumed at least where this daemon has used its share of a rate
/// limit: a call sent there would be held back.
const RATE_LIMITED_RATIO: f64 = 3.0;

/// Weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    pub(crate) fn add(&mut self, (value, weight): (f64, f64)) {
        // Old values count only where there are no others. More weight would keep an upstream that was
        // slow above the mean of the others, and it would not be tried again.
        let weight = weight.max(1e-6);
        self.sum += value * weight;
        self.weight += weight;
    }

    /// The mean; `None` without values.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// What stands in for what is not known of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeBaseline {
    /// Mean service time of the usable upstreams, in seconds.
    pub(crate) service_time: Option<f64>,
    /// Mean link time to the upstreams at the same distance, in seconds.
    pub(crate) link_time: Option<f64>,
    /// Lowest fault rate of the usable upstreams.
    pub(crate) fault_rate: f64,
}

/// Remaining weight of a value of this age: one if it is new, zero from `lifetime` on.
fn freshness(now: Instant, at: Instant, lifetime: Duration) -> f64 {
    let age = now.saturating_duration_since(at);
    (1.0 - age.div_duration_f64(lifetime)).max(0.0)
}

impl Upstream {
    /// Calls that run or wait there, and the number that may run at a time. The report counts by its
    /// age; the calls that this daemon has started since and are in flight count in full.
    pub(crate) fn occupancy(&self, now: Instant) -> (f64, f64) {
        let slots = f64::from(self.member.slots.max(1));
        let own = f64::from(self.outstanding);
        let Some((at, load)) = self.load else {
            return (own, slots);
        };
        let fresh = freshness(now, at, LOAD_LIFETIME);
        let limit = f64::from(load.limit.max(1)) * fresh + slots * (1.0 - fresh);
        let reported = f64::from(load.in_flight + load.queued) * fresh;
        let started = f64::from(self.started.min(self.outstanding));
        let ahead = (reported + started).max(own);
        (ahead, limit)
    }

    /// Calls ahead of a new one per call that may run at a time.
    pub(crate) fn calls_ahead(&self, now: Instant) -> f64 {
        let (ahead, limit) = self.occupancy(now);
        let ratio = ahead / limit;
        if self.has_used_share(now) {
            ratio.max(RATE_LIMITED_RATIO)
        } else {
            ratio
        }
    }

    /// Reported service time in seconds with its weight; `None` before the first call has finished.
    pub(crate) fn weighted_service_time(&self, now: Instant) -> Option<(f64, f64)> {
        let (at, load) = self.load.filter(|(_, load)| !load.service_time.is_zero())?;
        let weight = freshness(now, at, SERVICE_TIME_LIFETIME);
        Some((load.service_time.as_secs_f64(), weight))
    }

    /// Measured link time in seconds with its weight; `None` before the first reply.
    pub(crate) fn weighted_link_time(&self, now: Instant) -> Option<(f64, f64)> {
        let (at, link_time) = self.link_time?;
        Some((link_time, freshness(now, at, LINK_TIME_LIFETIME)))
    }

    /// Records the time of the link: that of a reply less the residence time that it tells.
    pub(crate) fn record_link_time(&mut self, now: Instant, sample: Duration) {
        let sample = sample.as_secs_f64();
        let before = match self.link_time {
            Some((at, before)) if freshness(now, at, LINK_TIME_LIFETIME) > 0.0 => before,
            _ => sample,
        };
        self.link_time = Some((now, before + LINK_SMOOTHING * (sample - before)));
    }

    /// Seconds in which a new call is expected to be answered, raised for a fault rate above that of
    /// the best upstream.
    pub(crate) fn expected_time(&self, now: Instant, baseline: TimeBaseline) -> f64 {
        let mean = baseline.service_time.unwrap_or(ASSUMED_SERVICE_TIME);
        let service_time = blend(self.weighted_service_time(now), mean);
        let pace = self.load.map_or(1.0, |(at, load)| {
            load.pace.factor(freshness(now, at, PACE_LIFETIME))
        });
        let ratio = self.calls_ahead(now);
        let waiting = ratio.max(1.0) + CONTENTION * ratio.min(1.0).powi(3);
        let fault_penalty = self.fault_penalty(now, baseline.fault_rate);
        // A link whose time is not known is taken as one of the mean time, and tried if none is known.
        let link_time = match self.weighted_link_time(now) {
            Some((value, weight)) => value * weight,
            None => baseline.link_time.unwrap_or_default(),
        };
        service_time * pace * waiting * fault_penalty + link_time
    }
}

/// The value by its weight, and the mean by the rest.
fn blend(value: Option<(f64, f64)>, mean: f64) -> f64 {
    let (value, weight) = value.unwrap_or((mean, 0.0));
    value * weight + mean * (1.0 - weight)
}
