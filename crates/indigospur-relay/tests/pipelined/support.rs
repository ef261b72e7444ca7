//! A server whose handlers finish when the test lets them, and a caller that pipelines.

use async_std::channel::{Receiver, Sender, bounded};
use indigospur_protocol::{Answer, Refusal};
use indigospur_relay::{
    BodyMemory, Bounds, Handler, HttpService, ReceivedRequest, RefusalEncoder, runtime, serve_http,
};
use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time limit for each read and each condition.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// A handler that was started.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    pub(crate) path: String,
    /// When the first byte of its request arrived.
    pub(crate) started: Instant,
    /// Paths of the requests that ran at the time.
    pub(crate) beside: BTreeSet<String>,
    /// Bytes of bodies that were held at the time.
    pub(crate) held: usize,
}

#[derive(Default)]
struct State {
    starts: Vec<Start>,
    running: BTreeSet<String>,
    cancelled: usize,
    /// Gates by path. A gate is open once its channel is closed.
    gates: HashMap<String, (Sender<()>, Receiver<()>)>,
}

/// A running request; dropped without an answer, it was cancelled.
struct Run {
    state: Arc<Mutex<State>>,
    path: String,
    answered: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("no handler panics here");
        state.running.remove(&self.path);
        state.cancelled += usize::from(!self.answered);
    }
}

/// Paths that start with `/gate` are answered once their gate is open, `/large/N` with N bytes after
/// the executor has run other tasks, and others at once with their path and body. `/panic` panics.
async fn answer(
    memory: Arc<BodyMemory>,
    shared: Arc<Mutex<State>>,
    request: ReceivedRequest,
) -> Answer {
    let path = request.path.to_string();
    let gate = {
        let mut state = shared.lock().expect("no handler panics here");
        let beside = state.running.clone();
        state.starts.push(Start {
            path: path.clone(),
            started: request.started,
            beside,
            held: memory.used(),
        });
        state.running.insert(path.clone());
        let gate = state.gates.entry(path.clone());
        gate.or_insert_with(|| bounded(1)).1.clone()
    };
    let mut run = Run {
        state: shared,
        path: path.clone(),
        answered: false,
    };
    if path.starts_with("/gate") {
        let _ = gate.recv().await;
    }
    assert_ne!(path, "/panic", "a handler that panics");
    let mut body = [path.as_bytes(), &request.body].concat();
    if let Some(size) = path
        .strip_prefix("/large/")
        .and_then(|size| size.split('/').next())
    {
        futures_lite::future::yield_now().await;
        body.resize(size.parse().expect("a number"), b'x');
    }
    run.answered = true;
    Answer {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    }
}

pub(crate) struct Server {
    pub(crate) service: HttpService,
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) address: String,
    state: Arc<Mutex<State>>,
}

impl Server {
    pub(crate) fn start() -> Server {
        Server::start_with(Bounds::default(), BodyMemory::default())
    }

    pub(crate) fn start_with(bounds: Bounds, memory: BodyMemory) -> Server {
        let memory = Arc::new(memory);
        let state: Arc<Mutex<State>> = Arc::default();
        let (counted, shared) = (memory.clone(), state.clone());
        let handler: Handler =
            Arc::new(move |request| Box::pin(answer(counted.clone(), shared.clone(), request)));
        let refuse: RefusalEncoder = Arc::new(|refusal: &Refusal| Answer {
            status: refusal.kind.info().status,
            headers: Vec::new(),
            body: refusal.kind.name().as_bytes().into(),
        });
        let service = HttpService::new(bounds, handler, refuse).with_memory(memory.clone());
        let listener = runtime::block_on(async_std::net::TcpListener::bind("127.0.0.1:0"));
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it listens").to_string();
        runtime::spawn(serve_http(listener, service.clone()));
        Server {
            service,
            memory,
            address,
            state,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics here")
    }

    pub(crate) fn open_gate(&self, path: &str) {
        let mut state = self.state();
        let gate = state.gates.entry(path.to_owned());
        gate.or_insert_with(|| bounded(1)).0.close();
    }

    pub(crate) fn running(&self) -> Vec<String> {
        self.state().running.iter().cloned().collect()
    }

    pub(crate) fn wait_running(&self, paths: &[&str]) {
        wait_for(|| self.running() == paths);
    }

    pub(crate) fn starts(&self) -> Vec<Start> {
        self.state().starts.clone()
    }

    /// Paths of the requests that were started, in order.
    pub(crate) fn started(&self) -> Vec<String> {
        self.starts().into_iter().map(|start| start.path).collect()
    }

    pub(crate) fn cancelled(&self) -> usize {
        self.state().cancelled
    }

    /// Waits until no request is open and no memory is held.
    pub(crate) fn wait_idle(&self) {
        wait_for(|| self.service.open_requests() == 0 && self.memory.used() == 0);
    }
}

pub(crate) fn wait_for(condition: impl Fn() -> bool) {
    let give_up = Instant::now() + TIME_LIMIT;
    while !condition() {
        assert!(give_up > Instant::now(), "the condition is not met in time");
        std::thread::yield_now();
    }
}

/// Returns a request with fields of the test's choice, each with its line end.
pub(crate) fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!("{method} {path} HTTP/1.1\r\nhost: a\r\n{fields}{length}\r\n{body}")
}

pub(crate) fn get(path: &str) -> String {
    request("GET", path, "", "")
}

/// GETs of each path.
pub(crate) fn gets(paths: &[&str]) -> String {
    paths.iter().map(|path| get(path)).collect()
}

/// A response as a caller reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) closes: bool,
    pub(crate) body: String,
}

/// Returns a response with status 200.
pub(crate) fn ok(body: &str, closes: bool) -> Response {
    Response {
        status: 200,
        closes,
        body: body.to_owned(),
    }
}

pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub(crate) fn connect(server: &Server) -> Caller {
        Caller::new(TcpStream::connect(&server.address).expect("it listens"))
    }

    pub(crate) fn new(stream: TcpStream) -> Caller {
        stream
            .set_read_timeout(Some(TIME_LIMIT))
            .expect("the connection is open");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        Caller { stream, reader }
    }

    pub(crate) fn send(&mut self, bytes: &str) {
        let sent = self.stream.write_all(bytes.as_bytes());
        sent.expect("the connection is open");
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    }

    /// Reads a response, also an interim one.
    pub(crate) fn response(&mut self) -> Response {
        let status = self.line();
        let status = status.split(' ').nth(1).expect(&status);
        let status = status.parse().expect("a status");
        let (mut closes, mut length) = (false, 0);
        loop {
            let line = self.line();
            if line.is_empty() {
                break;
            }
            closes |= line == "connection: close";
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("the whole body");
        let body = String::from_utf8(body).expect("text");
        Response {
            status,
            closes,
            body,
        }
    }

    pub(crate) fn responses(&mut self, count: usize) -> Vec<Response> {
        (0..count).map(|_| self.response()).collect()
    }

    /// Reads until the server closes its side; fails on a reset. Returns what came before.
    pub(crate) fn rest(&mut self) -> String {
        let mut rest = String::new();
        let read = self.reader.read_to_string(&mut rest);
        read.expect("the server closes without a reset");
        rest
    }
}
