//! An upstream goes down and up by turns while clients send the same GET request again and again.

use crate::cases::{config, route};
use crate::record::Record;
use crate::site::{Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, success};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Work of a request, and the time for which an upstream that has started takes twice as long.
const WORK: Duration = Duration::from_millis(400);
const COLD_FOR: Duration = Duration::from_millis(3_000);
/// The upstream goes down so many times, and is down for half of the period.
const FLAPS: u32 = 4;
const PERIOD: Duration = Duration::from_millis(1_400);
/// Time between two requests of the added route, and between two of the first route.
const PAUSE: Duration = Duration::from_millis(50);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which clients send requests.
const LENGTH: Duration = Duration::from_millis(30_000);

const FIRST: &str = "dele69a";
const ADDED: &str = "gowu98c";

/// When each upstream was last started, if it has crashed.
type Starts = Arc<Mutex<HashMap<String, Duration>>>;

/// The answer to a request that was sent at `at`.
struct Answered {
    at: Duration,
    is_added: bool,
    status: u16,
}

type Answers = Arc<Mutex<Vec<Answered>>>;

fn upstream(starts: &Starts) -> Handler {
    let starts = starts.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            upstream,
            ..
        } = exchange;
        let all = starts.lock().unwrap_or_else(|e| e.into_inner());
        let started = all.get(upstream.name()).copied();
        drop(all);
        let is_cold = started.is_some_and(|started| upstream.now() < started + COLD_FOR);
        let work = if is_cold { WORK * 2 } else { WORK };
        upstream.note(&format!("runs {id} for {work:?}"));
        let born = upstream.starts();
        let is_up = || !upstream.is_down() && born == upstream.starts();
        connection.work_while(work, is_up) && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let first = route("quote", "/leny950/", "safe", 1_500, FIRST);
    let added = route("rates", "/puka111/", "safe", 1_500, ADDED);
    let services = [FIRST, ADDED];
    let before = config(3, std::slice::from_ref(&first), &services, "");
    let mut site = Site::start(record, &before)?;
    let starts = Starts::default();
    for service in [FIRST, FIRST, ADDED, ADDED] {
        site.add(service, 72, upstream(&starts))?;
    }
    site.wait_ready()?;
    site.put_config(&config(8, &[first, added], &services, ""));
    std::thread::sleep(Duration::from_secs(4));
    let answers = Answers::default();
    let end = record.now() + LENGTH;
    let clients = [true, false].map(|is_added| {
        let (record, address) = (record.clone(), site.outbound(0));
        let answers = answers.clone();
        std::thread::spawn(move || send_all(&record, &address, is_added, end, &answers))
    });
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        let flapping = &site.machines[2].upstream;
        for _ in 0..FLAPS {
            flapping.crash(PERIOD / 2);
            std::thread::sleep(PERIOD / 2);
            let mut starts = starts.lock().unwrap_or_else(|e| e.into_inner());
            starts.insert(flapping.name().to_owned(), record.now());
            drop(starts);
            std::thread::sleep(PERIOD / 2);
        }
    } else {
        std::thread::sleep(PERIOD * FLAPS);
    }
    let calm = record.line("there is no disruption from here on") + STABILITY_WINDOW;
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let answers = answers.lock().unwrap_or_else(|e| e.into_inner());
    let [first, added] = [false, true].map(|is_added| {
        let is_meant = |answered: &&Answered| answered.at > calm && answered.is_added == is_added;
        let sent = answers.iter().filter(is_meant).count();
        let is_served = |answered: &&Answered| is_meant(answered) && answered.status == 200;
        let served = answers.iter().filter(is_served).count();
        let which = if is_added { "added" } else { "first" };
        record.line(format!(
            "in steady state {served} of {sent} requests on the {which} route are served"
        ));
        (served, sent)
    });
    if first.0 < 20 || added.1 < 20 {
        return Err("too few requests in steady state".to_owned());
    }
    let share = |(served, sent): (usize, usize)| served as f64 / sent as f64;
    if share(added) * 4.0 < share(first) {
        return Ok(vec![format!(
            "CONFIG: in steady state {} of {} requests on the added route are served, and {} of {} on the first",
            added.0, added.1, first.0, first.1
        )]);
    }
    Ok(Vec::new())
}

/// Sends requests until `end`, each on a connection of its own.
fn send_all(record: &Record, address: &str, is_added: bool, end: Duration, answers: &Answers) {
    let mut clients = Vec::new();
    for number in 0.. {
        if record.now() > end {
            break;
        }
        let (record, address, answers) = (record.clone(), address.to_owned(), answers.clone());
        clients.push(std::thread::spawn(move || {
            send(&record, &address, is_added, number, &answers)
        }));
        std::thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
}

fn send(record: &Record, address: &str, is_added: bool, number: u32, answers: &Answers) {
    let id = format!("9c41d07be{}{number:06}", u32::from(is_added));
    let path = match is_added {
        true => "/puka111/today".to_owned(),
        false => format!("/leny950/{number}"),
    };
    let request = Request {
        method: "GET",
        path: &path,
        id: &id,
        deadline_ms: 5_000,
        fields: &[],
        body: b"",
    };
    let at = record.line(format!("client: sends {id} {path}"));
    let answer = request.send(address);
    let kind = answer
        .as_ref()
        .and_then(|answer| answer.field("indigospur-kind"));
    let kind = kind.unwrap_or_default();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    record.line(format!("client: {id} is answered {status} {kind}"));
    let mut answers = answers.lock().unwrap_or_else(|e| e.into_inner());
    answers.push(Answered {
        at,
        is_added,
        status,
    });
}
