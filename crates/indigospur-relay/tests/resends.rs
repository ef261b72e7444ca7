//! Calls that are sent to a backend server again after it refused them: which connections they get.

use indigospur_protocol::Answer;
use indigospur_relay::{
    BackendError, BackendPool, BackendResponse, HttpRequest, ResponseCheck, ResponseOwner, Reuse,
    runtime,
};
use indigospur_test_support::{Script, ScriptedBackend};
use std::sync::Arc;
use std::time::{Duration, Instant};

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Busy\r\nkeep-alive: timeout=10\r\ncontent-length: 4\r\n\r\nbusy";
const SUCCESS: &[u8] =
    b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\ncontent-length: 4\r\n\r\ndone";

fn start(script: &[u8], max_connections: u32) -> (ScriptedBackend, BackendPool) {
    let server = ScriptedBackend::start(Script::Keep(script.into()));
    let pool = BackendPool::new(server.address(), max_connections, Arc::default());
    (server, pool)
}

fn call_with(
    pool: &BackendPool,
    method: &str,
    call_id: &str,
    owner: &(dyn Fn(&Answer) -> ResponseOwner + Send + Sync),
) -> Result<BackendResponse, BackendError> {
    call_reusing(pool, method, call_id, owner, Reuse::Latest)
}

fn call_reusing(
    pool: &BackendPool,
    method: &str,
    call_id: &str,
    owner: &(dyn Fn(&Answer) -> ResponseOwner + Send + Sync),
    reuse: Reuse,
) -> Result<BackendResponse, BackendError> {
    let request = HttpRequest {
        method,
        host: "a",
        path: "/x",
        headers: &[],
        body: b"",
    };
    let check = ResponseCheck {
        call_id,
        owner,
        close_delimited: false,
    };
    runtime::block_on(pool.call(&request, check, reuse))
}

/// Sends a call; returns the number of its connection.
fn call(pool: &BackendPool, call_id: &str) -> u64 {
    let response = call_with(pool, "GET", call_id, &|_| ResponseOwner::Current);
    response.expect("there is a response").exchange.connection
}

#[test]
fn a_call_that_failed_is_never_sent_on_the_same_connection_again() {
    let (_server, pool) = start(REFUSAL, 8);
    assert_eq!(call(&pool, "first"), 1);
    assert_eq!(call(&pool, "second"), 1, "another call uses the connection");
    assert_eq!(call(&pool, "first"), 2);
    assert_eq!(
        call(&pool, "second"),
        2,
        "the last connection used is taken"
    );
    assert_eq!(call(&pool, "first"), 3);
    assert_eq!(call(&pool, "third"), 3);
    assert_eq!(call(&pool, "second"), 3);
    assert_eq!(call(&pool, "second"), 4);
}

/// A connection that has just been used may be closed behind its last response.
#[test]
fn a_call_that_must_not_run_twice_uses_the_connection_that_was_idle_longest() {
    let (_server, pool) = start(REFUSAL, 8);
    let call_longest_idle = |call_id: &str| {
        let owner = &|_: &Answer| ResponseOwner::Current;
        let response = call_reusing(&pool, "POST", call_id, owner, Reuse::Stated);
        response.expect("there is a response").exchange.connection
    };
    for connection in 1..=3 {
        assert_eq!(call(&pool, "refused"), connection);
    }
    let order: Vec<u64> = (0..5)
        .map(|number| call_longest_idle(&number.to_string()))
        .collect();
    assert_eq!(order, [1, 2, 3, 1, 2]);
    assert_eq!(call(&pool, "other"), 2, "the last connection used is taken");
    // It is passed over where it would take the same call again.
    assert_eq!(call_longest_idle("2"), 1);
}

