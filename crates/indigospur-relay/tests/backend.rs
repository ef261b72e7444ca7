//! Backend servers that use unusual but valid HTTP/1.1, and some that violate it.

use indigospur_protocol::Answer;
use indigospur_relay::{
    BackendError, BackendPool, HttpRequest, ResponseCheck, ResponseOwner, Reuse, runtime,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time limit for each call.
const TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// A backend server that runs a script on each connection, and the pool of connections to it.
struct ScriptedBackend {
    pool: BackendPool,
    /// Connections accepted.
    connections: Arc<AtomicUsize>,
}

impl ScriptedBackend {
    fn start(script: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> ScriptedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the listener has an address")
            .to_string();
        let connections: Arc<AtomicUsize> = Arc::default();
        let (counter, script) = (connections.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                let script = script.clone();
                std::thread::spawn(move || script(&mut stream));
            }
        });
        ScriptedBackend {
            pool: BackendPool::new(&address, 8, Arc::default()),
            connections,
        }
    }

    /// Starts a backend server that sends the same bytes in response to each request.
    fn responding(bytes: String) -> ScriptedBackend {
        ScriptedBackend::start(move |stream| {
            while read_head(stream) && stream.write_all(bytes.as_bytes()).is_ok() {}
        })
    }

    fn call(&self, body: &[u8]) -> Result<Answer, BackendError> {
        let request = HttpRequest {
            method: if body.is_empty() { "GET" } else { "POST" },
            host: "a",
            path: "/x",
            headers: &[],
            body,
        };
        let check = ResponseCheck {
            call_id: "call",
            owner: &|_| ResponseOwner::Current,
            close_delimited: false,
        };
        let outcome = runtime::timeout(TIMEOUT, self.pool.call(&request, check, Reuse::Latest));
        let outcome = runtime::block_on(outcome).expect("the call ends within the time limit");
        outcome.map(|response| response.answer)
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn with_field(field: &str) -> String {
    RESPONSE.replacen("\r\n", &format!("\r\n{field}\r\n"), 1)
}

fn is_whole(outcome: Result<Answer, BackendError>) -> bool {
    outcome.is_ok_and(|response| &*response.body == b"whole")
}

#[test]
fn any_keep_alive_timeout_is_accepted_even_an_invalid_one() {
    for seconds in [
        "0",
        "1",
        "18446744073709551615",
        "99999999999999999999999",
        "-1",
        "x",
    ] {
        let backend =
            ScriptedBackend::responding(with_field(&format!("keep-alive: timeout={seconds}")));
        assert!(is_whole(backend.call(b"")), "{seconds}");
        assert!(is_whole(backend.call(b"")), "{seconds}");
    }
}

#[test]
fn any_number_of_interim_responses_is_skipped() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(50);
    let backend = ScriptedBackend::responding(format!("{interim}{RESPONSE}"));
    assert!(is_whole(backend.call(b"")));
}

#[test]
fn a_response_is_accepted_though_the_request_body_is_not_read() {
    let body = vec![b'x'; 64 * 1024 * 1024];
    let backend = ScriptedBackend::start(|stream| {
        read_head(stream);
        let _ = stream.write_all(RESPONSE.as_bytes());
        // Keeps the connection open, without reading, until after the call.
        std::thread::sleep(TIMEOUT * 2);
    });
    assert!(is_whole(backend.call(&body)));
}

#[test]
fn after_an_early_response_nothing_but_the_rest_of_the_request_body_is_sent() {
    let body: Vec<u8> = (0..64 * 1024 * 1024_u32)
        .map(|index| (index % 251) as u8)
        .collect();
    let expected = body.clone();
    let (sender, outcome) = std::sync::mpsc::channel();
    let sender = std::sync::Mutex::new(sender);
    let backend = ScriptedBackend::start(move |stream| {
        read_head(stream);
        let _ = stream.write_all(RESPONSE.as_bytes());
        std::thread::sleep(Duration::from_millis(300));
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        let sender = sender.lock().expect("no panic");
        let _ = sender.send(expected.starts_with(&rest));
    });
    assert!(is_whole(backend.call(&body)));
    assert!(backend.connections() == 1);
    drop(backend);
    assert!(outcome.recv().expect("the backend server ends"));
}

#[test]
fn a_status_below_100_is_an_error() {
    for status in ["000", "099"] {
        let backend = ScriptedBackend::responding(RESPONSE.replacen("200", status, 1));
        assert!(backend.call(b"").is_err(), "{status}");
    }
}

#[test]
fn a_connection_is_reused_unless_the_response_has_connection_close() {
    for (field, connections) in [("connection: close", 2), ("keep-alive: timeout=30", 1)] {
        let backend = ScriptedBackend::responding(with_field(field));
        assert!(is_whole(backend.call(b"")), "{field}");
        assert!(is_whole(backend.call(b"")), "{field}");
        assert_eq!(backend.connections(), connections, "{field}");
    }
}

#[test]
fn a_connection_without_a_stated_idle_time_is_not_reused_after_a_second() {
    let backend = ScriptedBackend::responding(RESPONSE.to_owned());
    assert!(is_whole(backend.call(b"")));
    std::thread::sleep(Duration::from_secs(1));
    assert!(is_whole(backend.call(b"")));
    assert_eq!(backend.connections(), 2);
}

#[test]
fn an_invalid_response_and_a_truncated_head_are_different_errors() {
    let garbage = ScriptedBackend::responding("\u{1}\u{2}garbage\r\n\r\n".to_owned());
    assert_eq!(garbage.call(b""), Err(BackendError::InvalidResponse));
    let truncated = ScriptedBackend::start(|stream| {
        read_head(stream);
        let _ = stream.write_all(&RESPONSE.as_bytes()[..12]);
    });
    assert_eq!(truncated.call(b""), Err(BackendError::ConnectionLost));
}

#[test]
fn a_response_head_that_contains_another_status_line_is_invalid() {
    for joined in [
        "HTTP/1.1 421 MisHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 503 Busy\r\nretry-after: 0.5HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
    ] {
        let backend = ScriptedBackend::responding(joined.to_owned());
        assert_eq!(
            backend.call(b""),
            Err(BackendError::InvalidResponse),
            "{joined}"
        );
    }
    for field in [
        "via: HTTP/1.1 proxy",
        "upgrade: HTTP/2.0, h2c",
        "x: HTTP/1.1 20",
    ] {
        let backend = ScriptedBackend::responding(with_field(field));
        assert!(is_whole(backend.call(b"")), "{field}");
    }
}
