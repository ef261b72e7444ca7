//! The faults of a round, drawn from a seed.

use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Faults of a round at most.
const MOST_FAULTS: usize = 7;
/// Time within which the faults of a round begin, in milliseconds.
const BEGIN_MILLIS: std::ops::Range<u64> = 0..2_500;
/// Length of a fault, in milliseconds.
const LENGTH_MILLIS: std::ops::Range<u64> = 300..3_000;
/// Share of the rounds in which only planned work is done.
const PLANNED_SHARE: f64 = 0.3;
/// Share of the faults that hit the same host as the one drawn before.
const SAME_HOST_SHARE: f64 = 0.35;
/// Share of the faults that repeat the one drawn before.
const REPEAT_SHARE: f64 = 0.15;

/// How a daemon is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// By SIGTERM.
    Once,
    /// By SIGTERM twice.
    Twice,
    /// By SIGINT.
    Interrupt,
    /// By SIGTERM, with SIGHUP after it.
    ThenReload,
    /// By SIGTERM right after SIGHUP.
    AfterReload,
    /// By SIGTERM; the daemon that follows is sent SIGHUP while it starts.
    ReloadInStart,
    /// By SIGTERM; the daemon that follows is sent SIGTERM while it starts.
    StopInStart,
}

/// What is wrong with a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// It has no byte.
    Empty,
    /// It ends in the middle.
    Cut,
    /// It is not there.
    Missing,
    /// It has a key that nobody knows.
    Unknown,
}

/// Where a wire leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From the other daemons to this one.
    Peers,
    /// From the daemon to the platform's log.
    Log,
    /// From the daemon to its backend server.
    Backend,
}

/// What happens to a wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Open connections go silent for good; new ones work.
    Silence,
    /// Nothing passes, and nobody is told.
    Cut,
    /// What is sent is lost; what comes back passes.
    CutThere,
    /// What comes back is lost, answers among it.
    CutBack,
    /// Open connections are reset.
    Reset,
    /// All is delayed.
    Delay,
    /// Nothing listens.
    Refuse,
    /// Answers are damaged. Not on the wire between daemons, whose bytes are not HTTP/1.1.
    Garble,
}

/// How the log fails for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTrouble {
    /// It is down.
    Down,
    /// It takes long.
    Slow,
    /// It appends and does not answer.
    LosesAnswers,
    /// It appends later and does not answer.
    Late,
    /// It forgets all records.
    Forgets,
}

/// What happens to the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The daemon is killed, and started again later.
    KillDaemon,
    /// The daemon is killed, the one that follows while it starts too, and started again later.
    KillStarting,
    /// The daemon is killed while it stops, and started again later.
    KillStopping,
    /// The daemon is suspended.
    FreezeDaemon,
    /// The daemon is told to stop, and started again later.
    StopDaemon(Stop),
    /// SIGHUP comes so many times in a row.
    Reload(u8),
    /// A signal without a meaning comes.
    Signal(&'static str),
    /// The settings file gets other values; with SIGHUP or without.
    Rewrite(bool),
    /// The settings file is spoiled for a while; with SIGHUP or without.
    SpoilSettings(Spoil, bool),
    /// The daemon is killed and starts with a spoiled settings file, which is mended later.
    StartSpoiled(Spoil),
    /// The daemon gets no descriptors beyond those that it has.
    FewDescriptors,
    /// The backend server is killed, and started again later under the same address.
    KillBackend,
    /// The backend server is suspended.
    FreezeBackend,
    /// The backend server takes many times as long.
    SlowBackend,
    /// The backend server announces that it leaves, and is started again later.
    Leave,
    /// A wire of the host fails.
    Wire(Link, Trouble),
    /// The platform's log fails for all.
    Log(LogTrouble),
    /// A rule set is published.
    Publish,
}

