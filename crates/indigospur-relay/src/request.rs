//! Reads the requests of callers, within the bounds of the service.

use crate::connection::{BodyError, Connection};
use crate::head::{Framing, HeadError, RepeatedField, RequestHead};
use crate::memory::HeldBody;
use crate::runtime;
use crate::service::{Bounds, HttpService, ReceivedRequest};
use bytes::BytesMut;
use indigospur_protocol::{Kind, Refusal};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Method assumed for a request whose head could not be read, so that its refusal has a body.
pub(crate) const ASSUMED_METHOD: &str = "GET";

/// A request, and whether the connection is closed after its response.
pub(crate) struct Request {
    pub(crate) received: ReceivedRequest,
    pub(crate) closes: bool,
}

/// Why no request could be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The caller closed the connection, or it failed.
    Disconnected,
    /// The request is refused. The method, `ASSUMED_METHOD` if it is unknown, decides whether the
    /// response has a body.
    Refused(Refusal, Arc<str>),
    /// The connection was closed or failed within the body. Who only closed the sending side still
    /// gets the refusal.
    Truncated(Refusal, Arc<str>),
}

/// A request of which the first byte has arrived.
pub(crate) struct Begun {
    /// When that byte arrived, perhaps behind other requests.
    started: Instant,
    /// Since when it is read.
    since: Instant,
    pub(crate) bounds: Bounds,
}

impl Begun {
    pub(crate) fn new(now: Instant, connection: &Connection, service: &HttpService) -> Begun {
        Begun {
            started: connection.first_arrival().unwrap_or(now),
            since: now,
            bounds: service.bounds(),
        }
    }

    /// Time by which the request has to be whole.
    pub(crate) fn end(&self) -> Instant {
        self.since + self.bounds.message_timeout
    }

    /// Allows the whole time from `now` on, because the daemon let the caller wait.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    fn left(&self) -> Duration {
        self.end().saturating_duration_since(Instant::now())
    }

    /// Returns the head, or why there is none; `None` stands for a time-out.
    pub(crate) fn check_head(
        &self,
        head: Option<Result<RequestHead, HeadError>>,
    ) -> Result<RequestHead, ReadError> {
        let refused = |refusal| Err(ReadError::Refused(refusal, ASSUMED_METHOD.into()));
        match head {
            Some(Ok(head)) => Ok(head),
            Some(Err(HeadError::Truncated)) => Err(ReadError::Disconnected),
            Some(Err(HeadError::Malformed)) => {
                let detail = "the request's head is not HTTP/1.1";
                refused(Refusal::new(Kind::BadRequest, detail))
            }
            Some(Err(HeadError::TooLarge)) => {
                let bytes = self.bounds.head_bytes;
                let detail = format!("at most {bytes} bytes of head are accepted");
                refused(Refusal::new(Kind::HeadTooLarge, detail))
            }
            None => refused(request_timeout(self.bounds)),
        }
    }
}

/// Reads a request whose first byte has arrived. The memory of its body is counted in `held`.
pub(crate) async fn read_request(
    connection: &mut Connection,
    service: &HttpService,
    held: &mut HeldBody,
) -> Result<Request, ReadError> {
    let begun = Begun::new(Instant::now(), connection, service);
    let head = connection.read_request_head(begun.bounds.head_bytes);
    let head = runtime::timeout(begun.bounds.message_timeout, head).await;
    let head = begun.check_head(head)?;
    read_rest(connection, service, head, &begun, held).await
}

/// Reads what follows the head of a request.
pub(crate) async fn read_rest(
    connection: &mut Connection,
    service: &HttpService,
    head: RequestHead,
    begun: &Begun,
    held: &mut HeldBody,
) -> Result<Request, ReadError> {
    let body = read_body(connection, &head, service, begun.bounds, held);
    let body = runtime::timeout(begun.left(), body).await;
    let body = body.unwrap_or_else(|| {
        let refusal = request_timeout(begun.bounds);
        Err(ReadError::Refused(refusal, head.method.clone()))
    });
    build_request(head, body?, begun)
}

