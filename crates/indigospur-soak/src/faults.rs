//! Kinds of faults, and the random draw of a round's faults.

use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Most faults in a round.
const MAX_FAULTS: usize = 7;
/// Begin of a fault in milliseconds from the start of the round.
const BEGIN_MILLIS: std::ops::Range<u64> = 0..2_500;
/// Duration of a fault in milliseconds.
const DURATION_MILLIS: std::ops::Range<u64> = 300..3_000;
/// Share of the rounds that consist of planned work only, and of planned work in the other rounds.
const PLANNED_SHARE: f64 = 0.3;
/// Share of the faults that hit the same host as the fault drawn before.
const SAME_HOST_SHARE: f64 = 0.35;
/// Share of the faults that repeat the fault drawn before, on the same host.
const REPEAT_SHARE: f64 = 0.15;

/// Signals by which a daemon is stopped and restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMethod {
    /// SIGTERM.
    Terminate,
    /// SIGTERM twice in a row.
    TerminateTwice,
    /// SIGINT.
    Interrupt,
    /// SIGTERM, then SIGHUP while the daemon stops.
    TerminateThenReload,
    /// SIGHUP, then SIGTERM at once.
    ReloadThenTerminate,
    /// SIGTERM; the next daemon receives SIGHUP while it starts.
    ReloadDuringRestart,
    /// SIGTERM; the next daemon receives SIGTERM while it starts.
    TerminateDuringRestart,
}

/// Defect of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsDefect {
    /// The file is empty.
    Empty,
    /// The second half of the file is cut off.
    Truncated,
    /// The file does not exist.
    Missing,
    /// The file has a key that the daemon does not know.
    UnknownKey,
}

/// Connections of a host that lead through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From the other daemons to this one.
    Peers,
    /// From the daemon to the platform's log.
    Log,
    /// From the daemon to its backend server.
    Backend,
}

/// Fault of a network link. The target is the side that accepts connections, the client the one
/// that opens them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// The open connections go silent for good, without acknowledgements; new connections work.
    BlackholeOpen,
    /// All bytes are dropped while the connections stay open.
    Blackhole,
    /// Bytes to the target are dropped; the other direction works.
    BlackholeToTarget,
    /// Bytes to the client, answers included, are dropped; the other direction works.
    BlackholeToClient,
    /// Open connections are closed; new connections work.
    CloseOpen,
    /// Bytes are delayed in both directions.
    Delay,
    /// Open connections are closed, and new ones are refused.
    Refuse,
    /// Answers are corrupted. Not on links between daemons, whose protocol is not HTTP/1.1.
    Corrupt,
    /// Answers consist of interim responses (1xx) without end. Not on links between daemons.
    FloodInterim,
    /// Answers have a body without a length and without an end. Not on links between daemons.
    FloodBody,
}

/// Fault of the platform's log, for all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFault {
    /// The log is down.
    Down,
    /// Each answer is delayed.
    Slow,
    /// Records are appended, but appends are not answered.
    LoseAnswers,
    /// Records are appended late, and appends are not answered.
    AppendLate,
    /// All records expire at once.
    ExpireRecords,
}

