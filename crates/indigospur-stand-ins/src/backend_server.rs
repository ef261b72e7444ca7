//! Simulated backend server: announces itself to its daemon, makes downstream calls, records the
//! requests it executes in a journal and injects failures.
//!
//! Query parameters of a request control its execution:
//! - `work=MS` sets its service time in milliseconds.
//! - `fail=crash` exits the process with status 70 once the request is in the journal.
//! - `fail=other` answers with the token of another call.
//! - `fail=shed` answers 503 without a call token.
//!
//! Requests to `/stand-in/` control the server: `drain`, `leave`, `slowdown/FACTOR` (also
//! named as pace in its answers) and
//! `rate-limit/CALLS_PER_SECOND` (`rate-limit/none` lifts the limit).

use crate::named_status::NamedStatus;
use crate::reply::{json, refusal_encoder, text, with_headers};
use async_std::net::TcpListener;
use indigospur_protocol::{Announcement, Answer, Header, State, headers};
use indigospur_relay::{
    Bounds, Handler, HttpRequest, HttpService, ReceivedRequest, post, request, runtime, serve_http,
};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Call to another service that the backend server makes for each request it executes.
#[derive(Clone, Debug)]
pub struct DownstreamCall {
    /// Name of the called service.
    pub service: String,
    /// Request path including the query string.
    pub path: String,
}

/// Configuration of a simulated backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name of the service it announces.
    pub service: String,
    /// Number of concurrent calls to announce; not enforced by the server itself.
    pub slots: u32,
    /// Number of connections to announce; not enforced by the server itself.
    pub connections: u32,
    /// Service time of requests without a `work` query parameter.
    pub work_time: Duration,
    /// Downstream calls made one after another for each request; need `daemon_calls`.
    pub calls: Vec<DownstreamCall>,
    /// Admin address of its daemon; without one it does not announce itself.
    pub daemon_admin: Option<String>,
    /// Caller address of its daemon; without one it makes no downstream calls.
    pub daemon_calls: Option<String>,
    /// Address to announce instead of the listening address.
    pub advertise: Option<String>,
}

/// One executed request, as listed by `GET /stand-in/journal`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Method and path with its query, separated by a space.
    pub call: String,
    /// Idempotency key, if the request had one.
    pub key: Option<String>,
    /// Whether execution has completed.
    pub finished: bool,
}

#[derive(Default)]
struct Shared {
    journal: Mutex<Vec<JournalEntry>>,
    running: AtomicU32,
    /// Highest number of requests that ran at a time, as answered by `GET /stand-in/busy`.
    max_running: AtomicU32,
    slowdown: AtomicU64,
    draining: AtomicBool,
    /// Whether it has stopped announcing itself.
    silent: AtomicBool,
    named: Mutex<NamedStatus>,
}

/// Simulated backend server; clones share their state.
#[derive(Clone)]
pub struct BackendServer {
    options: Arc<BackendOptions>,
    shared: Arc<Shared>,
}

