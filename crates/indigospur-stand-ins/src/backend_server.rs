//! A stand-in of a backend server: slots, work, calls to further services, a journal of what it
//! ran, and the ways a backend server fails.
//!
//! The query of a call steers it: `work=MS` takes so long, `fail=crash` ends the process,
//! `fail=truncate`, `fail=other` (another call's answer) and `fail=shed` answer wrongly.

use crate::reply::{json, refuse, text, with_headers};
use async_std::net::TcpListener;
use indigospur_protocol::{Announcement, Answer, Header, State, headers};
use indigospur_relay::{
    Bounds, Handler, HttpRequest, HttpService, ReceivedRequest, post, request, runtime, serve_http,
};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

const LARGEST_BODY: u64 = 4 * 1024 * 1024;
/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time in which the daemon must take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A call that the backend server makes while it runs one.
#[derive(Clone, Debug)]
pub struct DownstreamCall {
    /// Service.
    pub service: String,
    /// Path with its query.
    pub path: String,
}

/// What the backend server is.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Service it serves.
    pub service: String,
    /// Calls it can run at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time a call takes that names none.
    pub work: Duration,
    /// Calls it makes while it runs one, in turn.
    pub calls: Vec<DownstreamCall>,
    /// Address of its daemon for announcements.
    pub daemon_admin: Option<String>,
    /// Address of its daemon for calls.
    pub daemon_calls: Option<String>,
    /// Address to announce instead of the one it listens on.
    pub advertise: Option<String>,
}

/// A call that was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Method and path.
    pub call: String,
    /// The caller's key, if it gave one.
    pub key: Option<String>,
    /// It ran to its end.
    pub finished: bool,
}

#[derive(Default)]
struct Shared {
    journal: Mutex<Vec<Run>>,
    busy: AtomicU32,
    most_busy: AtomicU32,
    slowdown: AtomicU64,
    draining: AtomicBool,
}

/// The backend server.
#[derive(Clone)]
pub struct BackendServer {
    options: Arc<BackendOptions>,
    shared: Arc<Shared>,
}

