//! Backend server that answers with scripted bytes, which need not be valid HTTP.

use crate::client::post;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Answer to each request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes the bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes the bytes and keeps the connection open.
    Keep(Vec<u8>),
}

/// Backend server that answers every request with the bytes of a [`Script`].
#[derive(Debug)]
pub struct ScriptedBackend {
    address: String,
    script: Arc<Mutex<Script>>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
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
        };
        let (script, requests) = (backend.script.clone(), backend.requests.clone());
        let connections = backend.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let (script, requests) = (script.clone(), requests.clone());
                thread::spawn(move || serve_connection(stream, &script, &requests));
            }
        });
        backend
    }

    /// Announces the server once to the daemon at an admin address, with 8 slots and 8 connections.
    pub fn announce(&self, admin: &str, service: &str) {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"slots\":8,\"connections\":8}}",
            self.address
        );
        post(admin, "/announce", &body);
    }

    /// Replaces the answer to later requests.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Number of request heads received so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
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