/// Decrements the number of running requests when dropped.
struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BackendServer {
    /// Creates a server with an empty journal and a slowdown factor of 1.
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

    /// Returns the requests executed so far, in order of their start.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Multiplies the service time of later requests by `factor`.
    pub fn set_slowdown(&self, factor: u64) {
        self.shared.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Announces the draining state from the next announcement on, and says in all answers that it
    /// leaves.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
        self.named().set_leaving();
    }

    /// Stops announcing itself, and says in all answers that it leaves.
    pub fn leave(&self) {
        self.shared.silent.store(true, Ordering::Relaxed);
        self.named().set_leaving();
    }

    fn named(&self) -> MutexGuard<'_, NamedStatus> {
        let named = self.shared.named.lock();
        named.unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves requests and sends announcements until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        if let Ok(address) = listener.local_addr() {
            let advertised = self.options.advertise.clone();
            let advertised = advertised.unwrap_or_else(|| address.to_string());
            runtime::spawn(self.clone().announce(advertised));
        }
        let handler: Handler = Arc::new(move |request| {
            let server = self.clone();
            Box::pin(async move { server.handle(request).await })
        });
        let bounds = Bounds {
            body_bytes: MAX_BODY_BYTES,
            connections: 65_536,
            ..Bounds::default()
        };
        serve_http(
            listener,
            HttpService::new(bounds, handler, refusal_encoder()),
        )
        .await;
    }

    async fn announce(self, address: String) {
        let Some(daemon) = self.options.daemon_admin.clone() else {
            return;
        };
        while !self.shared.silent.load(Ordering::Relaxed) {
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
            runtime::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn handle(&self, request: ReceivedRequest) -> Answer {
        match &*request.path {
            "/stand-in/journal" => return json(&self.journal()),
            "/stand-in/busy" => return json(&self.shared.max_running.load(Ordering::Relaxed)),
            "/stand-in/drain" => {
                self.drain();
                return text(200, "");
            }
            "/stand-in/leave" => {
                self.leave();
                return text(200, "");
            }
            "/stand-in/named" => return json(&self.named().report()),
            path => {
                if let Some(limit) = path.strip_prefix("/stand-in/rate-limit/") {
                    self.named().set_limit(limit.parse().ok());
                    return text(200, "");
                }
                if let Some(factor) = path.strip_prefix("/stand-in/slowdown/") {
                    self.set_slowdown(factor.parse().unwrap_or(1));
                    return text(200, "");
                }
            }
        }
        let mut answer = self.run(request).await;
        answer.headers.extend(self.named().headers(Instant::now()));
        answer.headers.extend(self.pace());
        answer
    }

    /// Header that tells the pace of work while it is slower than usual.
    fn pace(&self) -> Option<Header> {
        let factor = self.shared.slowdown.load(Ordering::Relaxed);
        (factor > 1).then(|| Header {
            name: headers::PACE.into(),
            value: (factor * 100).to_string().into_bytes().into(),
        })
    }

    async fn run(&self, request: ReceivedRequest) -> Answer {
        if is_past_deadline(&request) {
            return text(503, "the deadline has passed");
        }
        let running = self.shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.shared
            .max_running
            .fetch_max(running, Ordering::Relaxed);
        let _guard = RunningGuard(self.shared.clone());
        let index = self.record_start(&request);
        self.named().record_start(Instant::now());
        if query_parameter(&request.path, "fail") == Some("crash") {
            std::process::exit(70);
        }
        let downstream = self.call_downstream(&request).await;
        let factor = self.shared.slowdown.load(Ordering::Relaxed) as u32;
        runtime::sleep(self.work_time(&request) * factor).await;
        self.record_end(index);
        self.answer(&request, downstream)
    }

    fn record_start(&self, request: &ReceivedRequest) -> usize {
        let key = request.header(headers::IDEMPOTENCY_KEY).map(str::to_owned);
        let call = format!("{} {}", request.method, request.path);
        let mut journal = self
            .shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        journal.push(JournalEntry {
            call,
            key,
            finished: false,
        });
        journal.len() - 1
    }

    fn record_end(&self, index: usize) {
        let mut journal = self
            .shared
            .journal
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        journal[index].finished = true;
    }

    fn work_time(&self, request: &ReceivedRequest) -> Duration {
        let millis = query_parameter(&request.path, "work").and_then(|text| text.parse().ok());
        millis.map_or(self.options.work_time, Duration::from_millis)
    }

    async fn call_downstream(&self, request: &ReceivedRequest) -> Result<String, String> {
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

    fn answer(&self, request: &ReceivedRequest, downstream: Result<String, String>) -> Answer {
        let failure = query_parameter(&request.path, "fail");
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
        match downstream {
            _ if failure == Some("shed") => text(503, "busy"),
            Ok(bodies) => {
                let body = format!("{service}{}({bodies})", request.path);
                with_headers(200, vec![header], body.into_bytes())
            }
            Err(error) => with_headers(502, vec![header], error.into_bytes()),
        }
    }
}

/// Calls another service through the daemon; a failure is described by the error text.
async fn call_service(daemon: &str, call: &DownstreamCall, token: &str) -> Result<String, String> {
    let call_headers = [
        Header {
            name: headers::SERVICE.into(),
            value: call.service.as_bytes().into(),
        },
        Header {
            name: headers::CALL_TOKEN.into(),
            value: token.as_bytes().into(),
        },
    ];
    let call_request = HttpRequest {
        method: "GET",
        host: daemon,
        path: &call.path,
        headers: &call_headers,
        body: &[],
    };
    let answer = request(daemon, &call_request, Duration::from_secs(60)).await;
    let answer = answer.map_err(|error| format!("{}: {error:?}", call.service))?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status == 200 {
        Ok(body)
    } else {
        Err(format!("{}: {body}", call.service))
    }
}

/// Whether the call's deadline has passed; the daemon on the same host uses the same clock.
fn is_past_deadline(request: &ReceivedRequest) -> bool {
    let deadline_ms = request
        .header(headers::DEADLINE_AT)
        .and_then(|text| text.parse().ok());
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    deadline_ms.is_some_and(|millis: u128| millis < since_epoch.as_millis())
}

fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}
