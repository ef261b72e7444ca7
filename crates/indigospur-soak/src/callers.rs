//! Callers that go on whatever fails.

use crate::checks::DEADLINE;
use crate::observed::{Asked, Observed, Use};
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
/// Share of the requests that must run at most once.
const KEYED_SHARE: f64 = 0.3;

/// Share of the requests that take long, so that stops meet calls that run.
const LONG_SHARE: f64 = 0.06;
/// Time that these take at the first backend server, in milliseconds.
const LONG_MILLIS: u64 = 1_500;
/// Times that a request with a key is asked until someone tells whether it ran.
const MOST_TIMES: usize = 4;

/// What callers, the monitor and the soak share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) begun: Instant,
    pub(crate) observed: Mutex<Observed>,
    /// Name, address for callers, admin address and starts of each host's daemon.
    pub(crate) hosts: Mutex<Vec<HostEntry>>,
    pub(crate) ended: AtomicBool,
    next: AtomicU64,
}

/// Where a host's daemon is now.
#[derive(Clone, Debug)]
pub(crate) struct HostEntry {
    pub(crate) name: String,
    pub(crate) calls: String,
    pub(crate) admin: String,
    pub(crate) start: u32,
}

/// Locks a mutex; a panic elsewhere does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn new(hosts: Vec<HostEntry>) -> Arc<Shared> {
        Arc::new(Shared {
            begun: Instant::now(),
            observed: Mutex::default(),
            hosts: Mutex::new(hosts),
            ended: AtomicBool::new(false),
            next: AtomicU64::new(1),
        })
    }

    pub(crate) fn now(&self) -> Duration {
        self.begun.elapsed()
    }
}

/// What a caller does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Opens one for each request.
    Fresh,
    /// Keeps one to each host and uses it until the other end closes.
    Keeps,
    /// Leaves early, reads slowly, sends in pieces or breaks off.
    Odd,
}

/// Habits of the callers, in turn.
const HABITS: [Habit; 6] = [
    Habit::Fresh,
    Habit::Keeps,
    Habit::Keeps,
    Habit::Fresh,
    Habit::Keeps,
    Habit::Odd,
];
/// Ways in which odd callers ask.
const ODD: [ClientBehaviour; 4] = [
    ClientBehaviour::Fragmented,
    ClientBehaviour::SlowRead,
    ClientBehaviour::CloseAfterRequest,
    ClientBehaviour::CloseMidRequest,
];

/// Starts callers; they end when the soak does.
pub(crate) fn start(shared: &Arc<Shared>, count: usize, seed: u64) -> Vec<JoinHandle<()>> {
    (0..count)
        .map(|index| {
            let shared = shared.clone();
            let caller = Caller {
                rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
                habit: HABITS[index % HABITS.len()],
                kept: HashMap::new(),
            };
            std::thread::spawn(move || caller.call_on(&shared))
        })
        .collect()
}

/// What a caller asks for.
struct Request {
    number: u64,
    /// Query of its path.
    query: String,
    /// Empty for a request that may run more than once.
    key: String,
}

struct Caller {
    rng: SmallRng,
    habit: Habit,
    /// Connections by the name of the host.
    kept: HashMap<String, Connection>,
}

impl Caller {
    fn call_on(mut self, shared: &Shared) {
        while !shared.ended.load(Ordering::Relaxed) {
            let request = self.draw_request(shared);
            for time in 0..MOST_TIMES {
                let asked = self.ask(shared, &request, time > 0);
                // A part of a request that is not sent whole later must not run.
                let over = asked.connection == Use::Part && time == 0;
                let known = over || asked.status == 200 || asked.ran == "no";
                lock(&shared.observed).asked.push(asked);
                let pause = Duration::from_millis(self.rng.random_range(PAUSE_MILLIS));
                std::thread::sleep(pause);
                if known || request.key.is_empty() || shared.ended.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
    }

    fn draw_request(&mut self, shared: &Shared) -> Request {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        // The key tells its age, as keys should.
        let key = if self.rng.random_bool(KEYED_SHARE) {
            Uuid::now_v7().to_string()
        } else {
            String::new()
        };
        let query = if self.rng.random_bool(LONG_SHARE) {
            format!("n={number}&work={LONG_MILLIS}")
        } else {
            format!("n={number}")
        };
        Request { number, query, key }
    }

    /// Asks some host; with the same key again if nobody told whether the request ran.
    fn ask(&mut self, shared: &Shared, request: &Request, again: bool) -> Asked {
        let host = {
            let hosts = lock(&shared.hosts);
            hosts[self.rng.random_range(0..hosts.len())].clone()
        };
        let Request { number, query, key } = request;
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
            ..Call::default()
        };
        let sent = shared.now();
        let (answered, connection) = self.send(&host, &call);
        Asked {
            number: *number,
            keyed,
            again,
            query: query.clone(),
            host: host.name,
            connection,
            sent,
            answered: shared.now(),
            status: answered.status,
            kind: answered.kind,
            ran: answered.ran,
            body: answered.body,
        }
    }

    fn send(&mut self, host: &HostEntry, call: &Call<'_>) -> (Response, Use) {
        match self.habit {
            Habit::Fresh => (request(&host.calls, call), Use::Fresh),
            Habit::Odd => {
                let manner = ODD[self.rng.random_range(0..ODD.len())];
                let answered = Connection::new(&host.calls).request(call, manner);
                let connection = match manner {
                    ClientBehaviour::CloseAfterRequest => Use::Left,
                    ClientBehaviour::CloseMidRequest => Use::Part,
                    ClientBehaviour::Normal
                    | ClientBehaviour::Fragmented
                    | ClientBehaviour::SlowRead => Use::Fresh,
                };
                (answered, connection)
            }
            Habit::Keeps => {
                let name = host.name.clone();
                let kept = self.kept.entry(name);
                let kept = kept.or_insert_with(|| Connection::new(&host.calls));
                // A daemon that started again elsewhere: the old connection serves while it can.
                if !kept.is_open() {
                    *kept = Connection::new(&host.calls);
                }
                let connection = if kept.is_open() {
                    Use::Kept
                } else {
                    Use::Fresh
                };
                (kept.request(call, ClientBehaviour::Normal), connection)
            }
        }
    }
}
