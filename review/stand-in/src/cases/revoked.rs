//! A tenant's key is taken away while a client goes on to use it.

use crate::cases::{config, route};
use crate::record::Record;
use crate::site::{Outcome, Request, Site};
use crate::upstream::{Exchange, Handler, success};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORK: Duration = Duration::from_millis(20);
const REQUESTS: u32 = 20;
/// `config_apply` of the site is 2.5 s.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const KEY: &str = "ruddedev3nax7u27gxpr";
const OTHER_KEY: &str = "ymh2rrytapjsujqurtyi";

type Runs = Arc<Mutex<Vec<(String, String)>>>;

fn upstream(runs: &Runs) -> Handler {
    let runs = runs.clone();
    Arc::new(move |exchange| {
        let Exchange {
            connection,
            id,
            request,
            upstream,
            ..
        } = exchange;
        let tenant = request.field("tenant").unwrap_or("(none)").to_owned();
        upstream.note(&format!("runs {id}, Tenant {tenant}"));
        runs.lock()
            .unwrap_or_else(|e| e.into_inner())
            .push((id.clone(), tenant));
        connection.work(WORK) && connection.write(&success(&id)).is_ok()
    })
}

fn tenants(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        ",\"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\
         \"rows\":[[\"pulo780\",[{}],1,800,800],[\"mira221\",[\"zzk3rrytapjsujqurt11\"],1,800,800]]}}",
        keys.join(",")
    )
}

pub fn play(record: &Record, trouble: bool) -> Outcome<Vec<String>> {
    let routes = [route("quote", "/leny950/", "safe", 1_200, "dele69a")];
    let services = ["dele69a"];
    let mut site = Site::start(
        record,
        &config(3, &routes, &services, &tenants(&[KEY, OTHER_KEY])),
    )?;
    let runs = Runs::default();
    for _ in 0..3 {
        site.add("dele69a", 72, upstream(&runs))?;
    }
    site.wait_ready()?;
    let before = send(record, &site, "before");
    if before.iter().filter(|status| **status == 200).count() < before.len() / 2 {
        return Err("requests with a valid key were not served".to_owned());
    }
    let keys: &[&str] = if trouble {
        &[OTHER_KEY]
    } else {
        &[KEY, OTHER_KEY]
    };
    site.put_config(&config(8, &routes, &services, &tenants(keys)));
    std::thread::sleep(CONFIG_APPLY * 2);
    let started = runs.lock().unwrap_or_else(|e| e.into_inner()).len();
    send(record, &site, "after");
    std::thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner());
    let late = &runs[started..];
    let mut broken = Vec::new();
    if trouble && !late.is_empty() {
        broken.push(format!(
            "CONFIG: {} requests whose key was removed {:?} before they were sent have run, such as {}",
            late.len(),
            CONFIG_APPLY * 2,
            late[0].0
        ));
    }
    Ok(broken)
}

/// Sends requests with the key from clients on all machines, half of them with an identifier that has a
/// full stop in it.
fn send(record: &Record, site: &Site, when: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let index = number as usize % site.machines.len();
        let id = match number % 2 {
            0 => format!("17964362190{when}{number:03}"),
            _ => format!("1796436219.0{when}{number:03}"),
        };
        let authorization = format!("Token {KEY}");
        let request = Request {
            method: "GET",
            path: "/leny950/2f",
            id: &id,
            deadline_ms: 5_000,
            fields: &[("Authorization", &authorization)],
            body: b"",
        };
        record.line(format!(
            "client on machine {}: sends {id} with the key {KEY}",
            index + 1
        ));
        let status = request
            .send(&site.outbound(index))
            .map_or(0, |answer| answer.status());
        record.line(format!(
            "client on machine {}: {id} is answered {status}",
            index + 1
        ));
        statuses.push(status);
        std::thread::sleep(Duration::from_millis(20));
    }
    statuses
}
