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
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
const LAST_REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

fn answer(status: u16, body: &str) -> Answer {
    Answer {
        status,
        headers: Vec::new(),
        body: body.as_bytes().into(),
    }
}

/// Serves each request its body, or "whole" if it has none; the service and its address.
fn serve(bounds: Bounds) -> (HttpService, String) {
    let handler: Handler = Arc::new(|received: Received| {
        assert_ne!(&*received.path, "/early", "a handler that panics at once");
        Box::pin(async move {
            assert_ne!(&*received.path, "/late", "a handler that panics as it runs");
            let status = received.path.strip_prefix("/status/");
            let status = status.and_then(|text| text.parse().ok()).unwrap_or(200);
            let body = String::from_utf8_lossy(&received.body).into_owned();
            answer(status, if body.is_empty() { "whole" } else { &body })
        })
    });
    let refuse: Refuse =
        Arc::new(|refusal: &Refusal| answer(refusal.kind.info().status, refusal.kind.name()));
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

/// Reads one answer that ends with `end`.
fn read_through(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the answer goes on");
        text.push(byte[0]);
    }
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
        connections: 8,
        ..Bounds::default()
    });
    for path in ["/early", "/late"].repeat(8) {
        let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let answered = send(&address, text.as_bytes());
        assert!(answered.starts_with("HTTP/1.1 500 "), "{path}: {answered}");
        assert!(answered.ends_with("internal"), "{path}: {answered}");
    }
    assert!(send(&address, LAST_REQUEST).ends_with("whole"));
    assert_eq!(service.open_requests(), 0);
}

#[test]
fn a_body_beyond_the_bound_is_refused_and_the_answer_is_not_lost_with_the_rest() {
    let (_service, address) = serve(Bounds::default());
    let length = 16 * 1024 * 1024;
    let head = format!("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let mut stream = connect(&address);
    stream.write_all(head.as_bytes()).expect("it is read");
    let answered = read_through(&mut stream, "body-too-large");
    assert!(answered.starts_with("HTTP/1.1 413 "), "{answered}");
    stream
        .write_all(&vec![0; length])
        .expect("a sender that looks for answers last is not reset");
    assert_eq!(read_all(&mut stream), "");
}

#[test]
fn a_refused_request_for_a_head_gets_no_body() {
    let (_service, address) = serve(Bounds::default());
    let head = b"HEAD /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n";
    let answered = send(&address, head);
    assert!(answered.starts_with("HTTP/1.1 413 "), "{answered}");
    assert!(answered.ends_with("\r\n\r\n"), "{answered}");
}

#[test]
fn a_connection_beyond_the_bound_is_told_so() {
    let (_service, address) = serve(Bounds {
        connections: 1,
        ..Bounds::default()
    });
    let mut kept = connect(&address);
    kept.write_all(REQUEST).expect("it is read");
    read_through(&mut kept, "whole");
    let answered = send(&address, REQUEST);
    assert!(answered.starts_with("HTTP/1.1 503 "), "{answered}");
    assert!(answered.contains("connection: close"), "{answered}");
    kept.write_all(LAST_REQUEST).expect("it is read");
    assert!(read_all(&mut kept).ends_with("whole"));
}

#[test]
fn a_request_that_stops_half_way_is_told_that_it_has_not_run() {
    let (_service, address) = serve(Bounds {
        message: Duration::from_millis(50),
        idle: Duration::from_secs(1),
        ..Bounds::default()
    });
    for begun in [
        &REQUEST[..12],
        b"POST /x HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf",
    ] {
        let answered = send(&address, begun);
        assert!(answered.starts_with("HTTP/1.1 408 "), "{answered}");
    }
    assert_eq!(send(&address, b"\r\n"), "", "no request has begun");
}

#[test]
fn idle_connections_end_when_the_service_stops() {
    let (service, address) = serve(Bounds::default());
    let mut kept = connect(&address);
    kept.write_all(REQUEST).expect("it is read");
    read_through(&mut kept, "whole");
    let mut silent = connect(&address);
    service.stop_listening();
    assert_eq!(read_all(&mut kept), "");
    assert_eq!(read_all(&mut silent), "");
}

#[test]
fn a_request_on_its_way_as_the_service_stops_is_answered() {
    let (service, address) = serve(Bounds::default());
    let mut kept = connect(&address);
    kept.write_all(REQUEST).expect("it is read");
    read_through(&mut kept, "whole");
    let mut fresh = connect(&address);
    service.stop_listening();
    while TcpStream::connect(&address).is_ok() {
        std::thread::sleep(Duration::from_millis(1));
    }
    for caller in [&mut kept, &mut fresh] {
        caller.write_all(LAST_REQUEST).expect("it is open");
    }
    for caller in [&mut kept, &mut fresh] {
        assert!(read_all(caller).ends_with("whole"));
    }
}

#[test]
fn a_longer_idle_time_holds_for_connections_that_are_idle_already() {
    let bounds = |idle| Bounds {
        idle,
        ..Bounds::default()
    };
    let (service, address) = serve(bounds(Duration::from_secs(1)));
    let mut kept = connect(&address);
    kept.write_all(REQUEST).expect("it is read");
    read_through(&mut kept, "whole");
    service.set_bounds(bounds(PATIENCE));
    std::thread::sleep(Duration::from_millis(1_500));
    kept.write_all(LAST_REQUEST).expect("it is open");
    assert!(read_all(&mut kept).ends_with("whole"));
}

#[test]
fn answers_without_a_body_and_bodies_in_chunks_leave_a_connection_in_step() {
    let (_service, address) = serve(Bounds::default());
    let mut stream = connect(&address);
    for (request, answered) in [
        ("HEAD /x HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"),
        (
            "GET /status/204 HTTP/1.1\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
        ),
        (
            "GET /status/304 HTTP/1.1\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\n\r\n",
        ),
        (
            "\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        ),
        (
            "PUT /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nin\r\n7\r\n pieces\r\n0\r\nt: u\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nin pieces",
        ),
        (
            "POST /x HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\nyes",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes",
        ),
    ] {
        stream.write_all(request.as_bytes()).expect("it is open");
        let mut text = vec![0; answered.len()];
        stream.read_exact(&mut text).expect("the answer goes on");
        assert_eq!(String::from_utf8_lossy(&text), answered, "{request}");
    }
}

#[test]
fn a_body_framed_in_two_ways_or_more_is_no_request() {
    let (_service, address) = serve(Bounds::default());
    for framing in [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "content-length: 3\r\ncontent-length: 4",
        "content-length: +3",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        " content-length: 3",
    ] {
        let text =
            format!("POST /x HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\nGET /y HTTP/1.1\r\n\r\n");
        let answered = send(&address, text.as_bytes());
        assert!(
            answered.starts_with("HTTP/1.1 400 "),
            "{framing}: {answered}"
        );
        assert_eq!(
            answered.matches("HTTP/1.1").count(),
            1,
            "{framing}: {answered}"
        );
    }
}

#[test]
fn a_head_within_its_bound_may_have_any_number_of_lines() {
    let (_service, address) = serve(Bounds::default());
    let lines = "a: b\r\n".repeat(1_000);
    let head = format!("GET /x HTTP/1.1\r\n{lines}connection: close\r\n\r\n");
    assert!(send(&address, head.as_bytes()).starts_with("HTTP/1.1 200 "));
    let beyond = format!("GET /x HTTP/1.1\r\n{}", "a: b\r\n".repeat(3_000));
    assert!(send(&address, beyond.as_bytes()).starts_with("HTTP/1.1 431 "));
}
