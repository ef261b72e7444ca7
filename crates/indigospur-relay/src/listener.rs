//! HTTP/1.1 as a server: one task a connection, bounded heads, bodies and connections.

use crate::connection::{BodyError, Connection};
use crate::encode::encode_answer;
use crate::head::{Framing, HeadError, RequestHead, Several};
use crate::runtime;
use crate::service::{Bounds, HttpService, OpenRequest, Received};
use async_std::net::{TcpListener, TcpStream};
use futures_lite::FutureExt;
use indigospur_protocol::{Answer, Kind, Refusal};
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Pause after a connection could not be accepted, as when descriptors have run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time in which a caller must read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the rest of a refused request is read.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Time in which requests that are on their way come in once the service has stopped listening.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// Connections beyond the bound that are answered before they are closed.
const MOST_TURNED_AWAY: usize = 64;
/// Time for which a connection beyond the bound is kept, and after which its caller may come back.
const TURN_AWAY_TIME: Duration = Duration::from_secs(1);
/// Stands for the method of a request whose head was not understood.
const UNKNOWN_METHOD: &str = "GET";

/// The next connection; `None` once the service has stopped listening and none waits.
async fn accept(listener: &TcpListener, service: &HttpService) -> Option<io::Result<TcpStream>> {
    let accepted = async { Some(listener.accept().await) };
    let stopped = async {
        service.stopped().await;
        None
    };
    let accepted = match futures_lite::future::or(accepted, stopped).await {
        Some(accepted) => accepted,
        // A connection that waits may not have been noticed yet; one closed with the listener is reset.
        None => futures_lite::future::poll_once(listener.accept()).await?,
    };
    Some(accepted.map(|(stream, _)| stream))
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
        let place = Place::take(&open);
        let beyond = place.number.saturating_sub(service.bounds().connections);
        if beyond > MOST_TURNED_AWAY {
            log::debug!(open = place.number; "a connection was closed at once");
            continue;
        }
        let service = service.clone();
        runtime::spawn(async move {
            if beyond > 0 {
                turn_away(stream, &service).await;
            } else {
                serve_connection(stream, &service).await;
            }
            drop(place);
        });
    }
}

/// A connection among those that are open, until it is dropped.
struct Place {
    open: Arc<AtomicUsize>,
    /// Connections that were open when it was taken, itself included.
    number: usize,
}

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Place {
        Place {
            number: open.fetch_add(1, Ordering::Relaxed) + 1,
            open: open.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Refuses the one request of a connection beyond the bound.
async fn turn_away(stream: TcpStream, service: &HttpService) {
    let mut connection = Connection::new(stream);
    let bounds = service.bounds();
    let head = connection.read_request_head(bounds.head);
    let Some(Ok(head)) = runtime::within(TURN_AWAY_TIME, head).await else {
        return;
    };
    let refusal = Refusal::new(Kind::Overloaded, "too many connections are open")
        .with_retry_after(TURN_AWAY_TIME);
    let answer = service.refuse(&refusal);
    match write(&mut connection, &answer, &head.method, true).await {
        Ok(()) => connection.linger(TURN_AWAY_TIME).await,
        Err(error) => log::debug!(error:display; "an answer was not written whole"),
    }
}

async fn serve_connection(stream: TcpStream, service: &HttpService) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:display; "a connection delays small messages");
    }
    let mut connection = Connection::new(stream);
    loop {
        match serve_request(&mut connection, service).await {
            Ok(Next::Request) => connection.shrink(),
            Ok(Next::Close) => return,
            Ok(Next::Rest) => return connection.linger(LINGER_TIME).await,
            Err(error) => {
                log::debug!(error:display; "an answer was not written whole");
                return;
            }
        }
    }
}

/// What follows on a connection.
enum Next {
    /// Another request.
    Request,
    /// Nothing.
    Close,
    /// The rest of a request that was refused before it was read whole.
    Rest,
}

/// Whether a request has begun on a connection.
enum Begun {
    /// No: the connection ended, was idle for too long, or the service has stopped listening.
    No,
    Yes,
    /// It came in while the service stopped; it counts as open already.
    Late(OpenRequest),
}

impl From<bool> for Begun {
    fn from(begun: bool) -> Begun {
        if begun { Begun::Yes } else { Begun::No }
    }
}

/// Waits for a request.
async fn begins(connection: &mut Connection, service: &HttpService) -> Begun {
    let idle = Instant::now();
    loop {
        let left = service.bounds().idle.saturating_sub(idle.elapsed());
        let begun = async { Some(connection.begins().await) };
        let stopped = async {
            service.stopped().await;
            None
        };
        match runtime::within(left, futures_lite::future::or(begun, stopped)).await {
            Some(Some(begun)) => return begun.into(),
            Some(None) => return arrives(connection, service).await,
            // The bound may have grown meanwhile.
            None if idle.elapsed() < service.bounds().idle => {}
            None => return Begun::No,
        }
    }
}

/// Waits for a request that was sent before its caller could know that the service has stopped
/// listening. To close on it would reset it.
async fn arrives(connection: &mut Connection, service: &HttpService) -> Begun {
    let open = OpenRequest::new(service);
    match runtime::within(ARRIVAL_TIME, connection.begins()).await {
        Some(true) => Begun::Late(open),
        _ => Begun::No,
    }
}

