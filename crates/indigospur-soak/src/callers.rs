//! Callers that keep sending requests whatever fails.

use crate::checks::DEADLINE;
use crate::observations::{ConnectionUse, Observations, RequestRecord};
use indigospur_test_support::{Call, ClientBehaviour, Connection, Response, request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 5..40;
/// Share of the requests with a key that have a large body.
const LARGE_SHARE: f64 = 0.1;
/// Size of a large body; below the bound that the soak sets now and then.
const LARGE_BODY_BYTES: usize = 200_000;
/// Share of the requests that must run at most once.
const KEYED_SHARE: f64 = 0.3;

/// Share of the turns of a caller that keeps its connections in which it pipelines requests.
const PIPELINE_SHARE: f64 = 0.1;
/// Number of requests that are pipelined at a time.
const PIPELINED: std::ops::Range<usize> = 2..6;
/// Share of the slow requests, so that a stop finds calls running.
const SLOW_SHARE: f64 = 0.06;
/// Time that a slow request takes at the first backend server, in milliseconds.
const SLOW_MILLIS: u64 = 1_500;
/// Most attempts at a request with an idempotency key until an answer says whether it ran.
const MAX_ATTEMPTS: usize = 4;

/// State shared by the callers, the version monitor and the soak.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) started: Instant,
    pub(crate) observations: Mutex<Observations>,
    /// Current daemon of each host.
    pub(crate) hosts: Mutex<Vec<HostEntry>>,
    /// Set when the soak ends; callers and monitors then return.
    pub(crate) finished: AtomicBool,
    next_number: AtomicU64,
}

/// Addresses of a host's current daemon.
#[derive(Clone, Debug)]
pub(crate) struct HostEntry {
    pub(crate) name: String,
    /// Address that takes requests of callers.
    pub(crate) caller_address: String,
    pub(crate) admin_address: String,
    pub(crate) restarts: u32,
}

/// Locks a mutex, also one that a panicking thread has poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn new(hosts: Vec<HostEntry>) -> Arc<Shared> {
        Arc::new(Shared {
            started: Instant::now(),
            observations: Mutex::default(),
            hosts: Mutex::new(hosts),
            finished: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
        })
    }

    /// Time since the start of the soak.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// How a caller behaves on its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    /// Opens a connection for each request.
    OneShot,
    /// Keeps a connection to each host and reuses it until the daemon closes it.
    KeepAlive,
    /// Closes early, reads slowly, sends in pieces or sends only a part.
    Misbehaving,
}

/// Kinds of the callers, assigned in turn.
const CALLER_KINDS: [CallerKind; 6] = [
    CallerKind::OneShot,
    CallerKind::KeepAlive,
    CallerKind::KeepAlive,
    CallerKind::OneShot,
    CallerKind::KeepAlive,
    CallerKind::Misbehaving,
];
/// Ways in which misbehaving callers send requests.
const MISBEHAVIOURS: [ClientBehaviour; 4] = [
    ClientBehaviour::Fragmented,
    ClientBehaviour::SlowRead,
    ClientBehaviour::CloseAfterRequest,
    ClientBehaviour::CloseMidRequest,
];

/// Starts `count` callers, one thread each; the threads end when the soak is finished.
pub(crate) fn start(shared: &Arc<Shared>, count: usize, seed: u64) -> Vec<JoinHandle<()>> {
    (0..count)
        .map(|index| {
            let shared = shared.clone();
            let caller = Caller {
                rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
                kind: CALLER_KINDS[index % CALLER_KINDS.len()],
                connections: HashMap::new(),
            };
            std::thread::spawn(move || caller.run(&shared))
        })
        .collect()
}

struct Request {
    number: u64,
    /// Query of the request's path.
    query: String,
    /// Idempotency key; empty for a request that may run more than once.
    key: String,
    /// Size of its body, beyond the few bytes that every request with a key has.
    extra_bytes: usize,
}

struct Caller {
    rng: SmallRng,
    kind: CallerKind,
    /// Kept connections by host name.
    connections: HashMap<String, Connection>,
}

