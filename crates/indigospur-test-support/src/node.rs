//! Hosts of a site.

use crate::client::get;
use crate::process::{Process, StartingProcess};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};

/// Configuration of one service of a site.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Service name; [`Site::start`](crate::Site::start) names its hosts `name-0`, `name-1` and so
    /// on.
    pub name: String,
    /// Number of hosts that [`Site::start`](crate::Site::start) starts for it.
    pub upstreams: usize,
    /// Slots that each backend server announces.
    pub slots: u32,
    /// Service time of a call without a `work` query parameter, in milliseconds.
    pub work_ms: u64,
    /// Downstream calls made for each request, as `service/path`.
    pub calls: Vec<String>,
}

impl ServicePlan {
    /// Creates a service with 32 slots a host and a service time of 2 ms.
    pub fn new(name: &str, upstreams: usize, calls: &[&str]) -> ServicePlan {
        let calls = calls.iter().map(|call| (*call).to_owned()).collect();
        ServicePlan {
            name: name.to_owned(),
            upstreams,
            slots: 32,
            work_ms: 2,
            calls,
        }
    }
}

/// A host: one daemon and its backend server.
#[derive(Debug)]
pub struct Node {
    /// Host name.
    pub name: String,
    /// Name of the service that the backend server announces.
    pub service: String,
    /// Process of the daemon.
    pub daemon: Process,
    /// Process of the backend server.
    pub backend: Process,
    /// Address for other daemons at the first start.
    pub(crate) peer_address: String,
    pub(crate) plan: ServicePlan,
    /// Path of the daemon's settings file, and its text after the daemon's first start.
    pub(crate) settings: (PathBuf, String),
    /// Folder for the daemon's log file.
    pub(crate) logs: Option<PathBuf>,
    /// Address to announce instead of the backend server's listening address.
    pub(crate) advertise: Option<String>,
}

impl Node {
    /// Daemon's address for callers.
    pub fn caller_address(&self) -> String {
        self.daemon.address("calls")
    }

    /// Daemon's admin address.
    pub fn admin_address(&self) -> String {
        self.daemon.address("admin")
    }

    /// Daemon's `/status` document; null if it does not answer.
    pub fn status(&self) -> Value {
        fetch_status(&self.admin_address())
    }

    /// Requests the backend server executed since its start; empty if it does not answer.
    pub fn journal(&self) -> Vec<Value> {
        serde_json::from_str(&get(&self.backend.address("address"), "/stand-in/journal").body)
            .unwrap_or_default()
    }

    /// Text of the daemon's settings file after its first start; with proxies it then names the
    /// ports that the daemon bound.
    pub fn settings(&self) -> &str {
        &self.settings.1
    }

    /// Path of the daemon's settings file.
    pub fn settings_path(&self) -> &Path {
        &self.settings.0
    }

    /// Path of the daemon's log file, if the site keeps logs.
    pub fn daemon_log(&self) -> Option<PathBuf> {
        Some(self.logs.as_ref()?.join(format!("{}.log", self.name)))
    }

    /// Kills the backend server and starts a new one.
    ///
    /// # Errors
    /// The backend server can't be started.
    pub fn restart_backend(&mut self) -> io::Result<()> {
        self.backend.kill();
        self.backend = start_backend(&self.plan, &self.daemon, self.advertise.as_deref())?;
        Ok(())
    }

    /// Kills the daemon and the backend server and starts new ones with the same settings file.
    ///
    /// # Errors
    /// The daemon or the backend server can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.daemon.kill();
        self.daemon = self.spawn_daemon()?.wait_started()?;
        self.restart_backend()
    }

    /// Starts a further daemon from the host's settings file; it does not replace [`Node::daemon`].
    ///
    /// # Errors
    /// The daemon can't be started, or its log file can't be opened.
    pub fn spawn_daemon(&self) -> io::Result<StartingProcess> {
        spawn_daemon(&self.settings.0, self.daemon_log().as_deref())
    }
}

/// Fetches `/status` from an admin address; null if the daemon does not answer.
pub fn fetch_status(admin: &str) -> Value {
    serde_json::from_str(&get(admin, "/status").body).unwrap_or(Value::Null)
}

/// Number of members in the ready state in a daemon's `/status` document.
pub fn ready_members(status: &Value) -> usize {
    let members = status["members"].as_array().into_iter().flatten();
    members.filter(|member| member["state"] == "ready").count()
}

pub(crate) fn spawn_daemon(settings: &Path, log: Option<&Path>) -> io::Result<StartingProcess> {
    let settings = settings.to_string_lossy().into_owned();
    Process::spawn("indigospurd", &["--settings".to_owned(), settings], log)
}

pub(crate) fn start_backend(
    plan: &ServicePlan,
    daemon: &Process,
    advertise: Option<&str>,
) -> io::Result<Process> {
    let mut arguments = vec![
        "--service".to_owned(),
        plan.name.clone(),
        "--slots".to_owned(),
        plan.slots.to_string(),
        "--work-ms".to_owned(),
        plan.work_ms.to_string(),
        "--daemon-admin".to_owned(),
        daemon.address("admin"),
        "--daemon-calls".to_owned(),
        daemon.address("calls"),
    ];
    for call in &plan.calls {
        arguments.extend(["--call".to_owned(), call.clone()]);
    }
    if let Some(address) = advertise {
        arguments.extend(["--advertise".to_owned(), address.to_owned()]);
    }
    Process::start("stand-in-backend", &arguments)
}