async fn serve_request(connection: &mut Connection, service: &HttpService) -> io::Result<Next> {
    let late = match begins(connection, service).await {
        Begun::No => return Ok(Next::Close),
        Begun::Yes => None,
        Begun::Late(open) => Some(open),
    };
    let Request { received, closes } = match read_request(connection, service.bounds()).await {
        Ok(request) => request,
        Err(Unread::Gone) => return Ok(Next::Close),
        Err(Unread::Refused(refusal, method)) => {
            let answer = service.refuse(&refusal);
            write(connection, &answer, &method, true).await?;
            return Ok(Next::Rest);
        }
    };
    let _open = late.unwrap_or_else(|| OpenRequest::new(service));
    let method = received.method.clone();
    let Some(answer) = answer_or_closed(connection, handle(service, received)).await else {
        return Ok(Next::Close);
    };
    let closes = closes || service.is_closing();
    write(connection, &answer, &method, closes).await?;
    Ok(if closes { Next::Close } else { Next::Request })
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
    /// It is turned away, with its method as far as that is known.
    Refused(Refusal, Arc<str>),
}

async fn read_request(connection: &mut Connection, bounds: Bounds) -> Result<Request, Unread> {
    let begun = Instant::now();
    let head = runtime::within(bounds.message, connection.read_request_head(bounds.head)).await;
    let refused = |refusal| Unread::Refused(refusal, UNKNOWN_METHOD.into());
    let head = match head {
        Some(Ok(head)) => head,
        Some(Err(HeadError::Ended)) => return Err(Unread::Gone),
        Some(Err(HeadError::Malformed)) => {
            let detail = "the request's head is not HTTP/1.1";
            return Err(refused(Refusal::new(Kind::BadRequest, detail)));
        }
        Some(Err(HeadError::TooLarge)) => {
            let detail = format!("at most {} bytes of head are accepted", bounds.head);
            return Err(refused(Refusal::new(Kind::HeadTooLarge, detail)));
        }
        None => return Err(refused(too_slow(bounds))),
    };
    let refused = |refusal| Unread::Refused(refusal, head.method.clone());
    let left = bounds.message.saturating_sub(begun.elapsed());
    let body = runtime::within(left, read_body(connection, &head, bounds)).await;
    let body = body.unwrap_or_else(|| Err(too_slow(bounds)));
    let body = body.map_err(refused)?;
    let method = head.method.clone();
    receive(head, body, begun).map_err(|refusal| Unread::Refused(refusal, method))
}

async fn read_body(
    connection: &mut Connection,
    head: &RequestHead,
    bounds: Bounds,
) -> Result<Vec<u8>, Refusal> {
    let not_whole = || Refusal::new(Kind::BadRequest, "the body is not whole");
    if matches!(head.framing, Framing::Length(length) if length > bounds.body) {
        return Err(too_large(bounds));
    }
    if head.fields.lists("expect", "100-continue") {
        let interim = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| not_whole())?;
    }
    let body = connection.read_body(head.framing, bounds.body).await;
    body.map_err(|error| match error {
        BodyError::Ended | BodyError::Malformed => not_whole(),
        BodyError::TooLarge => too_large(bounds),
    })
}

fn too_slow(bounds: Bounds) -> Refusal {
    let detail = format!("the request was not whole within {:?}", bounds.message);
    Refusal::new(Kind::RequestTimeout, detail)
}

fn too_large(bounds: Bounds) -> Refusal {
    let detail = format!("at most {} bytes of body are accepted", bounds.body);
    Refusal::new(Kind::BodyTooLarge, detail)
}

fn receive(head: RequestHead, body: Vec<u8>, begun: Instant) -> Result<Request, Refusal> {
    let bad = |detail| Refusal::new(Kind::BadRequest, detail);
    let host = match head.fields.only("host") {
        Ok(host) => host.unwrap_or_default(),
        Err(Several) => return Err(bad("the request names two hosts")),
    };
    let plain = host.iter().all(u8::is_ascii_graphic);
    let host = std::str::from_utf8(host).ok().filter(|_| plain);
    let host = host.ok_or_else(|| bad("the name of the host is not plain ASCII"))?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let name = name.to_ascii_lowercase();
    let received = Received {
        host: name.into(),
        method: head.method,
        path: head.target,
        headers: head.fields.pass_on(),
        body: body.into(),
        begun,
    };
    Ok(Request {
        received,
        closes: head.closes,
    })
}

/// The handler's answer; a handler that panics is answered for.
async fn handle(service: &HttpService, received: Received) -> Answer {
    let handled = AssertUnwindSafe(async { service.handle(received).await });
    handled.catch_unwind().await.unwrap_or_else(|_| {
        log::error!("a handler panicked");
        service.refuse(&Refusal::new(Kind::Internal, "the daemon failed"))
    })
}

/// The handler's answer, or `None` if the caller went away first.
async fn answer_or_closed(
    connection: &mut Connection,
    handled: impl Future<Output = Answer>,
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
    let bytes = encode_answer(answer, method, closes);
    let written = runtime::within(WRITE_TIMEOUT, connection.write(&bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
