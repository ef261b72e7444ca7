//! A process that prints its addresses as its first line.

use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longest wait for the first line of a process.
const START_TIME: Duration = Duration::from_secs(30);
/// Time between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(5);

/// A running process; killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Value,
}

/// A process that has not printed its addresses yet; killed on drop.
#[derive(Debug)]
pub struct Starting {
    name: String,
    /// `None` once the process has been handed on.
    child: Option<Child>,
    line: Receiver<String>,
}

/// Path of a program of this workspace that was built beside the running one.
pub fn program(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Sends a signal by its name, such as `TERM`, to a process that has not been waited for.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill")
        .args(["-s", name, &id.to_string()])
        .stderr(Stdio::null())
        .status();
}

impl Starting {
    /// Process number.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Waits for the first line.
    ///
    /// # Errors
    /// The process ends or takes too long before it prints its addresses.
    pub fn finish(mut self) -> io::Result<Process> {
        let line = self.line.recv_timeout(START_TIME).unwrap_or_default();
        let addresses = serde_json::from_str(&line);
        let addresses = addresses
            .map_err(|_| io::Error::other(format!("{} printed {line:?} first", self.name)))?;
        let child = self.child.take();
        let child = child.ok_or_else(|| io::Error::other("no process"))?;
        Ok(Process { child, addresses })
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Process {
    /// Starts a program and waits for its first line.
    ///
    /// # Errors
    /// The program can't be started, or ends before it prints a line.
    pub fn start(name: &str, arguments: &[String]) -> io::Result<Process> {
        Process::spawn(name, arguments, None)?.finish()
    }

    /// Starts a program; its log lines go to the end of a file, if one is given.
    ///
    /// # Errors
    /// The program can't be started, or the file can't be written.
    pub fn spawn(name: &str, arguments: &[String], log: Option<&Path>) -> io::Result<Starting> {
        let quiet = if log.is_some() { "info" } else { "off" };
        let level = std::env::var("INDIGOSPUR_TEST_LOG").unwrap_or_else(|_| quiet.to_owned());
        let mut command = Command::new(program(name));
        if let Some(log) = log {
            command.stderr(append(log)?);
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
            .ok_or_else(|| io::Error::other("no output"))?;
        let (sender, line) = channel();
        std::thread::spawn(move || {
            // What follows the first line is read too, so that the process can write on.
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Ok(Starting {
            name: name.to_owned(),
            child: Some(child),
            line,
        })
    }

    /// An address that the process printed.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap_or_default().to_owned()
    }

    /// Process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end; the exit status.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|status| status.code())
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.ended().is_some()
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Descriptors that it has open, and its soft limit on them.
    pub fn descriptors(&self) -> Option<(usize, u64)> {
        let id = self.child.id();
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let limits = std::fs::read_to_string(format!("/proc/{id}/limits")).ok()?;
        let line = limits
            .lines()
            .find_map(|line| line.strip_prefix("Max open files"))?;
        let soft = line.split_whitespace().next()?.parse().ok()?;
        Some((open, soft))
    }

    /// Sets the soft limit on open descriptors; whether the tool for it is there and did so.
    pub fn limit_descriptors(&self, soft: u64) -> bool {
        let id = self.child.id().to_string();
        let limit = format!("--nofile={soft}:");
        let status = Command::new("prlimit")
            .args(["--pid", &id, &limit])
            .stderr(Stdio::null())
            .status();
        status.is_ok_and(|status| status.success())
    }

    /// Resident memory in kibibytes, and processor time in clock ticks.
    pub fn usage(&self) -> (u64, u64) {
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

/// Whether a process has begun its own code: the runtime of its language catches SIGSEGV before.
fn has_begun(id: u32) -> bool {
    const SEGV_BIT: u64 = 1 << 10;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
    caught.is_some_and(|caught| caught & SEGV_BIT != 0)
}

/// Waits until a process has begun its own code, or for a limit; whether it has.
pub fn wait_begun(id: u32, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !has_begun(id) {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(LOOK);
    }
    true
}

fn append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
