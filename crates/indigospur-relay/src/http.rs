//! HTTP/1.1 client.

use crate::connection::Connection;
use crate::encode::append_field;
use crate::head::{Framing, HeadError, ResponseHead};
use crate::memory::{BodyMemory, HeldBody, MessageKind};
use crate::runtime;
use crate::silence;
use crate::stream::Stream;
use indigospur_protocol::{Answer, Header};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of interim responses before a final one. Their heads together have no other bound.
const MAX_INTERIM_RESPONSES: u32 = 64;
/// Maximum size of a response body.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Time for opening a TCP connection, and for an HTTP/2 handshake on it.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The method, host or path can't be encoded in HTTP/1.1; nothing was sent.
    InvalidRequest,
    /// The connection was closed or failed before a whole response head arrived; the request may
    /// have been processed.
    ConnectionLost,
    /// The response is malformed, truncated or too large, or its framing is invalid.
    InvalidResponse,
    /// The response was not complete within the timeout; the request may have been processed.
    Timeout,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest<'a> {
    /// Method, in upper case.
    pub method: &'a str,
    /// Value of the `Host` field.
    pub host: &'a str,
    /// Request target: the path with its query.
    pub path: &'a str,
    /// Other fields, with names in lower case; `host` among them is ignored.
    pub headers: &'a [Header],
    /// Content; may be empty.
    pub body: &'a [u8],
}

/// A final response, and whether the connection can be reused.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    /// The response with its whole body.
    pub(crate) response: Answer,
    /// Whether the body ended when the server closed the connection.
    pub(crate) close_delimited: bool,
    /// Whether the server keeps the connection open.
    pub(crate) keep_alive: bool,
    /// Idle time after which the server closes the connection, if the response states it.
    pub(crate) idle_timeout: Option<Duration>,
}

/// Opens a connection to an `IP:port`.
///
/// # Errors
/// `HttpError::Connect` if the address is invalid, or the connection is refused or not open within
/// `CONNECT_TIMEOUT`.
pub(crate) async fn connect(address: &str) -> Result<Stream, HttpError> {
    let address: SocketAddr = address.parse().map_err(|_| HttpError::Connect)?;
    let stream = runtime::timeout(CONNECT_TIMEOUT, Stream::connect(address)).await;
    let stream = stream
        .ok_or(HttpError::Connect)?
        .map_err(|_| HttpError::Connect)?;
    stream.set_nodelay().map_err(|_| HttpError::Connect)?;
    Ok(stream)
}

/// Writes a request. A failed write is only logged: the server may have responded before it closed
/// the connection.
///
/// # Errors
/// `HttpError::InvalidRequest` if the request can't be encoded.
pub(crate) async fn write_request(
    connection: &mut Connection,
    request: &HttpRequest<'_>,
) -> Result<(), HttpError> {
    let bytes = encode(request).ok_or(HttpError::InvalidRequest)?;
    if let Err(error) = connection.write(&bytes).await {
        log::debug!(error:display; "failed to write the whole request; still reading the response");
    }
    Ok(())
}

/// Reads the final response to a request with this `method`. The memory of its body is counted in
/// `held`.
///
/// # Errors
/// The connection failed, or the response is invalid or truncated.
pub(crate) async fn read_response(
    connection: &mut Connection,
    method: &str,
    held: &mut HeldBody,
) -> Result<HttpResponse, HttpError> {
    let head = read_head(connection).await?;
    let framing = head
        .framing(method)
        .map_err(|_| HttpError::InvalidResponse)?;
    let body = connection.read_body(framing, MAX_BODY_BYTES, held).await;
    let body = body.map_err(|error| {
        log::debug!(error:debug; "response body is not accepted; the connection is closed");
        HttpError::InvalidResponse
    })?;
    let idle_timeout = idle_timeout(&head);
    let close_delimited = framing == Framing::UntilClose;
    Ok(HttpResponse {
        keep_alive: !head.closes && !close_delimited,
        close_delimited,
        idle_timeout,
        response: Answer {
            status: head.status,
            headers: head.fields.into_forwarded(),
            body: (&body[..]).into(),
        },
    })
}

/// Reads the head of the final response, and skips the interim responses before it.
async fn read_head(connection: &mut Connection) -> Result<ResponseHead, HttpError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = connection.read_response_head(MAX_HEAD_BYTES).await;
        let head = head.map_err(|error| match error {
            HeadError::Truncated => HttpError::ConnectionLost,
            HeadError::Malformed | HeadError::TooLarge => HttpError::InvalidResponse,
        })?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
    log::debug!("too many interim responses; the connection is closed");
    Err(HttpError::InvalidResponse)
}

/// Returns the idle time of N seconds that a `Keep-Alive: timeout=N` field states.
fn idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let mut parts = head
        .fields
        .values("keep-alive")
        .flat_map(|value| value.split(','));
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    seconds.map(Duration::from_secs)
}

/// Encodes a request. Returns `None` if its method, host or path would break the request line or the
/// framing.
pub(crate) fn encode(request: &HttpRequest<'_>) -> Option<Vec<u8>> {
    let is_graphic =
        |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_graphic(request.method) || !is_graphic(request.host) || request.path.is_empty() {
        return None;
    }
    if request
        .path
        .bytes()
        .any(|byte| byte <= b' ' || byte == 0x7f)
    {
        return None;
    }
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    let start = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\n",
        request.method, request.path, request.host
    );
    bytes.extend_from_slice(start.as_bytes());
    for header in request
        .headers
        .iter()
        .filter(|header| &*header.name != "host")
    {
        append_field(&mut bytes, header);
    }
    if !request.body.is_empty() || !matches!(request.method, "GET" | "HEAD" | "DELETE") {
        let length = format!("content-length: {}\r\n", request.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(request.body);
    Some(bytes)
}

/// Sends a request on a new connection and reads the response, all within `timeout`.
///
/// # Errors
/// No connection could be opened, or there was no complete response within `timeout`. A
/// close-delimited body is an error as well, since it can't be told from a truncated one.
pub async fn request(
    address: &str,
    message: &HttpRequest<'_>,
    timeout: Duration,
) -> Result<Answer, HttpError> {
    let exchange = async {
        let stream = connect(address).await?;
        silence::REQUEST.apply(&stream);
        let mut connection = Connection::new(stream);
        write_request(&mut connection, message).await?;
        let mut held = Arc::new(BodyMemory::default()).hold(MessageKind::Response);
        read_response(&mut connection, message.method, &mut held).await
    };
    let response = runtime::timeout(timeout, exchange)
        .await
        .ok_or(HttpError::Timeout)??;
    if response.close_delimited {
        return Err(HttpError::InvalidResponse);
    }
    Ok(response.response)
}

/// Sends a GET request to `address` on a new connection.
///
/// # Errors
/// As for [`request`].
pub async fn get(address: &str, path: &str, timeout: Duration) -> Result<Answer, HttpError> {
    let message = HttpRequest {
        method: "GET",
        host: address,
        path,
        headers: &[],
        body: &[],
    };
    request(address, &message, timeout).await
}

/// Sends a POST request to `address` on a new connection.
///
/// # Errors
/// As for [`request`].
pub async fn post(
    address: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, HttpError> {
    let message = HttpRequest {
        method: "POST",
        host: address,
        path,
        headers: &[],
        body,
    };
    request(address, &message, timeout).await
}
