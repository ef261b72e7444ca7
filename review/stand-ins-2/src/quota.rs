//! Machines are added while the partition of the store in which daemons register is down, and the rest of the
//! store is up. Clients of one tenant send more than its quota.

use crate::clients::{Clients, Load};
use crate::daemon::Daemon;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Scene, Verdict};
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

pub fn play(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    store.write("keyed.op", "config", CONFIG.as_bytes());
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let Some(machine) = start_machine(scene, &store, number) else {
            return Verdict::NotRun;
        };
        machines.push(machine);
    }
    std::thread::sleep(LEAD);
    let clients = Clients::new(record);
    let load = Load {
        method: "POST",
        host: "jepu9.example",
        path: "/sign/2f",
        key: Some("Token k-5e1d0c7a"),
        clients: 8,
        pause: Duration::from_millis(200),
    };
    for machine in &machines {
        clients.start(&machine.daemon.name, &machine.daemon.outbound, &load);
    }
    std::thread::sleep(Duration::from_secs(10));
    if scene.trouble {
        store.set_down("keyed.indigospur", true);
        record.say("the partition of the topic keyed.indigospur is down");
    }
    let up = Instant::now() + DOWN;
    for number in MACHINES + 1..=MACHINES + ADDED {
        let Some(machine) = start_machine(scene, &store, number) else {
            return Verdict::NotRun;
        };
        machines.push(machine);
    }
    std::thread::sleep(READY_TO_TRAFFIC);
    for machine in &machines[MACHINES..] {
        clients.start(&machine.daemon.name, &machine.daemon.outbound, &load);
        record.say(&format!("{} gets traffic", machine.daemon.name));
    }
    std::thread::sleep(up.saturating_duration_since(Instant::now()));
    if scene.trouble {
        store.set_down("keyed.indigospur", false);
        record.say("the partition is up");
    }
    std::thread::sleep(Duration::from_secs(8));
    clients.stop();
    std::thread::sleep(Duration::from_secs(3));

    let mut runs: Vec<Instant> = Vec::new();
    for machine in &machines {
        let ran = machine.upstream.runs.lock().expect("no thread panics");
        runs.extend(ran.iter().map(|run| run.at));
    }
    runs.sort();
    let bound = (RATE * QUOTA_WINDOW.as_secs_f64() + BURST) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK;
    let windows = runs.iter().enumerate().map(|(index, start)| {
        let end = runs.partition_point(|at| *at < *start + QUOTA_WINDOW);
        (end - index, *start)
    });
    let (most, start) = windows.max().unwrap_or((0, Instant::now()));
    let sent = clients.sent.lock().expect("no thread panics").clone();
    let served = sent.iter().filter(|request| request.status == 200).count();
    record.say(&format!("{} requests sent, {served} served", sent.len()));
    let seconds = record.seconds(Instant::now()) as usize;
    for second in 0..seconds {
        let at = |run: &&Instant| record.seconds(**run) as usize == second;
        record.line(&format!(
            "second {second}: {} runs",
            runs.iter().filter(at).count()
        ));
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
