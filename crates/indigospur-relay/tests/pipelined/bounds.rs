//! Pipelined requests and the bounds of the service: memory, times and the number of connections.

use crate::support::{Caller, Server, get, gets, ok, request, wait_for};
use indigospur_relay::{BodyMemory, Bounds, MAX_PIPELINED};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

const KIB: usize = 1024;

/// Sends from a thread of its own: the server may stop reading until the caller reads.
fn send_beside(caller: &Caller, bytes: String) -> JoinHandle<()> {
    let mut sender = caller.stream.try_clone().expect("a descriptor is free");
    std::thread::spawn(move || {
        let sent = sender.write_all(bytes.as_bytes());
        sent.expect("the server reads on");
    })
}

/// Paths of requests that are answered with `bytes` bytes, which begin with the path.
fn large_paths(bytes: usize, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("/large/{bytes}/{number}"))
        .collect()
}

/// Reads the responses to the paths, in order.
fn read_large(caller: &mut Caller, paths: &[String], bytes: usize) {
    for path in paths {
        let response = caller.response();
        assert_eq!(
            (response.status, response.body.len()),
            (200, bytes),
            "{path}"
        );
        assert!(response.body.starts_with(&format!("{path}x")), "{path}");
    }
}

#[test]
fn ten_thousand_requests_in_one_write_are_answered_in_order_in_bounded_memory() {
    let memory = BodyMemory::new(KIB * KIB);
    let server = Server::start_with(Bounds::default(), memory);
    let mut caller = Caller::connect(&server);
    let paths = large_paths(32, 10_000);
    let sending = send_beside(&caller, paths.iter().map(|path| get(path)).collect());
    read_large(&mut caller, &paths, 32);
    sending.join().expect("all requests are sent");
    assert_eq!(server.started(), paths);
    for start in server.starts() {
        assert!(start.beside.len() < MAX_PIPELINED, "{start:?}");
        // Each counts its head and its response.
        assert!(start.held <= MAX_PIPELINED * 128, "{start:?}");
    }
    server.wait_idle();
}

#[test]
fn large_responses_behind_a_slow_one_wait_for_memory_and_none_is_lost() {
    const BYTES: usize = 200 * KIB;
    const LIMIT: usize = 4 * KIB * KIB;
    let server = Server::start_with(Bounds::default(), BodyMemory::new(LIMIT));
    let mut caller = Caller::connect(&server);
    let paths = large_paths(BYTES, 60);
    let requests: String = paths.iter().map(|path| get(path)).collect();
    let sending = send_beside(&caller, get("/gate/slow") + &requests);
    wait_for(|| server.memory.used() > LIMIT / 2);
    let mut other = Caller::connect(&server);
    other.send(&request("POST", "/other", "", &"y".repeat(8 * KIB)));
    assert_eq!(other.response().status, 200, "others still have memory");
    assert!(server.started().len() <= 2 + LIMIT / BYTES);
    server.open_gate("/gate/slow");
    assert_eq!(caller.response(), ok("/gate/slow", false));
    read_large(&mut caller, &paths, BYTES);
    sending.join().expect("all requests are sent");
    for start in server.starts() {
        assert!(start.held < LIMIT, "{start:?}");
    }
    server.wait_idle();
}

#[test]
fn bodies_behind_a_slow_request_wait_for_memory_and_none_is_refused() {
    const BYTES: usize = 200 * KIB;
    const LIMIT: usize = KIB * KIB;
    let bounds = Bounds {
        body_bytes: BYTES as u64,
        ..Bounds::default()
    };
    let server = Server::start_with(bounds, BodyMemory::new(LIMIT));
    let mut caller = Caller::connect(&server);
    let body = "y".repeat(BYTES);
    let posts: String = (0..20)
        .map(|number| request("POST", &format!("/{number}"), "", &body))
        .collect();
    let sending = send_beside(&caller, get("/gate/slow") + &posts);
    wait_for(|| server.memory.used() > LIMIT / 2);
    assert!(server.service.open_requests() <= 1 + LIMIT / BYTES);
    assert!(server.memory.used() < LIMIT);
    server.open_gate("/gate/slow");
    assert_eq!(caller.response(), ok("/gate/slow", false));
    for number in 0..20 {
        let response = caller.response();
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.body.starts_with(&format!("/{number}y")));
    }
    sending.join().expect("all requests are sent");
    server.wait_idle();
}

#[test]
fn long_heads_behind_a_slow_request_wait_for_memory() {
    const LIMIT: usize = 128 * KIB;
    let server = Server::start_with(Bounds::default(), BodyMemory::new(LIMIT));
    let mut caller = Caller::connect(&server);
    let field = format!("x: {}\r\n", "y".repeat(7 * KIB));
    let requests = (0..30).map(|number| request("GET", &format!("/{number}"), &field, ""));
    let sending = send_beside(&caller, get("/gate/slow") + &requests.collect::<String>());
    wait_for(|| server.memory.used() > LIMIT / 2);
    assert!(server.service.open_requests() <= 1 + LIMIT / (7 * KIB));
    server.open_gate("/gate/slow");
    assert_eq!(caller.response(), ok("/gate/slow", false));
    for number in 0..30 {
        assert_eq!(caller.response(), ok(&format!("/{number}"), false));
    }
    sending.join().expect("all requests are sent");
    assert!(server.starts().iter().all(|start| start.held < LIMIT));
    server.wait_idle();
}

