//! Injection of each fault: its begin, its end, and the restart of the processes it stopped.

use crate::callers::lock;
use crate::environment::apply_link_fault;
use crate::faults::{Fault, ScheduledFault, StopMethod};
use crate::hosts::{
    EXIT_INCOMPLETE_SHUTDOWN, EXIT_START_FAILED, Expected, STOP_TIMEOUT, unexpected_exit,
};
use crate::observations::{DaemonStop, UnexpectedExit};
use crate::soak::{POLL_INTERVAL, Soak, Step, host_entry};
use indigospur_test_support::{Node, StartingProcess, post, signal, wait_for_main};
use std::io;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Longest wait until a started process has reached `main`.
const MAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the request to stop and the kill of a stopping daemon.
const STOP_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Factor by which a slow backend server takes longer.
const SLOWDOWN: u32 = 8;
/// Number of signals to a starting daemon.
const START_SIGNALS: usize = 3;

impl Soak {
    pub(crate) fn begin(&mut self, scheduled: ScheduledFault) {
        let index = scheduled.host;
        self.record_event("begin", scheduled);
        if !scheduled.fault.is_planned() {
            self.hosts[index].unplanned_fault = true;
        }
        match scheduled.fault {
            Fault::KillDaemon => self.kill_daemon(index),
            Fault::KillDuringStart => {
                self.kill_daemon(index);
                let starting = self.site.nodes[index].spawn_daemon();
                // The starting daemon is dropped, and thereby killed, as soon as it has reached
                // `main`.
                let _ = starting.map(|starting| wait_for_main(starting.id(), MAIN_TIMEOUT));
            }
            Fault::KillDuringStop => {
                self.request_stop(index, &["TERM"]);
                std::thread::sleep(STOP_BEFORE_KILL);
                self.kill_daemon(index);
            }
            Fault::SuspendDaemon => self.signal_daemon(index, "STOP"),
            Fault::StopDaemon(method) => self.stop_daemon(index, method),
            Fault::Reload(times) => (0..times).for_each(|_| self.signal_daemon(index, "HUP")),
            Fault::Signal(name) => self.signal_daemon(index, name),
            Fault::RewriteSettings(signalled) => self.rewrite_settings(index, signalled),
            Fault::BreakSettings(defect, signalled) => {
                self.break_settings(index, defect);
                if signalled {
                    self.signal_daemon(index, "HUP");
                }
                self.probe_settings(index);
            }
            Fault::StartWithBrokenSettings(defect) => {
                self.kill_daemon(index);
                self.break_settings(index, defect);
                self.hosts[index].starting = self.site.nodes[index].spawn_daemon().ok();
            }
            Fault::LimitDescriptors => self.limit_descriptors(index),
            Fault::KillBackend => {
                self.collect_journal(index);
                self.hosts[index].backend_down = true;
                self.site.nodes[index].backend.kill();
            }
            Fault::SuspendBackend => {
                if !self.hosts[index].backend_down {
                    self.hosts[index].backend_suspended = true;
                    self.site.nodes[index].backend.signal("STOP");
                }
            }
            Fault::SlowBackend => self.slow_down(index, SLOWDOWN),
            Fault::DrainBackend => self.drain_backend(index, true),
            Fault::LeaveInAnswers => self.drain_backend(index, false),
            Fault::LimitRate(limit) => self.limit_rate(index, &limit.to_string()),
            Fault::Link(link, fault) => apply_link_fault(self.proxy(index, link), fault),
            Fault::Log(fault) => {
                self.log_faults.push(fault);
                self.set_log_mode();
            }
            Fault::Publish => self.publish(),
        }
    }

    /// Ends a fault; returns the step that restarts the daemon if the fault stopped it.
    pub(crate) fn end(&mut self, scheduled: ScheduledFault) -> Option<Step> {
        let index = scheduled.host;
        self.record_event("end", scheduled);
        match scheduled.fault {
            Fault::KillDaemon
            | Fault::KillDuringStart
            | Fault::KillDuringStop
            | Fault::StopDaemon(_) => return Some(Step::Restart(index)),
            Fault::StartWithBrokenSettings(_) => {
                self.restore_settings(index);
                return Some(Step::Restart(index));
            }
            Fault::SuspendDaemon => self.signal_daemon(index, "CONT"),
            Fault::BreakSettings(_, signalled) => {
                self.check_settings(index);
                self.restore_settings(index);
                if signalled {
                    self.signal_daemon(index, "HUP");
                }
            }
            Fault::LimitDescriptors => self.restore_descriptors(index),
            Fault::KillBackend => {
                if self.hosts[index].backend_down {
                    self.restart_backend(index);
                }
            }
            Fault::SuspendBackend => self.resume_backend(index),
            Fault::SlowBackend => self.slow_down(index, 1),
            Fault::LimitRate(_) => self.end_rate_limit(index),
            Fault::DrainBackend | Fault::LeaveInAnswers => {
                if self.record_drain(index, false) {
                    self.restart_backend(index);
                }
            }
            Fault::Link(link, _) => self.proxy(index, link).heal(),
            Fault::Log(fault) => {
                let position = self.log_faults.iter().position(|other| *other == fault);
                position.map(|position| self.log_faults.swap_remove(position));
                self.set_log_mode();
            }
            Fault::Reload(_) | Fault::Signal(_) | Fault::RewriteSettings(_) | Fault::Publish => {}
        }
        None
    }

