//! Pipelined requests on one connection: which run together, the order of the responses, and what
//! counts as read when the connection is closed.

use crate::support::{Caller, Server, get, gets, ok, request, wait_for};
use indigospur_relay::{Bounds, MAX_PIPELINED};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn six_gets_run_together_and_are_answered_in_order() {
    let server = Server::start();
    let paths = [
        "/gate/1", "/gate/2", "/gate/3", "/gate/4", "/gate/5", "/gate/6",
    ];
    let mut caller = Caller::connect(&server);
    caller.send(&gets(&paths));
    server.wait_running(&paths);
    assert_eq!(server.service.open_requests(), 6);
    for (index, path) in paths.iter().enumerate().rev() {
        server.open_gate(path);
        server.wait_running(&paths[..index]);
    }
    for path in paths {
        assert_eq!(caller.response(), ok(path, false));
    }
    server.wait_idle();
    caller.send(&get("/again"));
    assert_eq!(caller.response(), ok("/again", false));
}

#[test]
fn requests_that_arrive_one_by_one_run_together() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    caller.send(&get("/gate/1"));
    server.wait_running(&["/gate/1"]);
    caller.send("GET /gate/2 HT");
    caller.send("TP/1.1\r\nhost: a\r\n\r\n\r\n");
    server.wait_running(&["/gate/1", "/gate/2"]);
    server.open_gate("/gate/1");
    assert_eq!(caller.response(), ok("/gate/1", false));
    caller.send(&get("/gate/3"));
    server.wait_running(&["/gate/2", "/gate/3"]);
    server.open_gate("/gate/3");
    server.open_gate("/gate/2");
    assert_eq!(caller.response(), ok("/gate/2", false));
    assert_eq!(caller.response(), ok("/gate/3", false));
    server.wait_idle();
}

#[test]
fn an_unsafe_request_runs_alone() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let post = request("POST", "/gate/c", "", "content");
    let delete = request("DELETE", "/gate/d", "", "");
    caller.send(&(gets(&["/gate/a", "/gate/b"]) + &post + &delete + &gets(&["/gate/e", "/f"])));
    server.wait_running(&["/gate/a", "/gate/b"]);
    wait_for(|| server.service.open_requests() == 6);
    server.open_gate("/gate/b");
    server.wait_running(&["/gate/a"]);
    server.open_gate("/gate/a");
    for path in ["/gate/c", "/gate/d", "/gate/e"] {
        wait_for(|| server.started().iter().any(|started| started == path));
        server.open_gate(path);
    }
    let bodies = [
        "/gate/a",
        "/gate/b",
        "/gate/ccontent",
        "/gate/d",
        "/gate/e",
        "/f",
    ];
    for body in bodies {
        assert_eq!(caller.response(), ok(body, false));
    }
    for start in server.starts() {
        let is_unsafe = |path: &String| path == "/gate/c" || path == "/gate/d";
        let alone = start.beside.is_empty();
        assert!(alone || !is_unsafe(&start.path), "{start:?}");
        assert!(!start.beside.iter().any(is_unsafe), "{start:?}");
    }
}

#[test]
fn nothing_behind_a_request_that_asks_for_the_close_runs() {
    let server = Server::start();
    let last = request("GET", "/last", "connection: close\r\n", "");
    let behind = get("/never/1") + &request("POST", "/never/2", "", "content");
    for before in [&["/gate/1", "/gate/2"][..], &[]] {
        let mut caller = Caller::connect(&server);
        caller.send(&(gets(before) + &last + &behind));
        server.open_gate("/gate/1");
        server.open_gate("/gate/2");
        for path in before {
            assert_eq!(caller.response(), ok(path, false));
        }
        assert_eq!(caller.response(), ok("/last", true));
        assert_eq!(caller.rest(), "");
    }
    let mut started = server.started();
    started.sort();
    assert_eq!(started, ["/gate/1", "/gate/2", "/last", "/last"]);
}

#[test]
fn requests_that_are_never_read_cost_no_response_before_them() {
    let server = Server::start();
    let last = request("GET", "/last", "connection: close\r\n", "");
    let behind = get("/never").repeat(10_000);
    for before in [&["/gate/1", "/x"][..], &[]] {
        let mut caller = Caller::connect(&server);
        let mut sender = caller.stream.try_clone().expect("a descriptor is free");
        let bytes = gets(before) + &last + &behind;
        // The server need not take all of them.
        let sending = std::thread::spawn(move || sender.write_all(bytes.as_bytes()));
        wait_for(|| server.started().contains(&"/last".to_owned()));
        server.open_gate("/gate/1");
        for path in before {
            assert_eq!(caller.response(), ok(path, false));
        }
        assert_eq!(caller.response(), ok("/last", true));
        assert_eq!(caller.rest(), "", "closed without a reset");
        drop(caller);
        let _ = sending.join().expect("no panic");
    }
    assert!(!server.started().contains(&"/never".to_owned()));
}

