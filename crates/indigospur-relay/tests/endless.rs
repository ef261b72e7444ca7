//! Backend servers that send bytes without end: each call to one fails within its bounds, and calls to
//! others are answered meanwhile, on one executor thread.

use indigospur_protocol::Answer;
use indigospur_relay::{
    BackendError, BackendPool, BodyMemory, HttpRequest, ResponseCheck, ResponseOwner, Reuse, get,
    runtime,
};
use indigospur_test_support::{Script, ScriptedBackend};
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

/// Time limit for each call. Held up by an endless response, a call would take for ever.
const TIMEOUT: Duration = Duration::from_secs(20);
const KIB: usize = 1024;
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Way in which a response doesn't end: what is sent once, and what is repeated until the connection
/// is closed.
struct Endless {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

const ENDLESS: [Endless; 10] = [
    Endless {
        name: "interim responses",
        start: "",
        repeated: "HTTP/1.1 102 Processing\r\n\r\n",
    },
    Endless {
        name: "head",
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x-field: value\r\n",
    },
    Endless {
        name: "one field",
        start: "HTTP/1.1 200 OK\r\nx-field: ",
        repeated: "value",
    },
    Endless {
        name: "body without a length",
        start: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: "content",
    },
    Endless {
        name: "chunks",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "10\r\n0123456789abcdef\r\n",
    },
    Endless {
        name: "chunks of one byte with extensions",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "1;extension=0123456789abcdef0123456789abcdef0123456789\r\nx\r\n",
    },
    Endless {
        name: "chunk header",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        repeated: "extension",
    },
    Endless {
        name: "trailers",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "x: y\r\n",
    },
    Endless {
        name: "junk",
        start: "",
        repeated: "\u{1}\u{2}no answer\u{3}",
    },
    Endless {
        name: "responses to other calls",
        start: "",
        repeated: "HTTP/1.1 200 OK\r\nearlier: yes\r\ncontent-length: 1\r\n\r\nx",
    },
];

fn pool(server: &ScriptedBackend, memory: &Arc<BodyMemory>) -> Arc<BackendPool> {
    Arc::new(BackendPool::new(server.address(), 256, memory.clone()))
}

/// Has one executor thread run all tasks, as in the daemon.
fn use_one_thread() {
    static SET: Once = Once::new();
    SET.call_once(|| runtime::set_threads(1));
}

/// Starts a call on the executor. Its outcome arrives on the channel.
fn start_call(pool: &Arc<BackendPool>) -> Receiver<Result<Answer, BackendError>> {
    use_one_thread();
    let (sender, outcome) = channel();
    let pool = pool.clone();
    runtime::spawn(async move {
        let request = HttpRequest {
            method: "GET",
            host: "a",
            path: "/x",
            headers: &[],
            body: b"",
        };
        let check = ResponseCheck {
            call_id: "call",
            owner: &|answer| match answer.header("earlier") {
                Some(_) => ResponseOwner::Earlier,
                None => ResponseOwner::Current,
            },
            close_delimited: true,
        };
        let outcome = pool.call(&request, check, Reuse::Latest).await;
        let _ = sender.send(outcome.map(|response| response.answer));
    });
    outcome
}

fn outcome(
    call: &Receiver<Result<Answer, BackendError>>,
    name: &str,
) -> Result<Answer, BackendError> {
    let received = call.recv_timeout(TIMEOUT);
    received.unwrap_or_else(|_| panic!("{name}: the call does not end"))
}

fn assert_whole(call: &Receiver<Result<Answer, BackendError>>, name: &str) {
    let answer = outcome(call, name).expect(name);
    assert_eq!(&*answer.body, b"whole", "{name}");
}

fn wait_until_ended(server: &ScriptedBackend, connections: usize, name: &str) {
    let give_up = Instant::now() + TIMEOUT;
    while server.ended() < connections {
        assert!(give_up > Instant::now(), "{name}: still open");
        std::thread::yield_now();
    }
}

#[test]
fn a_response_without_end_fails_its_call_and_holds_up_no_other() {
    for endless in &ENDLESS {
        let memory: Arc<BodyMemory> = Arc::default();
        let server = ScriptedBackend::start(Script::endless(endless.start, endless.repeated));
        let healthy = ScriptedBackend::start(Script::Keep(WHOLE.into()));
        let (pool, healthy_pool) = (pool(&server, &memory), pool(&healthy, &memory));
        let calls: Vec<_> = (0..8).map(|_| start_call(&pool)).collect();
        for _ in 0..8 {
            assert_whole(&start_call(&healthy_pool), endless.name);
        }
        for call in &calls {
            let failed = outcome(call, endless.name);
            assert_eq!(
                failed.err(),
                Some(BackendError::InvalidResponse),
                "{}",
                endless.name
            );
        }
        wait_until_ended(&server, calls.len(), endless.name);
        assert_eq!(memory.used(), 0, "{}", endless.name);
    }
}

#[test]
fn a_response_without_end_fails_a_request_on_a_connection_of_its_own() {
    use_one_thread();
    for endless in &ENDLESS {
        let server = ScriptedBackend::start(Script::endless(endless.start, endless.repeated));
        let (sender, outcome) = channel();
        let address = server.address().to_owned();
        runtime::spawn(async move {
            let _ = sender.send(get(&address, "/x", TIMEOUT).await);
        });
        let outcome = outcome.recv_timeout(TIMEOUT).expect(endless.name);
        let is_earlier = endless.name == "responses to other calls";
        assert_eq!(outcome.is_ok(), is_earlier, "{}: {outcome:?}", endless.name);
        wait_until_ended(&server, 1, endless.name);
    }
}

#[test]
fn bytes_without_end_after_a_response_belong_to_no_call() {
    let whole = String::from_utf8_lossy(WHOLE);
    // The first further byte is written together with the response: one that arrives after the next request
    // was sent can't be told from the start of its response.
    let server = ScriptedBackend::start(Script::endless(&format!("{whole}x"), "x"));
    let pool = pool(&server, &Arc::default());
    for _ in 0..4 {
        assert_whole(&start_call(&pool), "a call");
    }
    // The last one may still be idle: what arrives after its response is noticed at the next call.
    wait_until_ended(&server, 3, "a connection with further bytes");
}

/// A backend server that sends bytes without end on each connection, whether or not a request arrives.
/// Returns its address and the number of connections that have ended.
fn start_unasked() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let ended: Arc<AtomicUsize> = Arc::default();
    let counter = ended.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counter = counter.clone();
            std::thread::spawn(move || {
                while stream.write_all(&[b'x'; 4 * KIB]).is_ok() {}
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (address.to_string(), ended)
}

#[test]
fn unasked_bytes_without_end_are_not_read_by_checks_and_fail_calls() {
    const CHECKS: usize = 100;
    let (address, ended) = start_unasked();
    let memory: Arc<BodyMemory> = Arc::default();
    let pool = Arc::new(BackendPool::new(&address, 256, memory.clone()));
    let calls: Vec<_> = (0..8).map(|_| start_call(&pool)).collect();
    for _ in 0..CHECKS {
        let (sender, outcome) = channel();
        let pool = pool.clone();
        runtime::spawn(async move {
            let _ = sender.send(pool.accepts_connections().await);
        });
        assert_eq!(outcome.recv_timeout(TIMEOUT), Ok(true));
    }
    for call in &calls {
        let failed = outcome(call, "unasked bytes");
        assert_eq!(failed.err(), Some(BackendError::InvalidResponse));
    }
    let give_up = Instant::now() + TIMEOUT;
    while ended.load(Ordering::Relaxed) < CHECKS + calls.len() {
        assert!(give_up > Instant::now(), "a connection is still open");
        std::thread::yield_now();
    }
    assert_eq!(memory.used(), 0);
}

#[test]
fn responses_that_stall_within_the_bounds_use_no_more_memory_than_all_bodies_may() {
    const LIMIT: usize = 2 * KIB * KIB;
    const CALLS: usize = 40;
    let memory = Arc::new(BodyMemory::new(LIMIT));
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n";
    let content = "x".repeat(900 * KIB);
    let stalling = ScriptedBackend::start(Script::Keep(format!("{head}{content}").into()));
    let healthy = ScriptedBackend::start(Script::Keep(WHOLE.into()));
    let stalling_pool = pool(&stalling, &memory);
    let calls: Vec<_> = (0..CALLS).map(|_| start_call(&stalling_pool)).collect();
    // Two responses fit; the connections of the others are closed.
    wait_until_ended(&stalling, CALLS - 2, "a response beyond the memory");
    assert!(memory.used() <= LIMIT, "{}", memory.used());
    assert!(memory.used() > LIMIT / 2, "{}", memory.used());
    assert_whole(&start_call(&pool(&healthy, &memory)), "a small response");
    let failed = calls.iter().filter_map(|call| call.try_recv().ok());
    assert!(failed.clone().count() >= CALLS - 2);
    for outcome in failed {
        assert_eq!(outcome.err(), Some(BackendError::InvalidResponse));
    }
}