    /// Restarts a host's daemon if it is not running. A daemon that is still stopping is checked
    /// for its time and exit status. Returns false if the restart has to be tried again later.
    pub(crate) fn try_restart(&mut self, index: usize) -> bool {
        match self.hosts[index].daemon {
            Expected::Running => true,
            Expected::Stopping(_) => {
                let overdue = self.hosts[index].stop_overdue();
                let node = &mut self.site.nodes[index];
                let Some(status) = node.daemon.exit_status() else {
                    if overdue {
                        let finding = format!(
                            "the daemon of {} did not stop within {STOP_TIMEOUT:?}",
                            node.name
                        );
                        lock(&self.shared.observations).findings.push(finding);
                        self.kill_daemon(index);
                    }
                    return false;
                };
                let allowed = if self.planned_only {
                    status.success()
                } else {
                    matches!(status.code(), Some(0 | EXIT_INCOMPLETE_SHUTDOWN))
                };
                if !allowed {
                    let exit = unexpected_exit(node, "daemon", status);
                    lock(&self.shared.observations).exits.push(exit);
                }
                self.hosts[index].daemon = Expected::Down;
                self.restart(index)
            }
            Expected::Down => self.restart(index),
        }
    }

    /// Starts a new daemon on a host; its backend server continues to run. Returns false, without a
    /// start, if the settings file is broken. A failed start is recorded as a finding.
    fn restart(&mut self, index: usize) -> bool {
        if self.hosts[index].settings_faults > 0 {
            return false;
        }
        let outcome = self.start_daemon(index);
        if let Err(error) = outcome {
            self.record_start_failure(index, &error);
        }
        let node = &self.site.nodes[index];
        let host = &mut self.hosts[index];
        host.daemon = Expected::Running;
        if let Some(from) = host.stop_requested.take() {
            let stop = DaemonStop {
                host: node.name.clone(),
                from,
                to: self.shared.elapsed(),
            };
            lock(&self.shared.observations).stops.push(stop);
        }
        let mut hosts = lock(&self.shared.hosts);
        hosts[index] = host_entry(node, hosts[index].restarts + 1);
        true
    }

    fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let starting = self.hosts[index].starting.take();
        let start_signal = self.hosts[index].start_signal.take();
        let node = &mut self.site.nodes[index];
        let starting = match starting.map(|mut starting| (starting.exit_status(), starting)) {
            // It is about to exit over the broken settings file, or it reads the file only now that
            // it is restored.
            Some((None, starting)) => match starting.wait_started() {
                Ok(daemon) => {
                    node.daemon = daemon;
                    return Ok(());
                }
                Err(_) => node.spawn_daemon()?,
            },
            Some((Some(status), _)) => {
                let exit = check_settings_exit(node, status);
                lock(&self.shared.observations).exits.extend(exit);
                node.spawn_daemon()?
            }
            None => node.spawn_daemon()?,
        };
        let starting = match start_signal {
            Some("TERM") => {
                let exit = stop_during_start(node, starting)?;
                lock(&self.shared.observations).exits.extend(exit);
                node.spawn_daemon()?
            }
            Some(name) => {
                signal_starting(&starting, name);
                starting
            }
            None => starting,
        };
        node.daemon = starting.wait_started()?;
        Ok(())
    }

    pub(crate) fn restart_backend(&mut self, index: usize) {
        self.collect_journal(index);
        if let Err(error) = self.site.nodes[index].restart_backend() {
            self.record_start_failure(index, &error);
        }
        let address = self.site.nodes[index].backend.address("address");
        self.proxies[index].backend.set_target(&address);
        let host = &mut self.hosts[index];
        (host.backend_down, host.backend_suspended) = (false, false);
    }

    fn record_start_failure(&self, index: usize, error: &io::Error) {
        let name = &self.site.nodes[index].name;
        let finding = format!("a process of host {name} did not start again: {error}");
        lock(&self.shared.observations).findings.push(finding);
    }

    /// Sends a signal to a host's daemon, unless it has exited.
    pub(crate) fn signal_daemon(&mut self, index: usize, name: &str) {
        let daemon = &mut self.site.nodes[index].daemon;
        if !daemon.has_ended() {
            daemon.signal(name);
        }
    }

    fn kill_daemon(&mut self, index: usize) {
        self.hosts[index].starting = None;
        self.hosts[index].daemon = Expected::Down;
        let daemon = &mut self.site.nodes[index].daemon;
        daemon.kill();
    }

    fn stop_daemon(&mut self, index: usize, method: StopMethod) {
        let signals: &[&str] = match method {
            StopMethod::Terminate => &["TERM"],
            StopMethod::TerminateTwice => &["TERM", "TERM"],
            StopMethod::Interrupt => &["INT"],
            StopMethod::TerminateThenReload => &["TERM", "HUP", "HUP"],
            StopMethod::ReloadThenTerminate => &["HUP", "TERM"],
            StopMethod::ReloadDuringRestart => {
                self.hosts[index].start_signal = Some("HUP");
                &["TERM"]
            }
            StopMethod::TerminateDuringRestart => {
                self.hosts[index].start_signal = Some("TERM");
                &["TERM"]
            }
        };
        self.request_stop(index, signals);
    }

    fn request_stop(&mut self, index: usize, signals: &[&str]) {
        if self.hosts[index].daemon == Expected::Running {
            self.hosts[index].daemon = Expected::Stopping(Instant::now());
            self.hosts[index].stop_requested = Some(self.shared.elapsed());
        }
        for name in signals {
            self.signal_daemon(index, name);
        }
    }

    fn limit_descriptors(&mut self, index: usize) {
        let daemon = &mut self.site.nodes[index].daemon;
        if daemon.has_ended() {
            return;
        }
        let limited = daemon.descriptor_usage().is_some_and(|(open, soft)| {
            let before = &mut self.hosts[index].descriptor_limit;
            before.get_or_insert(soft);
            daemon.set_descriptor_limit(open as u64)
        });
        if !limited {
            self.events
                .push("         could not lower the limit on file descriptors".to_owned());
        }
    }

    fn restore_descriptors(&mut self, index: usize) {
        let daemon = &mut self.site.nodes[index].daemon;
        if let Some(soft) = self.hosts[index].descriptor_limit.take()
            && !daemon.has_ended()
        {
            daemon.set_descriptor_limit(soft);
        }
    }

    fn slow_down(&mut self, index: usize, factor: u32) {
        let host = &self.hosts[index];
        if !host.backend_down && !host.backend_suspended {
            let address = self.site.nodes[index].backend.address("address");
            post(&address, &format!("/stand-in/slowdown/{factor}"), "");
        }
    }

    /// Makes a backend server leave; it announces that, or says so in its answers only.
    fn drain_backend(&mut self, index: usize, announced: bool) {
        self.resume_backend(index);
        if !self.hosts[index].backend_down {
            let backend = &self.site.nodes[index].backend;
            self.hosts[index].draining_backend = Some(backend.id());
            self.hosts[index].leaves_unannounced = !announced;
            let method = if announced { "drain" } else { "leave" };
            let path = format!("/stand-in/{method}");
            post(&backend.address("address"), &path, "");
        }
    }

    pub(crate) fn resume_backend(&mut self, index: usize) {
        if std::mem::take(&mut self.hosts[index].backend_suspended) {
            self.site.nodes[index].backend.signal("CONT");
        }
    }
}

/// Returns the exit of a daemon with a broken settings file if its status is not the one of a
/// failed start.
fn check_settings_exit(node: &Node, status: ExitStatus) -> Option<UnexpectedExit> {
    let unexpected = status.code() != Some(EXIT_START_FAILED);
    unexpected.then(|| unexpected_exit(node, "starting daemon", status))
}

/// Signals a daemon while it starts.
fn signal_starting(starting: &StartingProcess, name: &str) {
    if wait_for_main(starting.id(), MAIN_TIMEOUT) {
        (0..START_SIGNALS).for_each(|_| signal(starting.id(), name));
    }
}

/// Sends SIGTERM to a daemon while it starts; returns its exit if the status is not success.
///
/// # Errors
/// The daemon does not exit within `STOP_TIMEOUT`.
fn stop_during_start(
    node: &Node,
    mut starting: StartingProcess,
) -> io::Result<Option<UnexpectedExit>> {
    signal_starting(&starting, "TERM");
    let end = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < end {
        if let Some(status) = starting.exit_status() {
            return Ok(
                (!status.success()).then(|| unexpected_exit(node, "starting daemon", status))
            );
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(io::Error::other(format!(
        "a starting daemon did not exit within {STOP_TIMEOUT:?} after SIGTERM"
    )))
}
