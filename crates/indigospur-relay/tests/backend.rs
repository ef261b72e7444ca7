//! Backend servers that use HTTP in every way it allows, and some that it does not.

use indigospur_protocol::Answer;
use indigospur_relay::{BackendError, BackendPool, HttpRequest, Judge, Owner, runtime};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// A backend server that treats each connection by `script`, and how many it had.
struct Raw {
    pool: BackendPool,
    connections: Arc<AtomicUsize>,
}

impl Raw {
    fn start(script: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> Raw {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it listens").to_string();
        let connections: Arc<AtomicUsize> = Arc::default();
        let (counted, script) = (connections.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::Relaxed);
                let script = script.clone();
                std::thread::spawn(move || script(&mut stream));
            }
        });
        Raw {
            pool: BackendPool::new(&address, 8),
            connections,
        }
    }

    /// A backend server that gives the same bytes to each request.
    fn answering(bytes: String) -> Raw {
        Raw::start(
            move |stream| {
                while read_head(stream) && stream.write_all(bytes.as_bytes()).is_ok() {}
            },
        )
    }

    fn call(&self, body: &[u8]) -> Result<Answer, BackendError> {
        let request = HttpRequest {
            method: if body.is_empty() { "GET" } else { "POST" },
            host: "a",
            path: "/x",
            headers: &[],
            body,
        };
        let judge = Judge {
            owner: &|_| Owner::Own,
            unframed: false,
        };
        let answered = runtime::within(PATIENCE, self.pool.call(&request, judge));
        runtime::block_on(answered).expect("it ends in time")
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

fn with_header(header: &str) -> String {
    WHOLE.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

fn is_whole(answered: Result<Answer, BackendError>) -> bool {
    answered.is_ok_and(|answer| &*answer.body == b"whole")
}

#[test]
fn any_idle_time_that_a_backend_server_states_is_taken() {
    for seconds in [
        "0",
        "1",
        "18446744073709551615",
        "99999999999999999999999",
        "-1",
        "x",
    ] {
        let raw = Raw::answering(with_header(&format!("keep-alive: timeout={seconds}")));
        assert!(is_whole(raw.call(b"")), "{seconds}");
        assert!(is_whole(raw.call(b"")), "{seconds}");
    }
}

#[test]
fn a_backend_server_that_says_often_that_it_is_at_work_is_waited_for() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(50);
    let raw = Raw::answering(format!("{interim}{WHOLE}"));
    assert!(is_whole(raw.call(b"")));
}

#[test]
fn an_answer_counts_though_the_body_of_its_request_is_not_read() {
    let long = vec![b'x'; 64 * 1024 * 1024];
    let raw = Raw::start(|stream| {
        read_head(stream);
        let _ = stream.write_all(WHOLE.as_bytes());
        // Reads on only when the caller is done with the connection.
        std::thread::sleep(PATIENCE * 2);
    });
    assert!(is_whole(raw.call(&long)));
}

#[test]
fn the_rest_of_a_body_is_the_rest_of_that_body() {
    let long: Vec<u8> = (0..64 * 1024 * 1024_u32)
        .map(|at| (at % 251) as u8)
        .collect();
    let expected = long.clone();
    let (sender, outcome) = std::sync::mpsc::channel();
    let sender = std::sync::Mutex::new(sender);
    let raw = Raw::start(move |stream| {
        read_head(stream);
        let _ = stream.write_all(WHOLE.as_bytes());
        std::thread::sleep(Duration::from_millis(300));
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        let sender = sender.lock().expect("no panic");
        let _ = sender.send(expected.starts_with(&rest));
    });
    assert!(is_whole(raw.call(&long)));
    assert!(raw.connections() == 1);
    drop(raw);
    assert!(outcome.recv().expect("the backend server ends"));
}

#[test]
fn a_status_outside_of_http_is_no_answer() {
    for status in ["000", "099"] {
        let raw = Raw::answering(WHOLE.replacen("200", status, 1));
        assert!(raw.call(b"").is_err(), "{status}");
    }
}

#[test]
fn a_connection_that_its_backend_server_ends_is_not_used_again() {
    for (header, connections) in [("connection: close", 2), ("keep-alive: timeout=30", 1)] {
        let raw = Raw::answering(with_header(header));
        assert!(is_whole(raw.call(b"")), "{header}");
        assert!(is_whole(raw.call(b"")), "{header}");
        assert_eq!(raw.connections(), connections, "{header}");
    }
}

#[test]
fn a_connection_whose_idle_time_is_not_stated_is_used_again_only_at_once() {
    let raw = Raw::answering(WHOLE.to_owned());
    assert!(is_whole(raw.call(b"")));
    std::thread::sleep(Duration::from_secs(1));
    assert!(is_whole(raw.call(b"")));
    assert_eq!(raw.connections(), 2);
}

#[test]
fn bytes_that_are_no_answer_are_told_from_a_connection_that_broke() {
    let garbage = Raw::answering("\u{1}\u{2}garbage\r\n\r\n".to_owned());
    assert_eq!(garbage.call(b""), Err(BackendError::BadAnswer));
    let broken = Raw::start(|stream| {
        read_head(stream);
        let _ = stream.write_all(&WHOLE.as_bytes()[..12]);
    });
    assert_eq!(broken.call(b""), Err(BackendError::Broken));
}
