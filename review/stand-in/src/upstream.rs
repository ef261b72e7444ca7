//! Stand-in for an upstream: serves one request at a time on a connection, and sends heartbeats to the
//! daemon on its machine.

use crate::http::{Connection, Message, call};
use crate::record::Record;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval of the heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// An acknowledgement counts if it arrives within a second.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an upstream does not read on in the body of a request.
pub const READ_PAUSE: Duration = Duration::from_millis(3_000);

/// State of an upstream that has deregistered.
const GONE: &str = "gone";

/// What a request finds at an upstream.
pub struct Exchange<'a> {
    pub connection: &'a mut Connection,
    pub request: Message,
    /// `Attempt-Id` of the request.
    pub id: String,
    /// State that the handler keeps for the connection.
    pub kept: &'a mut Vec<u8>,
    pub upstream: &'a Upstream,
}

/// Handles a request; returns false if the connection is closed.
pub type Handler = Arc<dyn Fn(Exchange<'_>) -> bool + Send + Sync>;

struct Shared {
    name: String,
    address: String,
    control: String,
    service: String,
    slots: u32,
    state: Mutex<&'static str>,
    sequence: AtomicU64,
    /// Number of starts, which is part of the instance's name.
    starts: AtomicU64,
    is_down: AtomicBool,
    record: Record,
    handler: Handler,
}

/// An upstream; clones share it.
#[derive(Clone)]
pub struct Upstream(Arc<Shared>);

impl Upstream {
    /// Serves on `address`, and sends heartbeats to `control`.
    pub fn start(
        name: &str,
        service: &str,
        slots: u32,
        address: &str,
        control: &str,
        record: &Record,
        handler: Handler,
    ) -> std::io::Result<Upstream> {
        let upstream = Upstream(Arc::new(Shared {
            name: name.to_owned(),
            address: address.to_owned(),
            control: control.to_owned(),
            service: service.to_owned(),
            slots,
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
            starts: AtomicU64::new(1),
            is_down: AtomicBool::new(false),
            record: record.clone(),
            handler,
        }));
        upstream.listen()?;
        let beating = upstream.clone();
        std::thread::spawn(move || {
            loop {
                let is_acknowledged = beating.is_down() || beating.beat();
                std::thread::sleep(match is_acknowledged {
                    true => HEARTBEAT_INTERVAL,
                    false => Duration::from_millis(100),
                });
            }
        });
        Ok(upstream)
    }

    fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(&self.0.address)?;
        let upstream = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if upstream.is_down() {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let upstream = upstream.clone();
                std::thread::spawn(move || upstream.serve(Connection::new(stream)));
            }
        });
        Ok(())
    }

    fn serve(&self, mut connection: Connection) {
        let mut kept = Vec::new();
        let born = self.0.starts.load(Ordering::Relaxed);
        // Idle connections are closed after a timeout, which the answers name.
        while let Ok(mut request) = connection.read_head(Duration::from_secs(10)) {
            if !self.read_body(&mut connection, &mut request) {
                return;
            }
            if self.is_down() || born != self.0.starts.load(Ordering::Relaxed) {
                return;
            }
            let id = request.field("attempt-id").unwrap_or_default().to_owned();
            let expected = request.field("expected-instance");
            if expected.is_some_and(|expected| expected != self.instance()) {
                let instance = self.instance();
                let fields = [
                    ("Attempt-Id", &*id),
                    ("Instance-Id", &*instance),
                    ("Not-Executed", "1"),
                ];
                if connection.write(&answer(421, &fields, b"")).is_err() {
                    return;
                }
                continue;
            }
            let exchange = Exchange {
                connection: &mut connection,
                request,
                id,
                kept: &mut kept,
                upstream: self,
            };
            if !(self.0.handler)(exchange) {
                connection.close();
                return;
            }
        }
    }

    /// Reads the body of a request. For a path that ends in `/slow`, reading is interrupted for
    /// [`READ_PAUSE`]; for one that ends in `/long`, the upstream works as long, but reads at once. Returns
    /// false if the connection breaks.
    fn read_body(&self, connection: &mut Connection, request: &mut Message) -> bool {
        let id = request.field("attempt-id").unwrap_or_default().to_owned();
        let is_slow = request.second_word().ends_with("/slow");
        if is_slow {
            self.note(&format!(
                "begins to work on {id}, and reads on in {READ_PAUSE:?}"
            ));
            std::thread::sleep(READ_PAUSE);
        }
        let read = connection.read_body(request);
        if read.is_ok() && request.second_word().ends_with("/long") {
            self.note(&format!("begins to work on {id}, and has read all of it"));
            std::thread::sleep(READ_PAUSE);
        }
        match &read {
            Ok(()) if is_slow => self.note(&format!("has read all of {id}")),
            Ok(()) => return true,
            Err(error) => self.note(&format!(
                "the connection of {id} broke within its body: {error}"
            )),
        };
        read.is_ok()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) -> Duration {
        self.0
            .record
            .line(format!("upstream {}: {text}", self.0.name))
    }

    /// Time since the record was created.
    pub fn now(&self) -> Duration {
        self.0.record.now()
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    pub fn service(&self) -> &str {
        &self.0.service
    }

    fn instance(&self) -> String {
        format!(
            "i-{}-{}",
            self.0.name,
            self.0.starts.load(Ordering::Relaxed)
        )
    }

    /// Number of its starts.
    pub fn starts(&self) -> u64 {
        self.0.starts.load(Ordering::Relaxed)
    }

    pub fn is_down(&self) -> bool {
        self.0.is_down.load(Ordering::Relaxed)
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let state = *self.0.state.lock().unwrap_or_else(|e| e.into_inner());
        if state == GONE {
            return true;
        }
        let sequence = self.0.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        self.post("heartbeat", &self.heartbeat(state, sequence))
    }

    /// Deregisters, and sends no heartbeat from then on. Returns the time of the acknowledgement.
    pub fn deregister(&self) -> Option<Duration> {
        *self.0.state.lock().unwrap_or_else(|e| e.into_inner()) = GONE;
        self.note("sends the deregistration");
        self.post("deregister", "{}")
            .then(|| self.note("the deregistration is acknowledged"))
    }

    /// Delivers a heartbeat that was sent before the upstream left, and was late on its way.
    pub fn deliver_late_beat(&self) {
        self.note("a heartbeat from before it left arrives");
        self.post("heartbeat", &self.heartbeat("ready", 1));
    }

    fn heartbeat(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"information\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"lisboa-a\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold_remaining\":\"0ms\"}}}}",
            self.0.address, self.0.service, self.0.slots
        )
    }

    fn post(&self, action: &str, body: &str) -> bool {
        let start = format!("POST /api/instances/{}/{action} HTTP/1.1", self.instance());
        let fields = [("Content-Type", "application/json")];
        let answer = call(
            &self.0.control,
            &start,
            &fields,
            body.as_bytes(),
            ACK_TIMEOUT,
        );
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    /// Says that it leaves. Returns the time of the acknowledgement.
    pub fn drain(&self) -> Option<Duration> {
        *self.0.state.lock().unwrap_or_else(|e| e.into_inner()) = "draining";
        self.note("sends the heartbeat with state draining");
        self.beat().then(|| self.note("draining is acknowledged"))
    }

    /// Crashes: connections are closed and its port is free. It is back after `pause` as a new
    /// incarnation.
    pub fn crash(&self, pause: Duration) {
        if self.0.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        // Wakes the listener, which then ends.
        let _ = std::net::TcpStream::connect(&self.0.address);
        self.note("has crashed");
        let upstream = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(pause);
            upstream.0.starts.fetch_add(1, Ordering::Relaxed);
            upstream.0.sequence.store(0, Ordering::Relaxed);
            upstream.0.is_down.store(false, Ordering::Relaxed);
            while upstream.listen().is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
            upstream.note("is back");
            upstream.beat();
        });
    }
}

/// Encodes an answer of an upstream.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut all = vec![("Keep-Alive", "timeout=10"), ("Server-Load", "1,0,8")];
    all.extend_from_slice(fields);
    encode_answer(status, &all, body)
}

fn encode_answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    crate::http::encode(&format!("HTTP/1.1 {status} -"), fields, body)
}

/// The answer to a request that the upstream has run.
pub fn success(id: &str) -> Vec<u8> {
    answer(
        200,
        &[("Attempt-Id", id), ("Response-Signature", "3e1b.07.5a2")],
        b"done",
    )
}

/// The answer to a request that the upstream rejects and has not run.
pub fn shed(id: &str) -> Vec<u8> {
    answer(503, &[("Attempt-Id", id), ("Not-Executed", "1")], b"")
}
