//! Response times of calls, to tell whether a later call ends in time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls of a name whose times are kept.
const MAX_SAMPLES: usize = 64;
/// Calls that must be known for their longest time to count as a bound.
const MIN_SAMPLES: usize = 16;
/// Time that a call is taken to need where few are known.
const ASSUMED_TIME: Duration = Duration::from_secs(1);
/// Names that are kept; those without running calls are dropped when there are more.
const MAX_NAMES: usize = 4_096;

/// What to expect of a call of whose kind few are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caution {
    /// It takes about as long as others: it may be repeated, or a running call waits for it.
    Usual,
    /// It may take any time: it must not be cut off once it runs, and its caller can go elsewhere.
    Strict,
}

impl Caution {
    /// The caution with a call that may be repeated or not, inside of a chain of calls or not.
    pub fn new(idempotent: bool, in_chain: bool) -> Caution {
        if idempotent || in_chain {
            Caution::Usual
        } else {
            Caution::Strict
        }
    }
}

/// Calls whose response times are alike.
#[derive(Clone, Copy, Debug)]
pub struct CallKind<'a> {
    /// Name under which their times are recorded.
    pub name: &'a str,
    /// What to expect where few are known.
    pub caution: Caution,
}

/// Number of a call among all that were started.
pub type CallNumber = u64;

#[derive(Debug, Default)]
struct Series {
    /// Times of the calls that ended last, at most [`MAX_SAMPLES`].
    samples: VecDeque<Duration>,
    /// Start of each running call, the oldest first.
    running: BTreeMap<CallNumber, Instant>,
}

impl Series {
    fn record(&mut self, sample: Duration) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    fn longest(&self, now: Instant) -> Duration {
        let ended = self.samples.iter().copied();
        let oldest = self.running.values().next();
        let running = oldest.map(|started| now.saturating_duration_since(*started));
        ended.chain(running).max().unwrap_or_default()
    }
}

/// Response times of calls by name, such as that of a rule or service.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    series: HashMap<Arc<str>, Series>,
    started: CallNumber,
}

impl ResponseTimes {
    /// Records the start of a call.
    pub fn start(&mut self, now: Instant, name: &Arc<str>) -> CallNumber {
        if self.series.len() >= MAX_NAMES && !self.series.contains_key(name) {
            self.series.retain(|_, series| !series.running.is_empty());
        }
        self.started += 1;
        let series = self.series.entry(name.clone()).or_default();
        series.running.insert(self.started, now);
        self.started
    }

    /// Records the end of a call. `ran` tells whether its time is that of a call that ran.
    pub fn finish(&mut self, now: Instant, name: &str, number: CallNumber, ran: bool) {
        let Some(series) = self.series.get_mut(name) else {
            return;
        };
        let started = series.running.remove(&number);
        if let Some(started) = started.filter(|_| ran) {
            series.record(now.saturating_duration_since(started));
        }
    }

    /// Time within which a call is expected to end: that of the longest among the last ones, and no less
    /// than the oldest running call has taken so far. Where few calls are known, a call with
    /// [`Caution::Strict`] may take any time, another one at least [`ASSUMED_TIME`].
    pub fn bound(&self, now: Instant, kind: CallKind<'_>) -> Duration {
        let series = self.series.get(kind.name);
        let samples = series.map_or(0, |series| series.samples.len());
        let longest = series.map_or(Duration::ZERO, |series| series.longest(now));
        match kind.caution {
            _ if samples >= MIN_SAMPLES => longest,
            Caution::Strict => Duration::MAX,
            Caution::Usual => longest.max(ASSUMED_TIME),
        }
    }
}
