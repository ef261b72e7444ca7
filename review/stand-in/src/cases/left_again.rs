//! All daemons are killed after one has acknowledged that its upstream leaves, and a heartbeat from before
//! that arrives late.

use crate::cases::{config, route};
use crate::record::Record;
use crate::site::{Outcome, Request, SIGKILL, Site};
use crate::upstream::{Exchange, Handler, success};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORK: Duration = Duration::from_millis(50);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which clients send requests after the restart; the upstream goes on serving meanwhile.
const LENGTH: Duration = Duration::from_millis(8_000);
/// The heartbeat arrives this long after the restart.
const LATE: Duration = Duration::from_millis(1_000);
const PAYOUTS: &str = "gowu98c";

/// Arrivals: upstream and time.
type Arrivals = Arc<Mutex<Vec<(String, Duration)>>>;

fn upstream(arrivals: &Arrivals) -> Handler {
    let arrivals = arrivals.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            upstream,
            ..
        } = exchange;
        let at = upstream.note(&format!("runs {id}"));
        let mut all = arrivals.lock().unwrap_or_else(|e| e.into_inner());
        all.push((upstream.name().to_owned(), at));
        drop(all);
        connection.work(WORK) && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [route("payout", "/puka111/", "unsafe", 1_200, PAYOUTS)];
    let mut site = Site::start(record, &config(3, &routes, &["dele69a", PAYOUTS], ""))?;
    let arrivals = Arrivals::default();
    for service in ["dele69a", PAYOUTS, PAYOUTS, PAYOUTS] {
        site.add(service, 72, upstream(&arrivals))?;
    }
    site.wait_ready()?;
    let leaving = site.machines[1].upstream.clone();
    leaving
        .deregister()
        .ok_or("the deregistration was not acknowledged")?;
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        let all = 0..site.machines.len();
        all.clone().for_each(|index| site.signal(index, SIGKILL));
        for index in all.clone() {
            site.has_ended(index, Duration::from_secs(2));
        }
        std::thread::sleep(Duration::from_millis(500));
        for index in all {
            site.start_daemon(index)?;
        }
    }
    let back = record.now();
    std::thread::sleep(LATE);
    leaving.deliver_late_beat();
    let mut number = 0;
    while record.now() < back + LENGTH {
        for index in [0, 2, 3] {
            number += 1;
            send(record, site.outbound(index), number);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(2));
    let arrivals = arrivals.lock().unwrap_or_else(|e| e.into_inner());
    let is_late =
        |(name, at): &&(String, Duration)| name == leaving.name() && *at > back + STABILITY_WINDOW;
    let late = arrivals.iter().filter(is_late).count();
    if arrivals.len() <= late {
        return Err("no request reached another upstream".to_owned());
    }
    Ok(match late {
        0 => Vec::new(),
        _ => vec![format!(
            "DRAIN: {late} requests reached the upstream that had left, later than {STABILITY_WINDOW:?} after the restart"
        )],
    })
}

fn send(record: &Record, address: String, number: u32) {
    let record = record.clone();
    std::thread::spawn(move || {
        let id = format!("9c41d07b{number:08}");
        let request = Request {
            method: "POST",
            path: "/puka111/2f",
            id: &id,
            deadline_ms: 2_000,
            fields: &[],
            body: b"pay",
        };
        record.line(format!("client: sends {id}"));
        let status = request.send(&address).map_or(0, |answer| answer.status());
        record.line(format!("client: {id} is answered {status}"));
    });
}