impl Caller {
    /// Sends requests until the soak is finished.
    fn run(mut self, shared: &Shared) {
        while !shared.finished.load(Ordering::Relaxed) {
            if self.kind == CallerKind::KeepAlive && self.rng.random_bool(PIPELINE_SHARE) {
                self.pipeline(shared);
                let pause = Duration::from_millis(self.rng.random_range(PAUSE_MILLIS));
                std::thread::sleep(pause);
                continue;
            }
            let request = self.draw_request(shared, KEYED_SHARE);
            for attempt in 0..MAX_ATTEMPTS {
                let record = self.attempt(shared, &request, attempt > 0);
                // A truncated request is not retried: a complete retry may run under the same
                // number, so that runs of the truncated attempt could not be told apart.
                let truncated = record.connection == ConnectionUse::Truncated && attempt == 0;
                let known = truncated || record.status == 200 || record.ran == "no";
                lock(&shared.observations).requests.push(record);
                let pause = Duration::from_millis(self.rng.random_range(PAUSE_MILLIS));
                std::thread::sleep(pause);
                if known || request.key.is_empty() || shared.finished.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
    }

    fn draw_request(&mut self, shared: &Shared, keyed_share: f64) -> Request {
        let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
        // Version 7 carries the creation time, from which a daemon knows the key's age.
        let key = if self.rng.random_bool(keyed_share) {
            Uuid::now_v7().to_string()
        } else {
            String::new()
        };
        let query = if self.rng.random_bool(SLOW_SHARE) {
            format!("n={number}&work={SLOW_MILLIS}")
        } else {
            format!("n={number}")
        };
        let extra_bytes = if !key.is_empty() && self.rng.random_bool(LARGE_SHARE) {
            LARGE_BODY_BYTES
        } else {
            0
        };
        Request {
            number,
            query,
            key,
            extra_bytes,
        }
    }

    /// Sends a request to the daemon of a random host; a retry sends the same key.
    fn attempt(&mut self, shared: &Shared, request: &Request, retry: bool) -> RequestRecord {
        let host = self.draw_host(shared);
        let Request {
            number,
            query,
            key,
            extra_bytes,
        } = request;
        let keyed = !key.is_empty();
        let (service, path) = if keyed {
            ("contracts", format!("/sign?{query}"))
        } else {
            ("quoting", format!("/quote?{query}"))
        };
        let call = Call {
            service,
            path: &path,
            key,
            deadline_ms: DEADLINE.as_millis() as u64,
            extra_bytes: *extra_bytes,
            ..Call::default()
        };
        let sent = shared.elapsed();
        let (response, connection) = self.send(&host, &call);
        RequestRecord {
            number: *number,
            keyed,
            retry,
            query: query.clone(),
            host: host.name,
            connection,
            pipelined: false,
            sent,
            completed: shared.elapsed(),
            status: response.status,
            kind: response.kind,
            ran: response.ran,
            body: response.body,
        }
    }

    fn send(&mut self, host: &HostEntry, call: &Call<'_>) -> (Response, ConnectionUse) {
        match self.kind {
            CallerKind::OneShot => (request(&host.caller_address, call), ConnectionUse::New),
            CallerKind::Misbehaving => {
                let behaviour = MISBEHAVIOURS[self.rng.random_range(0..MISBEHAVIOURS.len())];
                let response = Connection::new(&host.caller_address).request(call, behaviour);
                let connection = match behaviour {
                    ClientBehaviour::CloseAfterRequest => ConnectionUse::Abandoned,
                    ClientBehaviour::CloseMidRequest => ConnectionUse::Truncated,
                    ClientBehaviour::Normal
                    | ClientBehaviour::Fragmented
                    | ClientBehaviour::SlowRead => ConnectionUse::New,
                };
                (response, connection)
            }
            CallerKind::KeepAlive => {
                let (kept, connection) = self.keep_connection(host);
                (kept.request(call, ClientBehaviour::Normal), connection)
            }
        }
    }

    /// Sends reads in one write to the daemon of a random host. The response to each is checked against
    /// its own query, so that responses in another order are found as wrong bodies.
    fn pipeline(&mut self, shared: &Shared) {
        let host = self.draw_host(shared);
        let count = self.rng.random_range(PIPELINED);
        let requests: Vec<Request> = (0..count).map(|_| self.draw_request(shared, 0.0)).collect();
        let paths: Vec<String> = requests
            .iter()
            .map(|request| format!("/quote?{}", request.query))
            .collect();
        let calls: Vec<Call<'_>> = paths
            .iter()
            .map(|path| Call {
                service: "quoting",
                path,
                deadline_ms: DEADLINE.as_millis() as u64,
                ..Call::default()
            })
            .collect();
        let sent = shared.elapsed();
        let (kept, connection) = self.keep_connection(&host);
        let responses = kept.pipeline(&calls);
        let completed = shared.elapsed();
        let mut observations = lock(&shared.observations);
        for (request, response) in requests.into_iter().zip(responses) {
            let connection = match &response {
                Some(_) => connection,
                None => ConnectionUse::Unread,
            };
            let answered = response.map(|response| RequestRecord {
                status: response.status,
                kind: response.kind,
                ran: response.ran,
                body: response.body,
                ..RequestRecord::default()
            });
            observations.requests.push(RequestRecord {
                number: request.number,
                query: request.query,
                host: host.name.clone(),
                connection,
                pipelined: true,
                sent,
                completed,
                ..answered.unwrap_or_default()
            });
        }
    }

    fn draw_host(&mut self, shared: &Shared) -> HostEntry {
        let hosts = lock(&shared.hosts);
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    /// Returns the kept connection to a host, or a new one if that is closed.
    fn keep_connection(&mut self, host: &HostEntry) -> (&mut Connection, ConnectionUse) {
        let kept = self.connections.entry(host.name.clone());
        let kept = kept.or_insert_with(|| Connection::new(&host.caller_address));
        // A restarted daemon may have another address; an open connection is used until it closes.
        if kept.is_open() {
            return (kept, ConnectionUse::Reused);
        }
        *kept = Connection::new(&host.caller_address);
        (kept, ConnectionUse::New)
    }
}
