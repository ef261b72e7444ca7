//! The admin port: announcements of the backend server, health and status for operators, and
//! metrics.

use crate::backend;
use crate::daemon::{Daemon, lock};
use indigospur_protocol::{Announcement, Answer, Kind, Outcome, Rate, Refusal};
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
    /// Limit that the backend server names on its rate of calls, in calls a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    rate_limit: Option<f64>,
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

pub(crate) async fn answer(daemon: Arc<Daemon>, received: ReceivedRequest) -> Answer {
    match dispatch(&daemon, &received) {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => daemon.dialect.write_refusal(&refusal),
    }
}

fn dispatch(daemon: &Daemon, received: &ReceivedRequest) -> Outcome {
    match (&*received.method, &*received.path) {
        ("GET", "/live") => response(200, "live\n".into()),
        ("GET", "/ready") => ready(daemon),
        ("GET", "/metrics") => response(200, daemon.scrape()),
        ("GET", "/status") => {
            response(200, serde_json::to_vec(&status(daemon)).unwrap_or_default())
        }
        ("GET", "/rules") => response(200, rules(daemon)),
        ("POST", "/announce") => announce(daemon, &received.body),
        ("POST", "/drain") => {
            daemon.drain();
            response(200, "draining\n".into())
        }
        _ => response(
            404,
            "the paths are /live, /ready, /metrics, /status, /rules, /announce and /drain\n".into(),
        ),
    }
}

fn response(status: u16, body: Vec<u8>) -> Outcome {
    Outcome::Answered(Answer {
        status,
        headers: Vec::new(),
        body: body.into(),
    })
}

fn ready(daemon: &Daemon) -> Outcome {
    if daemon.is_ready() {
        return response(200, "ready\n".into());
    }
    if daemon.is_draining() {
        return response(503, "not ready: stopping\n".into());
    }
    response(
        503,
        "not ready: neither the log nor another daemon has told the rule set\n".into(),
    )
}

/// The rule set in force as it was published; empty while there is none.
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
    let announcement: Announcement = match serde_json::from_slice(body) {
        Ok(announcement) => announcement,
        Err(error) => return Outcome::Refused(Refusal::new(Kind::BadRequest, error.to_string())),
    };
    match backend::validate(&announcement) {
        Ok(()) => {
            backend::handle_announcement(daemon, &announcement);
            response(200, Vec::new())
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
        Some(once) => {
            let current = once.current();
            let members = current.map_or(0, |epoch| epoch.members.len());
            (current.map_or(0, |epoch| epoch.number), members, once.len())
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
            rate_limit: member.rate_limit.map(Rate::calls_per_second),
        })
        .collect();
    let log_version = lock(&daemon.follower)
        .active_rules()
        .map(|in_force| in_force.version);
    let source_version = lock(&daemon.newest).version();
    let version = log_version.or((source_version > 0).then_some(source_version));
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
