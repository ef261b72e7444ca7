//! Measurements taken during a run, and their summary.

use super::scenario::Scenario;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Length of a timeline bucket.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);
/// Time over which goodput is averaged to tell whether it has recovered.
const RECOVERY_WINDOW: Duration = Duration::from_secs(5);
/// Share of the steady offered rate from which goodput counts as recovered. The offered rate, all
/// of which completes before the trigger, is the reference because it has no measurement noise.
const RECOVERED_SHARE: f64 = 0.95;

/// Requests of one phase, by the time of their arrival, that have ended: `completed` counts those
/// answered in time. Requests still pending when the run ends are in neither count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) ended: u64,
    pub(crate) completed: u64,
}

impl Count {
    fn completed_share(self) -> f64 {
        if self.ended == 0 {
            1.0
        } else {
            self.completed as f64 / self.ended as f64
        }
    }
}

/// Counters and histograms filled during a run. Arrays are indexed by phase: before, during and
/// after the trigger.
pub(crate) struct RunStats {
    /// Requests completed in each bucket of the timeline.
    pub(crate) buckets: Vec<u64>,
    /// Requests of the protected class, of all customers.
    pub(crate) protected: [Count; 3],
    /// Requests of all customers but the largest.
    pub(crate) small: [Count; 3],
    /// Latencies in microseconds of the requests that completed, of all customers but the largest.
    pub(crate) small_latencies: [Histogram<u64>; 3],
    /// Service time spent on all requests.
    pub(crate) work: Duration,
    /// Service time spent on requests that failed.
    pub(crate) wasted: Duration,
    /// Calls made, without their retries; a request that is resent counts again.
    pub(crate) first_attempts: u64,
    /// Attempts sent, retries included.
    pub(crate) attempts: u64,
}

impl RunStats {
    pub(crate) fn new(scenario: &Scenario) -> RunStats {
        let buckets = scenario.total_duration().as_millis() / BUCKET_LENGTH.as_millis() + 1;
        let histogram = || Histogram::new(3).expect("3 significant digits are supported");
        RunStats {
            buckets: vec![0; buckets as usize],
            protected: Default::default(),
            small: Default::default(),
            small_latencies: [histogram(), histogram(), histogram()],
            work: Duration::ZERO,
            wasted: Duration::ZERO,
            first_attempts: 0,
            attempts: 0,
        }
    }

    pub(crate) fn record_completion(&mut self, elapsed: Duration) {
        let index = (elapsed.as_millis() / BUCKET_LENGTH.as_millis()) as usize;
        if let Some(bucket) = self.buckets.get_mut(index) {
            *bucket += 1;
        }
    }
}

/// The results of a run. "Small" customers are all but the largest.
#[derive(Clone, Debug)]
pub struct RunSummary {
    /// Requests completed during the trigger, relative to the capacity in that phase, or to the
    /// offered load if that is less. The first quarter of the trigger is left out as warm-up.
    pub goodput: f64,
    /// Share of the protected requests made during the trigger that completed.
    pub protected: f64,
    /// Share of the small customers' requests that completed, for those made before and during the
    /// trigger.
    pub small: [f64; 2],
    /// 99th percentile of the small customers' latency in microseconds, for requests made before
    /// and during the trigger.
    pub small_p99: [u64; 2],
    /// Share of all service time that was spent on requests that failed.
    pub wasted: f64,
    /// Attempts sent per call, retries included.
    pub attempts: f64,
    /// Time from the start of the trigger until goodput stays within 5 % of the steady rate; `None`
    /// if it does not recover.
    pub recovery: Option<Duration>,
    /// Time from the end of the trigger until goodput recovers; zero if it recovers earlier.
    pub recovery_after: Option<Duration>,
    /// Requests completed a second, in buckets of half a second.
    pub timeline: Vec<f64>,
}

impl RunSummary {
    pub(crate) fn new(scenario: &Scenario, stats: &RunStats) -> RunSummary {
        let seconds = BUCKET_LENGTH.as_secs_f64();
        let timeline: Vec<f64> = stats
            .buckets
            .iter()
            .map(|count| *count as f64 / seconds)
            .collect();
        let bucket = |time: Duration| (time.as_millis() / BUCKET_LENGTH.as_millis()) as usize;
        let (trigger_start, trigger_end) = (
            bucket(scenario.before),
            bucket(scenario.before + scenario.trigger),
        );
        let mean = |range: &[f64]| range.iter().sum::<f64>() / range.len().max(1) as f64;
        let steady_rate = scenario.steady * scenario.capacity();
        let warm_up = (trigger_end - trigger_start) / 4;
        let offered_rate = scenario.surge * scenario.capacity();
        let max_goodput = scenario.capacity_in_trigger().min(offered_rate);
        let recovered = find_recovery(
            &timeline,
            trigger_start,
            steady_rate,
            bucket(RECOVERY_WINDOW),
        );
        let since = |index: usize, from: usize| BUCKET_LENGTH * index.saturating_sub(from) as u32;
        RunSummary {
            goodput: mean(&timeline[trigger_start + warm_up..trigger_end]) / max_goodput,
            protected: stats.protected[1].completed_share(),
            small: [
                stats.small[0].completed_share(),
                stats.small[1].completed_share(),
            ],
            small_p99: [0, 1]
                .map(|phase: usize| stats.small_latencies[phase].value_at_quantile(0.99)),
            wasted: stats.wasted.as_secs_f64() / stats.work.as_secs_f64().max(1e-9),
            attempts: stats.attempts as f64 / stats.first_attempts.max(1) as f64,
            recovery: recovered.map(|index| since(index, trigger_start)),
            recovery_after: recovered.map(|index| since(index, trigger_end)),
            timeline,
        }
    }
}

/// Returns the first bucket from which on goodput, averaged over each window of `window_length`
/// buckets, stays at the recovered level; `None` if the last complete window is still below it.
fn find_recovery(
    timeline: &[f64],
    start: usize,
    steady_rate: f64,
    window_length: usize,
) -> Option<usize> {
    let last = timeline.len().checked_sub(window_length + 1)?;
    let is_recovered = |from: usize| {
        let window = &timeline[from..from + window_length];
        window.iter().sum::<f64>() / window_length as f64 >= steady_rate * RECOVERED_SHARE
    };
    let last_low = (start..last).rev().find(|from| !is_recovered(*from));
    match last_low {
        None => Some(start),
        Some(index) if index + 1 < last => Some(index + 1),
        Some(_) => None,
    }
}
