//! Clients that send further requests before the first was answered close their connections.

use crate::cases::{config, route};
use crate::http::Connection;
use crate::record::Record;
use crate::site::{Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, success};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORK: Duration = Duration::from_millis(2_500);
/// Requests that a client sends at once, and the size of a field that it sends with each.
const PIPELINED: u32 = 40;
const COOKIE_BYTES: usize = 2_000;
/// Clients that send requests at once, and all clients; the others send one request each and stay.
const PIPELINING: u32 = 4;
const CLIENTS: u32 = 14;
/// Time after which the former leave (`give_up`).
const PATIENCE: Duration = Duration::from_millis(750);

/// Start and end of the work on a request.
type Works = Arc<Mutex<Vec<(String, Duration, Duration, bool)>>>;

fn upstream(works: &Works) -> Handler {
    let works = works.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            upstream,
            ..
        } = exchange;
        let start = upstream.note(&format!("runs {id}"));
        let finished = connection.work(WORK);
        let end = match finished {
            true => upstream.note(&format!("has run {id}")),
            false => upstream.note(&format!("drops {id}, whose connection was closed")),
        };
        works
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push((id.clone(), start, end, finished));
        finished && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [route("quote", "/leny950/", "safe", 4_000, "dele69a")];
    let mut site = Site::start(record, &config(3, &routes, &["dele69a"], ""))?;
    let works = Works::default();
    for _ in 0..3 {
        site.add("dele69a", 72, upstream(&works))?;
    }
    site.wait_ready()?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (record.clone(), site.outbound(client as usize % 3));
            let requests = if client < PIPELINING { PIPELINED } else { 1 };
            let leaves = trouble && client < PIPELINING;
            std::thread::spawn(move || run_client(&record, &address, client, requests, leaves))
        })
        .collect();
    let mut left = Vec::new();
    for client in clients {
        left.push(client.join().map_err(|_| "a client failed")?);
    }
    std::thread::sleep(Duration::from_secs(8));
    let works = works.lock().unwrap_or_else(|e| e.into_inner());
    let half = Duration::from_millis(500);
    let (mut lasting, mut at_work, mut late) = (0, 0, 0);
    for (client, left) in left.iter().enumerate() {
        let Some(left) = left else { continue };
        for (_, start, end, _) in works
            .iter()
            .filter(|(id, ..)| id.starts_with(&prefix(client as u32)))
        {
            late += u32::from(*start > *left + half);
            if *start < *left && *start + WORK > *left + half {
                lasting += 1;
                at_work += u32::from(*end > *left + half);
            }
        }
    }
    record.line(format!("{lasting} requests would have lasted for half a second after their client left; upstreams were at work on {at_work} of them half a second later; {late} reached an upstream later than that"));
    let mut broken = Vec::new();
    if at_work * 4 > lasting {
        broken.push(format!("GONE: upstreams were still at work on {at_work} of {lasting} requests half a second after the client had left"));
    }
    if late > 5 {
        broken.push(format!(
            "GONE: {late} requests reached an upstream over half a second after the client had left"
        ));
    }
    Ok(broken)
}

fn prefix(client: u32) -> String {
    format!("9c41d07be2a{client:02}")
}

/// Sends requests at once. Returns when it left, or `None` if it stayed.
fn run_client(
    record: &Record,
    address: &str,
    client: u32,
    requests: u32,
    leaves: bool,
) -> Option<Duration> {
    let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
    let cookie = "c".repeat(COOKIE_BYTES);
    for number in 0..requests {
        let id = format!("{}{number:03}", prefix(client));
        let request = Request {
            method: "GET",
            path: "/leny950/2f",
            id: &id,
            deadline_ms: 5_000,
            fields: &[("Cookie", &cookie)],
            body: b"",
        };
        connection.write(&request.encode()).ok()?;
        record.line(format!("client {client}: sends {id}"));
    }
    if leaves {
        std::thread::sleep(PATIENCE);
        connection.close();
        return Some(record.line(format!("client {client}: closes its connection")));
    }
    for number in 0..requests {
        let Ok(answer) = connection.read(Duration::from_secs(6)) else {
            break;
        };
        record.line(format!(
            "client {client}: answer {number} is {}",
            answer.status()
        ));
    }
    None
}
