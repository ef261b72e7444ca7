//! Arrivals at the shedding service over time, and the bound on repeats in every sliding window.

/// Time between two windows that are checked, and resolution of the counts, in milliseconds.
const STEP_MILLIS: u64 = 100;
/// Length of a window in steps.
const WINDOW: usize = 100;

/// First arrivals and repeats at a service, by step.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    first: Vec<u32>,
    repeats: Vec<u32>,
}

/// The window in which repeats come closest to their bound, or exceed it most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tightest {
    /// End of the window in seconds.
    pub(crate) end: f64,
    pub(crate) repeats: u32,
    /// Repeats that are allowed in the window.
    pub(crate) allowed: f64,
}

impl Arrivals {
    /// Counts an arrival at a time in milliseconds.
    pub(crate) fn count(&mut self, millis: u64, is_repeat: bool) {
        let step = (millis / STEP_MILLIS) as usize;
        if self.first.len() <= step {
            self.first.resize(step + 1, 0);
            self.repeats.resize(step + 1, 0);
        }
        let counts = if is_repeat {
            &mut self.repeats
        } else {
            &mut self.first
        };
        counts[step] += 1;
    }

    /// Checks every window of 10 s: repeats are at most `ratio` times the first arrivals in it, in the
    /// window before it or in the one that starts half a window earlier, plus `slack`.
    pub(crate) fn tightest(&self, ratio: f64, slack: f64) -> Tightest {
        let sum = |counts: &[u32], end: usize| -> u32 {
            let end = end.min(counts.len());
            counts[end.saturating_sub(WINDOW).min(end)..end]
                .iter()
                .sum()
        };
        let windows = (1..=self.first.len()).map(|end| {
            let earlier = |steps: usize| match end.checked_sub(steps) {
                Some(end) => sum(&self.first, end),
                None => 0,
            };
            let most = earlier(0).max(earlier(WINDOW / 2)).max(earlier(WINDOW));
            Tightest {
                end: (end as u64 * STEP_MILLIS) as f64 / 1_000.0,
                repeats: sum(&self.repeats, end),
                allowed: ratio * f64::from(most) + slack,
            }
        });
        let use_of = |window: &Tightest| f64::from(window.repeats) / window.allowed;
        windows
            .max_by(|a, b| use_of(a).total_cmp(&use_of(b)))
            .expect("there are arrivals")
    }
}
