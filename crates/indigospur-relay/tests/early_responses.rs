//! Responses of backend servers that have not read the whole request. One without a length is whole if the
//! backend server closes its side of the connection, and truncated if the connection fails instead.

use indigospur_protocol::Answer;
use indigospur_relay::{
    BackendError, BackendPool, HttpRequest, ResponseCheck, ResponseOwner, Reuse, runtime,
};
use indigospur_test_support::silence;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for each call, beyond the time after which a silent connection fails.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the pool reads what has been sent to it.
const PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of the backend server, far below the size of an upload: the rest is still to be sent when
/// the connection ends.
const RECEIVE_BUFFER: usize = 16 * 1024;
const UPLOADS: [usize; 2] = [1_000_000, 8_000_000];
/// Calls of each case.
const ROUNDS: usize = 3;
const BODY: &str = "all of the body";
const LENGTH: &str = "content-length: 15\r\n";

/// Heads after which the body ends with the connection.
const WITHOUT_LENGTH: [&str; 5] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
];

/// What becomes of the connection once the response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Reset,
    ResetAfterPause,
    /// Closed with data unread, which resets the connection.
    CloseUnread,
    /// The sending side is closed; the rest of the request is read.
    HalfClose,
    /// The sending side is closed, then the connection is reset.
    HalfCloseAndReset,
    HalfCloseAndResetAfterPause,
    Silence,
}

impl End {
    fn apply(self, mut stream: TcpStream) {
        if matches!(self, End::ResetAfterPause) {
            std::thread::sleep(PAUSE);
        }
        if matches!(
            self,
            End::HalfClose | End::HalfCloseAndReset | End::HalfCloseAndResetAfterPause
        ) {
            let _ = stream.shutdown(Shutdown::Write);
        }
        if self == End::HalfCloseAndResetAfterPause {
            std::thread::sleep(PAUSE);
        }
        match self {
            End::HalfClose => {
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            }
            End::CloseUnread => {}
            End::Silence => {
                std::thread::sleep(PAUSE);
                silence(&stream);
                std::thread::sleep(TIMEOUT);
            }
            _ => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// A backend server that reads the head of a request and a part of its body, writes a response and ends the
/// connection.
#[derive(Clone, Debug)]
struct Case {
    response: String,
    end: End,
    upload: usize,
    /// Bytes of the body that are read before the response is written.
    read: usize,
}

impl Case {
    fn serve(&self, mut stream: TcpStream) {
        if !read_head(&mut stream) {
            return;
        }
        let mut body = vec![0; self.read];
        let _ = stream.read_exact(&mut body);
        let _ = stream.write_all(self.response.as_bytes());
        self.end.apply(stream);
    }

    fn start(&self) -> BackendPool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
        let address = listener.local_addr().expect("the listener has an address");
        let case = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                case.serve(stream);
            }
        });
        BackendPool::new(&address.to_string(), 8, Arc::default())
    }

    fn call(&self) -> Result<Answer, BackendError> {
        let request = HttpRequest {
            method: "POST",
            host: "a",
            path: "/x",
            headers: &[],
            body: &vec![b'x'; self.upload],
        };
        let check = ResponseCheck {
            call_id: "call",
            owner: &|_| ResponseOwner::Current,
            close_delimited: true,
        };
        let pool = self.start();
        let outcome = runtime::timeout(TIMEOUT, pool.call(&request, check, Reuse::Latest));
        let outcome = runtime::block_on(outcome).expect("the call ends within the time limit");
        outcome.map(|response| response.answer)
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

/// All cases of a response, for each size of the upload, with nothing and with a quarter of it read.
fn cases(response: &str, ends: &[End]) -> Vec<Case> {
    let mut cases = Vec::new();
    for upload in UPLOADS {
        for read in [0, upload / 4] {
            for end in ends {
                let case = Case {
                    response: response.to_owned(),
                    end: *end,
                    upload,
                    read,
                };
                cases.extend(std::iter::repeat_n(case, ROUNDS));
            }
        }
    }
    cases
}

/// Calls the backend server of each case and describes the outcomes that are not `expected`.
fn unexpected(
    cases: &[Case],
    expected: impl Fn(&Result<Answer, BackendError>) -> bool,
) -> Vec<String> {
    let outcomes = cases.iter().map(|case| (case, case.call()));
    outcomes
        .filter(|(_, outcome)| !expected(outcome))
        .map(|(case, outcome)| format!("{case:?}: {outcome:?}\n"))
        .collect()
}

#[track_caller]
fn assert_none(unexpected: &[String], cases: usize) {
    let count = unexpected.len();
    assert!(
        unexpected.is_empty(),
        "{count} of {cases}:\n{}",
        unexpected.concat()
    );
}

#[test]
fn a_response_without_a_length_is_truncated_if_the_connection_is_reset() {
    let part = &BODY[..4];
    let ends = [End::Reset, End::ResetAfterPause, End::CloseUnread];
    let cases: Vec<Case> = WITHOUT_LENGTH
        .iter()
        .flat_map(|head| [head.to_string(), format!("{head}{part}")])
        .flat_map(|response| cases(&response, &ends))
        .collect();
    let failed = Err(BackendError::InvalidResponse);
    let unexpected = unexpected(&cases, |outcome| {
        // A reset may arrive before the head is read.
        *outcome == failed || *outcome == Err(BackendError::ConnectionLost)
    });
    assert_none(&unexpected, cases.len());
}

/// The backend server no longer acknowledges what is sent, until the operating system gives up.
#[test]
fn a_response_without_a_length_is_truncated_if_the_connection_goes_silent() {
    let case = Case {
        response: format!("{}{}", WITHOUT_LENGTH[0], &BODY[..4]),
        end: End::Silence,
        upload: UPLOADS[1],
        read: 0,
    };
    assert_eq!(case.call(), Err(BackendError::InvalidResponse));
}

#[test]
fn a_response_without_a_length_is_whole_if_its_sender_closes_its_side_first() {
    let ends = [
        End::HalfClose,
        End::HalfCloseAndReset,
        End::HalfCloseAndResetAfterPause,
    ];
    let responses = WITHOUT_LENGTH.map(|head| format!("{head}{BODY}"));
    let cases: Vec<Case> = responses
        .iter()
        .flat_map(|response| cases(response, &ends))
        .collect();
    let unexpected = unexpected(&cases, is_whole);
    assert_none(&unexpected, cases.len());
}

#[test]
fn a_response_with_an_end_of_its_own_is_whole_however_the_connection_ends() {
    let ends = [
        End::Reset,
        End::ResetAfterPause,
        End::CloseUnread,
        End::HalfClose,
        End::HalfCloseAndReset,
    ];
    let responses = [
        format!("HTTP/1.1 200 OK\r\n{LENGTH}\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf\r\n{BODY}\r\n0\r\n\r\n"),
    ];
    let cases: Vec<Case> = responses
        .iter()
        .flat_map(|response| cases(response, &ends))
        .collect();
    let unexpected = unexpected(&cases, is_whole);
    assert_none(&unexpected, cases.len());
}

fn is_whole(outcome: &Result<Answer, BackendError>) -> bool {
    let answer = outcome.as_ref().ok();
    answer.is_some_and(|answer| answer.status == 200 && *answer.body == *BODY.as_bytes())
}
