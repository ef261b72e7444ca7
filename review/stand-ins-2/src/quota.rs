//! Clients of one tenant send more than its quota. In one scenario machines are added while the partition of
//! the store in which daemons register is down, and the rest of the store is up. In the other all daemons are
//! killed and started again, and the store holds the registrations of many machines that were removed before.

use crate::clients::{Clients, Load};
use crate::daemon::Daemon;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Scene, Verdict};
use std::net::TcpListener;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Machines at the start, and those that are added: three in ten.
const MACHINES: usize = 7;
const ADDED: usize = 2;
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// Time from the start of the daemons to that of the traffic.
const LEAD: Duration = Duration::from_secs(4);
/// Time for which the partition is down.
const DOWN: Duration = Duration::from_secs(8);
/// Time until a machine that is added gets traffic, once it is ready.
const READY_TO_TRAFFIC: Duration = Duration::from_secs(1);
/// Machines of the site whose daemons are all killed, and registered ones that were removed before.
const LARGE_SITE: usize = 16;
const GONE: usize = 200;
/// How often all daemons are killed.
const KILLS: usize = 2;
/// Time from a restart from which on windows are judged, and for how long.
const RECOVERY: Duration = Duration::from_secs(15);
const JUDGED: Duration = Duration::from_secs(10);
/// Time in which the platform starts killed daemons again.
const RESTART: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":"r7","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","backends","max_attempts","service","public"],"rows":[["r-sign","jepu9.example","/sign/","unsafe","2000ms","1500ms",0,null,2,"contracts",false]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["contracts","/health",570,"h1",false]]},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["t-one",["k-5e1d0c7a"],0,20,10]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

struct Machine {
    daemon: Daemon,
    upstream: Upstream,
}

/// Starts a machine; `None` if its daemon does not become ready.
fn start_machine(scene: &Scene, store: &Store, number: usize) -> Option<Machine> {
    let record = &scene.record;
    let instance = format!("i-7f3a91c{number}");
    let upstream = Upstream::start(record, &instance, "contracts", Duration::from_millis(100));
    let name = format!("sidecar-lisboa-a-{number}");
    let mut daemon = Daemon::new(record, &scene.folder, &name, "contracts", &store.address);
    daemon.start();
    if !daemon.wait_ready(Duration::from_secs(5)) {
        return None;
    }
    upstream.start_beats(&daemon.control);
    Some(Machine { daemon, upstream })
}

/// A site of seven machines with its clients.
struct Site<'a> {
    scene: &'a Scene,
    store: Store,
    machines: Vec<Machine>,
    clients: Clients,
    load: Load,
}