/// Fault or planned work on the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The daemon is killed, and restarted at the end of the fault.
    KillDaemon,
    /// The daemon is killed, the next one is killed during its start, and another is started at the
    /// end of the fault.
    KillDuringStart,
    /// The daemon is killed while it stops, and restarted at the end of the fault.
    KillDuringStop,
    /// The daemon is suspended (SIGSTOP) until the end of the fault.
    SuspendDaemon,
    /// The daemon is stopped, and restarted after the end of the fault.
    StopDaemon(StopMethod),
    /// SIGHUP is sent to the daemon this many times in a row.
    Reload(u8),
    /// A signal that has no meaning for the daemon is sent to it, given by a name such as `USR1`.
    Signal(&'static str),
    /// The settings file gets other valid values; SIGHUP follows if true.
    RewriteSettings(bool),
    /// The settings file is broken until the end of the fault; SIGHUP follows both changes if true.
    BreakSettings(SettingsDefect, bool),
    /// The daemon is killed and started with a broken settings file, which is restored at the end
    /// of the fault.
    StartWithBrokenSettings(SettingsDefect),
    /// The daemon's limit on file descriptors is lowered to the number it has open.
    LimitDescriptors,
    /// The backend server is killed, and restarted under the same address at the end of the fault.
    KillBackend,
    /// The backend server is suspended (SIGSTOP) until the end of the fault.
    SuspendBackend,
    /// The backend server takes several times as long for each call.
    SlowBackend,
    /// The backend server announces that it leaves, and is restarted at the end of the fault.
    DrainBackend,
    /// The backend server stops announcing itself and says in its answers that it leaves; it is
    /// restarted at the end of the fault.
    LeaveInAnswers,
    /// The backend server names in its answers a limit on the calls a second that it takes.
    LimitRate(u32),
    /// A network link of the host fails.
    Link(Link, LinkFault),
    /// The platform's log fails for all daemons.
    Log(LogFault),
    /// A new rule set is published.
    Publish,
}

const PLANNED: [Fault; 30] = [
    Fault::StopDaemon(StopMethod::Terminate),
    Fault::StopDaemon(StopMethod::TerminateTwice),
    Fault::StopDaemon(StopMethod::Interrupt),
    Fault::StopDaemon(StopMethod::TerminateThenReload),
    Fault::StopDaemon(StopMethod::ReloadThenTerminate),
    Fault::StopDaemon(StopMethod::ReloadDuringRestart),
    Fault::StopDaemon(StopMethod::TerminateDuringRestart),
    Fault::DrainBackend,
    Fault::DrainBackend,
    Fault::LeaveInAnswers,
    Fault::LimitRate(5),
    Fault::LimitRate(0),
    Fault::Publish,
    Fault::Publish,
    Fault::Reload(1),
    Fault::Reload(5),
    Fault::RewriteSettings(true),
    Fault::RewriteSettings(false),
    Fault::BreakSettings(SettingsDefect::Empty, true),
    Fault::BreakSettings(SettingsDefect::Empty, false),
    Fault::BreakSettings(SettingsDefect::Truncated, true),
    Fault::BreakSettings(SettingsDefect::Truncated, false),
    Fault::BreakSettings(SettingsDefect::Missing, true),
    Fault::BreakSettings(SettingsDefect::Missing, false),
    Fault::BreakSettings(SettingsDefect::UnknownKey, true),
    Fault::BreakSettings(SettingsDefect::UnknownKey, false),
    Fault::Signal("USR1"),
    Fault::Signal("USR2"),
    Fault::Signal("PIPE"),
    Fault::Signal("ALRM"),
];
const UNPLANNED: [Fault; 42] = [
    Fault::KillDaemon,
    Fault::KillDaemon,
    Fault::KillDuringStart,
    Fault::KillDuringStop,
    Fault::SuspendDaemon,
    Fault::SuspendDaemon,
    Fault::StartWithBrokenSettings(SettingsDefect::Empty),
    Fault::StartWithBrokenSettings(SettingsDefect::Truncated),
    Fault::StartWithBrokenSettings(SettingsDefect::Missing),
    Fault::StartWithBrokenSettings(SettingsDefect::UnknownKey),
    Fault::LimitDescriptors,
    Fault::KillBackend,
    Fault::KillBackend,
    Fault::SuspendBackend,
    Fault::SlowBackend,
    Fault::Link(Link::Peers, LinkFault::BlackholeOpen),
    Fault::Link(Link::Peers, LinkFault::Blackhole),
    Fault::Link(Link::Peers, LinkFault::BlackholeToTarget),
    Fault::Link(Link::Peers, LinkFault::BlackholeToClient),
    Fault::Link(Link::Peers, LinkFault::CloseOpen),
    Fault::Link(Link::Peers, LinkFault::Delay),
    Fault::Link(Link::Peers, LinkFault::Refuse),
    Fault::Link(Link::Log, LinkFault::BlackholeOpen),
    Fault::Link(Link::Log, LinkFault::Blackhole),
    Fault::Link(Link::Log, LinkFault::BlackholeToClient),
    Fault::Link(Link::Log, LinkFault::CloseOpen),
    Fault::Link(Link::Log, LinkFault::Delay),
    Fault::Link(Link::Log, LinkFault::Refuse),
    Fault::Link(Link::Backend, LinkFault::BlackholeOpen),
    Fault::Link(Link::Backend, LinkFault::BlackholeToClient),
    Fault::Link(Link::Backend, LinkFault::CloseOpen),
    Fault::Link(Link::Backend, LinkFault::Delay),
    Fault::Link(Link::Backend, LinkFault::Refuse),
    Fault::Link(Link::Backend, LinkFault::Corrupt),
    Fault::Link(Link::Backend, LinkFault::FloodInterim),
    Fault::Link(Link::Backend, LinkFault::FloodBody),
    Fault::Link(Link::Log, LinkFault::FloodBody),
    Fault::Log(LogFault::Down),
    Fault::Log(LogFault::Slow),
    Fault::Log(LogFault::LoseAnswers),
    Fault::Log(LogFault::AppendLate),
    Fault::Log(LogFault::ExpireRecords),
];

