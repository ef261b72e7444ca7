//! Bound on the repeats in a sliding window, paid for by the first sends of the last two windows.

use indigospur_protocol::RetryOrder;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slots of a window, in which sends are counted.
const SLOTS: usize = 20;
/// Slots that are kept: two windows and the current slot.
const KEPT: usize = 2 * SLOTS + 1;
/// Ratio that a bound over all daemons must allow for each percent of the setting. The rest of the
/// margin, 16 of 20 percent, covers daemons whose greatest windows lie at different times.
const BOUND_FACTOR: f64 = 1.25;
/// Weights of the current window and the one before it where daemons' allowances are summed. With
/// fixed weights the sum over daemons never exceeds the greater window of all of them together,
/// however load moves between them; with each daemon's own greatest window it could be twice that. The
/// earlier window weighs more, since requests that are refused while a service sheds send nothing.
const SUM_WEIGHTS: (f64, f64) = (0.25, 0.75);

/// Size of a retry window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowOptions {
    /// Length of the window.
    pub length: Duration,
    /// Repeats allowed beyond the share of first sends: this daemon's portion of those that all
    /// daemons together may make.
    pub slack: f64,
}

/// Positions in the retry order that are kept of the first sends in a slot.
const MAX_SAMPLES: usize = 16;

/// Sends in one slot.
#[derive(Clone, Debug, Default)]
struct Slot {
    first: u32,
    repeats: u32,
    /// Positions of every `stride`th first send; at most [`MAX_SAMPLES`].
    samples: Vec<RetryOrder>,
    /// Zero counts as one.
    stride: u32,
}

impl Slot {
    fn count_first(&mut self, order: RetryOrder) {
        let stride = self.stride.max(1);
        if self.first.is_multiple_of(stride) {
            if self.samples.len() == MAX_SAMPLES {
                let mut index = 0;
                self.samples.retain(|_| {
                    index += 1;
                    index % 2 == 1
                });
                self.stride = stride * 2;
            }
            self.samples.push(order);
        }
        self.first += 1;
    }
}

/// First sends and repeats of the last two windows.
#[derive(Clone, Debug)]
pub(crate) struct RetryWindow {
    options: WindowOptions,
    /// Start of the first slot.
    start: Instant,
    /// Number of the current slot, counted from `start`.
    current: u64,
    /// The latest slots, the current one last; always [`KEPT`].
    slots: VecDeque<Slot>,
    /// Result of [`RetryWindow::available`] since the last slot began, less the repeats made since;
    /// `None` if it has to be computed.
    available: Option<f64>,
}

impl RetryWindow {
    /// Creates a window without sends.
    pub(crate) fn new(now: Instant, options: WindowOptions) -> RetryWindow {
        RetryWindow {
            options,
            start: now,
            current: 0,
            slots: VecDeque::from(vec![Slot::default(); KEPT]),
            available: None,
        }
    }

    /// Changes the slack, and the length if it differs; the counts start anew in the latter case.
    pub(crate) fn set_options(&mut self, now: Instant, options: WindowOptions) {
        if options.length != self.options.length {
            *self = RetryWindow::new(now, options);
        }
        if options != self.options {
            self.available = None;
        }
        self.options = options;
    }

    /// Has [`RetryWindow::available`] computed anew, as after a change of its percentage.
    pub(crate) fn forget_available(&mut self) {
        self.available = None;
    }

    /// Drops slots that are too old. A time before that of an earlier call counts as the latter.
    fn advance(&mut self, now: Instant) {
        let slot = self.options.length.max(Duration::from_millis(20)) / SLOTS as u32;
        let since = now.saturating_duration_since(self.start);
        let number = (since.as_nanos() / slot.as_nanos()) as u64;
        let passed = number.saturating_sub(self.current).min(KEPT as u64);
        if passed > 0 {
            self.available = None;
        }
        for _ in 0..passed {
            self.slots.pop_front();
            self.slots.push_back(Slot::default());
        }
        self.current = self.current.max(number);
    }

    /// Counts a first send.
    pub(crate) fn count_first(&mut self, now: Instant, order: RetryOrder) {
        self.advance(now);
        if let Some(slot) = self.slots.back_mut() {
            slot.count_first(order);
        }
        if self.available.is_some_and(|available| available < 1.0) {
            self.available = None;
        }
    }

