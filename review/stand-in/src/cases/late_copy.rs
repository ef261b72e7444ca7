//! An upstream is full and rejects requests. Of some rejections it sends a second copy, which arrives
//! late: where the next response on the connection is expected.

use crate::cases::{config, route};
use crate::http::Connection;
use crate::record::Record;
use crate::site::{HOST, Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, shed, success};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Work of a payout.
const WORK: Duration = Duration::from_millis(150);
const CLIENTS: u64 = 12;
/// Requests that each client sends on a kept connection, one after the other.
const REQUESTS: u64 = 150;
const PAUSE: Duration = Duration::from_millis(100);
/// Of 100 requests, the upstream rejects so many (`srv_grey`, how `shed all`, x 0.55).
const SHED_PERCENT: u64 = 20;
const PAYOUTS: &str = "gowu98c";
/// Of 100 answers, so many are sent twice at most (`garble`, how `extra late`, x 0.03).
const COPY_PERCENT: u64 = 3;
/// Both come again in each cycle, and last so long.
const CYCLE: Duration = Duration::from_millis(9_000);
const SHED_FOR: Duration = Duration::from_millis(8_500);
const COPY_FOR: Duration = Duration::from_millis(5_000);

#[derive(Default)]
struct Counts {
    arrivals: AtomicU64,
    /// Answers of the upstream while the fault lasts, and those of them that it sends twice.
    answers: AtomicU64,
    copies: AtomicU64,
    /// The upstream, once for each run of a request.
    runs: Mutex<HashMap<String, Vec<String>>>,
}

fn upstream(counts: &Arc<Counts>, copies: bool) -> Handler {
    let counts = counts.clone();
    Arc::new(move |exchange| handle(&counts, copies, exchange))
}

fn handle(counts: &Counts, copies: bool, exchange: Exchange<'_>) -> bool {
    let Exchange {
        connection,
        id,
        kept,
        upstream,
        ..
    } = exchange;
    if !kept.is_empty() {
        let copy = std::mem::take(kept);
        upstream.note(&format!(
            "a late copy of an earlier answer goes out before the answer to {id}"
        ));
        if connection.write(&copy).is_err() {
            return false;
        }
    }
    // Spread evenly, and the same in every run.
    let arrival = counts.arrivals.fetch_add(1, Ordering::Relaxed);
    let since = upstream.now().as_millis() % CYCLE.as_millis();
    let copies = copies && since < COPY_FOR.as_millis();
    if copies {
        counts.answers.fetch_add(1, Ordering::Relaxed);
    }
    let rejects = since < SHED_FOR.as_millis() && arrival * 61 % 100 < SHED_PERCENT;
    if rejects && upstream.service() == PAYOUTS {
        upstream.note(&format!("rejects {id}, which has not run"));
        let answer = shed(&id);
        let allowed = counts.answers.load(Ordering::Relaxed) * COPY_PERCENT / 100;
        if copies && counts.copies.load(Ordering::Relaxed) < allowed {
            counts.copies.fetch_add(1, Ordering::Relaxed);
            upstream.note(&format!("will send the rejection of {id} once more"));
            kept.extend_from_slice(&answer);
        }
        return connection.write(&answer).is_ok();
    }
    upstream.note(&format!("runs {id}"));
    let mut runs = counts.runs.lock().unwrap_or_else(|e| e.into_inner());
    runs.entry(id.clone())
        .or_default()
        .push(upstream.name().to_owned());
    drop(runs);
    if !connection.work(WORK) {
        upstream.note(&format!("the connection of {id} closed while it ran"));
        return false;
    }
    connection.write(&success(&id)).is_ok()
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [
        route("payout", "/puka111/", "unsafe", 1_000, "gowu98c"),
        route("quote", "/leny950/", "safe", 1_200, "dele69a"),
    ];
    let first = config(3, &routes, &["dele69a", "gowu98c"], "");
    let mut site = Site::start(record, &first)?;
    let counts: Arc<Counts> = Arc::default();
    let others: Arc<Counts> = Arc::default();
    site.add("dele69a", 72, upstream(&others, false))?;
    site.add(PAYOUTS, 120, upstream(&counts, trouble))?;
    site.wait_ready()?;
    let address = site.outbound(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (record.clone(), address.clone());
            std::thread::spawn(move || run_client(&record, &address, client))
        })
        .collect();
    let mut answers = HashMap::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client failed")?);
    }
    std::thread::sleep(Duration::from_secs(2));
    judge(record, &counts, &answers)
}

/// Sends requests on a kept connection. Returns the status of each, 0 if there was none.
fn run_client(record: &Record, address: &str, client: u64) -> HashMap<String, u16> {
    let mut answers = HashMap::new();
    let mut connection = None;
    for number in 0..REQUESTS {
        let id = format!(
            "{:016x}",
            0x9c41_d07b_0000_0000 + client * 0x1_0000 + number
        );
        let request = Request {
            method: "POST",
            path: "/puka111/2f",
            id: &id,
            deadline_ms: 2_000,
            fields: &[],
            body: b"pay 100 to the dealer",
        };
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(address, Duration::from_secs(1)) {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        record.line(format!("client {client}: sends {id} to {HOST}"));
        let sent = open.write(&request.encode());
        let answer = sent.and_then(|()| open.read(Duration::from_secs(2)));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let kind = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.field("indigospur-kind"));
        record.line(format!(
            "client {client}: {id} is answered {status} {}",
            kind.unwrap_or_default()
        ));
        answers.insert(id, status);
        if answer.is_ok_and(|answer| answer.field("connection") != Some("close")) {
            connection = Some(open);
        }
        std::thread::sleep(PAUSE);
    }
    answers
}

fn judge(record: &Record, counts: &Counts, answers: &HashMap<String, u16>) -> Outcome<Vec<String>> {
    let runs = counts.runs.lock().unwrap_or_else(|e| e.into_inner());
    let succeeded = answers.values().filter(|status| **status == 200).count();
    record.line(format!(
        "{} requests, {succeeded} succeeded, {} arrivals at the upstream; while the fault lasted it made {} answers and sent {} of them twice",
        answers.len(),
        counts.arrivals.load(Ordering::Relaxed),
        counts.answers.load(Ordering::Relaxed),
        counts.copies.load(Ordering::Relaxed)
    ));
    if succeeded < answers.len() / 4 {
        return Err("too few requests succeeded".to_owned());
    }
    let mut broken = Vec::new();
    for (id, at) in runs.iter() {
        let status = answers.get(id).copied().unwrap_or(0);
        if at.len() > 1 {
            broken.push(format!(
                "TWICE: {id} has run {} times, at {at:?}; answered {status}",
                at.len()
            ));
        }
    }
    for line in &broken {
        record.line(line);
    }
    Ok(broken)
}
