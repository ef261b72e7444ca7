//! How long work takes at a backend server now, relative to its mean service time.

use indigospur_protocol::Pace;
use std::time::{Duration, Instant};

/// Age at which a pace that the backend server has told no longer counts.
const PACE_LIFETIME: Duration = Duration::from_millis(500);
/// Weight of a new sample of the mean, as that of the mean service time.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Paces that a backend server has told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceTracker {
    /// The pace told last, with the time.
    latest: Option<(Instant, Pace)>,
    /// Mean factor on the usual time in the calls that make up the mean service time; `None` before
    /// the first of them.
    mean: Option<f64>,
}

impl PaceTracker {
    pub(crate) fn observe(&mut self, now: Instant, pace: Pace) {
        self.latest = Some((now, pace));
    }

    /// Whether the backend server has told its pace.
    pub(crate) fn is_told(&self) -> bool {
        self.latest.is_some()
    }

    /// Takes account of a call that has become part of the mean service time.
    pub(crate) fn record_call(&mut self, now: Instant) {
        let factor = self.factor(now);
        let mean = self.mean.unwrap_or(factor);
        self.mean = Some(mean + SMOOTHING * (factor - mean));
    }

    /// The pace relative to that of the calls in the mean service time, which has followed a slow
    /// phase already in part; the usual pace would count that part twice.
    pub(crate) fn relative(&self, now: Instant) -> Pace {
        Pace::from_factor(self.factor(now) / self.mean.unwrap_or(1.0))
    }

    /// Factor on the usual time; fades to one while no pace is told.
    fn factor(&self, now: Instant) -> f64 {
        let Some((at, pace)) = self.latest else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at);
        pace.factor((1.0 - age.div_duration_f64(PACE_LIFETIME)).max(0.0))
    }
}