impl Fault {
    /// Whether the fault is planned work, under which no request may be lost or late.
    pub fn is_planned(self) -> bool {
        PLANNED.contains(&self)
    }

    /// All kinds of faults that can be drawn; a kind with a higher probability is repeated.
    pub fn all() -> impl Iterator<Item = Fault> {
        PLANNED.into_iter().chain(UNPLANNED)
    }
}

/// A fault with its host and time in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Kind of the fault.
    pub fault: Fault,
    /// Index of the host; faults of a round may share a host.
    pub host: usize,
    /// Begin of the fault, from the start of the round.
    pub at: Duration,
    /// Duration of the fault. The ends of `Fault::DrainBackend`, `Fault::LeaveInAnswers` and
    /// `Fault::LimitRate` are timed by the soak instead.
    pub duration: Duration,
}

impl ScheduledFault {
    /// Creates a fault with its begin and duration in milliseconds.
    pub fn new(fault: Fault, host: usize, at_millis: u64, duration_millis: u64) -> ScheduledFault {
        ScheduledFault {
            fault,
            host,
            at: Duration::from_millis(at_millis),
            duration: Duration::from_millis(duration_millis),
        }
    }
}

/// Draws the faults of a round on a site with this number of hosts, sorted by their begin. The same
/// generator state gives the same faults.
pub fn draw_faults(rng: &mut SmallRng, hosts: usize) -> Vec<ScheduledFault> {
    let planned_only = rng.random_bool(PLANNED_SHARE);
    let count = rng.random_range(1..=MAX_FAULTS);
    let mut drawn: Vec<ScheduledFault> = Vec::with_capacity(count);
    for _ in 0..count {
        let last = drawn.last().copied();
        let scheduled = draw_scheduled(rng, hosts, planned_only, last);
        drawn.push(scheduled);
    }
    drawn.sort_by_key(|scheduled| scheduled.at);
    drawn
}

fn draw_scheduled(
    rng: &mut SmallRng,
    hosts: usize,
    planned_only: bool,
    last: Option<ScheduledFault>,
) -> ScheduledFault {
    let repeated = last.filter(|_| rng.random_bool(REPEAT_SHARE));
    let same_host = last.filter(|_| rng.random_bool(SAME_HOST_SHARE));
    let fault = draw_fault(rng, planned_only);
    let host = rng.random_range(0..hosts);
    ScheduledFault::new(
        repeated.map_or(fault, |last| last.fault),
        repeated.or(same_host).map_or(host, |last| last.host),
        rng.random_range(BEGIN_MILLIS),
        rng.random_range(DURATION_MILLIS),
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
