//! What the soak has done to the processes of a host, so that what they do by themselves shows.

use crate::observed::Ended;
use indigospur_test_support::{Node, StartingProcess};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Exit status of a daemon whose settings are wrong.
pub(crate) const EXIT_SETTINGS: i32 = 2;
/// Exit status of a daemon that has stopped and cut something off.
pub(crate) const EXIT_CUT_OFF: i32 = 3;
/// Longest time that a daemon takes to stop, whatever is in flight.
pub(crate) const STOP_TIME: Duration = Duration::from_secs(45);
/// Lines of a log that a finding shows.
const LAST_LINES: usize = 6;

/// What a daemon should be doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Expected {
    #[default]
    Running,
    /// Told to stop, and when.
    Stopping(Instant),
    Down,
}

/// What the soak has done to a host.
#[derive(Debug, Default)]
pub(crate) struct HostState {
    pub(crate) daemon: Expected,
    /// When the daemon was told to stop, by the soak's clock, until the host has one again.
    pub(crate) told: Option<Duration>,
    /// A daemon that was started with a spoiled settings file.
    pub(crate) starting: Option<StartingProcess>,
    /// Faults that keep the settings file spoiled.
    pub(crate) spoiled: usize,
    /// The settings file bounds bodies.
    pub(crate) bounded: bool,
    /// The daemon may not have the settings of its file yet.
    pub(crate) unsure: bool,
    /// Process number of a daemon whose file is spoiled, and whether it bounds bodies.
    pub(crate) watched: Option<(u32, Option<bool>)>,
    /// Signal for the next daemon while it starts.
    pub(crate) greeting: Option<&'static str>,
    /// Soft limit on descriptors before it was lowered.
    pub(crate) descriptors: Option<u64>,
    pub(crate) backend_down: bool,
    pub(crate) backend_frozen: bool,
    /// Process number of a backend server that has announced that it leaves.
    pub(crate) leaving: Option<u32>,
    /// An unplanned fault hit the host in this round.
    pub(crate) disturbed: bool,
}

impl HostState {
    /// Whether a daemon that was told to stop takes too long.
    pub(crate) fn hangs(&self) -> bool {
        matches!(self.daemon, Expected::Stopping(since) if since.elapsed() > STOP_TIME)
    }

    /// The processes of the host that have ended and should not have; each is told once.
    pub(crate) fn ended(&mut self, node: &mut Node) -> Vec<Ended> {
        let mut ended = Vec::new();
        if self.daemon == Expected::Running
            && let Some(status) = node.daemon.exit_status()
        {
            self.daemon = Expected::Down;
            ended.push(tell(node, "daemon", status));
        }
        if !self.backend_down
            && let Some(status) = node.backend.exit_status()
        {
            self.backend_down = true;
            ended.push(tell(node, "backend server", status));
        }
        ended
    }
}

/// A process that ended in a way that it should not have.
pub(crate) fn tell(node: &Node, program: &str, status: ExitStatus) -> Ended {
    let log = node.daemon_log().filter(|_| program == "daemon");
    let text = log.and_then(|log| std::fs::read(log).ok());
    let text = String::from_utf8_lossy(&text.unwrap_or_default()).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let last = &lines[lines.len().saturating_sub(LAST_LINES)..];
    Ended {
        process: format!("{} of {}", program, node.name),
        status: status.to_string(),
        log: last.iter().map(|line| format!("\n    {line}")).collect(),
    }
}
