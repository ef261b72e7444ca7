//! Callers that go on whatever fails.

use crate::checks::DEADLINE;
use crate::observed::{Asked, Observed};
use indigospur_test_support::{Call, request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 5..40;
/// Share of the requests that must run at most once.
const KEYED_SHARE: f64 = 0.3;

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

/// Starts callers; they end when the soak does.
pub(crate) fn start(shared: &Arc<Shared>, count: u64, seed: u64) -> Vec<JoinHandle<()>> {
    (0..count)
        .map(|index| {
            let shared = shared.clone();
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(index));
            std::thread::spawn(move || call_on(&shared, rng))
        })
        .collect()
}

fn call_on(shared: &Shared, mut rng: SmallRng) {
    while !shared.ended.load(Ordering::Relaxed) {
        let host = {
            let hosts = lock(&shared.hosts);
            hosts[rng.random_range(0..hosts.len())].clone()
        };
        let keyed = rng.random_bool(KEYED_SHARE);
        let asked = ask(shared, &host, keyed);
        lock(&shared.observed).asked.push(asked);
        let pause = Duration::from_millis(rng.random_range(PAUSE_MILLIS));
        std::thread::sleep(pause);
    }
}

fn ask(shared: &Shared, host: &HostEntry, keyed: bool) -> Asked {
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    // The key tells its age, as keys should.
    let key = if keyed {
        Uuid::now_v7().to_string()
    } else {
        String::new()
    };
    let (service, path) = if keyed {
        ("contracts", format!("/sign?n={number}"))
    } else {
        ("quoting", format!("/quote?n={number}"))
    };
    let call = Call {
        service,
        path: &path,
        key: &key,
        deadline_ms: DEADLINE.as_millis() as u64,
        ..Call::default()
    };
    let sent = shared.now();
    let answered = request(&host.calls, &call);
    Asked {
        number,
        keyed,
        host: host.name.clone(),
        sent,
        answered: shared.now(),
        status: answered.status,
        kind: answered.kind,
        ran: answered.ran,
        body: answered.body,
    }
}