/// Returns true if the caller waits for `100 Continue` before it sends the body.
pub(crate) fn expects_continue(head: &RequestHead) -> bool {
    head.fields.has_token("expect", "100-continue")
}

/// Returns true if a body of the stated length could be held now.
fn has_room(head: &RequestHead, service: &HttpService) -> bool {
    match head.framing {
        Framing::ContentLength(length) => service.memory().has_room(length),
        Framing::Chunked | Framing::UntilClose => true,
    }
}

async fn read_body(
    connection: &mut Connection,
    head: &RequestHead,
    service: &HttpService,
    bounds: Bounds,
    held: &mut HeldBody,
) -> Result<BytesMut, ReadError> {
    let refused = |refusal| ReadError::Refused(refusal, head.method.clone());
    let truncated = || {
        let refusal = Refusal::new(Kind::BadRequest, "the body is not whole");
        ReadError::Truncated(refusal, head.method.clone())
    };
    if matches!(head.framing, Framing::ContentLength(length) if length > bounds.body_bytes) {
        return Err(refused(body_too_large(bounds)));
    }
    if !has_room(head, service) {
        return Err(refused(out_of_memory()));
    }
    if expects_continue(head) {
        let interim = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| truncated())?;
    }
    let body = connection
        .read_body(head.framing, bounds.body_bytes, held)
        .await;
    body.map_err(|error| match error {
        BodyError::Truncated => truncated(),
        BodyError::Malformed => refused(Refusal::new(Kind::BadRequest, "the body is not whole")),
        BodyError::TooLarge => refused(body_too_large(bounds)),
        BodyError::OutOfMemory => refused(out_of_memory()),
    })
}

fn request_timeout(bounds: Bounds) -> Refusal {
    let detail = format!(
        "the request was not whole within {:?}",
        bounds.message_timeout
    );
    Refusal::new(Kind::RequestTimeout, detail)
}

fn body_too_large(bounds: Bounds) -> Refusal {
    let detail = format!("at most {} bytes of body are accepted", bounds.body_bytes);
    Refusal::new(Kind::BodyTooLarge, detail)
}

fn out_of_memory() -> Refusal {
    let detail = "the memory for bodies is used up by other messages";
    Refusal::new(Kind::Overloaded, detail)
}

/// Returns the name of the host in a head, without the port and in lower case; empty if an HTTP/1.0
/// request has none.
fn read_host(head: &RequestHead) -> Result<String, Refusal> {
    let bad_request = |detail| Refusal::new(Kind::BadRequest, detail);
    let host = match head.fields.single("host") {
        Ok(None) if head.minor_version > 0 => {
            return Err(bad_request("the request names no host"));
        }
        Ok(host) => host.unwrap_or_default(),
        Err(RepeatedField) => return Err(bad_request("the request names two hosts")),
    };
    let is_graphic = host.iter().all(u8::is_ascii_graphic);
    let host = std::str::from_utf8(host).ok().filter(|_| is_graphic);
    let host = host.ok_or_else(|| bad_request("the name of the host is not plain ASCII"))?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

/// Puts a request together from its head and its body.
pub(crate) fn build_request(
    head: RequestHead,
    body: BytesMut,
    begun: &Begun,
) -> Result<Request, ReadError> {
    if &*head.method == "CONNECT" {
        let detail = "CONNECT is not implemented: this is no proxy for connections";
        let refusal = Refusal::new(Kind::MethodNotImplemented, detail);
        return Err(ReadError::Refused(refusal, head.method));
    }
    let host = match read_host(&head) {
        Ok(host) => host,
        Err(refusal) => return Err(ReadError::Refused(refusal, head.method)),
    };
    let received = ReceivedRequest {
        host: host.into(),
        method: head.method,
        path: head.target,
        headers: head.fields.into_forwarded(),
        body: (&body[..]).into(),
        started: begun.started,
    };
    Ok(Request {
        received,
        closes: head.closes,
    })
}
