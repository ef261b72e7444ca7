//! A stand-in of the platform's append-only log.
//!
//! `POST /streams/NAME/records` appends a body and answers `{"offset": N}`;
//! `GET /streams/NAME/records?from=N&limit=M` answers the oldest kept offset, the next one and the
//! records between. `POST /mode` with a JSON [`Mode`] makes it fail in the ways the platform does.

use crate::reply::{json, refuse, text};
use async_std::net::TcpListener;
use indigospur_protocol::Answer;
use indigospur_relay::{Bounds, Handler, HttpService, ReceivedRequest, runtime, serve_http};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest record, in bytes.
const LARGEST_RECORD: u64 = 1024 * 1024;

/// How the log behaves.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Mode {
    /// Nothing is read or appended.
    pub down: bool,
    /// Time each answer takes, in milliseconds.
    pub delay_ms: u64,
    /// Appends take effect but are not answered.
    pub lose_answers: bool,
    /// Appends take effect so many milliseconds later, and are not answered.
    pub late_ms: u64,
    /// Time for which records are kept, in milliseconds.
    pub retention_ms: u64,
    /// Most appends a second.
    pub appends_per_second: u32,
}

impl Default for Mode {
    fn default() -> Self {
        Mode {
            down: false,
            delay_ms: 0,
            lose_answers: false,
            late_ms: 0,
            retention_ms: 24 * 3_600 * 1_000,
            appends_per_second: 500,
        }
    }
}

struct Record {
    appended: Instant,
    body: String,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

#[derive(Serialize)]
struct Listed<'a> {
    offset: u64,
    age_ms: u64,
    body: &'a str,
}

#[derive(Serialize)]
struct Listing<'a> {
    first: u64,
    next: u64,
    records: Vec<Listed<'a>>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

impl Stream {
    fn expire(&mut self, now: Instant, retention: Duration) {
        let old = |record: &Record| now.saturating_duration_since(record.appended) > retention;
        while self.records.front().is_some_and(old) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn append(&mut self, now: Instant, body: String) -> u64 {
        self.records.push_back(Record {
            appended: now,
            body,
        });
        self.first + self.records.len() as u64 - 1
    }

    fn list(&self, now: Instant, from: u64, limit: usize) -> Answer {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let numbered = (self.first..).zip(&self.records);
        let records = numbered
            .skip(skipped)
            .take(limit)
            .map(|(offset, record)| Listed {
                offset,
                age_ms: now.saturating_duration_since(record.appended).as_millis() as u64,
                body: &record.body,
            });
        let next = self.first + self.records.len() as u64;
        json(&Listing {
            first: self.first,
            next,
            records: records.collect(),
        })
    }
}

#[derive(Default)]
struct State {
    mode: Mode,
    streams: HashMap<String, Stream>,
    /// Appends of the current second.
    appends: u32,
    second: Option<Instant>,
    reads: u64,
}

/// The log.
#[derive(Clone, Default)]
pub struct PlatformLog {
    state: Arc<Mutex<State>>,
}

impl PlatformLog {
    /// Serves until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        let handler: Handler = Arc::new(move |request| {
            let log = self.clone();
            Box::pin(async move { log.handle(request).await })
        });
        let bounds = Bounds {
            body_bytes: LARGEST_RECORD,
            connections: 4_096,
            ..Bounds::default()
        };
        serve_http(listener, HttpService::new(bounds, handler, refuse())).await;
    }

    /// Changes how the log behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Reads so far.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    async fn handle(&self, request: ReceivedRequest) -> Answer {
        if &*request.path == "/mode" {
            return self.change_mode(&request);
        }
        let mode = self.lock().mode;
        runtime::sleep(Duration::from_millis(mode.delay_ms)).await;
        if mode.down {
            return text(503, "the log is down");
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let Some(stream) = path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
        else {
            return text(404, "no such path");
        };
        match &*request.method {
            "GET" => self.read(stream, query),
            "POST" => self.append(stream, &request.body).await,
            _ => text(405, "GET or POST"),
        }
    }

    fn change_mode(&self, request: &ReceivedRequest) -> Answer {
        match serde_json::from_slice(&request.body) {
            Ok(mode) => {
                self.set_mode(mode);
                text(200, "")
            }
            Err(error) => text(400, error.to_string()),
        }
    }

    fn read(&self, stream: &str, query: &str) -> Answer {
        let now = Instant::now();
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<u64>().ok())
        };
        let limit = number("limit").unwrap_or(100).min(1_000) as usize;
        let mut state = self.lock();
        state.reads += 1;
        let retention = Duration::from_millis(state.mode.retention_ms);
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.expire(now, retention);
        stream.list(now, number("from").unwrap_or(0), limit)
    }

    async fn append(&self, stream: &str, body: &[u8]) -> Answer {
        let Ok(body) = String::from_utf8(body.to_vec()) else {
            return text(400, "not UTF-8");
        };
        let late = self.lock().mode.late_ms;
        if late > 0 {
            let (log, stream) = (self.clone(), stream.to_owned());
            runtime::spawn(async move {
                runtime::sleep(Duration::from_millis(late)).await;
                log.append_now(&stream, body);
            });
            return std::future::pending().await;
        }
        let appended = self.append_now(stream, body);
        let Some(offset) = appended else {
            return text(429, "too many appends");
        };
        if self.lock().mode.lose_answers {
            std::future::pending::<()>().await;
        }
        json(&Appended { offset })
    }

    fn append_now(&self, stream: &str, body: String) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.lock();
        let current = state
            .second
            .is_some_and(|at| now.saturating_duration_since(at) < Duration::from_secs(1));
        if !current {
            state.second = Some(now);
            state.appends = 0;
        }
        if state.appends >= state.mode.appends_per_second {
            return None;
        }
        state.appends += 1;
        Some(
            state
                .streams
                .entry(stream.to_owned())
                .or_default()
                .append(now, body),
        )
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