#[test]
fn a_request_that_is_refused_unread_is_answered_behind_the_others_and_closes() {
    let server = Server::start();
    let too_large = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 999999999\r\n\r\n";
    let head_too_large = format!("GET /x HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    let cases = [
        ("garbage\r\n\r\n", 400),
        ("GET /x HTTP/1.1\r\n\r\n", 400),
        (
            "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nx\r\n",
            400,
        ),
        (too_large, 413),
        (&head_too_large, 431),
        ("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 501),
    ];
    for (index, (refused, status)) in cases.into_iter().enumerate() {
        let gate = format!("/gate/{index}");
        let mut caller = Caller::connect(&server);
        caller.send(&(gets(&[&gate, "/x"]) + refused + &get("/never")));
        wait_for(|| server.started().last().is_some_and(|last| last == "/x"));
        server.open_gate(&gate);
        assert_eq!(caller.response(), ok(&gate, false));
        assert_eq!(caller.response(), ok("/x", false));
        let refusal = caller.response();
        assert_eq!(
            (refusal.status, refusal.closes),
            (status, true),
            "{refused:.60}"
        );
        assert_eq!(caller.rest(), "", "{refused:.60}");
    }
    assert!(!server.started().contains(&"/never".to_owned()));
    server.wait_idle();
}

/// Paths of which the second is answered at once: until the size of a response is known, few run.
fn many_paths(count: usize) -> Vec<String> {
    let path = |number| match number {
        1 => "/x".to_owned(),
        _ => format!("/gate/{}", 10 + number),
    };
    (0..count).map(path).collect()
}

#[test]
fn a_stop_ends_reading_and_all_that_were_read_are_answered() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let paths = many_paths(MAX_PIPELINED + 8);
    let (read, unread) = paths.split_at(MAX_PIPELINED);
    caller.send(&paths.iter().map(|path| get(path)).collect::<String>());
    wait_for(|| server.started() == read);
    server.service.close_connections();
    assert_eq!(server.service.open_requests(), MAX_PIPELINED);
    paths.iter().for_each(|path| server.open_gate(path));
    for path in read {
        let is_last = path == &read[MAX_PIPELINED - 1];
        assert_eq!(caller.response(), ok(path, is_last));
    }
    assert_eq!(caller.rest(), "");
    assert_eq!(server.started(), read, "{unread:?} count as not read");
    server.wait_idle();
}

#[test]
fn what_arrives_after_a_stop_counts_as_not_read() {
    for stops_listening in [false, true] {
        let server = Server::start();
        let mut caller = Caller::connect(&server);
        // The second request of the last caller has not arrived whole when the stop comes.
        let mut half = Caller::connect(&server);
        caller.send(&gets(&["/gate/1", "/gate/2"]));
        half.send(&(get("/gate/3") + "POST /never HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"));
        server.wait_running(&["/gate/1", "/gate/2", "/gate/3"]);
        if stops_listening {
            server.service.stop_listening();
        } else {
            server.service.close_connections();
        }
        caller.send(&(request("POST", "/never", "", "content") + &get("/never")));
        half.send("\r\nbody");
        for path in ["/gate/2", "/gate/1", "/gate/3"] {
            server.open_gate(path);
        }
        assert_eq!(caller.response(), ok("/gate/1", false));
        assert_eq!(caller.response(), ok("/gate/2", true));
        assert_eq!(half.response(), ok("/gate/3", true));
        assert_eq!(caller.rest(), "");
        assert_eq!(half.rest(), "");
        server.wait_idle();
        assert!(!server.started().contains(&"/never".to_owned()));
    }
}

#[test]
fn a_caller_that_closes_its_connection_cancels_all_its_requests() {
    for count in [1, 6, MAX_PIPELINED, MAX_PIPELINED + 8] {
        let server = Server::start();
        let mut caller = Caller::connect(&server);
        let paths = many_paths(count);
        caller.send(&paths.iter().map(|path| get(path)).collect::<String>());
        let read = count.min(MAX_PIPELINED);
        wait_for(|| server.started().len() == read);
        let running = server.running().len();
        assert!(running >= read - 1);
        drop(caller);
        wait_for(|| server.cancelled() == running);
        server.wait_idle();
        assert_eq!(server.started().len(), read);
    }
}

