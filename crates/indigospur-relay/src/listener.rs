//! HTTP/1.1 server with one task for each connection, and bounds on heads, bodies and connections.

use crate::connection::{BodyError, Connection};
use crate::connections::{ConnectionId, ConnectionTable, Phase};
use crate::encode::encode_response;
use crate::head::{Framing, HeadError, RepeatedField, RequestHead};
use crate::memory::{HeldBody, MessageKind};
use crate::runtime;
use crate::service::{Bounds, HttpService, OpenRequest, ReceivedRequest};
use crate::silence;
use crate::stream::{Acceptor, Stream};
use async_std::channel::Receiver;
use async_std::net::TcpListener;
use bytes::BytesMut;
use futures_lite::FutureExt;
use indigospur_protocol::{Answer, Kind, Refusal};
use std::io;
use std::net::IpAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay after accepting a connection failed, for example because no file descriptor was free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time for writing a response, within which the caller must read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the rest of a refused request is read and discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which open connections wait for a request once the service has stopped listening.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of connections beyond the bound that are refused with a response; further ones are
/// closed without.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Time for reading the request on a connection beyond the bound, and for draining it after the
/// refusal; also the `retry-after` of that refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Method assumed for a request whose head could not be read, so that its refusal has a body.
const ASSUMED_METHOD: &str = "GET";

/// Accepts the next connection. Returns `None` once the service has stopped listening and no
/// connection is pending.
async fn accept(
    listener: &Acceptor,
    service: &HttpService,
) -> Option<io::Result<(Stream, IpAddr)>> {
    let accepted = async { Some(listener.accept().await) };
    let stopped = async {
        service.wait_stopped().await;
        None
    };
    let accepted = match futures_lite::future::or(accepted, stopped).await {
        Some(accepted) => accepted,
        // The listener may not have been polled since a connection arrived. Connections that are
        // still pending when the listener is closed are reset.
        None => futures_lite::future::poll_once(listener.accept()).await?,
    };
    Some(accepted)
}

/// Serves connections until the service stops listening and the pending connections are accepted.
/// Open connections are served on in their own tasks. The handler's future is dropped if its caller
/// closes the connection.
pub async fn serve_http(listener: TcpListener, service: HttpService) {
    let listener = match Acceptor::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:display; "the port for callers can't be served");
            return;
        }
    };
    let table: Arc<Mutex<ConnectionTable>> = Arc::default();
    loop {
        let (stream, address) = match accept(&listener, &service).await {
            None => return,
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                log::warn!(error:display; "failed to accept a connection; accepting resumes after a pause");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let open = OpenConnection::new(&table, address);
        let excess = open.excess(service.bounds().connections);
        if excess > MAX_REFUSED_CONNECTIONS {
            log::debug!(excess; "too many connections; closed one without a response");
            continue;
        }
        let service = service.clone();
        runtime::spawn(async move {
            if excess > 0 {
                open.start_phase(Phase::Answering);
                refuse_connection(stream, &service).await;
            } else {
                serve_connection(stream, &service, &open).await;
            }
            drop(open);
        });
    }
}

/// A connection in the table of the open ones, until dropped.
struct OpenConnection {
    table: Arc<Mutex<ConnectionTable>>,
    id: ConnectionId,
    /// Yields a message when the connection has to make room for another.
    close: Receiver<()>,
}

impl OpenConnection {
    fn new(table: &Arc<Mutex<ConnectionTable>>, address: IpAddr) -> OpenConnection {
        let (id, close) = lock(table).open(Instant::now(), address);
        OpenConnection {
            table: table.clone(),
            id,
            close,
        }
    }

    /// Returns the number of connections beyond `limit`, after another one has made room if possible.
    fn excess(&self, limit: usize) -> usize {
        let mut table = lock(&self.table);
        let excess = table.len().saturating_sub(limit);
        if excess > 0 && table.make_room(Instant::now(), self.id) {
            return excess - 1;
        }
        excess
    }

    fn start_phase(&self, phase: Phase) {
        lock(&self.table).start_phase(Instant::now(), self.id, phase);
    }

    /// Returns the output of `work`, or `None` if the connection has to make room first.
    async fn unless_closed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let closed = async {
            let _ = self.close.recv().await;
            None
        };
        futures_lite::future::or(async { Some(work.await) }, closed).await
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.table).remove(self.id);
    }
}

fn lock(table: &Mutex<ConnectionTable>) -> MutexGuard<'_, ConnectionTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Refuses the first request on a connection beyond the bound, then closes the connection.
async fn refuse_connection(stream: Stream, service: &HttpService) {
    let mut connection = Connection::new(stream);
    let bounds = service.bounds();
    let head = connection.read_request_head(bounds.head_bytes);
    let Some(Ok(head)) = runtime::timeout(REFUSAL_TIMEOUT, head).await else {
        return;
    };
    let refusal = Refusal::new(Kind::Overloaded, "too many connections are open")
        .with_retry_after(REFUSAL_TIMEOUT);
    let response = service.encode_refusal(&refusal);
    match write_response(&mut connection, &response, &head.method, true).await {
        Ok(()) => connection.linger(REFUSAL_TIMEOUT).await,
        Err(error) => {
            log::debug!(error:display; "failed to write the whole response; connection closed")
        }
    }
}

