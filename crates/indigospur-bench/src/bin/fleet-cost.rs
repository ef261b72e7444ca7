//! What control costs a daemon as the fleet grows: processor time, memory and bytes of an idle
//! daemon, and the time until a published rule set is in force everywhere.
//!
//! Starts real daemons, without backend servers, at several sizes.

use indigospur_bench::Table;
use indigospur_test_support::{Process, get, post, program_path, wait_until};
use std::io;
use std::net::TcpListener;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Sizes of the fleet.
const SIZES: [usize; 4] = [10, 40, 120, 240];
/// Daemons of one service.
const SERVICE_SIZE: usize = 17;
/// Time for which an idle fleet is watched.
const WATCH: Duration = Duration::from_secs(15);
/// Longest wait for a fleet to be quiet.
const LONGEST_STIR: Duration = Duration::from_secs(200);
/// Time between two looks at whether it is.
const LOOK: Duration = Duration::from_secs(4);
/// Control bytes a second of a daemon under which the fleet is quiet.
const QUIET: f64 = 500.0;
/// Rule sets published at each size.
const PUBLISHES: usize = 5;
/// Processor ticks a second.
const TICKS: f64 = 100.0;

fn main() -> io::Result<()> {
    let accepting = TcpListener::bind("127.0.0.1:0")?;
    let backend = accepting.local_addr()?.to_string();
    thread::spawn(move || accepting.incoming().for_each(drop));
    let mut table = Table::new(&[
        "daemons",
        "core %",
        "resident MB mean/max",
        "control B/s",
        "log reads/s",
        "joined s",
        "spread ms median/max",
    ]);
    for size in SIZES {
        table.row(&measure(size, &backend)?);
    }
    println!("{}", table.render());
    Ok(())
}

fn measure(size: usize, backend: &str) -> io::Result<Vec<String>> {
    let folder =
        std::env::temp_dir().join(format!("indigospur-fleet-{}-{size}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let log = Process::start("stand-in-log", &[])?;
    let begun = Instant::now();
    let mut daemons: Vec<Process> = Vec::new();
    for index in 0..size {
        let seed = daemons
            .first()
            .map(|first: &Process| first.address("peers"));
        let path = folder.join(format!("{index}.toml"));
        std::fs::write(
            &path,
            settings(index, &log.address("address"), seed.as_deref()),
        )?;
        daemons.push(Process::start(
            "indigospurd",
            &["--settings".to_owned(), path.to_string_lossy().into_owned()],
        )?);
    }
    let announce = |index: usize, daemon: &Process| {
        let service = index / SERVICE_SIZE;
        let body = format!(
            "{{\"service\":\"s{service}\",\"address\":\"{backend}\",\"slots\":8,\"connections\":8}}"
        );
        post(&daemon.address("admin"), "/announce", &body);
    };
    daemons
        .iter()
        .enumerate()
        .for_each(|(index, daemon)| announce(index, daemon));
    let members = |daemon: &Process| {
        let status = get(&daemon.address("admin"), "/status").body;
        status.matches("\"state\":\"ready\"").count()
    };
    wait_until("all daemons know each other", || {
        daemons.iter().all(|daemon| members(daemon) == size)
    });
    let joined = begun.elapsed();
    wait_for_quiet(&daemons);
    let quiet = begun.elapsed();
    let before = totals(&daemons);
    thread::sleep(WATCH);
    let after = totals(&daemons);
    let per_daemon = |total: f64| total / size as f64 / WATCH.as_secs_f64();
    let resident: Vec<f64> = daemons
        .iter()
        .map(|daemon| daemon.resource_usage().0 as f64 / 1_024.0)
        .collect();
    let mean = resident.iter().sum::<f64>() / size as f64;
    let most = resident.iter().copied().fold(0.0, f64::max);
    let spread = spread(&daemons, &log, &folder)?;
    std::fs::remove_dir_all(&folder)?;
    Ok(vec![
        size.to_string(),
        format!("{:.3}", per_daemon((after.0 - before.0) / TICKS) * 100.0),
        format!("{mean:.1} / {most:.1}"),
        format!("{:.0}", per_daemon(after.1 - before.1)),
        format!("{:.1}", size as f64 / pause(size).as_secs_f64()),
        format!("{:.1} / {:.0}", joined.as_secs_f64(), quiet.as_secs_f64()),
        format!(
            "{} / {}",
            spread[spread.len() / 2].as_millis(),
            spread[spread.len() - 1].as_millis()
        ),
    ])
}

/// Mean time between two reads of the log by one daemon, as the daemons' settings have it.
fn pause(size: usize) -> Duration {
    Duration::from_secs(1).max(Duration::from_millis(50) * size as u32)
}

/// Waits until the changes that the start has brought are told: the fleet is quiet.
fn wait_for_quiet(daemons: &[Process]) {
    let end = Instant::now() + LONGEST_STIR;
    let mut bytes = totals(daemons).1;
    while Instant::now() < end {
        thread::sleep(LOOK);
        let now = totals(daemons).1;
        let rate = (now - bytes) / daemons.len() as f64 / LOOK.as_secs_f64();
        if rate < QUIET {
            return;
        }
        bytes = now;
    }
}

/// Processor ticks and control bytes of all daemons.
fn totals(daemons: &[Process]) -> (f64, f64) {
    let ticks = daemons
        .iter()
        .map(|daemon| daemon.resource_usage().1 as f64)
        .sum();
    let bytes = daemons.iter().map(|daemon| {
        let metrics = get(&daemon.address("admin"), "/metrics").body;
        let line = metrics
            .lines()
            .find(|line| line.starts_with("indigospur_control_bytes_total"));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .unwrap_or(0.0)
    });
    (ticks, bytes.sum())
}

/// Publishes rule sets and times how long each takes to be in force everywhere.
fn spread(
    daemons: &[Process],
    log: &Process,
    folder: &std::path::Path,
) -> io::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for number in 0..PUBLISHES {
        let rules = format!("[[rule]]\nname = \"r{number}\"\n");
        let path = folder.join("rules.toml");
        std::fs::write(&path, &rules)?;
        let publish = Command::new(program_path("indigospur"))
            .args(["publish", "--log", &log.address("address")])
            .arg(&path)
            .output()?;
        let begun = Instant::now();
        assert!(
            publish.status.success(),
            "{}",
            String::from_utf8_lossy(&publish.stderr)
        );
        wait_until("the rules are in force everywhere", || {
            daemons
                .iter()
                .all(|daemon| get(&daemon.address("admin"), "/rules").body == rules)
        });
        times.push(begun.elapsed());
    }
    times.sort();
    Ok(times)
}

fn settings(index: usize, log: &str, seed: Option<&str>) -> String {
    let seeds = seed.map_or_else(String::new, |seed| format!("[peers]\nseeds = \"{seed}\"\n"));
    let (zone, region) = (index % 6, index % 2);
    format!(
        "[host]\nname = \"host-{index}\"\ndata-centre = \"dc-{zone}\"\nregion = \"r-{region}\"\n\
         [listen]\ncalls = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [log]\naddress = \"{log}\"\n{seeds}"
    )
}
