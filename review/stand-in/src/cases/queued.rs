//! An upstream says that it leaves while requests wait for one of its slots.

use crate::cases::{config, route};
use crate::record::Record;
use crate::site::{Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, success};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `drain` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Work of a light request, and of a heavy one.
const WORK: Duration = Duration::from_millis(30);
const HEAVY_WORK: Duration = Duration::from_millis(800);
/// Slots of an upstream, of which the daemons use 13.
const SLOTS: u32 = 14;
/// Heavy requests: four for each slot of the two upstreams.
const HEAVY: u32 = 104;

/// Arrivals at each upstream: the time and the identifier.
type Arrivals = Arc<Mutex<HashMap<String, Vec<(Duration, String)>>>>;

fn upstream(arrivals: &Arrivals) -> Handler {
    let arrivals = arrivals.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            request,
            upstream,
            ..
        } = exchange;
        let at = upstream.note(&format!("runs {id}"));
        let mut all = arrivals.lock().unwrap_or_else(|e| e.into_inner());
        all.entry(upstream.name().to_owned())
            .or_default()
            .push((at, id.clone()));
        drop(all);
        let work = if request.second_word().ends_with("/heavy") {
            HEAVY_WORK
        } else {
            WORK
        };
        connection.work(work) && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [
        route("quote", "/leny950/", "safe", 4_000, "dele69a"),
        route("sign", "/puka111/", "unsafe", 4_000, "xano55b"),
    ];
    let services = ["dele69a", "xano55b"];
    let mut site = Site::start(record, &config(3, &routes, &services, ""))?;
    let arrivals = Arrivals::default();
    site.add("dele69a", 72, upstream(&arrivals))?;
    for _ in 0..2 {
        site.add("xano55b", SLOTS, upstream(&arrivals))?;
    }
    site.wait_ready()?;
    let mut clients = Vec::new();
    for number in 0..60 {
        clients.push(send(
            record,
            &site,
            format!("9c41d07be2a3000{number:02}"),
            "/puka111/2f",
        ));
        std::thread::sleep(Duration::from_millis(15));
    }
    std::thread::sleep(Duration::from_millis(500));
    for number in 0..HEAVY {
        clients.push(send(
            record,
            &site,
            format!("9c41d07be2a310{number:03}"),
            "/puka111/heavy",
        ));
        std::thread::sleep(Duration::from_millis(1));
    }
    std::thread::sleep(Duration::from_millis(50));
    let acknowledged = match trouble {
        true => Some(
            site.machines[1]
                .upstream
                .drain()
                .ok_or("draining was not acknowledged")?,
        ),
        false => None,
    };
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    std::thread::sleep(Duration::from_secs(1));
    let arrivals = arrivals.lock().unwrap_or_else(|e| e.into_inner());
    let Some(acknowledged) = acknowledged else {
        return Ok(Vec::new());
    };
    let name = site.machines[1].upstream.name();
    let late = arrivals[name]
        .iter()
        .filter(|(at, _)| *at > acknowledged + DRAIN);
    Ok(late
        .map(|(at, id)| {
            format!(
                "DRAIN: {id} reached {name} {:?} after the acknowledgement",
                *at - acknowledged
            )
        })
        .collect())
}

fn send(
    record: &Record,
    site: &Site,
    id: String,
    path: &'static str,
) -> std::thread::JoinHandle<()> {
    let (record, address) = (record.clone(), site.outbound(0));
    std::thread::spawn(move || {
        let request = Request {
            method: "POST",
            path,
            id: &id,
            deadline_ms: 5_000,
            fields: &[],
            body: b"sign",
        };
        record.line(format!("client: sends {id} {path}"));
        let answer = request.send(&address);
        let kind = answer
            .as_ref()
            .and_then(|answer| answer.field("indigospur-kind"))
            .unwrap_or_default();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(format!("client: {id} is answered {status} {kind}"));
    })
}
