//! Daemon processes, started as the deploy file says, with settings as its template renders them.

use crate::http::{exchange, request};
use crate::record::Record;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/indigospur-platform";

/// A daemon and its addresses.
pub struct Daemon {
    pub name: String,
    pub outbound: String,
    pub ready: String,
    pub control: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// An address with a port that is free now, below the range that the system takes ports of clients from.
fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 16_000 + (std::process::id() * 97 + step) % 16_000;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

impl Daemon {
    /// Writes the settings of a daemon; it does not run yet.
    pub fn new(record: &Record, folder: &Path, name: &str, service: &str, store: &str) -> Daemon {
        let [outbound, ready, control] = [free_address(), free_address(), free_address()];
        let [peers, admin, metrics] = [free_address(), free_address(), free_address()];
        let text = format!(
            "[host]\nname = \"{name}\"\ndata-centre = \"lisboa-a\"\nregion = \"lisboa\"\n\n\
             [listen]\ncalls = \"{outbound}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n\n\
             [log]\naddress = \"{store}\"\n\n\
             [limits]\nbody = 12582912\nmemory = 260\nconnections = 3000\nleave = \"2500ms\"\n\
             drain = \"2000ms\"\npolicy = \"slots\"\nfill = 92\nramp = \"0s\"\npreempt = false\n\
             chains-first = true\nyield-below = false\n\n\
             [retries]\npercent = 16\nsaved = 3\nwindow = \"10s\"\nfleet = 30\n\n\
             [routing]\npolicy = \"paced\"\n\n[keys]\nat-most-once = false\n\n\
             [platform]\nready = \"{ready}\"\ncontrol = \"{control}\"\nmetrics = \"{metrics}\"\n\
             grace = \"6s\"\nservice = \"{service}\"\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        Daemon {
            name: name.into(),
            outbound,
            ready,
            control,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the folder can be written");
        let errors = log.try_clone().expect("a descriptor is free");
        let child = Command::new(PROGRAM)
            .env("INDIGOSPUR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file can be started"));
        self.record.say(&format!("daemon {} starts", self.name));
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(&format!("daemon {} is killed", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let call = request("GET", "/api/readiness", &[("Host", "ready")], b"");
        let answer = exchange(&self.ready, &call, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemon is ready; returns whether it is.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
