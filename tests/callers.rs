//! The callers' edge: bad input, pipelining, and answers that are not whole or not one's own.

use indigospur_test_support::{
    Call, Node, Script, ScriptedBackend, ServicePlan, Site, SitePlan, get, request, wait_until,
};
use std::io::{Read, Write};
use std::net::TcpStream;

fn one_service() -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_serves(node: &Node) {
    let call = Call {
        service: "accounts",
        path: "/x",
        ..Call::default()
    };
    assert_eq!(request(&node.caller_address(), &call).status, 200);
}

#[test]
fn bad_input_is_refused_with_a_kind_of_the_closed_list_and_never_runs() {
    let site = one_service();
    let node = &site.nodes[0];
    let line = "GET /x HTTP/1.1\r\nhost: accounts\r\nconnection: close\r\n";
    let large_head = format!("{line}x: {}\r\n\r\n", "y".repeat(20_000));
    let cases: Vec<(String, &str)> = vec![
        ("garbage\r\n\r\n".into(), "bad-request"),
        (
            "GET /x HTTP/1.1\r\nno colon here\r\n\r\n".into(),
            "bad-request",
        ),
        (format!("{line}content-length: x\r\n\r\n"), "bad-request"),
        (large_head, "head-too-large"),
        (
            format!("{line}content-length: 99999999\r\n\r\n"),
            "body-too-large",
        ),
        (
            format!("{line}indigospur-deadline-ms: soon\r\n\r\n"),
            "bad-deadline",
        ),
        (
            format!("{line}indigospur-deadline-ms: 0\r\n\r\n"),
            "bad-deadline",
        ),
        (
            format!("{line}indigospur-service: no/such\r\n\r\n"),
            "unknown-service",
        ),
        (
            format!("{line}indigospur-service: nowhere\r\n\r\n"),
            "unknown-service",
        ),
        (
            format!("{line}indigospur-customer: {}\r\n\r\n", "c".repeat(200)),
            "bad-request",
        ),
        (
            format!("{line}indigospur-call: made-up\r\n\r\n"),
            "cancelled",
        ),
    ];
    for (bytes, kind) in cases {
        let answer = send_raw(&node.caller_address(), bytes.as_bytes());
        assert!(
            answer.contains(&format!("indigospur-kind: {kind}")),
            "{bytes:.60} gave {answer}"
        );
        assert!(answer.contains("indigospur-ran: no"), "{answer}");
    }
    assert!(node.journal().is_empty());
    assert_serves(node);
}

#[test]
fn garbage_on_the_port_of_the_daemons_harms_nobody() {
    let site = one_service();
    let node = &site.nodes[0];
    for bytes in [
        &b"garbage"[..],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff",
    ] {
        let mut stream =
            TcpStream::connect(node.daemon.address("peers")).expect("the daemon listens");
        stream.write_all(bytes).expect("it reads");
    }
    assert_serves(node);
}

#[test]
fn pipelined_requests_get_their_own_answers_in_order() {
    let site = one_service();
    let one =
        |path: &str, more: &str| format!("GET {path} HTTP/1.1\r\nhost: accounts\r\n{more}\r\n");
    let bytes = one("/1?work=30", "") + &one("/2?work=1", "") + &one("/3", "connection: close\r\n");
    let answer = send_raw(&site.nodes[0].caller_address(), bytes.as_bytes());
    let places: Vec<usize> = [
        "accounts/1?work=30()",
        "accounts/2?work=1()",
        "accounts/3()",
    ]
    .iter()
    .map(|body| {
        answer
            .find(body)
            .unwrap_or_else(|| panic!("{body} is missing in {answer}"))
    })
    .collect();
    assert!(places.is_sorted(), "{places:?}");
}

fn answer(head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}").into_bytes()
}

/// A daemon whose backend server answers scripted bytes.
fn with_raw_backend(script: Script) -> (Site, ScriptedBackend) {
    let mut site = one_service();
    let raw = ScriptedBackend::start(script);
    let node = site.node("accounts-0");
    node.backend.kill();
    let admin = node.admin_address();
    wait_until("the daemon has noticed", || {
        !get(&admin, "/status").body.contains("\"limit\":32")
    });
    raw.announce(&admin, "accounts");
    (site, raw)
}

#[test]
fn an_answer_that_is_not_whole_or_not_its_own_is_never_passed_off_as_whole() {
    let (site, raw) = with_raw_backend(Script::Keep(Vec::new()));
    let cases = [
        (answer("content-length: 10\r\n", "short"), "bad-answer"),
        (answer("", "no length"), "bad-answer"),
        (
            answer("transfer-encoding: chunked\r\n", "5\r\nhel"),
            "bad-answer",
        ),
        (
            answer("content-length: 2\r\ncontent-length: 3\r\n", "abc"),
            "bad-answer",
        ),
        (
            answer("content-length: 2\r\nindigospur-call: other\r\n", "ok"),
            "bad-answer",
        ),
        (b"HTTP/1.1 200 OK\r\ncontent-le".to_vec(), "link-lost"),
        (b"SSH-2.0-x\r\n".to_vec(), "bad-answer"),
        (Vec::new(), "link-lost"),
    ];
    for (bytes, kind) in cases {
        raw.set_script(Script::Close(bytes.clone()));
        raw.announce(&site.nodes[0].admin_address(), "accounts");
        let call = Call {
            service: "accounts",
            path: "/x",
            key: "k",
            ..Call::default()
        };
        let answered = request(&site.nodes[0].caller_address(), &call);
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(
            (answered.kind.as_str(), answered.ran.as_str()),
            (kind, "unknown"),
            "{text}"
        );
    }
}

#[test]
fn bytes_behind_an_answer_are_not_taken_for_the_next_one() {
    let mut twice = answer("content-length: 3\r\n", "one");
    twice.extend(answer("content-length: 3\r\n", "old"));
    let (site, raw) = with_raw_backend(Script::Keep(twice));
    let call = Call {
        service: "accounts",
        path: "/x",
        ..Call::default()
    };
    for _ in 0..10 {
        assert_eq!(request(&site.nodes[0].caller_address(), &call).body, "one");
    }
    assert_eq!(
        raw.requests(),
        raw.connections(),
        "a connection with bytes left over was used again"
    );
}

#[test]
fn a_call_whose_caller_has_gone_is_cancelled_at_the_backend_server() {
    let site = one_service();
    let node = &site.nodes[0];
    let mut stream = TcpStream::connect(node.caller_address()).expect("the daemon listens");
    stream
        .write_all(b"GET /gone?work=20000 HTTP/1.1\r\nhost: accounts\r\n\r\n")
        .expect("it reads");
    wait_until("the call runs", || !node.journal().is_empty());
    assert_eq!(node.status()["in-flight"], 1);
    drop(stream);
    wait_until("the call is cancelled", || node.status()["in-flight"] == 0);
    assert_eq!(node.journal()[0]["finished"], false);
}
