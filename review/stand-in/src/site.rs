//! A small deployment: the store, and machines on which the daemon of the deploy file runs beside an
//! upstream.

use crate::http::{Connection, Message, call, encode};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Handler, Upstream};
use std::collections::HashMap;
use std::fs::File;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ends a case that can't run.
pub type Outcome<T> = Result<T, String>;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Time until all daemons of a site are ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A machine: a daemon and an upstream.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub service: String,
    pub upstream: Upstream,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The deployment. All its processes end when it is dropped.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    network: String,
    port: u16,
    run: Vec<String>,
    template: String,
    folder: PathBuf,
}

impl Site {
    /// Starts the store. `config` is the first configuration.
    pub fn start(record: &Record, config: &str) -> Outcome<Site> {
        let deploy = std::fs::read_to_string("deploy/system.toml").map_err(text)?;
        let value = |key: &str| {
            let lines = deploy.lines().filter_map(|line| line.split_once('='));
            let mut found = lines.filter(|(name, _)| name.trim() == key);
            found
                .next()
                .map(|(_, value)| value.trim().trim_matches('"').to_owned())
        };
        let run = value("run").ok_or("the deploy file names no program")?;
        let template = value("template").ok_or("the deploy file names no template")?;
        let template = std::fs::read_to_string(template).map_err(text)?;
        let seed = seed();
        let network = format!("127.{}.{}", 16 + seed % 200, seed / 200 % 250);
        let port = 20_000 + (seed / 50_000 % 1_000) as u16 * 32;
        let store = Store::start(&format!("{network}.250:{port}")).map_err(text)?;
        store.put_config(config);
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        record.line(format!(
            "the store is at {}; the first configuration is written: {config}",
            store.address
        ));
        Ok(Site {
            record: record.clone(),
            store,
            machines: Vec::new(),
            network,
            port,
            run: run.split(' ').map(str::to_owned).collect(),
            template,
            folder,
        })
    }

    /// Writes a configuration. Returns the time of the acknowledgement.
    pub fn put_config(&self, config: &str) -> Duration {
        self.store.put_config(config);
        self.record
            .line(format!("the store acknowledges the configuration {config}"))
    }

    /// Adds a machine with an upstream, and starts both.
    pub fn add(&mut self, service: &str, slots: u32, handler: Handler) -> Outcome<usize> {
        let number = self.machines.len() + 1;
        let name = format!("sidecar-lisboa-a-{number}");
        let ip = format!("{}.{number}", self.network);
        TcpListener::bind(format!("{ip}:{}", self.port)).map_err(text)?;
        let upstream = Upstream::start(
            &format!("u{number}"),
            service,
            slots,
            &self.address(&ip, UPSTREAM_PORT),
            &self.address(&ip, CONTROL_PORT),
            &self.record,
            handler,
        );
        let machine = Machine {
            settings: self.folder.join(format!("{name}.toml")),
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            service: service.to_owned(),
            upstream: upstream.map_err(text)?,
            child: None,
        };
        std::fs::write(&machine.settings, self.settings(&machine)).map_err(text)?;
        self.machines.push(machine);
        self.start_daemon(number - 1)?;
        Ok(number - 1)
    }

    fn address(&self, ip: &str, port: u16) -> String {
        format!("{ip}:{}", self.port + port)
    }

    fn settings(&self, machine: &Machine) -> String {
        let ip = &*machine.ip;
        let values = HashMap::from([
            ("node_name", machine.name.clone()),
            ("zone", "lisboa-a".to_owned()),
            ("region", "lisboa".to_owned()),
            ("ip", ip.to_owned()),
            ("service", machine.service.clone()),
            ("listen_addresses.outbound", self.address(ip, OUTBOUND_PORT)),
            ("listen_addresses.ready", self.address(ip, READY_PORT)),
            ("listen_addresses.control", self.address(ip, CONTROL_PORT)),
            ("internal_ports.0", (self.port + PEER_PORT).to_string()),
            ("internal_ports.1", (self.port + PEER_PORT + 15).to_string()),
            ("platform.address", self.store.address.clone()),
            ("limits.memory_mb", "260".to_owned()),
            ("bounds.budget_window", "10s".to_owned()),
            ("bounds.grace", "6s".to_owned()),
        ]);
        render(&self.template, &values)
    }