/// A backend server that does not say how long it keeps a connection may close it at any moment.
#[test]
fn a_call_that_must_not_run_twice_uses_no_connection_of_unknown_idle_time() {
    let (_server, pool) = start(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone", 8);
    let owner = &|_: &Answer| ResponseOwner::Current;
    for connection in [1, 2, 3] {
        let response = call_reusing(&pool, "POST", "order", owner, Reuse::Stated);
        let response = response.expect("there is a response");
        assert_eq!(response.exchange.connection, connection);
    }
    assert_eq!(call(&pool, "lookup"), 3);
}

#[test]
fn a_call_that_succeeded_may_use_its_connection_again() {
    let (server, pool) = start(SUCCESS, 8);
    for _ in 0..100 {
        assert_eq!(call(&pool, "same"), 1);
    }
    assert_eq!(server.connections(), 1);
}

#[test]
fn an_idle_connection_makes_room_for_a_call_that_was_sent_on_it() {
    let (server, pool) = start(REFUSAL, 2);
    for attempt in 1..=5 {
        assert_eq!(call(&pool, "same"), attempt);
        assert!(server.connections() - server.ended() <= 3);
    }
    assert_eq!(server.connections(), 5);
}

#[test]
fn a_connection_on_which_many_calls_failed_is_replaced() {
    let (server, pool) = start(REFUSAL, 8);
    for number in 0..640 {
        call(&pool, &number.to_string());
    }
    assert_eq!(server.connections(), 10);
}

#[test]
fn a_response_that_names_no_call_is_the_last_on_its_connection() {
    let (server, pool) = start(SUCCESS, 8);
    let owners = [
        ResponseOwner::Current,
        ResponseOwner::Unnamed,
        ResponseOwner::Current,
        ResponseOwner::Unnamed,
        ResponseOwner::Unnamed,
    ];
    let connections = owners.iter().enumerate().map(|(number, owner)| {
        let response = call_with(&pool, "GET", &number.to_string(), &|_| *owner);
        response.expect("it is accepted").exchange.connection
    });
    assert_eq!(connections.collect::<Vec<_>>(), [1, 1, 2, 2, 3]);
    assert_eq!(server.connections(), 3);
}

/// Guards against calls that wait for a connection while the backend server leaves.
#[test]
fn no_call_is_sent_once_sending_has_stopped() {
    let (server, pool) = start(SUCCESS, 8);
    let now = Instant::now();
    pool.stop_sending_at(now + Duration::from_secs(60));
    assert_eq!(call(&pool, "before"), 1);
    pool.stop_sending_at(now);
    pool.stop_sending_at(now + Duration::from_secs(60));
    let requests = server.requests();
    let result = call_with(&pool, "GET", "after", &|_| ResponseOwner::Current);
    assert_eq!(result.err(), Some(BackendError::NoConnection));
    assert_eq!(server.requests(), requests);
    pool.resume_sending();
    assert_eq!(call(&pool, "resumed"), 2);
}

/// Guards against a copy of a refusal, stripped of its identifier, that counts as the answer to the
/// next call on the connection.
#[test]
fn a_response_that_names_no_call_is_skipped_where_a_call_has_failed() {
    let (server, pool) = start(REFUSAL, 8);
    assert_eq!(call(&pool, "first"), 1);
    server.set_script(Script::Keep([REFUSAL, SUCCESS].concat()));
    let owner = |answer: &Answer| match answer.status {
        200 => ResponseOwner::Current,
        _ => ResponseOwner::Unnamed,
    };
    let second = call_with(&pool, "GET", "second", &owner).expect("it is answered");
    assert_eq!(second.answer.status, 200);
    assert_eq!(
        (second.exchange.connection, second.exchange.skipped),
        (1, 1)
    );
}

#[test]
fn the_body_of_a_skipped_response_is_not_read_as_the_response_to_a_head_request() {
    let late = "HTTP/1.1 200 OK\r\nearlier: 1\r\ncontent-length: 58\r\n\r\n\
                HTTP/1.1 503 Busy\r\nrefused: 1\r\ncontent-length: 0\r\n\r\n";
    let (_server, pool) = start(late.as_bytes(), 8);
    let owner = |answer: &Answer| match answer.header("earlier") {
        Some(_) => ResponseOwner::Earlier,
        None => ResponseOwner::Current,
    };
    let response = call_with(&pool, "HEAD", "call", &owner);
    assert_eq!(response.err(), Some(BackendError::InvalidResponse));
}
