//! The port for the backend server's announcements, for operators and for scrapers.

use crate::backend;
use crate::daemon::{Daemon, lock};
use indigospur_protocol::{Announcement, Answer, Kind, Outcome, Refusal};
use indigospur_relay::ReceivedRequest;
use serde::Serialize;
use std::sync::Arc;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct MemberStatus {
    host: Arc<str>,
    data_centre: Arc<str>,
    service: Arc<str>,
    state: indigospur_protocol::State,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    host: Arc<str>,
    ready: bool,
    rules_version: Option<u64>,
    log_age_ms: Option<u64>,
    in_flight: u32,
    queued: u32,
    limit: u32,
    epoch: u64,
    epoch_members: usize,
    services: usize,
    keys: usize,
    members: Vec<MemberStatus>,
}

/// Answers a request.
pub(crate) async fn answer(daemon: Arc<Daemon>, received: ReceivedRequest) -> Answer {
    match handle(&daemon, &received) {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => daemon.dialect.write_refusal(&refusal),
    }
}

fn handle(daemon: &Daemon, received: &ReceivedRequest) -> Outcome {
    match (&*received.method, &*received.path) {
        ("GET", "/live") => text(200, "live\n".into()),
        ("GET", "/ready") => ready(daemon),
        ("GET", "/metrics") => text(200, daemon.scrape()),
        ("GET", "/status") => text(200, serde_json::to_vec(&status(daemon)).unwrap_or_default()),
        ("GET", "/rules") => text(200, rules(daemon)),
        ("POST", "/announce") => announce(daemon, &received.body),
        ("POST", "/drain") => {
            daemon.drain();
            text(200, "draining\n".into())
        }
        _ => text(
            404,
            "the paths are /live, /ready, /metrics, /status, /rules, /announce and /drain\n".into(),
        ),
    }
}

fn text(status: u16, body: Vec<u8>) -> Outcome {
    Outcome::Answered(Answer {
        status,
        headers: Vec::new(),
        body: body.into(),
    })
}

fn ready(daemon: &Daemon) -> Outcome {
    if daemon.is_ready() {
        return text(200, "ready\n".into());
    }
    if daemon.is_draining() {
        return text(503, "not ready: stopping\n".into());
    }
    text(
        503,
        "not ready: neither the log nor another daemon has told the rule set\n".into(),
    )
}

fn rules(daemon: &Daemon) -> Vec<u8> {
    if let Some(body) = lock(&daemon.newest).body() {
        return body.to_vec();
    }
    let follower = lock(&daemon.follower);
    follower
        .active_rules()
        .map_or_else(Vec::new, |in_force| in_force.text.as_bytes().to_vec())
}

fn announce(daemon: &Daemon, body: &[u8]) -> Outcome {
    let announced: Announcement = match serde_json::from_slice(body) {
        Ok(announced) => announced,
        Err(error) => return Outcome::Refused(Refusal::new(Kind::BadRequest, error.to_string())),
    };
    match backend::validate(&announced) {
        Ok(()) => {
            backend::handle_announcement(daemon, &announced);
            text(200, Vec::new())
        }
        Err(detail) => Outcome::Refused(Refusal::new(Kind::BadRequest, detail)),
    }
}

fn status(daemon: &Daemon) -> Status {
    let load = daemon
        .backend()
        .map(|backend| backend.slots.load())
        .unwrap_or_default();
    let (epoch, epoch_members, keys) = match lock(&daemon.once).as_ref() {
        Some(part) => {
            let current = part.current();
            let members = current.map_or(0, |epoch| epoch.members.len());
            (current.map_or(0, |epoch| epoch.number), members, part.len())
        }
        None => (0, 0, 0),
    };
    let members = lock(&daemon.fleet)
        .members
        .all()
        .map(|member| MemberStatus {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            service: member.service.clone(),
            state: member.state,
        })
        .collect();
    let followed = lock(&daemon.follower)
        .active_rules()
        .map(|in_force| in_force.version);
    let newest = lock(&daemon.newest).version();
    let version = followed.or((newest > 0).then_some(newest));
    let log_age = lock(&daemon.last_log_read).map(|at| at.elapsed().as_millis() as u64);
    Status {
        host: daemon.host().clone(),
        ready: daemon.is_ready(),
        rules_version: version,
        log_age_ms: log_age,
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        epoch,
        epoch_members,
        services: lock(&daemon.epochs).len(),
        keys,
        members,
    }
}
