//! A site: the platform's log, daemons, backend servers, and a published rule set.

use crate::client::{get, post};
use crate::process::{Process, program};
use crate::raw::Wire;
use serde_json::Value;
use std::collections::HashSet;
use std::io;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

static SITES: AtomicU32 = AtomicU32::new(0);

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

/// What a site consists of.
#[derive(Clone, Debug, Default)]
pub struct SitePlan {
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Rule set to publish; none if empty.
    pub rules: String,
    /// Lines added to the settings of each daemon.
    pub settings: String,
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
    plan: ServicePlan,
    settings: String,
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

    /// Starts the backend server anew, after it has ended.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart_backend(&mut self) -> io::Result<()> {
        self.backend.kill();
        self.backend = start_backend(&self.plan, &self.daemon)?;
        Ok(())
    }

    /// Starts daemon and backend server anew on the same host.
    ///
    /// # Errors
    /// One of them can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.daemon.kill();
        self.daemon = Process::start(
            "indigospurd",
            &["--settings".to_owned(), self.settings.clone()],
        )?;
        self.restart_backend()
    }
}

/// A site of real processes; all end when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// The platform's log.
    pub log: Process,
    /// Daemons and backend servers.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    settings: String,
    retention: String,
}

impl Site {
    /// Starts all processes, publishes the rule set and waits until all know each other.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(plan: &SitePlan) -> io::Result<Site> {
        Site::start_with_retention(plan, "24h")
    }

    /// The same with another retention in the daemons' settings.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start_with_retention(plan: &SitePlan, retention: &str) -> io::Result<Site> {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("indigospur-site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let log = Process::start("stand-in-log", &[])?;
        let mut site = Site {
            log,
            nodes: Vec::new(),
            folder,
            settings: plan.settings.clone(),
            retention: retention.to_owned(),
        };
        for service in &plan.services {
            for index in 0..service.upstreams {
                site.add(&format!("{}-{index}", service.name), service)?;
            }
        }
        if !plan.rules.is_empty() {
            site.publish(&plan.rules)?;
        }
        site.settle();
        Ok(site)
    }

    /// Starts a host of a service.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add(&mut self, name: &str, plan: &ServicePlan) -> io::Result<()> {
        self.add_host(name, plan, "")
    }

    /// Starts a host of a service that others reach through a wire.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add_behind(&mut self, wire: &Wire, name: &str, plan: &ServicePlan) -> io::Result<()> {
        self.add_host(name, plan, &format!("advertise = \"{}\"\n", wire.address))?;
        if let Some(node) = self.nodes.last() {
            wire.set_target(&node.daemon.address("peers"));
        }
        Ok(())
    }

    fn add_host(&mut self, name: &str, plan: &ServicePlan, listen: &str) -> io::Result<()> {
        let seed = self.nodes.first().map(|node| node.daemon.address("peers"));
        let zone = ["a", "b", "c"][self.nodes.len() % 3];
        let place = Place {
            name,
            zone,
            log: &self.log.address("address"),
            retention: &self.retention,
            listen,
        };
        let settings = settings(&place, seed.as_deref(), &self.settings);
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let settings = path.to_string_lossy().into_owned();
        let daemon = Process::start("indigospurd", &["--settings".to_owned(), settings.clone()])?;
        let backend = start_backend(plan, &daemon)?;
        let (name, service, plan) = (name.to_owned(), plan.name.clone(), plan.clone());
        self.nodes.push(Node {
            name,
            service,
            daemon,
            backend,
            plan,
            settings,
        });
        Ok(())
    }

    /// Publishes a rule set with the tool; its output and exit status.
    ///
    /// # Errors
    /// The tool can't be started.
    pub fn publish(&self, rules: &str) -> io::Result<(String, Option<i32>)> {
        let path = self.folder.join(format!(
            "rules-{}.toml",
            SITES.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::write(&path, rules)?;
        let log = self.log.address("address");
        let output = Command::new(program("indigospur"))
            .arg("publish")
            .arg(&path)
            .args(["--log", &log])
            .output()?;
        let text = [output.stdout, output.stderr].concat();
        Ok((
            String::from_utf8_lossy(&text).into_owned(),
            output.status.code(),
        ))
    }

    /// Waits until every daemon is ready, sees every member ready, and knows the
    /// epochs of all services.
    ///
    /// # Panics
    /// They don't in time; the message tells what each daemon knows.
    pub fn settle(&self) {
        let all = self.nodes.len();
        let services: HashSet<&str> = self
            .nodes
            .iter()
            .map(|node| node.service.as_str())
            .collect();
        let settled = || {
            self.nodes
                .iter()
                .all(|node| has_settled(node, all, services.len()))
        };
        if !holds_in_time(settled) {
            let known: Vec<String> = self
                .nodes
                .iter()
                .map(|node| node.status().to_string())
                .collect();
            panic!("the site has not settled in time:\n{}", known.join("\n"));
        }
    }

    /// Changes how the log behaves; `mode` is its JSON.
    pub fn set_log_mode(&self, mode: &str) {
        post(&self.log.address("address"), "/mode", mode);
    }

    /// The nodes of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Node> {
        self.nodes
            .iter()
            .filter(move |node| node.service == service)
    }

    /// The node with a host name.
    ///
    /// # Panics
    /// There is none.
    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes
            .iter_mut()
            .find(|node| node.name == name)
            .expect("the node exists")
    }

    /// Runs of a key over all backend servers that answer.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = self.nodes.iter().flat_map(Node::journal);
        runs.filter(|run| run["key"] == key).count()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
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

/// Waits until a condition holds.
///
/// # Panics
/// It does not hold in time.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    assert!(holds_in_time(holds), "not in time: {what}");
}

fn holds_in_time(holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(LOOK);
    }
    true
}

fn has_settled(node: &Node, all: usize, services: usize) -> bool {
    let status = node.status();
    status["ready"] == true
        && status["services"] == services as u64
        && ready_members(&status) == all
        && status["epoch"].as_u64().is_some_and(|epoch| epoch > 0)
}

fn start_backend(plan: &ServicePlan, daemon: &Process) -> io::Result<Process> {
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
    Process::start("stand-in-backend", &arguments)
}

/// What is particular to the settings of one host.
struct Place<'a> {
    name: &'a str,
    zone: &'a str,
    log: &'a str,
    retention: &'a str,
    /// Lines added to the addresses.
    listen: &'a str,
}

fn settings(place: &Place<'_>, seed: Option<&str>, more: &str) -> String {
    let Place {
        name,
        zone,
        log,
        retention,
        listen,
    } = place;
    let seeds = seed.map_or_else(String::new, |seed| format!("[peers]\nseeds = \"{seed}\"\n"));
    format!(
        "[host]\nname = \"{name}\"\ndata-centre = \"lisboa-{zone}\"\nregion = \"lisbon\"\n\n\
         [listen]\ncalls = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n{listen}\n\
         [log]\naddress = \"{log}\"\npoll = \"200ms\"\nretention = \"{retention}\"\n\n{seeds}\n{more}\n"
    )
}
