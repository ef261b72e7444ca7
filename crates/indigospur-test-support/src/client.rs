//! HTTP client for callers; its library shares no code with the daemon.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use ureq::Agent;

/// A complete response, or the error that prevented one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status; zero if no complete response was received.
    pub status: u16,
    /// Refusal kind from the `indigospur-kind` header; empty unless the daemon refused the call.
    pub kind: String,
    /// Whether the call ran, from the `indigospur-ran` header; empty unless the daemon refused it.
    pub ran: String,
    /// Value of the `Retry-After` header; empty if absent.
    pub retry_after: String,
    /// Response body, or the error text if `status` is zero.
    pub body: String,
}

/// A call to make through a daemon; empty fields send no header.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// Name of the called service.
    pub service: &'a str,
    /// Request path including the query string.
    pub path: &'a str,
    /// Name of the customer the call is made for.
    pub customer: &'a str,
    /// Idempotency key; a call with a key is a POST, one without is a GET.
    pub key: &'a str,
    /// Deadline in milliseconds; zero for none.
    pub deadline_ms: u64,
    /// Bytes that are added to the body of a call with a key.
    pub extra_bytes: usize,
}

/// Time limit of a whole exchange, from connecting to the end of the body.
const TIMEOUT: Duration = Duration::from_secs(30);

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

impl Response {
    pub(crate) fn failed(error: impl std::fmt::Display) -> Response {
        Response {
            status: 0,
            kind: String::new(),
            ran: String::new(),
            retry_after: String::new(),
            body: error.to_string(),
        }
    }
}

pub(crate) fn call_headers(call: &Call<'_>) -> Vec<(&'static str, String)> {
    let deadline = match call.deadline_ms {
        0 => String::new(),
        millis => millis.to_string(),
    };
    let headers = [
        ("indigospur-service", call.service.to_owned()),
        ("indigospur-customer", call.customer.to_owned()),
        ("indigospur-deadline-ms", deadline),
        ("idempotency-key", call.key.to_owned()),
    ];
    headers
        .into_iter()
        .filter(|(_, value)| !value.is_empty())
        .collect()
}

/// Body of a call with a key.
pub(crate) fn call_body(call: &Call<'_>) -> String {
    format!("body{}", "x".repeat(call.extra_bytes))
}

/// Makes a call through the daemon at `address` on a new connection.
pub fn request(address: &str, call: &Call<'_>) -> Response {
    let url = format!("http://{address}{}", call.path);
    let headers = call_headers(call);
    if call.key.is_empty() {
        let request = agent().get(url);
        return read_response(
            headers
                .into_iter()
                .fold(request, |request, (name, value)| {
                    request.header(name, value)
                })
                .call(),
        );
    }
    let request = agent().post(url);
    read_response(
        headers
            .into_iter()
            .fold(request, |request, (name, value)| {
                request.header(name, value)
            })
            .send(&call_body(call)),
    )
}

/// Sends a GET without extra headers on a new connection.
pub fn get(address: &str, path: &str) -> Response {
    read_response(agent().get(format!("http://{address}{path}")).call())
}

/// Sends a POST without extra headers on a new connection.
pub fn post(address: &str, path: &str, body: &str) -> Response {
    read_response(agent().post(format!("http://{address}{path}")).send(body))
}

/// Sends bytes on a new connection, and returns all that comes until it is closed.
pub fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn read_response(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Response {
    let mut response = match result {
        Ok(response) => response,
        Err(error) => return Response::failed(error),
    };
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (kind, ran, retry_after) = (
        header("indigospur-kind"),
        header("indigospur-ran"),
        header("retry-after"),
    );
    let status = response.status().as_u16();
    match response.body_mut().read_to_string() {
        Ok(body) => Response {
            status,
            kind,
            ran,
            retry_after,
            body,
        },
        Err(error) => Response::failed(error),
    }
}
