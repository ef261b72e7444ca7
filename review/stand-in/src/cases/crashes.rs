//! A request crashes each upstream that runs it, and comes again. Its route is split over three services.

use crate::cases::config;
use crate::record::Record;
use crate::site::{HOST, Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, success};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVICES: [&str; 3] = ["dele69a", "xano55b", "gowu98c"];
/// Crashes after which the request should be known, and the time that the machines have for it.
const CRASHES: usize = 3;
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Times that the request is sent, and the time between two.
const SENDS: usize = 14;
const PAUSE: Duration = Duration::from_millis(5_000);
/// Time after which an upstream is back.
const DOWN: Duration = Duration::from_millis(2_500);

type Arrivals = Arc<Mutex<Vec<(Duration, String)>>>;

fn upstream(arrivals: &Arrivals, trouble: bool) -> Handler {
    let arrivals = arrivals.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            request,
            upstream,
            ..
        } = exchange;
        if trouble && request.second_word().ends_with("/poison") {
            let at = upstream.note(&format!("begins to run {id}"));
            arrivals
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .push((at, id));
            upstream.crash(DOWN);
            return false;
        }
        connection.work(Duration::from_millis(20)) && connection.write(&success(&id)).is_ok()
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let parts: Vec<String> = SERVICES
        .iter()
        .map(|name| format!("{{\"service\":\"{name}\",\"weight\":10}}"))
        .collect();
    let route = format!(
        "\"pay\",\"{HOST}\",\"/puka111/\",\"unsafe\",\"1000ms\",\"1500ms\",1,[{}],2,false,null",
        parts.join(",")
    );
    let mut site = Site::start(record, &config(3, &[route], &SERVICES, ""))?;
    let arrivals = Arrivals::default();
    for service in SERVICES {
        for _ in 0..2 {
            site.add(service, 72, upstream(&arrivals, trouble))?;
        }
    }
    site.wait_ready()?;
    for number in 0..SENDS {
        let id = format!("9c41d07be2a30000{number:02}");
        let request = Request {
            method: "POST",
            path: "/puka111/poison",
            id: &id,
            deadline_ms: 2_000,
            fields: &[],
            body: b"same",
        };
        let index = number % site.machines.len();
        record.line(format!("client on machine {}: sends {id}", index + 1));
        let answer = request.send(&site.outbound(index));
        let kind = answer
            .as_ref()
            .and_then(|answer| answer.field("indigospur-kind"))
            .unwrap_or_default();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(format!(
            "client on machine {}: {id} is answered {status} {kind}",
            index + 1
        ));
        std::thread::sleep(PAUSE);
    }
    let arrivals = arrivals.lock().unwrap_or_else(|e| e.into_inner());
    record.line(format!(
        "the request reached upstreams {} times",
        arrivals.len()
    ));
    let Some((third, _)) = arrivals.get(CRASHES - 1) else {
        return Ok(Vec::new());
    };
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > *third + STABILITY_WINDOW)
        .count();
    if late > 3 {
        return Ok(vec![format!(
            "BUDGET: it reached upstreams {late} times later than {STABILITY_WINDOW:?} after the third crash"
        )]);
    }
    Ok(Vec::new())
}
