//! Responses that are not HTTP/1.1: none of them counts as a response, wherever responses are read.

use indigospur_protocol::Answer;
use indigospur_relay::{
    BackendError, BackendPool, HttpError, HttpRequest, ResponseCheck, ResponseOwner, Reuse, get,
    post, runtime,
};
use indigospur_test_support::{Script, ScriptedBackend};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
/// Field lines whose name is not a token.
const INVALID_NAMES: [&str; 8] = [
    "x y: z",
    "x : z",
    " x: z",
    "x\ty: z",
    "x\u{1}: z",
    "x\u{7f}: z",
    "x\0y: z",
    ": z",
];

/// Outcome of a call to a backend server.
fn call(bytes: &str) -> Result<Answer, BackendError> {
    let server = ScriptedBackend::start(Script::Close(bytes.into()));
    let pool = BackendPool::new(server.address(), 8, Arc::default());
    let request = HttpRequest {
        method: "GET",
        host: "a",
        path: "/x",
        headers: &[],
        body: b"",
    };
    let check = ResponseCheck {
        call_id: "call",
        owner: &|_| ResponseOwner::Current,
        close_delimited: true,
    };
    let outcome = runtime::timeout(TIMEOUT, pool.call(&request, check, Reuse::Latest));
    let outcome = runtime::block_on(outcome).expect("the call ends within the time limit");
    outcome.map(|response| response.answer)
}

/// Outcomes of a read and of a write on connections of their own, as to the log.
fn requests(bytes: &str) -> [Result<Answer, HttpError>; 2] {
    let server = ScriptedBackend::start(Script::Close(bytes.into()));
    runtime::block_on(async {
        [
            get(server.address(), "/x", TIMEOUT).await,
            post(server.address(), "/x", b"", TIMEOUT).await,
        ]
    })
}

/// Asserts that no response is found in `bytes`.
#[track_caller]
fn assert_invalid(bytes: &str) {
    let outcome = call(bytes);
    assert_eq!(outcome, Err(BackendError::InvalidResponse), "{bytes:?}");
    for outcome in requests(bytes) {
        assert_eq!(outcome, Err(HttpError::InvalidResponse), "{bytes:?}");
    }
}

/// Asserts that `bytes` contain a response with this status and the whole body.
#[track_caller]
fn assert_whole(bytes: &str, status: u16) {
    let outcomes = requests(bytes).map(Result::ok);
    for outcome in outcomes.into_iter().chain([call(bytes).ok()]) {
        let answer = outcome.unwrap_or_else(|| panic!("no response in {bytes:?}"));
        assert_eq!((answer.status, &*answer.body), (status, &b"whole"[..]));
    }
}

fn with_status(status: &str) -> String {
    WHOLE.replacen("200", status, 1)
}

#[test]
fn a_status_outside_100_to_599_is_invalid() {
    let out_of_range = ["000", "001", "020", "099", "600", "999"];
    let malformed = ["0", "20", "2000", "-20", "2x0", " 200", "+20"];
    for status in out_of_range.into_iter().chain(malformed) {
        assert_invalid(&with_status(status));
        // Also where an interim response could be.
        assert_invalid(&format!("HTTP/1.1 {status} Early\r\n\r\n{WHOLE}"));
    }
    for status in [200, 201, 299, 300, 404, 418, 499, 500, 503, 599] {
        assert_whole(&with_status(&status.to_string()), status);
    }
}

#[test]
fn a_field_name_that_is_no_token_is_invalid() {
    for field in INVALID_NAMES {
        for status in ["200 OK", "503 Busy", "421 Misdirected"] {
            let refusal = format!("HTTP/1.1 {status}\r\nretry-after: 1\r\n{field}\r\n");
            assert_invalid(&format!("{refusal}content-length: 5\r\n\r\nwhole"));
            // The framing is not to be taken from the lines before it.
            assert_invalid(&format!(
                "HTTP/1.1 {status}\r\ncontent-length: 5\r\n{field}\r\n\r\nwhole"
            ));
        }
        assert_invalid(&format!(
            "HTTP/1.1 103 Early Hints\r\n{field}\r\n\r\n{WHOLE}"
        ));
        assert_invalid(&format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n{field}\r\n\r\n"
        ));
    }
    assert_whole(
        "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9: z\r\ncontent-length: 5\r\n\r\nwhole",
        200,
    );
}

#[test]
fn interim_responses_are_skipped_except_an_unasked_switch_of_protocols() {
    for status in [100, 102, 103, 150, 199] {
        let interim = format!("HTTP/1.1 {status} Early\r\nlink: <x>\r\n\r\n");
        assert_whole(&format!("{interim}{WHOLE}"), 200);
    }
    for fields in ["", "connection: upgrade\r\nupgrade: websocket\r\n"] {
        let switch = format!("HTTP/1.1 101 Switching Protocols\r\n{fields}\r\n");
        assert_invalid(&format!("{switch}{WHOLE}"));
        assert_invalid(&format!("HTTP/1.1 103 Early Hints\r\n\r\n{switch}{WHOLE}"));
    }
}

#[test]
fn a_transfer_coding_in_http_1_0_is_invalid() {
    let chunked = "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    assert_whole(&format!("HTTP/1.1 200 OK\r\n{chunked}"), 200);
    for status in ["200 OK", "503 Busy"] {
        assert_invalid(&format!("HTTP/1.0 {status}\r\n{chunked}"));
        assert_invalid(&format!(
            "HTTP/1.0 {status}\r\ncontent-length: 5\r\n{chunked}"
        ));
    }
    assert_whole("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nwhole", 200);
}
