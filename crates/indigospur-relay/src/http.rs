//! HTTP/1.1 exchanges as a client.

use crate::connection::Connection;
use crate::encode::append_header;
use crate::head::{AnswerHead, Framing, HeadError};

use crate::runtime;
use async_std::net::TcpStream;
use indigospur_protocol::{Answer, Header};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest head of an answer, in bytes.
const LARGEST_HEAD: usize = 64 * 1024;
/// Largest body of an answer, in bytes.
const LARGEST_ANSWER: u64 = 4 * 1024 * 1024;
/// Time in which a connection must be open.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be opened: nothing was sent.
    Connect,
    /// The request could not be put into HTTP: nothing was sent.
    Request,
    /// The connection broke before a whole head arrived.
    Broken,
    /// The answer is truncated, mis-framed or too large.
    BadAnswer,
    /// There was no answer in time.
    Timeout,
}

/// A request of an exchange.
#[derive(Clone, Debug)]
pub struct HttpRequest<'a> {
    /// Method in upper case.
    pub method: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [Header],
    /// Body.
    pub body: &'a [u8],
}

/// An answer, and whether the connection may be used again.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    /// The whole answer.
    pub(crate) answer: Answer,
    /// The body ended with the connection.
    pub(crate) unframed: bool,
    /// The other side keeps the connection open.
    pub(crate) keep_alive: bool,
    /// Time for which the other side keeps it while idle, if it says so.
    pub(crate) keep_for: Option<Duration>,
}

/// Opens a connection.
///
/// # Errors
/// The address is no `IP:port`, or nothing listens there, or it takes too long.
pub(crate) async fn connect(address: &str) -> Result<TcpStream, HttpError> {
    let address: SocketAddr = address.parse().map_err(|_| HttpError::Connect)?;
    let stream = runtime::within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream
        .ok_or(HttpError::Connect)?
        .map_err(|_| HttpError::Connect)?;
    stream.set_nodelay(true).map_err(|_| HttpError::Connect)?;
    Ok(stream)
}

/// Sends a request.
///
/// # Errors
/// It can't be put into HTTP.
pub(crate) async fn send(
    connection: &mut Connection,
    request: &HttpRequest<'_>,
) -> Result<(), HttpError> {
    let bytes = encode(request).ok_or(HttpError::Request)?;
    if let Err(error) = connection.write(&bytes).await {
        // The other side may have answered before it closed.
        log::debug!(error:display; "a request was not written whole");
    }
    Ok(())
}

/// Reads the answer to a request that was sent, to its end.
///
/// # Errors
/// The connection broke, or the answer is not whole.
pub(crate) async fn receive(
    connection: &mut Connection,
    method: &str,
) -> Result<HttpAnswer, HttpError> {
    let head = read_head(connection).await?;
    let framing = head.framing(method).map_err(|_| HttpError::BadAnswer)?;
    let body = connection.read_body(framing, LARGEST_ANSWER).await;
    let body = body.map_err(|_| HttpError::BadAnswer)?;
    let keep_for = keep_for(&head);
    let unframed = framing == Framing::Close;
    Ok(HttpAnswer {
        keep_alive: !head.closes && !unframed,
        unframed,
        keep_for,
        answer: Answer {
            status: head.status,
            headers: head.fields.pass_on(),
            body: body.into(),
        },
    })
}

/// The head of the final answer; those of interim answers, of which there may be any number, are
/// passed over.
async fn read_head(connection: &mut Connection) -> Result<AnswerHead, HttpError> {
    loop {
        let head = connection.read_answer_head(LARGEST_HEAD).await;
        let head = head.map_err(|error| match error {
            HeadError::Ended => HttpError::Broken,
            HeadError::Malformed | HeadError::TooLarge => HttpError::BadAnswer,
        })?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
}

/// The idle time that a `Keep-Alive: timeout=N` header states.
fn keep_for(head: &AnswerHead) -> Option<Duration> {
    let mut parts = head
        .fields
        .values("keep-alive")
        .flat_map(|value| value.split(','));
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    seconds.map(Duration::from_secs)
}

/// The bytes of a request; `None` if a part of it would break the framing.
pub(crate) fn encode(request: &HttpRequest<'_>) -> Option<Vec<u8>> {
    let plain = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !plain(request.method) || !plain(request.host) || request.path.is_empty() {
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
    let line = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\n",
        request.method, request.path, request.host
    );
    bytes.extend_from_slice(line.as_bytes());
    for header in request
        .headers
        .iter()
        .filter(|header| &*header.name != "host")
    {
        append_header(&mut bytes, header);
    }
    if !request.body.is_empty() || !matches!(request.method, "GET" | "HEAD" | "DELETE") {
        let length = format!("content-length: {}\r\n", request.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(request.body);
    Some(bytes)
}

/// One exchange on a connection of its own.
///
/// # Errors
/// No connection, no whole answer, or none in time.
pub async fn request(
    address: &str,
    sent: &HttpRequest<'_>,
    timeout: Duration,
) -> Result<Answer, HttpError> {
    let exchange = async {
        let mut connection = Connection::new(connect(address).await?);
        send(&mut connection, sent).await?;
        receive(&mut connection, sent.method).await
    };
    let answer = runtime::within(timeout, exchange)
        .await
        .ok_or(HttpError::Timeout)??;
    if answer.unframed {
        return Err(HttpError::BadAnswer);
    }
    Ok(answer.answer)
}

/// A GET on a connection of its own.
///
/// # Errors
/// No connection, no whole answer, or none in time.
pub async fn get(address: &str, path: &str, timeout: Duration) -> Result<Answer, HttpError> {
    let sent = HttpRequest {
        method: "GET",
        host: address,
        path,
        headers: &[],
        body: &[],
    };
    request(address, &sent, timeout).await
}

/// A POST on a connection of its own.
///
/// # Errors
/// No connection, no whole answer, or none in time.
pub async fn post(
    address: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, HttpError> {
    let sent = HttpRequest {
        method: "POST",
        host: address,
        path,
        headers: &[],
        body,
    };
    request(address, &sent, timeout).await
}