const PLANNED: [Fault; 27] = [
    Fault::StopDaemon(Stop::Once),
    Fault::StopDaemon(Stop::Twice),
    Fault::StopDaemon(Stop::Interrupt),
    Fault::StopDaemon(Stop::ThenReload),
    Fault::StopDaemon(Stop::AfterReload),
    Fault::StopDaemon(Stop::ReloadInStart),
    Fault::StopDaemon(Stop::StopInStart),
    Fault::Leave,
    Fault::Leave,
    Fault::Publish,
    Fault::Publish,
    Fault::Reload(1),
    Fault::Reload(5),
    Fault::Rewrite(true),
    Fault::Rewrite(false),
    Fault::SpoilSettings(Spoil::Empty, true),
    Fault::SpoilSettings(Spoil::Empty, false),
    Fault::SpoilSettings(Spoil::Cut, true),
    Fault::SpoilSettings(Spoil::Cut, false),
    Fault::SpoilSettings(Spoil::Missing, true),
    Fault::SpoilSettings(Spoil::Missing, false),
    Fault::SpoilSettings(Spoil::Unknown, true),
    Fault::SpoilSettings(Spoil::Unknown, false),
    Fault::Signal("USR1"),
    Fault::Signal("USR2"),
    Fault::Signal("PIPE"),
    Fault::Signal("ALRM"),
];
const UNPLANNED: [Fault; 39] = [
    Fault::KillDaemon,
    Fault::KillDaemon,
    Fault::KillStarting,
    Fault::KillStopping,
    Fault::FreezeDaemon,
    Fault::FreezeDaemon,
    Fault::StartSpoiled(Spoil::Empty),
    Fault::StartSpoiled(Spoil::Cut),
    Fault::StartSpoiled(Spoil::Missing),
    Fault::StartSpoiled(Spoil::Unknown),
    Fault::FewDescriptors,
    Fault::KillBackend,
    Fault::KillBackend,
    Fault::FreezeBackend,
    Fault::SlowBackend,
    Fault::Wire(Link::Peers, Trouble::Silence),
    Fault::Wire(Link::Peers, Trouble::Cut),
    Fault::Wire(Link::Peers, Trouble::CutThere),
    Fault::Wire(Link::Peers, Trouble::CutBack),
    Fault::Wire(Link::Peers, Trouble::Reset),
    Fault::Wire(Link::Peers, Trouble::Delay),
    Fault::Wire(Link::Peers, Trouble::Refuse),
    Fault::Wire(Link::Log, Trouble::Silence),
    Fault::Wire(Link::Log, Trouble::Cut),
    Fault::Wire(Link::Log, Trouble::CutBack),
    Fault::Wire(Link::Log, Trouble::Reset),
    Fault::Wire(Link::Log, Trouble::Delay),
    Fault::Wire(Link::Log, Trouble::Refuse),
    Fault::Wire(Link::Backend, Trouble::Silence),
    Fault::Wire(Link::Backend, Trouble::CutBack),
    Fault::Wire(Link::Backend, Trouble::Reset),
    Fault::Wire(Link::Backend, Trouble::Delay),
    Fault::Wire(Link::Backend, Trouble::Refuse),
    Fault::Wire(Link::Backend, Trouble::Garble),
    Fault::Log(LogTrouble::Down),
    Fault::Log(LogTrouble::Slow),
    Fault::Log(LogTrouble::LosesAnswers),
    Fault::Log(LogTrouble::Late),
    Fault::Log(LogTrouble::Forgets),
];

impl Fault {
    /// Whether it is planned work, which must cut nothing.
    pub fn is_planned(self) -> bool {
        PLANNED.contains(&self)
    }

    /// All faults that are drawn.
    pub fn all() -> impl Iterator<Item = Fault> {
        PLANNED.into_iter().chain(UNPLANNED)
    }
}

/// A fault of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scheduled {
    /// What happens.
    pub fault: Fault,
    /// Host that it happens to, by its place among all; faults of a round may share one.
    pub host: usize,
    /// When it begins, from the start of the round.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
}

impl Scheduled {
    /// A fault at a time and of a length in milliseconds.
    pub fn new(fault: Fault, host: usize, at: u64, length: u64) -> Scheduled {
        Scheduled {
            fault,
            host,
            at: Duration::from_millis(at),
            length: Duration::from_millis(length),
        }
    }
}

/// Draws the faults of a round on a site of some hosts, in the order in which they begin.
pub fn draw(rng: &mut SmallRng, hosts: usize) -> Vec<Scheduled> {
    let planned_only = rng.random_bool(PLANNED_SHARE);
    let count = rng.random_range(1..=MOST_FAULTS);
    let mut drawn: Vec<Scheduled> = Vec::with_capacity(count);
    for _ in 0..count {
        let last = drawn.last().copied();
        let scheduled = draw_one(rng, hosts, planned_only, last);
        drawn.push(scheduled);
    }
    drawn.sort_by_key(|scheduled| scheduled.at);
    drawn
}

fn draw_one(
    rng: &mut SmallRng,
    hosts: usize,
    planned_only: bool,
    last: Option<Scheduled>,
) -> Scheduled {
    let repeats = last.filter(|_| rng.random_bool(REPEAT_SHARE));
    let near = last.filter(|_| rng.random_bool(SAME_HOST_SHARE));
    let fault = draw_fault(rng, planned_only);
    let host = rng.random_range(0..hosts);
    Scheduled::new(
        repeats.map_or(fault, |last| last.fault),
        repeats.or(near).map_or(host, |last| last.host),
        rng.random_range(BEGIN_MILLIS),
        rng.random_range(LENGTH_MILLIS),
    )
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
