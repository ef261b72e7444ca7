//! A daemon is stopped while upstreams that read slowly work on uploads. Without the trouble, the
//! upstreams work as long, but read at once.

use crate::cases::{config, route};
use crate::record::Record;
use crate::site::{Outcome, Request, SIGTERM, Site};
use crate::upstream::{Exchange, Handler, success};
use std::collections::HashMap;
use std::time::Duration;

/// Work of an upload once it is read.
const WORK: Duration = Duration::from_millis(70);
/// The largest upload of the site.
const BODY_BYTES: usize = 360_000;
const UPLOADS: u32 = 10;
/// The daemon is stopped this long after the uploads were sent.
const STOP_AFTER: Duration = Duration::from_millis(300);

fn upstream() -> Handler {
    std::sync::Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            request,
            upstream,
            ..
        } = exchange;
        upstream.note(&format!(
            "runs {id}, whose body has {} bytes",
            request.body.len()
        ));
        connection.work(WORK) && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [
        route("view", "/leny950/", "safe", 1_200, "dele69a"),
        route("upload", "/puka111/", "upload", 5_000, "gowu98c"),
    ];
    let mut site = Site::start(record, &config(3, &routes, &["dele69a", "gowu98c"], ""))?;
    site.add("dele69a", 112, upstream())?;
    for _ in 0..2 {
        site.add("gowu98c", 112, upstream())?;
    }
    site.wait_ready()?;
    let quick = send(record, &site, "9c41d07be2a3000", "/puka111/2f");
    if quick.join().map_err(|_| "a client failed")?.1 != 200 {
        return Err("an upload was not served".to_owned());
    }
    let path = if trouble {
        "/puka111/slow"
    } else {
        "/puka111/long"
    };
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| send(record, &site, &format!("9c41d07be2a31{number:02}"), path))
        .collect();
    std::thread::sleep(STOP_AFTER);
    site.signal(0, SIGTERM);
    let mut answers = HashMap::new();
    for client in clients {
        let (id, status, kind) = client.join().map_err(|_| "a client failed")?;
        answers.insert(id, (status, kind));
    }
    let ended = site.has_ended(0, Duration::from_secs(6));
    record.line(format!("the daemon has ended: {ended}"));
    let broken = answers.iter().filter(|(_, (status, _))| *status != 200);
    Ok(broken
        .map(|(id, (status, kind))| format!("LOST: {id}, on which its upstream was at work, was broken off and answered {status} {kind}"))
        .collect())
}

type Client = std::thread::JoinHandle<(String, u16, String)>;

fn send(record: &Record, site: &Site, id: &str, path: &'static str) -> Client {
    let (record, address, id) = (record.clone(), site.outbound(0), id.to_owned());
    std::thread::spawn(move || {
        let body = vec![b'p'; BODY_BYTES];
        let request = Request {
            method: "POST",
            path,
            id: &id,
            deadline_ms: 6_000,
            fields: &[],
            body: &body,
        };
        record.line(format!("client: sends {id} {path}"));
        let answer = request.send(&address);
        let kind = answer
            .as_ref()
            .and_then(|answer| answer.field("indigospur-kind"))
            .unwrap_or_default();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(format!("client: {id} is answered {status} {kind}"));
        (id, status, kind.to_owned())
    })
}
