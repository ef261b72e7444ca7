//! Expected state of each host's processes, used to recognise unexpected exits.

use crate::observations::UnexpectedExit;
use indigospur_test_support::{Node, StartingProcess};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Exit status of a daemon that could not start, for example with invalid settings.
pub(crate) const EXIT_START_FAILED: i32 = 2;
/// Exit status of a daemon that had to cut off requests when it stopped.
pub(crate) const EXIT_INCOMPLETE_SHUTDOWN: i32 = 3;
/// Longest time that a daemon may take to stop, whatever is in flight.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(45);
/// Number of log lines that are kept with an unexpected exit.
const LAST_LOG_LINES: usize = 6;

/// State in which the soak expects a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Expected {
    #[default]
    Running,
    /// Stopping since the instant at which the stop was requested.
    Stopping(Instant),
    Down,
}

/// Faults and expected states of a host's processes.
#[derive(Debug, Default)]
pub(crate) struct HostState {
    pub(crate) daemon: Expected,
    /// When the stop of the daemon was requested, from the start of the soak; cleared once the host
    /// has a running daemon again.
    pub(crate) stop_requested: Option<Duration>,
    /// A daemon that was started with a broken settings file.
    pub(crate) starting: Option<StartingProcess>,
    /// Number of faults that keep the settings file broken.
    pub(crate) settings_faults: usize,
    /// The settings file limits the size of bodies.
    pub(crate) body_limited: bool,
    /// The daemon may not have applied its settings file yet.
    pub(crate) settings_pending: bool,
    /// Process ID of a daemon whose settings file is broken, and whether it limited bodies when the
    /// file had just been broken; the inner `None` if it did not answer.
    pub(crate) probed_settings: Option<(u32, Option<bool>)>,
    /// Signal to send to the next daemon while it starts.
    pub(crate) start_signal: Option<&'static str>,
    /// Soft limit on file descriptors before it was lowered.
    pub(crate) descriptor_limit: Option<u64>,
    pub(crate) backend_down: bool,
    pub(crate) backend_suspended: bool,
    /// Process ID of a backend server that has announced that it leaves.
    pub(crate) draining_backend: Option<u32>,
    /// That backend server says so in its answers only.
    pub(crate) leaves_unannounced: bool,
    /// Process ID of a backend server that has named a limit on its rate of calls.
    pub(crate) limited_backend: Option<u32>,
    /// An unplanned fault has hit the host in this round.
    pub(crate) unplanned_fault: bool,
}

impl HostState {
    /// Whether the daemon is stopping for longer than `STOP_TIMEOUT`.
    pub(crate) fn stop_overdue(&self) -> bool {
        matches!(self.daemon, Expected::Stopping(since) if since.elapsed() > STOP_TIMEOUT)
    }

    /// Returns the processes of the host that have exited unexpectedly, each only once.
    pub(crate) fn take_exits(&mut self, node: &mut Node) -> Vec<UnexpectedExit> {
        let mut exits = Vec::new();
        if self.daemon == Expected::Running
            && let Some(status) = node.daemon.exit_status()
        {
            self.daemon = Expected::Down;
            exits.push(unexpected_exit(node, "daemon", status));
        }
        if !self.backend_down
            && let Some(status) = node.backend.exit_status()
        {
            self.backend_down = true;
            exits.push(unexpected_exit(node, "backend server", status));
        }
        exits
    }
}

/// Describes the unexpected exit of a process. The end of the log is included if `program` is
/// `daemon`, and left out for a backend server and for a starting daemon.
pub(crate) fn unexpected_exit(node: &Node, program: &str, status: ExitStatus) -> UnexpectedExit {
    let log = node.daemon_log().filter(|_| program == "daemon");
    let text = log.and_then(|log| std::fs::read(log).ok());
    let text = String::from_utf8_lossy(&text.unwrap_or_default()).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let last = &lines[lines.len().saturating_sub(LAST_LOG_LINES)..];
    UnexpectedExit {
        process: format!("{} of {}", program, node.name),
        status: status.to_string(),
        log: last.iter().map(|line| format!("\n    {line}")).collect(),
    }
}
