//! Simulated append-only log of the platform, held in memory.
//!
//! - `POST /streams/NAME/records` appends the body as a record and answers `{"offset": N}`.
//! - `GET /streams/NAME/records?from=N&limit=M` answers up to M records (100 by default, at most
//!   1000) from offset N on, the oldest retained offset and the offset of the next append.
//! - `POST /mode` with a JSON [`Mode`] sets limits and injects failures.

use crate::reply::{json, refusal_encoder, text};
use async_std::net::TcpListener;
use indigospur_protocol::Answer;
use indigospur_relay::{Bounds, Handler, HttpService, ReceivedRequest, runtime, serve_http};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const MAX_RECORD_BYTES: u64 = 1024 * 1024;

/// Limits and injected failures of the log. Fields absent from the JSON take their default.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Mode {
    /// Answers all reads and appends with 503.
    pub down: bool,
    /// Delay before a read or append is processed, in milliseconds.
    pub delay_ms: u64,
    /// Stores appended records but never answers the append.
    pub lose_answers: bool,
    /// If above zero, stores appended records only after this delay in milliseconds and never
    /// answers the append.
    pub late_ms: u64,
    /// Age at which records expire, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of appends a second over all streams; further ones are answered with 429.
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
    /// Offset of the oldest retained record, or of the next append if there is none.
    first: u64,
    records: VecDeque<Record>,
}

#[derive(Serialize)]
struct ListedRecord<'a> {
    offset: u64,
    age_ms: u64,
    body: &'a str,
}

#[derive(Serialize)]
struct RecordPage<'a> {
    first: u64,
    next: u64,
    records: Vec<ListedRecord<'a>>,
}

#[derive(Serialize)]
struct AppendReply {
    offset: u64,
}

impl Stream {
    fn expire(&mut self, now: Instant, retention: Duration) {
        let is_expired =
            |record: &Record| now.saturating_duration_since(record.appended) > retention;
        while self.records.front().is_some_and(is_expired) {
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
        let with_offsets = (self.first..).zip(&self.records);
        let records = with_offsets
            .skip(skipped)
            .take(limit)
            .map(|(offset, record)| ListedRecord {
                offset,
                age_ms: now.saturating_duration_since(record.appended).as_millis() as u64,
                body: &record.body,
            });
        let next = self.first + self.records.len() as u64;
        json(&RecordPage {
            first: self.first,
            next,
            records: records.collect(),
        })
    }
}

#[derive(Default)]
struct LogState {
    mode: Mode,
    streams: HashMap<String, Stream>,
    /// Appends accepted since `window_start`.
    appends: u32,
    /// Start of the one-second window of the rate limit.
    window_start: Option<Instant>,
    reads: u64,
}

/// Simulated platform log; clones share their state.
#[derive(Clone, Default)]
pub struct PlatformLog {
    state: Arc<Mutex<LogState>>,
}

impl PlatformLog {
    /// Serves requests until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        let handler: Handler = Arc::new(move |request| {
            let log = self.clone();
            Box::pin(async move { log.handle(request).await })
        });
        let bounds = Bounds {
            body_bytes: MAX_RECORD_BYTES,
            connections: 4_096,
            ..Bounds::default()
        };
        serve_http(
            listener,
            HttpService::new(bounds, handler, refusal_encoder()),
        )
        .await;
    }

    /// Replaces the mode; the new retention also applies to records stored before.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Number of reads answered so far, over all streams.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    async fn handle(&self, request: ReceivedRequest) -> Answer {
        if &*request.path == "/mode" {
            return self.handle_mode(&request);
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

    fn handle_mode(&self, request: &ReceivedRequest) -> Answer {
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
        let late_ms = self.lock().mode.late_ms;
        if late_ms > 0 {
            let (log, stream) = (self.clone(), stream.to_owned());
            runtime::spawn(async move {
                runtime::sleep(Duration::from_millis(late_ms)).await;
                log.try_append(&stream, body);
            });
            return std::future::pending().await;
        }
        let accepted = self.try_append(stream, body);
        let Some(offset) = accepted else {
            return text(429, "too many appends");
        };
        if self.lock().mode.lose_answers {
            std::future::pending::<()>().await;
        }
        json(&AppendReply { offset })
    }

    /// Appends a record and returns its offset, or `None` above the append rate.
    fn try_append(&self, stream: &str, body: String) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.lock();
        let in_window = state
            .window_start
            .is_some_and(|start| now.saturating_duration_since(start) < Duration::from_secs(1));
        if !in_window {
            state.window_start = Some(now);
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

    fn lock(&self) -> std::sync::MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
