//! How each fault begins and ends.

use crate::around::trouble_wire;
use crate::callers::lock;
use crate::faults::{Fault, Scheduled, Stop};
use crate::hosts::{EXIT_CUT_OFF, EXIT_SETTINGS, Expected, STOP_TIME, tell};
use crate::observed::{Ended, Stopped};
use crate::soak::{LOOK, Soak, Step, entry};
use indigospur_test_support::{Node, StartingProcess, post, signal, wait_for_main};
use std::io;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Longest wait for a process to begin its own code.
const BEGIN_TIME: Duration = Duration::from_secs(5);
/// Time that a daemon has to stop before it is killed.
const STOP_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Times as long that a slow backend server takes.
const SLOWDOWN: u32 = 8;
/// Signals to a daemon that starts.
const GREETINGS: usize = 3;

impl Soak {
    pub(crate) fn begin(&mut self, scheduled: Scheduled) {
        let place = scheduled.host;
        self.note("begin", scheduled);
        if !scheduled.fault.is_planned() {
            self.hosts[place].disturbed = true;
        }
        match scheduled.fault {
            Fault::KillDaemon => self.kill_daemon(place),
            Fault::KillStarting => {
                self.kill_daemon(place);
                let starting = self.site.nodes[place].spawn_daemon();
                // Dropped, and killed by that, as soon as it runs.
                let _ = starting.map(|starting| wait_for_main(starting.id(), BEGIN_TIME));
            }
            Fault::KillStopping => {
                self.tell_to_stop(place, &["TERM"]);
                std::thread::sleep(STOP_BEFORE_KILL);
                self.kill_daemon(place);
            }
            Fault::FreezeDaemon => self.send(place, "STOP"),
            Fault::StopDaemon(stop) => self.stop(place, stop),
            Fault::Reload(times) => (0..times).for_each(|_| self.send(place, "HUP")),
            Fault::Signal(name) => self.send(place, name),
            Fault::Rewrite(signalled) => self.rewrite(place, signalled),
            Fault::SpoilSettings(spoil, signalled) => {
                self.spoil(place, spoil);
                if signalled {
                    self.send(place, "HUP");
                }
                self.watch_settings(place);
            }
            Fault::StartSpoiled(spoil) => {
                self.kill_daemon(place);
                self.spoil(place, spoil);
                self.hosts[place].starting = self.site.nodes[place].spawn_daemon().ok();
            }
            Fault::FewDescriptors => self.limit_descriptors(place),
            Fault::KillBackend => {
                self.collect(place);
                self.hosts[place].backend_down = true;
                self.site.nodes[place].backend.kill();
            }
            Fault::FreezeBackend => {
                if !self.hosts[place].backend_down {
                    self.hosts[place].backend_frozen = true;
                    self.site.nodes[place].backend.signal("STOP");
                }
            }
            Fault::SlowBackend => self.slow_down(place, SLOWDOWN),
            Fault::Leave => self.leave(place),
            Fault::Wire(link, trouble) => trouble_wire(self.wire(place, link), trouble),
            Fault::Log(trouble) => {
                self.log_troubles.push(trouble);
                self.set_log_mode();
            }
            Fault::Publish => self.publish(),
        }
    }

    /// Ends a fault; the step that brings a daemon back follows where one is gone.
    pub(crate) fn end(&mut self, scheduled: Scheduled) -> Option<Step> {
        let place = scheduled.host;
        self.note("end", scheduled);
        match scheduled.fault {
            Fault::KillDaemon
            | Fault::KillStarting
            | Fault::KillStopping
            | Fault::StopDaemon(_) => return Some(Step::Return(place)),
            Fault::StartSpoiled(_) => {
                self.mend(place);
                return Some(Step::Return(place));
            }
            Fault::FreezeDaemon => self.send(place, "CONT"),
            Fault::SpoilSettings(_, signalled) => {
                self.check_settings(place);
                self.mend(place);
                if signalled {
                    self.send(place, "HUP");
                }
            }
            Fault::FewDescriptors => self.lift_limit(place),
            Fault::KillBackend => {
                if self.hosts[place].backend_down {
                    self.restart_backend(place);
                }
            }
            Fault::FreezeBackend => self.thaw_backend(place),
            Fault::SlowBackend => self.slow_down(place, 1),
            Fault::Leave => {
                if self.count_leaver(place, false) {
                    self.restart_backend(place);
                }
            }
            Fault::Wire(link, _) => self.wire(place, link).heal(),
            Fault::Log(trouble) => {
                let at = self.log_troubles.iter().position(|other| *other == trouble);
                at.map(|at| self.log_troubles.swap_remove(at));
                self.set_log_mode();
            }
            Fault::Reload(_) | Fault::Signal(_) | Fault::Rewrite(_) | Fault::Publish => {}
        }
        None
    }