#[test]
fn a_continue_is_not_sent_before_the_responses_to_earlier_requests() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let post =
        "POST /post HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    caller.send(&(gets(&["/gate/1", "/gate/2"]) + post));
    server.wait_running(&["/gate/1", "/gate/2"]);
    server.open_gate("/gate/2");
    server.wait_running(&["/gate/1"]);
    server.open_gate("/gate/1");
    assert_eq!(caller.response(), ok("/gate/1", false));
    assert_eq!(caller.response(), ok("/gate/2", false));
    assert_eq!(caller.response().status, 100);
    caller.send(&("body".to_owned() + &get("/next")));
    assert_eq!(caller.response(), ok("/postbody", false));
    assert_eq!(caller.response(), ok("/next", false));
    server.wait_idle();
}

#[test]
fn a_half_sent_request_behind_others_is_refused_once_its_time_is_over() {
    let server = Server::start_with(
        Bounds {
            message_timeout: Duration::from_millis(100),
            ..Bounds::default()
        },
        BodyMemory::default(),
    );
    let halves = [
        "GET /never HT",
        "POST /never HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf",
    ];
    for (index, half) in halves.into_iter().enumerate() {
        let gate = format!("/gate/{index}");
        let mut caller = Caller::connect(&server);
        caller.send(&(get(&gate) + half));
        // The refusal counts as an open request that waits for its turn.
        wait_for(|| server.service.open_requests() == 2);
        server.open_gate(&gate);
        assert_eq!(caller.response(), ok(&gate, false));
        let refusal = caller.response();
        assert_eq!((refusal.status, refusal.closes), (408, true));
        assert_eq!(caller.rest(), "");
        server.wait_idle();
    }
}

#[test]
fn a_request_that_is_half_sent_when_the_others_are_answered_goes_on() {
    let server = Server::start();
    for half in [
        "GET /later HT|TP/1.1\r\nhost: a\r\n\r\n",
        "POST /later HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbo|dy",
    ] {
        let (half, rest) = half.split_once('|').expect("two parts");
        let mut caller = Caller::connect(&server);
        server.open_gate("/gate/1");
        caller.send(&(get("/gate/1") + &get("/x") + half));
        assert_eq!(caller.response(), ok("/gate/1", false));
        assert_eq!(caller.response(), ok("/x", false));
        server.wait_idle();
        caller.send(rest);
        assert!(caller.response().body.starts_with("/later"));
        caller.send(&get("/again"));
        assert_eq!(caller.response(), ok("/again", false));
    }
}

#[test]
fn while_a_response_is_outstanding_the_idle_time_does_not_run() {
    let bounds = Bounds {
        idle_timeout: Duration::from_millis(50),
        ..Bounds::default()
    };
    let server = Server::start_with(bounds, BodyMemory::default());
    let mut caller = Caller::connect(&server);
    caller.send(&gets(&["/gate/1", "/x"]));
    wait_for(|| server.started().len() == 2);
    std::thread::sleep(bounds.idle_timeout * 4);
    caller.send(&get("/y"));
    wait_for(|| server.started().len() == 3);
    server.open_gate("/gate/1");
    for path in ["/gate/1", "/x", "/y"] {
        assert_eq!(caller.response(), ok(path, false));
    }
    assert_eq!(caller.rest(), "", "then it does");
}

fn connect_from(source: [u8; 4], server: &Server) -> Caller {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let source = SocketAddr::from((source, 0));
    socket.bind(&source.into()).expect("a loopback address");
    let target: SocketAddr = server.address.parse().expect("the address is valid");
    socket.connect(&target.into()).expect("it listens");
    Caller::new(TcpStream::from(socket))
}

#[test]
fn a_request_that_is_half_sent_behind_others_gives_way_once_those_are_answered() {
    const HOARDER: [u8; 4] = [127, 0, 0, 2];
    const NEIGHBOUR: [u8; 4] = [127, 0, 0, 3];
    let bounds = Bounds {
        connections: 4,
        ..Bounds::default()
    };
    let server = Server::start_with(bounds, BodyMemory::default());
    let mut hoarded: Vec<Caller> = (0..4).map(|_| connect_from(HOARDER, &server)).collect();
    for caller in &mut hoarded {
        caller.send(&(gets(&["/gate/1", "/x"]) + "POST /never HTTP/1.1\r\n"));
    }
    wait_for(|| server.started().len() == 8);
    let mut neighbour = connect_from(NEIGHBOUR, &server);
    neighbour.send(&get("/y"));
    assert_eq!(
        neighbour.response().status,
        503,
        "unanswered requests keep their connections"
    );
    server.open_gate("/gate/1");
    for caller in &mut hoarded {
        assert_eq!(caller.responses(2).len(), 2);
    }
    server.wait_idle();
    let served = || {
        let mut neighbour = connect_from(NEIGHBOUR, &server);
        neighbour.send(&get("/y"));
        neighbour.response().status == 200
    };
    wait_for(served);
    // Which of them became the oldest depends on the order of their responses.
    let is_refused = |caller: &Caller| {
        let set_nonblocking = |on| caller.stream.set_nonblocking(on);
        set_nonblocking(true).expect("the connection is open");
        let readable = caller.stream.peek(&mut [0]).is_ok();
        set_nonblocking(false).expect("the connection is open");
        readable
    };
    wait_for(|| hoarded.iter().any(is_refused));
    let refused = hoarded.iter_mut().find(|caller| is_refused(caller));
    let refusal = refused.expect("one was refused").response();
    assert_eq!((refusal.status, refusal.closes), (408, true));
}
