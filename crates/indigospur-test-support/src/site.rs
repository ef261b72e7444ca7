//! A site: the platform's log, daemons, backend servers, and a published rule set.

use crate::client::post;
use crate::node::{Node, ServicePlan, ready_members, spawn_daemon, start_backend};
use crate::process::{Process, program};
use crate::wire::{Wire, own_address};
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

/// What a site consists of.
#[derive(Clone, Debug, Default)]
pub struct SitePlan {
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Rule set to publish; none if empty.
    pub rules: String,
    /// Lines added to the settings of each daemon.
    pub settings: String,
    /// Folder for the log of each process that is added later; none is kept without it.
    pub logs: Option<PathBuf>,
}

/// The wires of a host.
#[derive(Debug)]
pub struct Wires {
    /// From the other daemons to the host's daemon.
    pub peers: Wire,
    /// From the daemon to the platform's log.
    pub log: Wire,
    /// From the daemon to the backend server.
    pub backend: Wire,
}

impl Wires {
    /// Wires that lead nowhere yet.
    pub fn start() -> Wires {
        Wires {
            peers: Wire::start(),
            log: Wire::start(),
            backend: Wire::start(),
        }
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
    logs: Option<PathBuf>,
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
            logs: plan.logs.clone(),
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
        self.add_host(name, plan, None)
    }

    /// Starts a host of a service whose connections lead through wires. Its daemon has the same
    /// addresses at each start.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add_behind(&mut self, wires: &Wires, name: &str, plan: &ServicePlan) -> io::Result<()> {
        self.add_host(name, plan, Some(wires))
    }

    fn add_host(
        &mut self,
        name: &str,
        plan: &ServicePlan,
        wires: Option<&Wires>,
    ) -> io::Result<()> {
        let seed = self.nodes.first().map(|node| node.peers.clone());
        let zone = ["a", "b", "c"][self.nodes.len() % 3];
        let mut log = self.log.address("address");
        let mut listen = String::new();
        if let Some(wires) = wires {
            wires.log.set_target(&log);
            log.clone_from(&wires.log.address);
            listen = format!("advertise = \"{}\"\n", wires.peers.address);
        }
        let any = match wires {
            Some(_) => format!("{}:0", own_address()),
            None => "127.0.0.1:0".to_owned(),
        };
        let mut place = Place {
            name,
            zone,
            log: &log,
            retention: &self.retention,
            addresses: std::array::from_fn(|_| any.clone()),
            listen: &listen,
        };
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings(&place, seed.as_deref(), &self.settings))?;
        let logs = self.logs.clone();
        let log = logs
            .as_ref()
            .map(|folder| folder.join(format!("{name}.log")));
        let daemon = spawn_daemon(&path, log.as_deref())?.finish()?;
        if wires.is_some() {
            // The next daemon has the same addresses; nobody else listens on this one.
            place.addresses = ["calls", "peers", "admin"].map(|name| daemon.address(name));
        }
        let settings = settings(&place, seed.as_deref(), &self.settings);
        std::fs::write(&path, &settings)?;
        let peers = match wires {
            Some(wires) => wires.peers.address.clone(),
            None => daemon.address("peers"),
        };
        let advertise = wires.map(|wires| wires.backend.address.clone());
        let backend = start_backend(plan, &daemon, advertise.as_deref())?;
        if let Some(wires) = wires {
            wires.peers.set_target(&daemon.address("peers"));
            wires.backend.set_target(&backend.address("address"));
        }
        let (name, service, plan) = (name.to_owned(), plan.name.clone(), plan.clone());
        self.nodes.push(Node {
            name,
            service,
            daemon,
            backend,
            peers,
            plan,
            settings: (path, settings),
            logs,
            advertise,
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

/// What is particular to the settings of one host.
struct Place<'a> {
    name: &'a str,
    zone: &'a str,
    log: &'a str,
    retention: &'a str,
    /// For callers, for other daemons and for operators.
    addresses: [String; 3],
    /// Lines added to the addresses.
    listen: &'a str,
}

fn settings(place: &Place<'_>, seed: Option<&str>, more: &str) -> String {
    let Place {
        name,
        zone,
        log,
        retention,
        addresses: [calls, peers, admin],
        listen,
    } = place;
    let seeds = seed.map_or_else(String::new, |seed| format!("[peers]\nseeds = \"{seed}\"\n"));
    format!(
        "[host]\nname = \"{name}\"\ndata-centre = \"lisboa-{zone}\"\nregion = \"lisbon\"\n\n\
         [listen]\ncalls = \"{calls}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n{listen}\n\
         [log]\naddress = \"{log}\"\npoll = \"200ms\"\nretention = \"{retention}\"\n\n{seeds}\n{more}\n"
    )
}
