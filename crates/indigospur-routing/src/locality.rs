//! Which share of the calls to a service leaves the data centre, or the region. Each daemon decides
//! for its own calls, by the expected times at the nearer and the more distant upstreams.

use rand::Rng;
use std::time::{Duration, Instant};

/// Time between two changes of the share.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Steps that are made at once after a pause between calls.
const MAX_STEPS: f64 = 4.0;
/// Largest change of the share in a step. Load reports are as old as a call takes, so larger steps
/// would go on after the overload has ended.
const STEP: f64 = 0.1;
/// Change of the share in a step while it is not certain that the calls have room if they return.
const TRIAL_STEP: f64 = 0.01;
/// Part of the time that leaving must save below which the share falls. Between it and the whole the
/// share stays, so that calls don't move to and fro.
const RETURN_FRACTION: f64 = 0.5;
/// Occupancy of the nearer upstreams, with the calls that would return, up to which they have room.
const RETURN_OCCUPANCY: f64 = 0.9;
/// Calls ahead per call that may run at a time from which a more distant upstream has no room.
const MAX_OCCUPANCY: f64 = 0.85;
/// Part of the remaining time from which a call counts as almost late at the nearer upstreams. The
/// expected time is a mean, and a call that takes longer misses its deadline.
const ALMOST_LATE: f64 = 0.8;
/// Part of the expected time here below which an almost late call leaves for upstreams that are full.
/// Without it calls are refused here while the queues elsewhere are short.
const OVERLOAD_FRACTION: f64 = 0.5;
/// Share from which the calls of a service count as leaving in logs.
const REPORTED_SHARE: f64 = 0.05;

/// What is known when a call is to leave or to stay. Times are in seconds and include the link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    /// Expected time at the best nearer candidate.
    pub(crate) here: f64,
    /// Expected time at the more distant candidate.
    pub(crate) there: f64,
    /// Calls ahead per call that may run at a time, at the more distant candidate.
    pub(crate) calls_ahead: f64,
    /// Calls that run or wait per call that may run at a time, at all nearer upstreams together.
    pub(crate) occupancy: f64,
    /// Time that leaving must save.
    pub(crate) stay: f64,
    /// Time left until the call misses its deadline.
    pub(crate) remaining: Option<f64>,
}

impl Comparison {
    /// Whether the more distant candidate has room for this call.
    pub(crate) fn has_room(&self) -> bool {
        let almost_late = self
            .remaining
            .is_some_and(|remaining| self.here > ALMOST_LATE * remaining);
        self.calls_ahead < MAX_OCCUPANCY
            || almost_late && self.there < OVERLOAD_FRACTION * self.here
    }

    /// Time that leaving saves; nothing without room.
    fn saving(&self) -> f64 {
        if self.has_room() {
            self.here - self.there
        } else {
            0.0
        }
    }

    /// Whether the call would be too late here, and in time there.
    fn misses_here_only(&self) -> bool {
        self.remaining
            .is_some_and(|remaining| self.here > remaining && self.there <= remaining)
    }
}

/// Calls of one service that leave for more distant upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Leaving {
    /// Share of the calls that leave, 0 to 1.
    share: f64,
    /// Whether the start of leaving was reported, and its end was not.
    reported: bool,
    /// Time of the last change of the share.
    stepped: Option<Instant>,
    /// Sum of the savings since then, and their number.
    savings: (f64, u32),
}

impl Leaving {
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Takes account of a call's comparison, and moves the share if a step is due. Returns whether
    /// leaving starts or stops, if it does.
    pub(crate) fn observe(&mut self, now: Instant, comparison: &Comparison) -> Option<bool> {
        self.savings.0 += comparison.saving();
        self.savings.1 += 1;
        let since = *self.stepped.get_or_insert(now);
        let steps = now
            .saturating_duration_since(since)
            .div_duration_f64(STEP_INTERVAL);
        if steps < 1.0 {
            return None;
        }
        let saving = self.savings.0 / f64::from(self.savings.1);
        self.share += self.step(saving, comparison) * steps.min(MAX_STEPS);
        self.share = self.share.clamp(0.0, 1.0);
        self.stepped = Some(now);
        self.savings = (0.0, 0);
        self.report_change()
    }

    /// Change of the share that a mean saving justifies: more than `stay` moves calls away, less than
    /// a part of it brings them back.
    fn step(&self, saving: f64, comparison: &Comparison) -> f64 {
        let excess = saving - comparison.stay;
        if excess > 0.0 {
            STEP * (excess / comparison.there.max(1e-3)).min(1.0)
        } else if saving > comparison.stay * RETURN_FRACTION {
            0.0
        } else if comparison.occupancy <= RETURN_OCCUPANCY * (1.0 - self.share) {
            -STEP
        } else {
            -TRIAL_STEP
        }
    }

    fn report_change(&mut self) -> Option<bool> {
        let leaves = if self.reported {
            self.share > 0.0
        } else {
            self.share >= REPORTED_SHARE
        };
        let changed = leaves != self.reported;
        self.reported = leaves;
        changed.then_some(leaves)
    }

    /// Whether this call leaves.
    pub(crate) fn leaves(&self, rng: &mut impl Rng, comparison: &Comparison) -> bool {
        if !comparison.has_room() {
            return false;
        }
        let saves = comparison.saving() > 0.0;
        comparison.misses_here_only() || saves && rng.random::<f64>() < self.share
    }
}