    /// Brings a host's daemon back if it is gone; whether that is over.
    pub(crate) fn bring_back(&mut self, place: usize) -> bool {
        match self.hosts[place].daemon {
            Expected::Running => true,
            Expected::Stopping(_) => {
                let hangs = self.hosts[place].hangs();
                let node = &mut self.site.nodes[place];
                let Some(status) = node.daemon.exit_status() else {
                    if hangs {
                        let finding = format!("the daemon of {} does not stop", node.name);
                        lock(&self.shared.observed).findings.push(finding);
                        self.kill_daemon(place);
                    }
                    return false;
                };
                let allowed = if self.planned_only {
                    status.success()
                } else {
                    matches!(status.code(), Some(0 | EXIT_CUT_OFF))
                };
                if !allowed {
                    let ended = tell(node, "daemon", status);
                    lock(&self.shared.observed).ended.push(ended);
                }
                self.hosts[place].daemon = Expected::Down;
                self.restart(place)
            }
            Expected::Down => self.restart(place),
        }
    }

    /// Starts the daemon of a host anew, unless its settings file is spoiled. The backend server
    /// beside it goes on.
    fn restart(&mut self, place: usize) -> bool {
        if self.hosts[place].spoiled > 0 {
            return false;
        }
        let outcome = self.start_daemon(place);
        if let Err(error) = outcome {
            self.found_dead(place, &error);
        }
        let node = &self.site.nodes[place];
        let host = &mut self.hosts[place];
        host.daemon = Expected::Running;
        if let Some(from) = host.told.take() {
            let stopped = Stopped {
                host: node.name.clone(),
                from,
                to: self.shared.now(),
            };
            lock(&self.shared.observed).stopped.push(stopped);
        }
        let mut hosts = lock(&self.shared.hosts);
        hosts[place] = entry(node, hosts[place].start + 1);
        true
    }

    fn start_daemon(&mut self, place: usize) -> io::Result<()> {
        let starting = self.hosts[place].starting.take();
        let greeting = self.hosts[place].greeting.take();
        let node = &mut self.site.nodes[place];
        let starting = match starting.map(|mut starting| (starting.exit_status(), starting)) {
            // It waits for settings that it can read, or is about to end over those it has read.
            Some((None, starting)) => match starting.wait_started() {
                Ok(daemon) => {
                    node.daemon = daemon;
                    return Ok(());
                }
                Err(_) => node.spawn_daemon()?,
            },
            Some((Some(status), _)) => {
                let ended = check_refusal(node, status);
                lock(&self.shared.observed).ended.extend(ended);
                node.spawn_daemon()?
            }
            None => node.spawn_daemon()?,
        };
        let starting = match greeting {
            Some("TERM") => {
                let ended = stop_starting(node, starting)?;
                lock(&self.shared.observed).ended.extend(ended);
                node.spawn_daemon()?
            }
            Some(name) => {
                greet(&starting, name);
                starting
            }
            None => starting,
        };
        node.daemon = starting.wait_started()?;
        Ok(())
    }

    pub(crate) fn restart_backend(&mut self, place: usize) {
        self.collect(place);
        if let Err(error) = self.site.nodes[place].restart_backend() {
            self.found_dead(place, &error);
        }
        let address = self.site.nodes[place].backend.address("address");
        self.wires[place].backend.set_target(&address);
        let host = &mut self.hosts[place];
        (host.backend_down, host.backend_frozen) = (false, false);
    }

    fn found_dead(&self, place: usize, error: &io::Error) {
        let name = &self.site.nodes[place].name;
        let finding = format!("{name} does not start again: {error}");
        lock(&self.shared.observed).findings.push(finding);
    }

