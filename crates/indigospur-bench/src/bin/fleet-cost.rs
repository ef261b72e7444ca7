//! Measures what the control plane costs a daemon as the fleet grows: CPU time, memory and control
//! traffic of an idle daemon, and the time until all daemons apply a published rule set.
//!
//! Starts fleets of real daemons, without backend servers.

use indigospur_bench::Table;
use indigospur_test_support::{Process, get, post, program_path, wait_until};
use std::io;
use std::net::TcpListener;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Fleet sizes, in daemons.
const SIZES: [usize; 4] = [10, 40, 120, 240];
/// Number of daemons that announce the same service.
const DAEMONS_PER_SERVICE: usize = 17;
/// Time over which an idle fleet is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
/// Maximum time to wait for a started fleet to become idle; it is measured then in any case.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(200);
/// Interval at which the control traffic is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Mean control traffic of a daemon, in bytes a second, below which the fleet counts as idle.
const IDLE_BYTES_PER_SECOND: f64 = 500.0;
/// Number of rule sets published at each fleet size.
const PUBLISHES: usize = 5;
/// Clock ticks a second in which the kernel counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let backend = listener.local_addr()?.to_string();
    thread::spawn(move || listener.incoming().for_each(drop));
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
        table.add_row(&measure_fleet(size, &backend)?);
    }
    println!("{}", table.render());
    Ok(())
}

fn measure_fleet(size: usize, backend: &str) -> io::Result<Vec<String>> {
    let directory =
        std::env::temp_dir().join(format!("indigospur-fleet-{}-{size}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let log = Process::start("stand-in-log", &[])?;
    let started = Instant::now();
    let mut daemons: Vec<Process> = Vec::new();
    for index in 0..size {
        let seed = daemons
            .first()
            .map(|first: &Process| first.address("peers"));
        let path = directory.join(format!("{index}.toml"));
        std::fs::write(
            &path,
            daemon_settings(index, &log.address("address"), seed.as_deref()),
        )?;
        daemons.push(Process::start(
            "indigospurd",
            &["--settings".to_owned(), path.to_string_lossy().into_owned()],
        )?);
    }
    let announce = |index: usize, daemon: &Process| {
        let service = index / DAEMONS_PER_SERVICE;
        let body = format!(
            "{{\"service\":\"s{service}\",\"address\":\"{backend}\",\"slots\":8,\"connections\":8}}"
        );
        post(&daemon.address("admin"), "/announce", &body);
    };
    daemons
        .iter()
        .enumerate()
        .for_each(|(index, daemon)| announce(index, daemon));
    let ready_members = |daemon: &Process| {
        let status = get(&daemon.address("admin"), "/status").body;
        status.matches("\"state\":\"ready\"").count()
    };
    wait_until("every daemon lists all members as ready", || {
        daemons.iter().all(|daemon| ready_members(daemon) == size)
    });
    let join_time = started.elapsed();
    wait_until_idle(&daemons);
    let settle_time = started.elapsed();
    let before = total_usage(&daemons);
    thread::sleep(MEASUREMENT_TIME);
    let after = total_usage(&daemons);
    let per_daemon = |total: f64| total / size as f64 / MEASUREMENT_TIME.as_secs_f64();
    let resident: Vec<f64> = daemons
        .iter()
        .map(|daemon| daemon.resource_usage().0 as f64 / 1_024.0)
        .collect();
    let mean = resident.iter().sum::<f64>() / size as f64;
    let largest = resident.iter().copied().fold(0.0, f64::max);
    let publish_times = measure_publishes(&daemons, &log, &directory)?;
    std::fs::remove_dir_all(&directory)?;
    Ok(vec![
        size.to_string(),
        format!(
            "{:.3}",
            per_daemon((after.0 - before.0) / TICKS_PER_SECOND) * 100.0
        ),
        format!("{mean:.1} / {largest:.1}"),
        format!("{:.0}", per_daemon(after.1 - before.1)),
        format!("{:.1}", size as f64 / log_read_interval(size).as_secs_f64()),
        format!(
            "{:.1} / {:.0}",
            join_time.as_secs_f64(),
            settle_time.as_secs_f64()
        ),
        format!(
            "{} / {}",
            publish_times[publish_times.len() / 2].as_millis(),
            publish_times[publish_times.len() - 1].as_millis()
        ),
    ])
}

/// Mean interval at which a daemon polls the log in a fleet of `size` daemons, as computed by the
/// daemons themselves with default settings.
fn log_read_interval(size: usize) -> Duration {
    Duration::from_secs(1).max(Duration::from_millis(50) * size as u32)
}

/// Waits until the changes made by the start of the fleet have been gossiped and control traffic is
/// low, for at most [`MAX_SETTLE_TIME`].
fn wait_until_idle(daemons: &[Process]) {
    let deadline = Instant::now() + MAX_SETTLE_TIME;
    let mut bytes = total_usage(daemons).1;
    while Instant::now() < deadline {
        thread::sleep(POLL_INTERVAL);
        let latest = total_usage(daemons).1;
        let rate = (latest - bytes) / daemons.len() as f64 / POLL_INTERVAL.as_secs_f64();
        if rate < IDLE_BYTES_PER_SECOND {
            return;
        }
        bytes = latest;
    }
}

/// Returns the CPU time in ticks and the control traffic in bytes of all daemons together.
fn total_usage(daemons: &[Process]) -> (f64, f64) {
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

/// Publishes rule sets and returns the times from the end of each publication until all daemons
/// had applied it, in ascending order.
fn measure_publishes(
    daemons: &[Process],
    log: &Process,
    directory: &std::path::Path,
) -> io::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for number in 0..PUBLISHES {
        let rules = format!("[[rule]]\nname = \"r{number}\"\n");
        let path = directory.join("rules.toml");
        std::fs::write(&path, &rules)?;
        let publish = Command::new(program_path("indigospur"))
            .args(["publish", "--log", &log.address("address")])
            .arg(&path)
            .output()?;
        let started = Instant::now();
        assert!(
            publish.status.success(),
            "{}",
            String::from_utf8_lossy(&publish.stderr)
        );
        wait_until("every daemon applies the published rules", || {
            daemons
                .iter()
                .all(|daemon| get(&daemon.address("admin"), "/rules").body == rules)
        });
        times.push(started.elapsed());
    }
    times.sort();
    Ok(times)
}

fn daemon_settings(index: usize, log: &str, seed: Option<&str>) -> String {
    let seeds = seed.map_or_else(String::new, |seed| format!("[peers]\nseeds = \"{seed}\"\n"));
    let (data_centre, region) = (index % 6, index % 2);
    format!(
        "[host]\nname = \"host-{index}\"\ndata-centre = \"dc-{data_centre}\"\nregion = \"r-{region}\"\n\
         [listen]\ncalls = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [log]\naddress = \"{log}\"\n{seeds}"
    )
}
