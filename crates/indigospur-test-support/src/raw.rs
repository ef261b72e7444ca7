//! Fakes at the edge of TCP: a backend server that answers any bytes, and a wire that goes silent.

use crate::client::post;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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

/// A wire between daemons whose open connections can go silent for good while new ones work.
#[derive(Debug)]
pub struct Wire {
    /// Address to reach the other end through.
    pub address: String,
    target: Arc<Mutex<String>>,
    /// One flag for each connection opened so far.
    silent: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    /// New connections are silent from the start.
    cut: Arc<AtomicBool>,
    /// Both ends of each connection opened so far.
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Wire {
    /// A wire whose other end is not known yet.
    ///
    /// # Panics
    /// No port is free.
    pub fn start() -> Wire {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let wire = Wire {
            address: listener.local_addr().expect("it listens").to_string(),
            target: Arc::default(),
            silent: Arc::default(),
            cut: Arc::default(),
            open: Arc::default(),
        };
        let (target, silent, cut) = (wire.target.clone(), wire.silent.clone(), wire.cut.clone());
        let open = wire.open.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let address = target
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                let Ok(far) = TcpStream::connect(&address) else {
                    continue;
                };
                let flag = Arc::new(AtomicBool::new(cut.load(Ordering::Relaxed)));
                silent
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(flag.clone());
                join(&near, &far, &flag);
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                open.extend([near, far]);
            }
        });
        wire
    }

    /// Sets the other end.
    pub fn set_target(&self, address: &str) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = address.to_owned();
    }

    /// Cuts the wire: nothing passes any more, and nobody is told.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
        self.silence();
    }

    /// Ends a cut: new connections pass again.
    pub fn heal(&self) {
        self.cut.store(false, Ordering::Relaxed);
    }

    /// Resets the connections that are open now.
    pub fn reset(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Silences the connections that are open now; their number.
    pub fn silence(&self) -> usize {
        let flags = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        flags
            .iter()
            .for_each(|flag| flag.store(true, Ordering::Relaxed));
        flags.len()
    }
}

fn join(near: &TcpStream, far: &TcpStream, silent: &Arc<AtomicBool>) {
    for (from, to) in [(near, far), (far, near)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let silent = silent.clone();
        thread::spawn(move || carry(from, to, &silent));
    }
}

/// Carries bytes one way; in silence it reads on and drops them.
fn carry(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut bytes = [0; 8_192];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if !silent.load(Ordering::Relaxed) && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::Relaxed) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
