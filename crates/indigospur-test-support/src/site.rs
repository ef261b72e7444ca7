//! Site of real processes: the platform's log, daemons and backend servers, with a published rule
//! set.

use crate::client::{get, post};
use crate::fault_proxy::{FaultProxy, process_loopback};
use crate::node::{Node, ServicePlan, ready_members, spawn_daemon, start_backend};
use crate::process::{Process, program_path};
use crate::scripted_backend::{Script, ScriptedBackend};
use std::collections::HashSet;
use std::io;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number for the next temporary folder or rules file.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Configuration of a site.
#[derive(Clone, Debug, Default)]
pub struct SitePlan {
    /// Services, in the order in which their hosts start.
    pub services: Vec<ServicePlan>,
    /// Rule set to publish, as TOML; none is published if empty.
    pub rules: String,
    /// TOML appended to the settings of each daemon.
    pub settings: String,
    /// Folder for the daemons' log files; without it no logs are kept.
    pub logs: Option<PathBuf>,
}

/// Proxies on the connections of one host.
#[derive(Debug)]
pub struct HostProxies {
    /// Connections that the other daemons open to the host's daemon.
    pub peers: FaultProxy,
    /// Connections that the daemon opens to the platform's log.
    pub log: FaultProxy,
    /// Connections that the daemon opens to the backend server.
    pub backend: FaultProxy,
}

impl HostProxies {
    /// Starts proxies without targets; adding a host to a site sets them.
    pub fn start() -> HostProxies {
        HostProxies {
            peers: FaultProxy::start(),
            log: FaultProxy::start(),
            backend: FaultProxy::start(),
        }
    }
}

/// A site of real processes; dropping it kills them and deletes its temporary folder.
#[derive(Debug)]
pub struct Site {
    /// Process of the platform's log.
    pub log: Process,
    /// Hosts, in the order in which they were added.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    settings: String,
    retention: String,
    logs: Option<PathBuf>,
}

impl Site {
    /// Starts all processes, publishes the rule set and waits until the site is ready. The daemons'
    /// log retention is 24 hours.
    ///
    /// # Errors
    /// A process can't be started.
    ///
    /// # Panics
    /// The site is not ready within 30 s.
    pub fn start(plan: &SitePlan) -> io::Result<Site> {
        Site::start_with_retention(plan, "24h")
    }

