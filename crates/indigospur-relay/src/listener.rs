//! HTTP/1.1 as a server: one task a connection, bounded heads, bodies and connections.

use crate::connection::{BodyError, Connection};
use crate::head::{Framing, HeadError, RequestHead};
use crate::runtime::{self, BoxFuture};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use indigospur_protocol::{Answer, Header, Kind, Refusal};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Pause after a connection could not be accepted, as when descriptors have run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time in which a caller must read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bounds of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
    /// Most connections.
    pub connections: usize,
    /// Time in which a head must arrive once it has begun, and a body after it.
    pub message: Duration,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            head: 8 * 1024,
            body: 64 * 1024,
            connections: 256,
            message: Duration::from_secs(30),
            idle: Duration::from_secs(60),
        }
    }
}

/// A request as received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Method in upper case.
    pub method: Arc<str>,
    /// Value of the `Host` header without the port, in lower case.
    pub host: Arc<str>,
    /// Path with its query, as sent.
    pub path: Arc<str>,
    /// Headers that are passed on, and the daemon's own.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Arc<[u8]>,
}

impl Received {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| &*header.name == name)?;
        std::str::from_utf8(&found.value).ok()
    }
}

/// Answers one request.
pub type Handler = Arc<dyn Fn(Received) -> BoxFuture<Answer> + Send + Sync>;
/// The HTTP form of a refusal.
pub type Refuse = Arc<dyn Fn(&Refusal) -> Answer + Send + Sync>;

/// What a listener serves, and how it may be changed while it does.
#[derive(Clone)]
pub struct HttpService {
    handler: Handler,
    refuse: Refuse,
    bounds: Arc<Mutex<Bounds>>,
    closing: Arc<AtomicBool>,
    /// Requests that were read and are not answered yet.
    open: Arc<AtomicUsize>,
    /// Closed when no more connections are accepted.
    listening: (Sender<()>, Receiver<()>),
}

impl std::fmt::Debug for HttpService {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = formatter.debug_struct("HttpService");
        shown
            .field("bounds", &self.bounds())
            .finish_non_exhaustive()
    }
}

impl HttpService {
    /// A service that answers by `handler`, and by `refuse` where a request can't be read.
    pub fn new(bounds: Bounds, handler: Handler, refuse: Refuse) -> HttpService {
        HttpService {
            handler,
            refuse,
            bounds: Arc::new(Mutex::new(bounds)),
            closing: Arc::default(),
            open: Arc::default(),
            listening: bounded(1),
        }
    }

    /// Changes the bounds for what is read from now on.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces with each answer from now on that its connection is closed.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Accepts the connections that wait already, and none after them.
    pub fn stop_listening(&self) {
        self.listening.0.close();
    }

    /// Requests that were read and whose answers are not written yet.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }
}

