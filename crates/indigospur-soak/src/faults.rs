//! The faults of a round, drawn from a seed.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::time::Duration;

/// Faults of a round at most.
const MOST_FAULTS: usize = 4;
/// Time within which the faults of a round begin, in milliseconds.
const BEGIN_MILLIS: std::ops::Range<u64> = 0..2_500;
/// Length of a fault, in milliseconds.
const LENGTH_MILLIS: std::ops::Range<u64> = 300..3_000;
/// Share of the rounds in which only planned work is done.
const PLANNED_SHARE: f64 = 0.3;

/// What happens to the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The daemon is killed, and started again later.
    KillDaemon,
    /// The daemon is suspended.
    FreezeDaemon,
    /// The daemon is told to stop, and started again later.
    StopDaemon,
    /// The backend server is killed, and started again later.
    KillBackend,
    /// The backend server is suspended.
    FreezeBackend,
    /// The backend server announces that it leaves, and is started again later.
    Leave,
    /// The connections to the daemon go silent for good; new ones work.
    Silence,
    /// No daemon reaches this one, and none is told.
    Cut,
    /// The connections to the daemon are reset.
    Reset,
    /// The platform's log is down.
    LogDown,
    /// The log takes long.
    LogSlow,
    /// The log appends and does not answer.
    LogLosesAnswers,
    /// A rule set is published.
    Publish,
}

const PLANNED: [Fault; 3] = [Fault::StopDaemon, Fault::Leave, Fault::Publish];
const UNPLANNED: [Fault; 10] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::KillBackend,
    Fault::FreezeBackend,
    Fault::Silence,
    Fault::Cut,
    Fault::Reset,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LogLosesAnswers,
];

impl Fault {
    /// Whether it is planned work, which must cut nothing.
    pub fn is_planned(self) -> bool {
        PLANNED.contains(&self)
    }
}

/// A fault of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scheduled {
    /// What happens.
    pub fault: Fault,
    /// Host that it happens to, by its place among all; no two faults of a round have the same.
    pub host: usize,
    /// When it begins, from the start of the round.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// Draws the faults of a round on a site of some hosts, in the order in which they begin.
pub fn draw(rng: &mut SmallRng, hosts: usize) -> Vec<Scheduled> {
    let mut places: Vec<usize> = (0..hosts).collect();
    places.shuffle(rng);
    let planned_only = rng.random_bool(PLANNED_SHARE);
    let count = rng.random_range(1..=MOST_FAULTS.min(hosts));
    let mut drawn: Vec<Scheduled> = places[..count]
        .iter()
        .map(|host| Scheduled {
            fault: draw_fault(rng, planned_only),
            host: *host,
            at: Duration::from_millis(rng.random_range(BEGIN_MILLIS)),
            length: Duration::from_millis(rng.random_range(LENGTH_MILLIS)),
        })
        .collect();
    drawn.sort_by_key(|planned| planned.at);
    drawn
}

fn draw_fault(rng: &mut SmallRng, planned_only: bool) -> Fault {
    let planned = PLANNED[rng.random_range(0..PLANNED.len())];
    let unplanned = UNPLANNED[rng.random_range(0..UNPLANNED.len())];
    if planned_only || rng.random_bool(PLANNED_SHARE) {
        planned
    } else {
        unplanned
    }
}
