//! An upstream deregisters and goes on serving for a while; all daemons are killed and started again, and
//! a heartbeat that it sent before arrives late.

use crate::clients::{Clients, Load};
use crate::daemon::Daemon;
use crate::http::exchange;
use crate::store::Store;
use crate::upstream::Upstream;
use crate::{Scene, Verdict};
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time from the start of the daemons to that of the traffic.
const LEAD: Duration = Duration::from_secs(4);
/// Delay of the late heartbeat.
const LATE: Duration = Duration::from_millis(2_500);
/// Time from the acknowledgement to the kill, and that in which the platform starts the daemons again.
const UNTIL_KILL: Duration = Duration::from_millis(300);
const RESTART: Duration = Duration::from_millis(500);
/// Time from the acknowledgement to the end of the upstream.
const SERVES_ON: Duration = Duration::from_secs(9);

const CONFIG: &str = r#"{"version":"r7","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","backends","max_attempts","service"],"rows":[["r-hold","jepu9.example","/hold/","unsafe","2000ms","500ms",0,null,2,"payouts"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["payouts","/health",820,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn play(scene: &Scene) -> Verdict {
    let record = &scene.record;
    let store = Store::start();
    store.write("keyed.op", "config", CONFIG.as_bytes());
    let mut daemons = Vec::new();
    let mut upstreams = Vec::new();
    for number in 1..=3 {
        let name = format!("sidecar-lisboa-a-{number}");
        let instance = format!("i-7f3a91c{number}");
        let work = Duration::from_millis(300);
        upstreams.push(Upstream::start(record, &instance, "payouts", work));
        let mut daemon = Daemon::new(record, &scene.folder, &name, "payouts", &store.address);
        daemon.start();
        daemons.push(daemon);
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::NotRun;
    }
    for (upstream, daemon) in upstreams.iter().zip(&daemons) {
        upstream.start_beats(&daemon.control);
    }
    std::thread::sleep(LEAD);
    let clients = Clients::new(record);
    let load = Load {
        method: "PUT",
        host: "jepu9.example",
        path: "/hold/2f",
        key: None,
        clients: 8,
        pause: Duration::from_millis(100),
    };
    for daemon in &daemons {
        clients.start(&daemon.name, &daemon.outbound, &load);
    }
    std::thread::sleep(Duration::from_secs(3));

    let leaving = upstreams[0].clone();
    leaving.stop_beats();
    let late = leaving.beat("ready");
    record.say(&format!(
        "{} sends a heartbeat that is delayed",
        leaving.instance
    ));
    let arrives = Instant::now() + LATE;
    std::thread::sleep(Duration::from_millis(50));
    let status = leaving.deregister(&daemons[0].control);
    record.say(&format!(
        "{} deregisters; answer {status}",
        leaving.instance
    ));
    if status / 100 != 2 {
        return Verdict::NotRun;
    }
    let acknowledged = Instant::now();
    std::thread::sleep(UNTIL_KILL);
    let mut restarted = acknowledged;
    if scene.trouble {
        daemons.iter_mut().for_each(Daemon::kill);
        std::thread::sleep(RESTART);
        daemons.iter_mut().for_each(Daemon::start);
        restarted = Instant::now();
    }
    std::thread::sleep(arrives.saturating_duration_since(Instant::now()));
    let answer = exchange(&daemons[0].control, &late, Duration::from_secs(1));
    let status = answer.map_or(0, |answer| answer.status());
    record.say(&format!("the late heartbeat arrives; answer {status}"));
    std::thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    let end = Instant::now();
    leaving.end();
    record.say(&format!("{} ends", leaving.instance));
    std::thread::sleep(Duration::from_secs(3));
    clients.stop();
    std::thread::sleep(Duration::from_secs(3));

    // Judged are requests that were sent while all machines had been in touch again.
    let in_touch = restarted + STABILITY_WINDOW;
    let runs = leaving.runs.lock().expect("no thread panics").clone();
    let late_runs: Vec<_> = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    let sent = clients.sent.lock().expect("no thread panics").clone();
    let judged = late_runs.iter().filter(|run| {
        let request = sent.iter().find(|request| request.id == run.id);
        request.is_some_and(|request| request.at > in_touch)
    });
    let judged = judged.count();
    let lost = sent.iter().filter(|request| {
        let ran = late_runs.iter().any(|run| run.id == request.id);
        ran && request.ended >= end && request.status / 100 != 2
    });
    let lost = lost.count();
    let served = sent.iter().filter(|request| request.status == 200).count();
    record.say(&format!("{} requests sent, {served} served", sent.len()));
    record.say(&format!(
        "{} requests ran at {} later than `drain` after the acknowledgement; {judged} of them were sent \
         {STABILITY_WINDOW:?} or more after the restart",
        late_runs.len(),
        leaving.instance
    ));
    record.say(&format!(
        "{lost} unsafe requests of these were lost when it ended"
    ));
    if served < sent.len() / 4 {
        return Verdict::NotRun;
    }
    if judged > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