    /// Like [`Site::start`], with a log retention such as `24h` in the daemons' settings.
    ///
    /// # Errors
    /// A process can't be started.
    ///
    /// # Panics
    /// The site is not ready within 30 s.
    pub fn start_with_retention(plan: &SitePlan, retention: &str) -> io::Result<Site> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
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
                site.add_host(&format!("{}-{index}", service.name), service)?;
            }
        }
        if !plan.rules.is_empty() {
            site.publish(&plan.rules)?;
        }
        site.wait_until_ready();
        Ok(site)
    }

    /// Starts a host that serves `plan`, without proxies.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add_host(&mut self, name: &str, plan: &ServicePlan) -> io::Result<()> {
        self.start_host(name, plan, None)
    }

    /// Starts a host that serves `plan` and whose connections pass through proxies. Its daemon
    /// keeps its addresses across restarts.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add_proxied_host(
        &mut self,
        proxies: &HostProxies,
        name: &str,
        plan: &ServicePlan,
    ) -> io::Result<()> {
        self.start_host(name, plan, Some(proxies))
    }

    fn start_host(
        &mut self,
        name: &str,
        plan: &ServicePlan,
        proxies: Option<&HostProxies>,
    ) -> io::Result<()> {
        let seed = self.nodes.first().map(|node| node.peer_address.clone());
        let zone = ["a", "b", "c"][self.nodes.len() % 3];
        let mut log = self.log.address("address");
        let mut extra_listen = String::new();
        if let Some(proxies) = proxies {
            proxies.log.set_target(&log);
            log.clone_from(&proxies.log.address);
            extra_listen = format!("advertise = \"{}\"\n", proxies.peers.address);
        }
        let any_port = match proxies {
            Some(_) => format!("{}:0", process_loopback()),
            None => "127.0.0.1:0".to_owned(),
        };
        let mut host = HostSettings {
            name,
            zone,
            log: &log,
            retention: &self.retention,
            addresses: std::array::from_fn(|_| any_port.clone()),
            extra_listen: &extra_listen,
        };
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(
            &path,
            format_settings(&host, seed.as_deref(), &self.settings),
        )?;
        let logs = self.logs.clone();
        let log = logs
            .as_ref()
            .map(|folder| folder.join(format!("{name}.log")));
        let daemon = spawn_daemon(&path, log.as_deref())?.wait_started()?;
        if proxies.is_some() {
            // Later daemons of the host bind the same ports; no other process uses this IP address.
            host.addresses = ["calls", "peers", "admin"].map(|name| daemon.address(name));
        }
        let settings = format_settings(&host, seed.as_deref(), &self.settings);
        std::fs::write(&path, &settings)?;
        let peer_address = match proxies {
            Some(proxies) => proxies.peers.address.clone(),
            None => daemon.address("peers"),
        };
        let advertise = proxies.map(|proxies| proxies.backend.address.clone());
        let backend = start_backend(plan, &daemon, advertise.as_deref())?;
        if let Some(proxies) = proxies {
            proxies.peers.set_target(&daemon.address("peers"));
            proxies.backend.set_target(&backend.address("address"));
        }
        let (name, service, plan) = (name.to_owned(), plan.name.clone(), plan.clone());
        self.nodes.push(Node {
            name,
            service,
            daemon,
            backend,
            peer_address,
            plan,
            settings: (path, settings),
            logs,
            advertise,
        });
        Ok(())
    }

    /// Publishes a rule set with `indigospur publish`. Returns standard output followed by standard
    /// error, and the exit code (`None` if a signal ended the command).
    ///
    /// # Errors
    /// The rules file can't be written, or the command can't be started.
    pub fn publish(&self, rules: &str) -> io::Result<(String, Option<i32>)> {
        let path = self.folder.join(format!(
            "rules-{}.toml",
            NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::write(&path, rules)?;
        let log = self.log.address("address");
        let output = Command::new(program_path("indigospur"))
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

    /// Waits until every daemon is ready, sees all members ready and knows the epochs of all
    /// services.
    ///
    /// # Panics
    /// This takes over 30 s; the message has the status of each daemon.
    pub fn wait_until_ready(&self) {
        let host_count = self.nodes.len();
        let services: HashSet<&str> = self
            .nodes
            .iter()
            .map(|node| node.service.as_str())
            .collect();
        let all_ready = || {
            self.nodes
                .iter()
                .all(|node| is_ready(node, host_count, services.len()))
        };
        if !poll_until(all_ready) {
            let statuses: Vec<String> = self
                .nodes
                .iter()
                .map(|node| node.status().to_string())
                .collect();
            panic!(
                "site not ready within 30 s; status of each daemon:\n{}",
                statuses.join("\n")
            );
        }
    }

    /// Sets the mode of the platform's log from JSON (`Mode` of indigospur-stand-ins).
    pub fn set_log_mode(&self, mode: &str) {
        post(&self.log.address("address"), "/mode", mode);
    }

    /// Hosts that serve `service`.
    pub fn nodes_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Node> {
        self.nodes
            .iter()
            .filter(move |node| node.service == service)
    }

    /// Replaces the backend server of a host by one that follows a script.
    ///
    /// # Panics
    /// There is no such host, or its daemon doesn't detect the loss of the backend server.
    pub fn script_backend(&mut self, host: &str, slots: u32, script: Script) -> ScriptedBackend {
        let scripted = ScriptedBackend::start(script);
        let node = self.node(host);
        node.backend.kill();
        let admin = node.admin_address();
        let limit = format!("\"limit\":{}", node.plan.slots);
        wait_until("the daemon detects the loss of the backend server", || {
            !get(&admin, "/status").body.contains(&limit)
        });
        scripted.announce(&admin, &node.service, slots);
        scripted
    }

    /// Returns the host with this name.
    ///
    /// # Panics
    /// No host has this name.
    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes
            .iter_mut()
            .find(|node| node.name == name)
            .expect("no host of the site has this name")
    }

    /// Number of executions with an idempotency key over all backend servers that answer.
    pub fn count_runs(&self, key: &str) -> usize {
        let runs = self.nodes.iter().flat_map(Node::journal);
        runs.filter(|run| run["key"] == key).count()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls `condition` until it holds; `description` names it in the panic message.
///
/// # Panics
/// The condition does not hold within 30 s.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    assert!(
        poll_until(condition),
        "condition not met within 30 s: {description}"
    );
}

/// Polls `condition`; returns false if it does not hold within [`WAIT_TIMEOUT`].
fn poll_until(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

fn is_ready(node: &Node, host_count: usize, service_count: usize) -> bool {
    let status = node.status();
    status["ready"] == true
        && status["services"] == service_count as u64
        && ready_members(&status) == host_count
        && status["epoch"].as_u64().is_some_and(|epoch| epoch > 0)
}

/// Settings that differ between hosts.
struct HostSettings<'a> {
    name: &'a str,
    zone: &'a str,
    log: &'a str,
    retention: &'a str,
    /// Addresses for callers, for other daemons and for administration.
    addresses: [String; 3],
    /// Further lines of the `[listen]` table.
    extra_listen: &'a str,
}

fn format_settings(host: &HostSettings<'_>, seed: Option<&str>, extra: &str) -> String {
    let HostSettings {
        name,
        zone,
        log,
        retention,
        addresses: [calls, peers, admin],
        extra_listen,
    } = host;
    let seeds = seed.map_or_else(String::new, |seed| format!("[peers]\nseeds = \"{seed}\"\n"));
    format!(
        "[host]\nname = \"{name}\"\ndata-centre = \"lisboa-{zone}\"\nregion = \"lisbon\"\n\n\
         [listen]\ncalls = \"{calls}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n{extra_listen}\n\
         [log]\naddress = \"{log}\"\npoll = \"200ms\"\nretention = \"{retention}\"\n\n{seeds}\n{extra}\n"
    )
}