    /// Sends a signal to a host's daemon, unless it has ended.
    pub(crate) fn send(&mut self, place: usize, name: &str) {
        let daemon = &mut self.site.nodes[place].daemon;
        if !daemon.has_ended() {
            daemon.signal(name);
        }
    }

    fn kill_daemon(&mut self, place: usize) {
        self.hosts[place].starting = None;
        self.hosts[place].daemon = Expected::Down;
        let daemon = &mut self.site.nodes[place].daemon;
        daemon.kill();
    }

    fn stop(&mut self, place: usize, stop: Stop) {
        let signals: &[&str] = match stop {
            Stop::Once => &["TERM"],
            Stop::Twice => &["TERM", "TERM"],
            Stop::Interrupt => &["INT"],
            Stop::ThenReload => &["TERM", "HUP", "HUP"],
            Stop::AfterReload => &["HUP", "TERM"],
            Stop::ReloadInStart => {
                self.hosts[place].greeting = Some("HUP");
                &["TERM"]
            }
            Stop::StopInStart => {
                self.hosts[place].greeting = Some("TERM");
                &["TERM"]
            }
        };
        self.tell_to_stop(place, signals);
    }

    fn tell_to_stop(&mut self, place: usize, signals: &[&str]) {
        if self.hosts[place].daemon == Expected::Running {
            self.hosts[place].daemon = Expected::Stopping(Instant::now());
            self.hosts[place].told = Some(self.shared.now());
        }
        for name in signals {
            self.send(place, name);
        }
    }

    fn limit_descriptors(&mut self, place: usize) {
        let daemon = &mut self.site.nodes[place].daemon;
        if daemon.has_ended() {
            return;
        }
        let limited = daemon.descriptor_usage().is_some_and(|(open, soft)| {
            let before = &mut self.hosts[place].descriptors;
            before.get_or_insert(soft);
            daemon.set_descriptor_limit(open as u64)
        });
        if !limited {
            self.events.push("         not limited".to_owned());
        }
    }

    fn lift_limit(&mut self, place: usize) {
        let daemon = &mut self.site.nodes[place].daemon;
        if let Some(soft) = self.hosts[place].descriptors.take()
            && !daemon.has_ended()
        {
            daemon.set_descriptor_limit(soft);
        }
    }

    fn slow_down(&mut self, place: usize, factor: u32) {
        let host = &self.hosts[place];
        if !host.backend_down && !host.backend_frozen {
            let address = self.site.nodes[place].backend.address("address");
            post(&address, &format!("/stand-in/slowdown/{factor}"), "");
        }
    }

    fn leave(&mut self, place: usize) {
        self.thaw_backend(place);
        if !self.hosts[place].backend_down {
            let backend = &self.site.nodes[place].backend;
            self.hosts[place].leaving = Some(backend.id());
            post(&backend.address("address"), "/stand-in/drain", "");
        }
    }

    pub(crate) fn thaw_backend(&mut self, place: usize) {
        if std::mem::take(&mut self.hosts[place].backend_frozen) {
            self.site.nodes[place].backend.signal("CONT");
        }
    }
}

/// A daemon may end over a spoiled settings file only with the exit status for that.
fn check_refusal(node: &Node, status: ExitStatus) -> Option<Ended> {
    let wrong = status.code() != Some(EXIT_SETTINGS);
    wrong.then(|| tell(node, "starting daemon", status))
}

/// Sends a daemon signals while it starts.
fn greet(starting: &StartingProcess, name: &str) {
    if wait_for_main(starting.id(), BEGIN_TIME) {
        (0..GREETINGS).for_each(|_| signal(starting.id(), name));
    }
}

/// Tells a daemon to stop while it starts, and how it ended if not as it should.
fn stop_starting(node: &Node, mut starting: StartingProcess) -> io::Result<Option<Ended>> {
    greet(&starting, "TERM");
    let end = Instant::now() + STOP_TIME;
    while Instant::now() < end {
        if let Some(status) = starting.exit_status() {
            return Ok((!status.success()).then(|| tell(node, "starting daemon", status)));
        }
        std::thread::sleep(LOOK);
    }
    Err(io::Error::other("it does not stop while it starts"))
}