/// Counts a call as busy until it is dropped.
struct Busy(Arc<Shared>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BackendServer {
    /// A backend server that has run nothing.
    pub fn new(options: BackendOptions) -> BackendServer {
        let shared = Shared {
            slowdown: AtomicU64::new(1),
            ..Shared::default()
        };
        BackendServer {
            options: Arc::new(options),
            shared: Arc::new(shared),
        }
    }

    /// What it ran so far.
    pub fn journal(&self) -> Vec<Run> {
        self.shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Makes all work take so many times as long.
    pub fn set_slowdown(&self, factor: u64) {
        self.shared.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Announces that it leaves.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Serves and announces itself until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        if let Ok(address) = listener.local_addr() {
            let told = self.options.advertise.clone();
            let told = told.unwrap_or_else(|| address.to_string());
            runtime::spawn(self.clone().announce(told));
        }
        let handler: Handler = Arc::new(move |request| {
            let server = self.clone();
            Box::pin(async move { server.handle(request).await })
        });
        let bounds = Bounds {
            body_bytes: LARGEST_BODY,
            connections: 65_536,
            ..Bounds::default()
        };
        serve_http(listener, HttpService::new(bounds, handler, refuse())).await;
    }

    async fn announce(self, address: String) {
        let Some(daemon) = self.options.daemon_admin.clone() else {
            return;
        };
        loop {
            let draining = self.shared.draining.load(Ordering::Relaxed);
            let announcement = Announcement {
                service: self.options.service.as_str().into(),
                address: address.as_str().into(),
                slots: self.options.slots,
                connections: self.options.connections,
                state: if draining {
                    State::Draining
                } else {
                    State::Ready
                },
                instance: "".into(),
                started_ms: 0,
                sequence: 0,
                cold_ms: 0,
            };
            let body = serde_json::to_vec(&announcement).unwrap_or_default();
            let _ = post(&daemon, "/announce", &body, ANNOUNCE_TIMEOUT).await;
            runtime::sleep(HEARTBEAT).await;
        }
    }

    async fn handle(&self, request: ReceivedRequest) -> Answer {
        match &*request.path {
            "/stand-in/journal" => return json(&self.journal()),
            "/stand-in/busy" => return json(&self.shared.most_busy.load(Ordering::Relaxed)),
            "/stand-in/drain" => {
                self.drain();
                return text(200, "");
            }
            path => {
                if let Some(factor) = path.strip_prefix("/stand-in/slowdown/") {
                    self.set_slowdown(factor.parse().unwrap_or(1));
                    return text(200, "");
                }
            }
        }
        self.run(request).await
    }

    async fn run(&self, request: ReceivedRequest) -> Answer {
        if is_past_deadline(&request) {
            return text(503, "the deadline has passed");
        }
        let now_busy = self.shared.busy.fetch_add(1, Ordering::Relaxed) + 1;
        self.shared.most_busy.fetch_max(now_busy, Ordering::Relaxed);
        let _busy = Busy(self.shared.clone());
        let index = self.begin(&request);
        if parameter(&request.path, "fail") == Some("crash") {
            std::process::exit(70);
        }
        let below = self.call_below(&request).await;
        let factor = self.shared.slowdown.load(Ordering::Relaxed) as u32;
        runtime::sleep(self.work(&request) * factor).await;
        self.end(index);
        self.answer(&request, below)
    }

    fn begin(&self, request: &ReceivedRequest) -> usize {
        let key = request.header(headers::IDEMPOTENCY_KEY).map(str::to_owned);
        let call = format!("{} {}", request.method, request.path);
        let mut journal = self
            .shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        journal.push(Run {
            call,
            key,
            finished: false,
        });
        journal.len() - 1
    }

    fn end(&self, index: usize) {
        let mut journal = self
            .shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        journal[index].finished = true;
    }

    fn work(&self, request: &ReceivedRequest) -> Duration {
        let given = parameter(&request.path, "work").and_then(|millis| millis.parse().ok());
        given.map_or(self.options.work, Duration::from_millis)
    }

    async fn call_below(&self, request: &ReceivedRequest) -> Result<String, String> {
        let Some(daemon) = &self.options.daemon_calls else {
            return Ok(String::new());
        };
        let token = request.header(headers::CALL_TOKEN).unwrap_or_default();
        let mut bodies = String::new();
        for call in &self.options.calls {
            bodies.push_str(&call_service(daemon, call, token).await?);
        }
        Ok(bodies)
    }

    fn answer(&self, request: &ReceivedRequest, below: Result<String, String>) -> Answer {
        let failure = parameter(&request.path, "fail");
        let token = request.header(headers::CALL_TOKEN).unwrap_or_default();
        let token = if failure == Some("other") {
            "another-call"
        } else {
            token
        };
        let header = Header {
            name: headers::CALL_TOKEN.into(),
            value: token.as_bytes().into(),
        };
        let service = &self.options.service;
        match below {
            _ if failure == Some("shed") => text(503, "busy"),
            Ok(below) => {
                let body = format!("{service}{}({below})", request.path);
                with_headers(200, vec![header], body.into_bytes())
            }
            Err(error) => with_headers(502, vec![header], error.into_bytes()),
        }
    }
}

/// Makes a call to a further service through the daemon.
async fn call_service(daemon: &str, call: &DownstreamCall, token: &str) -> Result<String, String> {
    let sent = [
        Header {
            name: headers::SERVICE.into(),
            value: call.service.as_bytes().into(),
        },
        Header {
            name: headers::CALL_TOKEN.into(),
            value: token.as_bytes().into(),
        },
    ];
    let built = HttpRequest {
        method: "GET",
        host: daemon,
        path: &call.path,
        headers: &sent,
        body: &[],
    };
    let answer = request(daemon, &built, Duration::from_secs(60)).await;
    let answer = answer.map_err(|error| format!("{}: {error:?}", call.service))?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status == 200 {
        Ok(body)
    } else {
        Err(format!("{}: {body}", call.service))
    }
}

/// Whether the daemon has given the call up, by the clock that both share.
fn is_past_deadline(request: &ReceivedRequest) -> bool {
    let at = request
        .header(headers::DEADLINE_AT)
        .and_then(|text| text.parse().ok());
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    at.is_some_and(|at: u128| at < since.as_millis())
}

fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}