    /// Starts the daemon of a machine with the command of the deploy file.
    pub fn start_daemon(&mut self, index: usize) -> Outcome<()> {
        let machine = &mut self.machines[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&machine.log)
            .map_err(text)?;
        let mut command = Command::new(&self.run[0]);
        // SAFETY: only a system call is made between fork and exec. It ends the daemon if this
        // process is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command
            .args(&self.run[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("INDIGOSPUR_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(text)?)
            .stdout(log)
            .spawn()
            .map_err(text)?;
        self.record
            .line(format!("{}: the daemon starts", machine.name));
        machine.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&mut self, index: usize, signal: i32) {
        let machine = &self.machines[index];
        if let Some(child) = &machine.child {
            self.record
                .line(format!("{}: signal {signal}", machine.name));
            // SAFETY: the process was started here and was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the daemon of a machine has ended; waits for it for `time`.
    pub fn has_ended(&mut self, index: usize, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let child = self.machines[index].child.as_mut();
            if child.is_none_or(|child| !matches!(child.try_wait(), Ok(None))) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Where clients on a machine send their requests.
    pub fn outbound(&self, index: usize) -> String {
        self.address(&self.machines[index].ip, OUTBOUND_PORT)
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.address(&self.machines[index].ip, READY_PORT);
        let start = "GET /api/readiness HTTP/1.1";
        let answer = call(&address, start, &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all daemons are ready, and then until the members know each other.
    pub fn wait_ready(&self) -> Outcome<()> {
        let end = Instant::now() + START_TIMEOUT;
        while !(0..self.machines.len()).all(|index| self.is_ready(index)) {
            if Instant::now() > end {
                return Err("a daemon did not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 8 s after the machines do.
        std::thread::sleep(Duration::from_secs(4));
        self.record.line("all daemons are ready");
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

const OUTBOUND_PORT: u16 = 1;
const READY_PORT: u16 = 3;
const CONTROL_PORT: u16 = 4;
const UPSTREAM_PORT: u16 = 5;
const PEER_PORT: u16 = 10;

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// A number that differs between runs.
fn seed() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = time.map_or(0, |time| time.as_nanos() as u64);
    let mut mixed = nanos ^ (u64::from(std::process::id()) << 32);
    mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}

/// Fills in a template; knows placeholders for values and sections for values that are present.
fn render(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").unwrap_or(0);
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let inner_end = name_end + text[name_end..].find(&close).unwrap_or(0);
        let inner = match values.contains_key(&*name) {
            true => text[name_end + 2..inner_end].to_owned(),
            false => String::new(),
        };
        text.replace_range(start..inner_end + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").unwrap_or(0);
        let value = values
            .get(&text[start + 2..end])
            .cloned()
            .unwrap_or_default();
        text.replace_range(start..end + 2, &value);
    }
    text
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// Name of the host in all requests and routes.
pub const HOST: &str = "hulo84.example";

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let deadline = self.deadline_ms.to_string();
        let mut fields = vec![
            ("Host", HOST),
            ("Attempt-Id", self.id),
            ("Deadline-Milliseconds", &deadline),
        ];
        fields.extend_from_slice(self.fields);
        encode(
            &format!("{} {} HTTP/1.1", self.method, self.path),
            &fields,
            self.body,
        )
    }

    /// Sends the request on a new connection; `None` if it gets no answer by its deadline.
    pub fn send(&self, address: &str) -> Option<Message> {
        let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
        connection.write(&self.encode()).ok()?;
        let answer = connection
            .read(Duration::from_millis(self.deadline_ms))
            .ok()?;
        Some(answer)
    }
}
