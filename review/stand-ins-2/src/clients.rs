//! Clients on a host: each sends requests one after the other, on new connections, at a steady rate.

use crate::http::{exchange, request};
use crate::record::Record;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request and what became of it; status zero stands for no answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub ended: Instant,
    pub status: u16,
}

/// What the clients send.
#[derive(Clone, Debug)]
pub struct Load {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    /// Value of `Authorization`, if any.
    pub key: Option<&'static str>,
    /// Number of clients on each host, and the pause of each between two requests.
    pub clients: usize,
    pub pause: Duration,
}

/// All clients of a scenario.
#[derive(Clone)]
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stopped: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    record: Record,
}

impl Clients {
    pub fn new(record: &Record) -> Clients {
        Clients {
            sent: Arc::default(),
            stopped: Arc::default(),
            next: Arc::default(),
            record: record.clone(),
        }
    }

    /// Starts the clients of a host.
    pub fn start(&self, host: &str, outbound: &str, load: &Load) {
        for number in 0..load.clients {
            let (clients, load) = (self.clone(), load.clone());
            let (host, outbound) = (host.to_owned(), outbound.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(load.pause / load.clients as u32 * number as u32);
                while !clients.stopped.load(Ordering::Relaxed) {
                    clients.send(&host, &outbound, &load);
                    std::thread::sleep(load.pause);
                }
            });
        }
    }

    fn send(&self, host: &str, outbound: &str, load: &Load) {
        let id = format!(
            "{:016x}",
            0x9c41_0000_0000_0000_u64 + self.next.fetch_add(1, Ordering::Relaxed)
        );
        let mut headers = vec![
            ("Host", load.host),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Milliseconds", "5000"),
            ("Connection", "close"),
        ];
        headers.extend(load.key.map(|key| ("Authorization", key)));
        let call = request(load.method, load.path, &headers, b"");
        self.record.line(&format!("sent {id} to {host}"));
        let at = Instant::now();
        let answer = exchange(outbound, &call, Duration::from_secs(6));
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!("answered {id}: {status}"));
        let ended = Instant::now();
        let sent = Sent {
            id,
            at,
            ended,
            status,
        };
        self.sent.lock().expect("no thread panics").push(sent);
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