async fn serve_connection(stream: Stream, service: &HttpService, open: &OpenConnection) {
    if let Err(error) = stream.set_nodelay() {
        log::debug!(error:display; "failed to set TCP_NODELAY; small messages may be delayed");
    }
    silence::CALLER.apply(&stream);
    let mut connection = Connection::new(stream);
    loop {
        match serve_request(&mut connection, service, open).await {
            Ok(Disposition::KeepAlive) => {
                connection.shrink();
                open.start_phase(Phase::Idle);
            }
            Ok(Disposition::Close) => return,
            Ok(Disposition::Linger) => return connection.linger(LINGER_TIMEOUT).await,
            Err(error) => {
                log::debug!(error:display; "failed to write the whole response; connection closed");
                return;
            }
        }
    }
}

/// What happens to a connection after a request.
enum Disposition {
    /// The next request is read.
    KeepAlive,
    /// It is closed.
    Close,
    /// It is half-closed and drained, as a request was refused before it was read whole.
    Linger,
}

/// The outcome of waiting for a request on an idle connection.
enum WaitOutcome {
    /// The connection was closed or was idle for too long, or the service has stopped listening.
    Ended,
    Request,
    /// A request arrived while the service stopped; it is counted as open already.
    RequestWhileStopping(OpenRequest),
}

impl From<bool> for WaitOutcome {
    fn from(arrived: bool) -> WaitOutcome {
        if arrived {
            WaitOutcome::Request
        } else {
            WaitOutcome::Ended
        }
    }
}

/// Waits for the first byte of a request, for the idle time at most.
async fn wait_for_request(connection: &mut Connection, service: &HttpService) -> WaitOutcome {
    let idle_since = Instant::now();
    loop {
        let left = service
            .bounds()
            .idle_timeout
            .saturating_sub(idle_since.elapsed());
        let arrived = async { Some(connection.wait_for_message().await) };
        let stopped = async {
            service.wait_stopped().await;
            None
        };
        match runtime::timeout(left, futures_lite::future::or(arrived, stopped)).await {
            Some(Some(arrived)) => return arrived.into(),
            Some(None) => return wait_while_stopping(connection, service).await,
            // The idle time was raised meanwhile.
            None if idle_since.elapsed() < service.bounds().idle_timeout => {}
            None => return WaitOutcome::Ended,
        }
    }
}

/// Waits for a request that the caller sent before it could notice that the service has stopped
/// listening. Closing the connection at once would reset it, and the request would be lost.
async fn wait_while_stopping(connection: &mut Connection, service: &HttpService) -> WaitOutcome {
    let open = OpenRequest::new(service);
    match runtime::timeout(STOP_GRACE_PERIOD, connection.wait_for_message()).await {
        Some(true) => WaitOutcome::RequestWhileStopping(open),
        _ => WaitOutcome::Ended,
    }
}

async fn serve_request(
    connection: &mut Connection,
    service: &HttpService,
    open: &OpenConnection,
) -> io::Result<Disposition> {
    let arrived = open.unless_closed(wait_for_request(connection, service));
    let counted = match arrived.await {
        None | Some(WaitOutcome::Ended) => return Ok(Disposition::Close),
        Some(WaitOutcome::Request) => None,
        Some(WaitOutcome::RequestWhileStopping(request)) => Some(request),
    };
    open.start_phase(Phase::Receiving);
    let mut held = service.memory().hold(MessageKind::Request);
    let read = open.unless_closed(read_request(connection, service, &mut held));
    let read = read.await;
    open.start_phase(Phase::Answering);
    let Request { received, closes } = match read {
        Some(Ok(request)) => request,
        None => {
            let refusal = Refusal::new(Kind::RequestTimeout, "other connections need the room");
            let response = service.encode_refusal(&refusal);
            write_response(connection, &response, ASSUMED_METHOD, true).await?;
            return Ok(Disposition::Close);
        }
        Some(Err(ReadError::Disconnected)) => return Ok(Disposition::Close),
        Some(Err(ReadError::Refused(refusal, method))) => {
            let response = service.encode_refusal(&refusal);
            write_response(connection, &response, &method, true).await?;
            return Ok(Disposition::Linger);
        }
    };
    let _open = counted.unwrap_or_else(|| OpenRequest::new(service));
    let method = received.method.clone();
    let Some(response) = response_unless_closed(connection, handle(service, received)).await else {
        return Ok(Disposition::Close);
    };
    let closes = closes || service.is_closing();
    held.add_held(response.body.len());
    write_response(connection, &response, &method, closes).await?;
    Ok(if closes {
        Disposition::Close
    } else {
        Disposition::KeepAlive
    })
}

