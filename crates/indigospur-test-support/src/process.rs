//! Child processes that print their addresses as a first line of JSON.

use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process; killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Value,
    /// Keep the system from giving the ports of the process to others after its end.
    reserved: Vec<AddressReservation>,
}

/// A process that has not reported its addresses yet; killed on drop.
#[derive(Debug)]
pub struct StartingProcess {
    name: String,
    /// `None` once the child has moved into a [`Process`].
    child: Option<Child>,
    /// Lines of its standard output.
    lines: Receiver<String>,
}

/// Path of a program of this workspace in the build folder of the running executable.
pub fn program_path(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Sends a signal by name, such as `TERM`, to a process ID. The process must be a child that has
/// not been reaped yet, since its ID could be in use again.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill")
        .args(["-s", name, &id.to_string()])
        .stderr(Stdio::null())
        .status();
}

impl StartingProcess {
    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Exit status of the process, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Waits until the process has printed its addresses.
    ///
    /// # Errors
    /// The process exits or 30 s pass before it prints a line, or the line is not JSON.
    pub fn wait_started(mut self) -> io::Result<Process> {
        let line = self.lines.recv_timeout(START_TIMEOUT).unwrap_or_default();
        let addresses = serde_json::from_str(&line);
        let addresses = addresses.map_err(|_| {
            io::Error::other(format!(
                "{}: expected addresses as a line of JSON, got {line:?}",
                self.name
            ))
        })?;
        let child = self.child.take();
        let child = child.ok_or_else(|| io::Error::other("child process already taken"))?;
        Ok(Process {
            child,
            addresses,
            reserved: Vec::new(),
        })
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Process {
    /// Starts a program and waits until it has printed its addresses.
    ///
    /// # Errors
    /// The program can't be started, or exits or takes over 30 s before it prints its addresses.
    pub fn start(name: &str, arguments: &[String]) -> io::Result<Process> {
        Process::spawn(name, arguments, None)?.wait_started()
    }

    /// Starts a program. With a `log` file its standard error is appended there and its log level
    /// is `info`, without one logging is off; `INDIGOSPUR_TEST_LOG` overrides the level.
    ///
    /// # Errors
    /// The program can't be started, or the log file can't be opened.
    pub fn spawn(
        name: &str,
        arguments: &[String],
        log: Option<&Path>,
    ) -> io::Result<StartingProcess> {
        let default_level = if log.is_some() { "info" } else { "off" };
        let level =
            std::env::var("INDIGOSPUR_TEST_LOG").unwrap_or_else(|_| default_level.to_owned());
        let mut command = Command::new(program_path(name));
        if let Some(log) = log {
            command.stderr(open_append(log)?);
        }
        let mut child = command
            .args(arguments)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("standard output is not piped"))?;
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            // Drains later lines as well; otherwise the process would block on a full pipe.
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Ok(StartingProcess {
            name: name.to_owned(),
            child: Some(child),
            lines,
        })
    }

    /// Address that the process printed under `name`; empty if it printed none.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap_or_default().to_owned()
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Kills the process with SIGKILL and waits for its exit. Until this value is dropped, its addresses
    /// refuse connections, unless another process is told to listen there.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait();
    }

    /// Waits for the process to exit and returns its exit code; `None` if a signal ended it. The addresses
    /// of the process are reserved as in [`Process::kill`].
    pub fn wait(&mut self) -> Option<i32> {
        let status = self.child.wait();
        let addresses = self.addresses.as_object().into_iter().flatten();
        let addresses = addresses.filter_map(|(_, address)| address.as_str());
        self.reserved = addresses.filter_map(AddressReservation::new).collect();
        status.ok().and_then(|status| status.code())
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.exit_status().is_some()
    }

    /// Exit status of the process, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Number of open file descriptors and their soft limit; `None` if `/proc` can't be read.
    pub fn descriptor_usage(&self) -> Option<(usize, u64)> {
        let id = self.child.id();
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let limits = std::fs::read_to_string(format!("/proc/{id}/limits")).ok()?;
        let line = limits
            .lines()
            .find_map(|line| line.strip_prefix("Max open files"))?;
        let soft = line.split_whitespace().next()?.parse().ok()?;
        Some((open, soft))
    }

    /// Sets the soft limit on open file descriptors with `prlimit`. Returns false if the tool is
    /// missing or fails.
    pub fn set_descriptor_limit(&self, soft: u64) -> bool {
        let id = self.child.id().to_string();
        let limit = format!("--nofile={soft}:");
        let status = Command::new("prlimit")
            .args(["--pid", &id, &limit])
            .stderr(Stdio::null())
            .status();
        status.is_ok_and(|status| status.success())
    }

    /// Resident memory in kibibytes and user plus system CPU time in clock ticks; zero for a value
    /// that can't be read.
    pub fn resource_usage(&self) -> (u64, u64) {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
        };
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let stat = read("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        (resident.unwrap_or(0), ticks(11) + ticks(12))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal("CONT");
            self.kill();
        }
    }
}

/// Whether a Rust process has reached `main`: the Rust runtime installs its SIGSEGV handler before.
fn has_reached_main(id: u32) -> bool {
    /// Bit of signal 11 in a signal mask of `/proc`.
    const SEGV_BIT: u64 = 1 << 10;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
    caught.is_some_and(|caught| caught & SEGV_BIT != 0)
}

/// Waits until a Rust process has reached `main`. Returns false after `timeout`.
pub fn wait_for_main(id: u32, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while !has_reached_main(id) {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

/// An address of a process that has ended. It refuses connections, and the system picks its port for no
/// other socket, until this value is dropped; a process that is told to listen there still can.
#[derive(Debug)]
pub struct AddressReservation {
    /// Bound, and not listening.
    _socket: Socket,
}

impl AddressReservation {
    /// Reserves an address, an IP and a port; `None` if it is none or can't be bound.
    pub fn new(address: &str) -> Option<AddressReservation> {
        let address: SocketAddr = address.parse().ok()?;
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
        socket.set_reuse_address(true).ok()?;
        socket.bind(&address.into()).ok()?;
        Some(AddressReservation { _socket: socket })
    }
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
