//! Calls at the edge of a daemon: invalid requests, pipelining, invalid responses of backend servers
//! and callers that disconnect.

use indigospur_test_support::{
    Call, Node, Script, ScriptedBackend, ServicePlan, Site, SitePlan, request, send_raw, wait_until,
};
use std::io::Write;
use std::net::TcpStream;

fn start_site() -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
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
fn an_invalid_request_is_refused_with_its_kind_and_never_runs() {
    let site = start_site();
    let node = &site.nodes[0];
    let request_head = "GET /x HTTP/1.1\r\nhost: accounts\r\nconnection: close\r\n";
    let large_head = format!("{request_head}x: {}\r\n\r\n", "y".repeat(20_000));
    let cases: Vec<(String, &str)> = vec![
        ("garbage\r\n\r\n".into(), "bad-request"),
        (
            "GET /x HTTP/1.1\r\nno colon here\r\n\r\n".into(),
            "bad-request",
        ),
        (
            format!("{request_head}content-length: x\r\n\r\n"),
            "bad-request",
        ),
        (large_head, "head-too-large"),
        (
            format!("{request_head}content-length: 99999999\r\n\r\n"),
            "body-too-large",
        ),
        (
            format!("{request_head}indigospur-deadline-ms: soon\r\n\r\n"),
            "bad-deadline",
        ),
        (
            format!("{request_head}indigospur-deadline-ms: 0\r\n\r\n"),
            "bad-deadline",
        ),
        (
            format!("{request_head}indigospur-service: no/such\r\n\r\n"),
            "unknown-service",
        ),
        (
            format!("{request_head}indigospur-service: nowhere\r\n\r\n"),
            "unknown-service",
        ),
        (
            format!(
                "{request_head}indigospur-customer: {}\r\n\r\n",
                "c".repeat(200)
            ),
            "bad-request",
        ),
        (
            format!("{request_head}indigospur-call: made-up\r\n\r\n"),
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
fn garbage_on_the_port_for_peers_does_not_disturb_calls() {
    let site = start_site();
    let node = &site.nodes[0];
    for bytes in [
        &b"garbage"[..],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff",
    ] {
        let mut stream =
            TcpStream::connect(node.daemon.address("peers")).expect("the daemon listens");
        stream.write_all(bytes).expect("the daemon reads");
    }
    assert_serves(node);
}

#[test]
fn pipelined_requests_get_their_own_responses_in_order() {
    let site = start_site();
    let encode = |path: &str, headers: &str| {
        format!("GET {path} HTTP/1.1\r\nhost: accounts\r\n{headers}\r\n")
    };
    let bytes = encode("/1?work=30", "")
        + &encode("/2?work=1", "")
        + &encode("/3", "connection: close\r\n");
    let answer = send_raw(&site.nodes[0].caller_address(), bytes.as_bytes());
    let positions: Vec<usize> = [
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
    assert!(positions.is_sorted(), "{positions:?}");
}

fn ok_response(head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}").into_bytes()
}

/// Starts a daemon whose backend server sends scripted bytes.
fn with_scripted_backend(script: Script) -> (Site, ScriptedBackend) {
    let mut site = start_site();
    let scripted = site.script_backend("accounts-0", 8, script);
    (site, scripted)
}

#[test]
fn an_incomplete_or_mismatched_response_is_never_passed_on() {
    let (site, scripted) = with_scripted_backend(Script::Keep(Vec::new()));
    let cases = [
        (ok_response("content-length: 10\r\n", "short"), "bad-answer"),
        (ok_response("", "no length"), "bad-answer"),
        (
            ok_response("transfer-encoding: chunked\r\n", "5\r\nhel"),
            "bad-answer",
        ),
        (
            ok_response("content-length: 2\r\ncontent-length: 3\r\n", "abc"),
            "bad-answer",
        ),
        (
            ok_response("content-length: 2\r\nindigospur-call: other\r\n", "ok"),
            "bad-answer",
        ),
        (b"HTTP/1.1 200 OK\r\ncontent-le".to_vec(), "link-lost"),
        (b"SSH-2.0-x\r\n".to_vec(), "bad-answer"),
        (Vec::new(), "link-lost"),
    ];
    for (bytes, kind) in cases {
        scripted.set_script(Script::Close(bytes.clone()));
        scripted.announce(&site.nodes[0].admin_address(), "accounts", 8);
        let call = Call {
            service: "accounts",
            path: "/x",
            key: "k",
            ..Call::default()
        };
        let response = request(&site.nodes[0].caller_address(), &call);
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(
            (response.kind.as_str(), response.ran.as_str()),
            (kind, "unknown"),
            "{text}"
        );
    }
}

#[test]
fn bytes_after_a_response_are_not_read_as_the_next_response() {
    let mut two_responses = ok_response("content-length: 3\r\n", "one");
    two_responses.extend(ok_response("content-length: 3\r\n", "old"));
    let (site, scripted) = with_scripted_backend(Script::Keep(two_responses));
    let call = Call {
        service: "accounts",
        path: "/x",
        ..Call::default()
    };
    for _ in 0..10 {
        assert_eq!(request(&site.nodes[0].caller_address(), &call).body, "one");
    }
    assert_eq!(
        scripted.requests(),
        scripted.connections(),
        "a connection with unread bytes was reused"
    );
}

#[test]
fn a_call_is_cancelled_at_the_backend_server_when_its_caller_disconnects() {
    let site = start_site();
    let node = &site.nodes[0];
    let mut stream = TcpStream::connect(node.caller_address()).expect("the daemon listens");
    stream
        .write_all(b"GET /gone?work=20000 HTTP/1.1\r\nhost: accounts\r\n\r\n")
        .expect("the daemon reads");
    wait_until("the call runs", || !node.journal().is_empty());
    assert_eq!(node.status()["in-flight"], 1);
    drop(stream);
    wait_until("the call is cancelled", || node.status()["in-flight"] == 0);
    assert_eq!(node.journal()[0]["finished"], false);
}