    /// Counts a repeat.
    pub(crate) fn count_repeat(&mut self, now: Instant) {
        self.advance(now);
        if let Some(slot) = self.slots.back_mut() {
            slot.repeats += 1;
        }
        if let Some(available) = &mut self.available {
            *available -= 1.0;
        }
    }

    /// Repeats that may be made now. They count in each window that ends within a window from now,
    /// and each of these is checked as if no first send followed: the first sends of a burst leave
    /// the windows that pay before the repeats do.
    pub(crate) fn available(&mut self, now: Instant, percent: u32) -> f64 {
        self.advance(now);
        if let Some(available) = self.available {
            return available;
        }
        let totals = Totals::new(&self.slots);
        let ratio = f64::from(percent) / 100.0;
        let available = (0..=SLOTS).map(|ahead| totals.available(ahead, ratio));
        let available = available.fold(f64::INFINITY, f64::min) + self.options.slack;
        self.available = Some(available);
        available
    }
}

impl RetryWindow {
    /// Repeats a second that use up what the greatest window allows within one window.
    pub(crate) fn pace(&mut self, now: Instant, percent: u32) -> f64 {
        self.advance(now);
        let greatest = Totals::new(&self.slots).greatest(0);
        let allowed = f64::from(percent) / 100.0 * greatest + self.options.slack;
        allowed / self.options.length.as_secs_f64()
    }

    /// First sends a second by their position in the retry order, in ascending order of position,
    /// over the slots kept; of a sample in each slot.
    pub(crate) fn first_rates(&mut self, now: Instant) -> Vec<(RetryOrder, f64)> {
        self.advance(now);
        let kept = (self.current + 1).min(KEPT as u64) as f64;
        let seconds = kept * self.options.length.as_secs_f64() / SLOTS as f64;
        let mut rates: Vec<(RetryOrder, f64)> = Vec::new();
        for slot in &self.slots {
            let rate = f64::from(slot.first) / slot.samples.len().max(1) as f64 / seconds;
            rates.extend(slot.samples.iter().map(|order| (*order, rate)));
        }
        rates.sort_by_key(|(order, _)| *order);
        rates
    }
}

/// Running totals over the slots.
struct Totals {
    first: [u32; KEPT + 1],
    repeats: [u32; KEPT + 1],
}

impl Totals {
    fn new(slots: &VecDeque<Slot>) -> Totals {
        let mut totals = Totals {
            first: [0; KEPT + 1],
            repeats: [0; KEPT + 1],
        };
        for (index, slot) in slots.iter().enumerate() {
            totals.first[index + 1] = totals.first[index] + slot.first;
            totals.repeats[index + 1] = totals.repeats[index] + slot.repeats;
        }
        totals
    }

    /// First sends in the slots `from..to`.
    fn first(&self, from: usize, to: usize) -> f64 {
        let (from, to) = (from.min(KEPT), to.min(KEPT));
        f64::from(self.first[to].saturating_sub(self.first[from]))
    }

    /// First sends in the window that ends `ahead` slots after the current one, in the one before it
    /// or in the one that starts half a window earlier, whichever has most.
    fn greatest(&self, ahead: usize) -> f64 {
        let (now, before) = (KEPT - 1 - SLOTS + ahead, ahead);
        let half = now - SLOTS / 2;
        self.first(now + 1, KEPT)
            .max(self.first(half + 1, half + 1 + SLOTS))
            .max(self.first(before + 1, before + 1 + SLOTS))
    }

    /// Repeats left in a window that ends `ahead` slots after the current one, without slack. The slot
    /// in which the window begins counts as a whole for repeats, and not at all for the first sends
    /// in the sum over daemons.
    fn available(&self, ahead: usize, ratio: f64) -> f64 {
        let (now, before) = (KEPT - 1 - SLOTS + ahead, ahead);
        let summed = SUM_WEIGHTS.0 * self.first(now + 1, KEPT)
            + SUM_WEIGHTS.1 * self.first(before + 1, before + SLOTS);
        let repeats = self.repeats[KEPT] - self.repeats[now.min(KEPT)];
        (ratio * self.greatest(ahead)).min(BOUND_FACTOR * ratio * summed) - f64::from(repeats)
    }
}
