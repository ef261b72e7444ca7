//! A backend server that answers any bytes.

use crate::client::post;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// What a raw backend server does with one request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes these bytes and keeps the connection.
    Keep(Vec<u8>),
}

/// A backend server that answers scripted bytes.
#[derive(Debug)]
pub struct RawBackend {
    address: String,
    script: Arc<Mutex<Script>>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl RawBackend {
    /// Starts it; it ends with the test's process.
    ///
    /// # Panics
    /// No port is free.
    pub fn start(script: Script) -> RawBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let backend = RawBackend {
            address: listener.local_addr().expect("it listens").to_string(),
            script: Arc::new(Mutex::new(script)),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let (script, requests) = (backend.script.clone(), backend.requests.clone());
        let connections = backend.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let (script, requests) = (script.clone(), requests.clone());
                thread::spawn(move || answer_all(stream, &script, &requests));
            }
        });
        backend
    }

    /// Announces it to a daemon.
    pub fn announce(&self, admin: &str, service: &str) {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"slots\":8,\"connections\":8}}",
            self.address
        );
        post(admin, "/announce", &body);
    }

    /// Changes what it does.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Requests so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Connections so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn answer_all(mut stream: TcpStream, script: &Mutex<Script>, requests: &AtomicUsize) {
    while read_head(&mut stream) {
        requests.fetch_add(1, Ordering::Relaxed);
        let script = script
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (Script::Close(bytes) | Script::Keep(bytes)) = &script;
        if stream.write_all(bytes).is_err() || matches!(script, Script::Close(_)) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}