/// A request that was read, until it is answered or its caller has gone.
struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    fn new(service: &HttpService) -> OpenRequest {
        service.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(service.open.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The next connection; `None` once the service has stopped listening and none waits.
async fn accept(listener: &TcpListener, service: &HttpService) -> Option<io::Result<TcpStream>> {
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    let stopped = async {
        // Nothing is ever sent: this ends when the channel is closed.
        let _ = service.listening.1.recv().await;
        None
    };
    futures_lite::future::or(accepted, stopped).await
}

/// Serves connections until the service stops listening. The handler's future is dropped when its caller
/// goes away.
pub async fn serve_http(listener: TcpListener, service: HttpService) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match accept(&listener, &service).await {
            None => return,
            Some(Ok(stream)) => stream,
            Some(Err(error)) => {
                log::warn!(error:display; "a connection could not be accepted");
                runtime::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.fetch_add(1, Ordering::Relaxed) >= service.bounds().connections {
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let (open, service) = (open.clone(), service.clone());
        runtime::spawn(async move {
            serve_connection(stream, &service).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(stream: TcpStream, service: &HttpService) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:display; "a connection delays small messages");
    }
    let mut connection = Connection::new(stream);
    while let Ok(true) = serve_request(&mut connection, service).await {
        connection.shrink();
    }
    connection.close().await;
}

/// Serves one request; whether another may follow on the connection.
async fn serve_request(connection: &mut Connection, service: &HttpService) -> io::Result<bool> {
    let bounds = service.bounds();
    if runtime::within(bounds.idle, connection.begins()).await != Some(true) {
        return Ok(false);
    }
    let bounds = service.bounds();
    let reading = read_request(connection, bounds);
    let received = match runtime::within(bounds.message, reading).await {
        Some(Ok(received)) => received,
        Some(Err(Unread::Gone)) | None => return Ok(false),
        Some(Err(Unread::Refused(refusal))) => {
            let answer = (service.refuse)(&refusal);
            write(connection, &answer, "GET", true).await?;
            return Ok(false);
        }
    };
    let _open = OpenRequest::new(service);
    let Request { received, closes } = received;
    let method = received.method.clone();
    let handled = (service.handler)(received);
    let Some(answer) = answer_or_closed(connection, handled).await else {
        return Ok(false);
    };
    let closes = closes || service.is_closing();
    write(connection, &answer, &method, closes).await?;
    Ok(!closes)
}

/// A request, and whether its sender closes the connection after it.
struct Request {
    received: Received,
    closes: bool,
}

/// Why a request was not read.
enum Unread {
    /// The connection ended.
    Gone,
    /// It is turned away.
    Refused(Refusal),
}

impl From<Refusal> for Unread {
    fn from(refusal: Refusal) -> Self {
        Unread::Refused(refusal)
    }
}

async fn read_request(connection: &mut Connection, bounds: Bounds) -> Result<Request, Unread> {
    let head = connection.read_request_head(bounds.head).await;
    let head = head.map_err(|error| match error {
        HeadError::Ended => Unread::Gone,
        HeadError::Malformed => {
            Refusal::new(Kind::BadRequest, "the request's head is not HTTP/1.1").into()
        }
        HeadError::TooLarge => {
            let detail = format!("at most {} bytes of head are accepted", bounds.head);
            Refusal::new(Kind::HeadTooLarge, detail).into()
        }
    })?;
    if matches!(head.framing, Framing::Length(length) if length > bounds.body) {
        return Err(too_large(bounds).into());
    }
    if head.fields.lists("expect", "100-continue") {
        let interim = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| Unread::Gone)?;
    }
    let body = connection.read_body(head.framing, bounds.body).await;
    let body = body.map_err(|error| match error {
        BodyError::Ended | BodyError::Malformed => {
            Unread::from(Refusal::new(Kind::BadRequest, "the body is not whole"))
        }
        BodyError::TooLarge => too_large(bounds).into(),
    })?;
    Ok(receive(head, body)?)
}

fn too_large(bounds: Bounds) -> Refusal {
    let detail = format!("at most {} bytes of body are accepted", bounds.body);
    Refusal::new(Kind::BodyTooLarge, detail)
}

fn receive(head: RequestHead, body: Vec<u8>) -> Result<Request, Refusal> {
    let hosts: Vec<&str> = head.fields.values("host").collect();
    if hosts.len() > 1 {
        let detail = "the request names two hosts";
        return Err(Refusal::new(Kind::BadRequest, detail));
    }
    let host = hosts.first().copied().unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let name = name.to_ascii_lowercase();
    let received = Received {
        host: name.into(),
        method: head.method,
        path: head.target,
        headers: head.fields.pass_on(),
        body: body.into(),
    };
    Ok(Request {
        received,
        closes: head.closes,
    })
}

/// The handler's answer, or `None` if the caller went away first.
async fn answer_or_closed(
    connection: &mut Connection,
    handled: BoxFuture<Answer>,
) -> Option<Answer> {
    let closed = async {
        connection.closed().await;
        None
    };
    futures_lite::future::or(async { Some(handled.await) }, closed).await
}

async fn write(
    connection: &mut Connection,
    answer: &Answer,
    method: &str,
    closes: bool,
) -> io::Result<()> {
    let bytes = encode(answer, method, closes);
    let written = runtime::within(WRITE_TIMEOUT, connection.write(&bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// The bytes of an answer.
fn encode(answer: &Answer, method: &str, closes: bool) -> Vec<u8> {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = Vec::with_capacity(512 + answer.body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for header in &answer.headers {
        append_header(&mut bytes, header);
    }
    if closes {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    let has_body = method != "HEAD" && status != 204 && status != 304;
    if has_body {
        let length = format!("content-length: {}\r\n", answer.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if has_body {
        bytes.extend_from_slice(&answer.body);
    }
    bytes
}

/// Appends a header line, unless its value would end the line.
pub(crate) fn append_header(bytes: &mut Vec<u8>, header: &Header) {
    let breaks = |byte: &u8| matches!(byte, b'\r' | b'\n' | 0);
    if header.value.iter().any(breaks) {
        log::warn!(header = &*header.name; "a header that breaks the framing is left out");
        return;
    }
    bytes.extend_from_slice(header.name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(&header.value);
    bytes.extend_from_slice(b"\r\n");
}
