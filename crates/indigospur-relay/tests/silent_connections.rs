//! Connections that go silent for good: they stay open, but nothing is received on them any more, not
//! even acknowledgements, while new connections work.

use indigospur_relay::{
    BackendError, BackendPool, HttpError, HttpRequest, ResponseCheck, ResponseOwner, Reuse, get,
    runtime,
};
use indigospur_test_support::{FaultProxy, silence};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time limit of each call, far beyond the time in which silence should be noticed.
const TIMEOUT: Duration = Duration::from_secs(30);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=60\r\ncontent-length: 2\r\n\r\nok";

/// A server that answers the first `answered` requests on each connection; the connection goes silent
/// once it has received the next one. Returns its address.
fn server_that_goes_silent_after(answered: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut bytes = [0; 1024];
                for _ in 0..answered {
                    let _ = stream.read(&mut bytes);
                    let _ = stream.write_all(RESPONSE);
                }
                let _ = stream.read(&mut bytes);
                silence(&stream);
                std::thread::park();
            });
        }
    });
    address.to_string()
}

fn call(pool: &BackendPool) -> Result<u16, BackendError> {
    call_with_body(pool, &[])
}

fn call_with_body(pool: &BackendPool, body: &[u8]) -> Result<u16, BackendError> {
    let request = HttpRequest {
        method: "POST",
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
    let outcome = runtime::timeout(TIMEOUT, pool.call(&request, check, Reuse::Latest));
    let outcome = runtime::block_on(outcome).expect("the call ends within the time limit");
    outcome.map(|response| response.answer.status)
}

#[test]
fn a_request_fails_before_its_timeout_if_its_connection_goes_silent() {
    let address = server_that_goes_silent_after(0);
    let outcome = runtime::block_on(get(&address, "/poll", TIMEOUT));
    assert_eq!(outcome.err(), Some(HttpError::ConnectionLost));
}

#[test]
fn a_call_to_a_backend_server_fails_if_its_connection_goes_silent() {
    let pool = BackendPool::new(&server_that_goes_silent_after(0), 8, Arc::default());
    assert_eq!(call(&pool), Err(BackendError::ConnectionLost));
}

/// Guards against uploads that are broken off because a closed receive window counts as silence. The
/// connection goes silent after the first call, which the second one must notice.
#[test]
fn a_long_request_that_a_backend_server_reads_late_is_answered() {
    const BODY_BYTES: usize = 8 * 1024 * 1024;
    const NOT_READING: Duration = Duration::from_secs(4);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the pool connects");
        let mut bytes = vec![0; 64 * 1024];
        let mut received = stream.read(&mut bytes).expect("the head arrives");
        std::thread::sleep(NOT_READING);
        while received < BODY_BYTES {
            match stream.read(&mut bytes) {
                Ok(count) if count > 0 => received += count,
                _ => return,
            }
        }
        let _ = stream.write_all(RESPONSE);
        let _ = stream.read(&mut bytes);
        silence(&stream);
        std::thread::park();
    });
    let pool = BackendPool::new(&address.to_string(), 1, Arc::default());
    assert_eq!(call_with_body(&pool, &vec![b'p'; BODY_BYTES]), Ok(200));
    assert_eq!(call(&pool), Err(BackendError::ConnectionLost));
}

#[test]
fn a_call_on_an_idle_connection_that_went_silent_fails_and_the_next_one_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let mut bytes = [0; 1024];
                while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {
                    let _ = stream.write_all(RESPONSE);
                }
            });
        }
    });
    let proxy = FaultProxy::start();
    proxy.set_target(&address.to_string());
    let pool = BackendPool::new(&proxy.address, 8, Arc::default());
    assert_eq!(call(&pool), Ok(200));
    proxy.silence_open_connections();
    assert_eq!(call(&pool), Err(BackendError::ConnectionLost));
    assert_eq!(call(&pool), Ok(200));
    assert_eq!(accepted.load(Ordering::Relaxed), 2, "connections");
}
