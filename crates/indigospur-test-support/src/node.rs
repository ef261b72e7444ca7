//! A host of a site: a daemon and a backend server.

use crate::client::get;
use crate::process::{Process, Starting};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};

/// A service of a site.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: u32,
    /// Time a call takes, in milliseconds.
    pub work_ms: u64,
    /// Calls it makes, as `service/path`.
    pub calls: Vec<String>,
}

impl ServicePlan {
    /// A service whose calls take 2 ms.
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

/// A daemon and the backend server beside it.
#[derive(Debug)]
pub struct Node {
    /// Host name.
    pub name: String,
    /// Service.
    pub service: String,
    /// The daemon.
    pub daemon: Process,
    /// The backend server.
    pub backend: Process,
    /// Address told to other daemons at the first start.
    pub(crate) peers: String,
    pub(crate) plan: ServicePlan,
    /// Path of the daemon's settings, and what they were at first.
    pub(crate) settings: (PathBuf, String),
    /// Folder for logs.
    pub(crate) logs: Option<PathBuf>,
    /// Address to announce instead of the backend server's own.
    pub(crate) advertise: Option<String>,
}

impl Node {
    /// Address for callers.
    pub fn calls(&self) -> String {
        self.daemon.address("calls")
    }

    /// Admin address.
    pub fn admin(&self) -> String {
        self.daemon.address("admin")
    }

    /// The daemon's status.
    pub fn status(&self) -> Value {
        status_of(&self.admin())
    }

    /// What the backend server ran.
    pub fn journal(&self) -> Vec<Value> {
        serde_json::from_str(&get(&self.backend.address("address"), "/stand-in/journal").body)
            .unwrap_or_default()
    }

    /// Settings of the daemon at its first start.
    pub fn settings(&self) -> &str {
        &self.settings.1
    }

    /// Path of the daemon's settings file.
    pub fn settings_path(&self) -> &Path {
        &self.settings.0
    }

    /// Path of the daemon's log, if logs are kept.
    pub fn daemon_log(&self) -> Option<PathBuf> {
        Some(self.logs.as_ref()?.join(format!("{}.log", self.name)))
    }

    /// Starts the backend server anew, after it has ended.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart_backend(&mut self) -> io::Result<()> {
        self.backend.kill();
        self.backend = start_backend(&self.plan, &self.daemon, self.advertise.as_deref())?;
        Ok(())
    }

    /// Starts daemon and backend server anew on the same host.
    ///
    /// # Errors
    /// One of them can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.daemon.kill();
        self.daemon = self.spawn_daemon()?.finish()?;
        self.restart_backend()
    }

    /// Starts another daemon, which is not the host's yet.
    ///
    /// # Errors
    /// It can't be started.
    pub fn spawn_daemon(&self) -> io::Result<Starting> {
        spawn_daemon(&self.settings.0, self.daemon_log().as_deref())
    }
}

/// The status of the daemon with an admin address; null without an answer.
pub fn status_of(admin: &str) -> Value {
    serde_json::from_str(&get(admin, "/status").body).unwrap_or(Value::Null)
}

/// Members that a daemon counts as ready, by its status.
pub fn ready_members(status: &Value) -> usize {
    let members = status["members"].as_array().into_iter().flatten();
    members.filter(|member| member["state"] == "ready").count()
}

pub(crate) fn spawn_daemon(settings: &Path, log: Option<&Path>) -> io::Result<Starting> {
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