impl Site<'_> {
    /// Starts the machines, and the clients some seconds later; `None` if a daemon does not get ready.
    fn start(scene: &Scene, store: Store, machines: usize) -> Option<Site<'_>> {
        store.write("keyed.op", "config", CONFIG.as_bytes());
        let mut site = Site {
            scene,
            store,
            machines: Vec::new(),
            clients: Clients::new(&scene.record),
            load: Load {
                method: "POST",
                host: "jepu9.example",
                path: "/sign/2f",
                key: Some("Token k-5e1d0c7a"),
                clients: 8,
                pause: Duration::from_millis(200),
            },
        };
        for number in 1..=machines {
            site.add_machine(number)?;
        }
        Some(site)
    }

    fn add_machine(&mut self, number: usize) -> Option<()> {
        let machine = start_machine(self.scene, &self.store, number)?;
        self.machines.push(machine);
        Some(())
    }

    fn start_clients(&self, from: usize) {
        for machine in &self.machines[from..] {
            let daemon = &machine.daemon;
            self.clients
                .start(&daemon.name, &daemon.outbound, &self.load);
            let text = format!("{} gets traffic", daemon.name);
            self.scene.record.say(&text);
        }
    }

    /// Stops the clients and counts what ran in windows that begin within `judged`.
    fn judge(&self, judged: &[Range<Instant>]) -> Verdict {
        let record = &self.scene.record;
        self.clients.stop();
        std::thread::sleep(Duration::from_secs(3));
        let mut runs: Vec<Instant> = Vec::new();
        for machine in &self.machines {
            let ran = machine.upstream.runs.lock().expect("no thread panics");
            runs.extend(ran.iter().map(|run| run.at));
        }
        runs.sort();
        let quota = RATE * QUOTA_WINDOW.as_secs_f64() + BURST;
        let bound = quota * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
        let windows = runs.iter().enumerate().map(|(index, start)| {
            let end = runs.partition_point(|at| *at < *start + QUOTA_WINDOW);
            (end - index, *start)
        });
        let windows = windows.filter(|(_, start)| judged.iter().any(|span| span.contains(start)));
        let (most, start) = windows.max().unwrap_or((0, Instant::now()));
        let sent = self.clients.sent.lock().expect("no thread panics").clone();
        let served = sent.iter().filter(|request| request.status == 200).count();
        record.say(&format!("{} requests sent, {served} served", sent.len()));
        for second in 0..record.seconds(Instant::now()) as usize {
            let at = |run: &&Instant| record.seconds(**run) as usize == second;
            let count = runs.iter().filter(at).count();
            record.line(&format!("second {second}: {count} runs"));
        }
        record.say(&format!(
            "at most {most} requests of the tenant ran within {QUOTA_WINDOW:?}, from {:.1} s on; the rule \
             allows {bound:.0}",
            record.seconds(start)
        ));
        if served == 0 {
            return Verdict::NotRun;
        }
        if most as f64 > bound {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}

/// Machines are added while the partition of the daemons' topic is down.
pub fn play_added(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let Some(mut site) = Site::start(scene, Store::start(), MACHINES) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(LEAD);
    let began = Instant::now();
    site.start_clients(0);
    std::thread::sleep(Duration::from_secs(10));
    if scene.trouble {
        site.store.set_down("keyed.indigospur", true);
        record.say("the partition of the topic keyed.indigospur is down");
    }
    let up = Instant::now() + DOWN;
    for number in MACHINES + 1..=MACHINES + ADDED {
        if site.add_machine(number).is_none() {
            return Verdict::NotRun;
        }
    }
    std::thread::sleep(READY_TO_TRAFFIC);
    site.start_clients(MACHINES);
    std::thread::sleep(up.saturating_duration_since(Instant::now()));
    if scene.trouble {
        site.store.set_down("keyed.indigospur", false);
        record.say("the partition is up");
    }
    std::thread::sleep(Duration::from_secs(8));
    site.judge(&[began..Instant::now()])
}

/// All daemons are killed where many registered machines are gone and their addresses don't answer.
pub fn play_split(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let Some(mut site) = Site::start(scene, Store::start(), LARGE_SITE) else {
        return Verdict::NotRun;
    };
    std::thread::sleep(LEAD);
    let gone = std::env::var("GONE")
        .ok()
        .and_then(|text| text.parse().ok());
    let mut silent = Vec::new();
    for number in 0..gone.unwrap_or(GONE) {
        let port = 10_000 + std::process::id() % 6_000;
        let address = format!("127.7.{}.{}:{port}", number / 250, 1 + number % 250);
        let Ok(listener) = TcpListener::bind(&address) else {
            return Verdict::NotRun;
        };
        // The system accepts connections; nothing is ever answered.
        silent.push(listener);
        let name = format!("sidecar-lisboa-b-{number}");
        let store = &site.store;
        store.write("keyed.indigospur", &name, address.as_bytes());
    }
    record.say(&format!(
        "{} machines that are gone are registered",
        silent.len()
    ));
    site.start_clients(0);
    std::thread::sleep(Duration::from_secs(8));
    let mut judged = Vec::new();
    for _ in 0..KILLS {
        if scene.trouble {
            for machine in &mut site.machines {
                machine.daemon.kill();
            }
            std::thread::sleep(RESTART);
            for machine in &mut site.machines {
                machine.daemon.start();
            }
        }
        std::thread::sleep(RECOVERY);
        let from = Instant::now();
        record.say("windows are judged that begin from here on");
        std::thread::sleep(JUDGED);
        judged.push(from..Instant::now() - QUOTA_WINDOW);
    }
    site.judge(&judged)
}
