//! Moving average of service times.

use std::time::Duration;

/// Reciprocal of the weight of a new sample.
const SMOOTHING: u32 = 16;

/// Exponentially weighted moving average of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma(Option<Duration>);

impl Ewma {
    pub(crate) fn add(&mut self, sample: Duration) {
        let mean = self.0.unwrap_or(sample);
        self.0 = Some(mean - mean / SMOOTHING + sample / SMOOTHING);
    }

    /// The average; zero before the first sample.
    pub(crate) fn get(&self) -> Duration {
        self.0.unwrap_or_default()
    }
}