/// Guards against a close that is not noticed behind more requests than are read.
#[test]
fn a_caller_that_closes_its_connection_behind_unread_requests_cancels_all_its_requests() {
    let long = format!("x: {}\r\n", "y".repeat(2_000));
    let closing = request("GET", "/gate/closing", "connection: close\r\n", "");
    let all = |count| {
        many_paths(count)
            .iter()
            .map(|path| request("GET", path, &long, ""))
            .collect::<String>()
    };
    for (bytes, read) in [
        (all(MAX_PIPELINED + 40), MAX_PIPELINED),
        (closing + &all(10), 1),
    ] {
        let server = Server::start();
        let mut caller = Caller::connect(&server);
        caller.send(&bytes);
        wait_for(|| server.started().len() == read);
        let running = server.running().len();
        drop(caller);
        wait_for(|| server.cancelled() == running);
        server.wait_idle();
        assert_eq!(server.started().len(), read);
    }
}

#[test]
fn a_request_counts_from_its_first_byte_also_behind_others() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let paths = many_paths(MAX_PIPELINED + 8);
    let before = Instant::now();
    caller.send(&paths.iter().map(|path| get(path)).collect::<String>());
    wait_for(|| server.started().len() == MAX_PIPELINED);
    let arrived = Instant::now();
    paths.iter().for_each(|path| server.open_gate(path));
    assert_eq!(caller.responses(paths.len()).len(), paths.len());
    // The last ones lay unparsed in the buffer until others were answered.
    for start in server.starts() {
        assert!(
            start.started >= before && start.started <= arrived,
            "{start:?}"
        );
    }
    // One that runs alone waits for its turn.
    caller.send(&(get("/gate/1") + &request("POST", "/post", "", "")));
    wait_for(|| server.service.open_requests() == 2);
    let arrived = Instant::now();
    server.open_gate("/gate/1");
    caller.responses(2);
    let last = server.starts().pop().expect("requests ran");
    assert_eq!(last.path, "/post");
    assert!(last.started <= arrived);
    // The next one, on the idle connection, counts from its own first byte.
    caller.send(&get("/alone"));
    caller.response();
    let last = server.starts().pop().expect("requests ran");
    assert!(last.path == "/alone" && last.started > arrived);
}

#[test]
fn a_request_does_not_count_from_the_bytes_of_one_before_it() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let first = request("GET", "/1", &format!("x: {}\r\n", "y".repeat(80)), "");
    let (last, pieces) = first.as_bytes().split_last().expect("a request");
    for piece in pieces {
        caller
            .stream
            .write_all(&[*piece])
            .expect("the server reads");
        std::thread::sleep(Duration::from_millis(1));
    }
    let behind = Instant::now();
    caller.send(&(char::from(*last).to_string() + &get("/2")));
    assert_eq!(caller.responses(2).len(), 2);
    let starts = server.starts();
    assert!(starts[0].started < behind && starts[1].started >= behind);
}

#[test]
fn a_handler_that_panics_costs_no_other_request() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    caller.send(&gets(&["/gate/1", "/panic", "/x"]));
    wait_for(|| server.started().contains(&"/x".to_owned()));
    server.open_gate("/gate/1");
    assert_eq!(caller.response(), ok("/gate/1", false));
    let refusal = caller.response();
    assert_eq!((refusal.status, refusal.closes), (500, false));
    assert_eq!(caller.response(), ok("/x", false));
}

#[test]
fn a_request_of_http_1_0_is_the_last_on_its_connection() {
    let server = Server::start();
    let old = "GET /old HTTP/1.0\r\n\r\n";
    let mut caller = Caller::connect(&server);
    caller.send(&[old, old].concat());
    assert_eq!(caller.response(), ok("/old", true));
    assert_eq!(caller.rest(), "");
    let mut caller = Caller::connect(&server);
    caller.send(&(get("/gate/1") + old + &get("/never")));
    server.open_gate("/gate/1");
    assert_eq!(caller.response(), ok("/gate/1", false));
    assert_eq!(caller.response(), ok("/old", true));
    assert_eq!(caller.rest(), "");
    assert_eq!(server.started().len(), 3);
}

#[test]
fn changed_bounds_cut_off_nothing_that_was_read() {
    let server = Server::start();
    let mut caller = Caller::connect(&server);
    let paths = ["/gate/1", "/gate/2", "/gate/3"];
    caller.send(&gets(&paths));
    server.wait_running(&paths);
    server.service.set_bounds(Bounds {
        connections: 1,
        body_bytes: 1,
        ..Bounds::default()
    });
    caller.send(&get("/more"));
    paths.iter().for_each(|path| server.open_gate(path));
    for path in ["/gate/1", "/gate/2", "/gate/3", "/more"] {
        assert_eq!(caller.response(), ok(path, false));
    }
}