/// A request, and whether the connection is closed after its response.
struct Request {
    received: ReceivedRequest,
    closes: bool,
}

/// Why no request could be read.
enum ReadError {
    /// The caller closed the connection, or it failed.
    Disconnected,
    /// The request is refused. The method, `ASSUMED_METHOD` if it is unknown, decides whether the
    /// response has a body.
    Refused(Refusal, Arc<str>),
}

async fn read_request(
    connection: &mut Connection,
    service: &HttpService,
    held: &mut HeldBody,
) -> Result<Request, ReadError> {
    let bounds = service.bounds();
    let started = Instant::now();
    let head = runtime::timeout(
        bounds.message_timeout,
        connection.read_request_head(bounds.head_bytes),
    )
    .await;
    let refused = |refusal| ReadError::Refused(refusal, ASSUMED_METHOD.into());
    let head = match head {
        Some(Ok(head)) => head,
        Some(Err(HeadError::Truncated)) => return Err(ReadError::Disconnected),
        Some(Err(HeadError::Malformed)) => {
            let detail = "the request's head is not HTTP/1.1";
            return Err(refused(Refusal::new(Kind::BadRequest, detail)));
        }
        Some(Err(HeadError::TooLarge)) => {
            let detail = format!("at most {} bytes of head are accepted", bounds.head_bytes);
            return Err(refused(Refusal::new(Kind::HeadTooLarge, detail)));
        }
        None => return Err(refused(request_timeout(bounds))),
    };
    let refused = |refusal| ReadError::Refused(refusal, head.method.clone());
    let left = bounds.message_timeout.saturating_sub(started.elapsed());
    let body = runtime::timeout(left, read_body(connection, &head, service, held)).await;
    let body = body.unwrap_or_else(|| Err(request_timeout(bounds)));
    let body = body.map_err(refused)?;
    let method = head.method.clone();
    build_request(head, body, started).map_err(|refusal| ReadError::Refused(refusal, method))
}

async fn read_body(
    connection: &mut Connection,
    head: &RequestHead,
    service: &HttpService,
    held: &mut HeldBody,
) -> Result<BytesMut, Refusal> {
    let bounds = service.bounds();
    let truncated = || Refusal::new(Kind::BadRequest, "the body is not whole");
    if matches!(head.framing, Framing::ContentLength(length) if length > bounds.body_bytes) {
        return Err(body_too_large(bounds));
    }
    if matches!(head.framing, Framing::ContentLength(length) if !service.memory().has_room(length))
    {
        return Err(out_of_memory());
    }
    if head.fields.has_token("expect", "100-continue") {
        let interim = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| truncated())?;
    }
    let body = connection
        .read_body(head.framing, bounds.body_bytes, held)
        .await;
    body.map_err(|error| match error {
        BodyError::Truncated | BodyError::Malformed => truncated(),
        BodyError::TooLarge => body_too_large(bounds),
        BodyError::OutOfMemory => out_of_memory(),
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

fn build_request(head: RequestHead, body: BytesMut, started: Instant) -> Result<Request, Refusal> {
    let bad_request = |detail| Refusal::new(Kind::BadRequest, detail);
    if &*head.method == "CONNECT" {
        let detail = "CONNECT is not implemented: this is no proxy for connections";
        return Err(Refusal::new(Kind::MethodNotImplemented, detail));
    }
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
    let name = name.to_ascii_lowercase();
    let received = ReceivedRequest {
        host: name.into(),
        method: head.method,
        path: head.target,
        headers: head.fields.into_forwarded(),
        body: (&body[..]).into(),
        started,
    };
    Ok(Request {
        received,
        closes: head.closes,
    })
}

/// Returns the handler's response, or the refusal for an internal error if the handler panics.
async fn handle(service: &HttpService, received: ReceivedRequest) -> Answer {
    let handled = AssertUnwindSafe(async { service.handle(received).await });
    handled.catch_unwind().await.unwrap_or_else(|_| {
        log::error!("request handler panicked; the request is refused as an internal error");
        service.encode_refusal(&Refusal::new(Kind::Internal, "the daemon failed"))
    })
}

/// Returns the handler's response, or `None` if the caller closes the connection first.
async fn response_unless_closed(
    connection: &mut Connection,
    handled: impl Future<Output = Answer>,
) -> Option<Answer> {
    let disconnected = async {
        connection.wait_closed().await;
        None
    };
    futures_lite::future::or(async { Some(handled.await) }, disconnected).await
}

async fn write_response(
    connection: &mut Connection,
    response: &Answer,
    method: &str,
    closes: bool,
) -> io::Result<()> {
    let bytes = encode_response(response, method, closes);
    let written = runtime::timeout(WRITE_TIMEOUT, connection.write(&bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
