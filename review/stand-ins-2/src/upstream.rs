//! Stand-in for an application upstream: runs requests, and says what it says about itself.

use crate::http::{Message, exchange, read_message, request, response};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that an upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

/// Stand-in for an application upstream.
#[derive(Clone)]
pub struct Upstream {
    pub instance: String,
    pub service: String,
    pub address: String,
    pub work: Duration,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Upstream {
    pub fn start(record: &Record, instance: &str, service: &str, work: Duration) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let upstream = Upstream {
            instance: instance.into(),
            service: service.into(),
            address,
            work,
            runs: Arc::default(),
            record: record.clone(),
            sequence: Arc::default(),
            beats: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
        };
        let serving = upstream.clone();
        let next = AtomicU64::new(0);
        std::thread::spawn(move || {
            // The listener is closed at the end of the process.
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let serving = serving.clone();
                let number = next.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || serving.serve_connection(number, stream));
            }
        });
        upstream
    }

    fn serve_connection(&self, number: u64, mut stream: TcpStream) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        self.connections
            .lock()
            .expect("no thread panics")
            .insert(number, kept);
        let mut reader = BufReader::new(reading);
        while let Ok(Some(message)) = read_message(&mut reader) {
            let Some(answer) = self.run(&message) else {
                break;
            };
            if stream.write_all(&answer).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.connections
            .lock()
            .expect("no thread panics")
            .remove(&number);
    }

    /// Runs a request; `None` if the process has ended meanwhile.
    fn run(&self, message: &Message) -> Option<Vec<u8>> {
        if self.ended.load(Ordering::Relaxed) {
            return None;
        }
        let expected = message.header("expected-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let headers = [("Instance-Id", self.instance.as_str())];
            return Some(response(421, &headers, b""));
        }
        let id = message.header("attempt-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            return Some(response(400, &[("Not-Executed", "1")], b""));
        }
        let at = Instant::now();
        self.record.line(&format!(
            "run {id} at {} ({})",
            self.instance,
            message.method()
        ));
        self.runs
            .lock()
            .expect("no thread panics")
            .push(Run { at, id: id.clone() });
        std::thread::sleep(self.work);
        if self.ended.load(Ordering::Relaxed) {
            return None;
        }
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Server-Load", "1,0,72"),
            ("Keep-Alive", "timeout=10"),
        ];
        Some(response(200, &headers, b"done"))
    }

    /// The next heartbeat, as an encoded request.
    pub fn beat(&self, state: &str) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"information\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"lisboa-a\",\"slots\":72}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"cold_remaining\":\"0ms\"}}}}",
            self.address, self.service
        );
        let target = format!("/api/instances/{}/heartbeat", self.instance);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        request("POST", &target, &headers, body.as_bytes())
    }

    /// Sends heartbeats every 1.5 s to the control address, until [`Upstream::stop_beats`].
    pub fn start_beats(&self, control: &str) {
        self.beats.store(true, Ordering::Relaxed);
        let (upstream, control) = (self.clone(), control.to_owned());
        std::thread::spawn(move || {
            while upstream.beats.load(Ordering::Relaxed) {
                let _ = exchange(&control, &upstream.beat("ready"), Duration::from_secs(1));
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }

    /// Deregisters; returns the status of the answer, zero without one.
    pub fn deregister(&self, control: &str) -> u16 {
        let target = format!("/api/instances/{}/deregister", self.instance);
        let call = request("POST", &target, &[("Host", "control")], b"");
        let answer = exchange(control, &call, Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status())
    }

    /// Ends the process: all connections are closed, also those on which a request runs.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let connections = self.connections.lock().expect("no thread panics");
        for stream in connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(connections);
        // Wakes the listener.
        let _ = TcpStream::connect(&self.address);
    }
}
