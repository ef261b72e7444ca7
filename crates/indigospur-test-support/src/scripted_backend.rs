//! Backend server that answers with scripted bytes, which need not be valid HTTP.

use crate::client::post;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Answer to each request, valid or not.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes the bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes the bytes and keeps the connection open.
    Keep(Vec<u8>),
    /// Writes `start`, then `repeated` again and again, with a pause before each, until the connection
    /// is closed.
    Endless {
        /// Written once.
        start: Vec<u8>,
        /// Written without end.
        repeated: Vec<u8>,
        /// Time between two repetitions.
        pause: Duration,
    },
}

impl Script {
    /// An answer that begins with `start` and goes on with `repeated` as fast as it is read.
    pub fn endless(start: &str, repeated: &str) -> Script {
        const WRITE_BYTES: usize = 4 * 1024;
        Script::Endless {
            start: start.into(),
            repeated: repeated.repeat(WRITE_BYTES.div_ceil(repeated.len())).into(),
            pause: Duration::ZERO,
        }
    }

    /// Writes the answer. Returns whether the connection is kept.
    fn write(&self, stream: &mut TcpStream) -> bool {
        match self {
            Script::Keep(bytes) => stream.write_all(bytes).is_ok(),
            Script::Close(bytes) => {
                let _ = stream.write_all(bytes);
                false
            }
            Script::Endless {
                start,
                repeated,
                pause,
            } => {
                let mut open = stream.write_all(start).is_ok();
                while open {
                    thread::sleep(*pause);
                    open = stream.write_all(repeated).is_ok();
                }
                false
            }
        }
    }
}

/// Backend server that answers every request with the bytes of a [`Script`].
#[derive(Debug)]
pub struct ScriptedBackend {
    address: String,
    script: Arc<Mutex<Script>>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
}

impl ScriptedBackend {
    /// Starts the server in threads that run until the test process ends.
    ///
    /// # Panics
    /// No loopback port can be bound.
    pub fn start(script: Script) -> ScriptedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let backend = ScriptedBackend {
            address: listener
                .local_addr()
                .expect("failed to get the listening address")
                .to_string(),
            script: Arc::new(Mutex::new(script)),
            requests: Arc::default(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let (script, requests) = (backend.script.clone(), backend.requests.clone());
        let (connections, ended) = (backend.connections.clone(), backend.ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let (script, requests) = (script.clone(), requests.clone());
                let ended = ended.clone();
                thread::spawn(move || {
                    serve_connection(stream, &script, &requests);
                    ended.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        backend
    }

    /// Announces the server once to the daemon at an admin address, with a connection for each slot.
    pub fn announce(&self, admin: &str, service: &str, slots: u32) {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"slots\":{slots},\"connections\":{slots}}}",
            self.address
        );
        post(admin, "/announce", &body);
    }

    /// Address that the server listens on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Replaces the answer to later requests.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Number of request heads received so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Number of connections that have ended.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn serve_connection(mut stream: TcpStream, script: &Mutex<Script>, requests: &AtomicUsize) {
    while read_head(&mut stream) {
        requests.fetch_add(1, Ordering::Relaxed);
        let script = script
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if !script.write(&mut stream) {
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
