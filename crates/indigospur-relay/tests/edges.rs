//! What callers see at the edges of a listener: each request that is read is answered, whatever
//! happens around it.

use indigospur_protocol::{Answer, Refusal};
use indigospur_relay::{Bounds, Handler, HttpService, Received, Refuse, runtime, serve_http};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for anything.
const PATIENCE: Duration = Duration::from_secs(10);
const LAST_REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

fn answer(status: u16, body: &str) -> Answer {
    Answer {
        status,
        headers: Vec::new(),
        body: body.as_bytes().into(),
    }
}

/// Serves "whole" to each request, except that `/panic` panics; the service and its address.
fn serve(bounds: Bounds) -> (HttpService, String) {
    let handler: Handler = Arc::new(|received: Received| {
        assert_ne!(&*received.path, "/early", "a handler that panics at once");
        Box::pin(async move {
            assert_ne!(&*received.path, "/late", "a handler that panics as it runs");
            answer(200, "whole")
        })
    });
    let refuse: Refuse =
        Arc::new(|refusal: &Refusal| answer(refusal.kind.row().status, refusal.kind.name()));
    let service = HttpService::new(bounds, handler, refuse);
    let listener = runtime::block_on(async_std::net::TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it listens").to_string();
    runtime::spawn(serve_http(listener, service.clone()));
    (service, address)
}

fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("it is open");
    stream
}

/// Reads until the other side closes without a reset.
fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).expect("it ends cleanly");
    String::from_utf8_lossy(&text).into_owned()
}

fn send(address: &str, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("it is read");
    read_all(&mut stream)
}

#[test]
fn a_handler_that_panics_is_answered_for_and_keeps_no_connection() {
    let (service, address) = serve(Bounds {
        connections: 2,
        ..Bounds::default()
    });
    for path in ["/early", "/late", "/early", "/late"] {
        let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let answered = send(&address, text.as_bytes());
        assert!(answered.starts_with("HTTP/1.1 500 "), "{path}: {answered}");
        assert!(answered.ends_with("internal"), "{path}: {answered}");
    }
    assert!(send(&address, LAST_REQUEST).ends_with("whole"));
    assert_eq!(service.open_requests(), 0);
}
