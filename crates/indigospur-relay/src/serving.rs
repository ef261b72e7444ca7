//! Serves the requests of one connection. Nearly all callers send one request at a time; the first that
//! arrives while another is handled hands the connection to [`PipelinedConnection`], until all are
//! answered.

use crate::connection::Connection;
use crate::connections::Phase;
use crate::encode::encode_response;
use crate::handling::Handling;
use crate::listener::OpenConnection;
use crate::memory::{HeldBody, MessageKind};
use crate::pipelined::{Exchange, PipelinedConnection, Step};
use crate::request::{ASSUMED_METHOD, ReadError, Request, read_request};
use crate::runtime;
use crate::service::{HttpService, OpenRequest};
use crate::silence;
use crate::stream::Stream;
use futures_lite::future::{or, poll_fn};
use indigospur_protocol::{Answer, Kind, Refusal};
use std::io;
use std::time::{Duration, Instant};

/// Time for writing a response, within which the caller must read it.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which what the caller still sends is read and discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which open connections wait for a request once the service has stopped listening.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// What happens to a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// The next request is read.
    KeepAlive,
    /// It is closed.
    Close,
    /// It is half-closed and drained, as the caller may have sent more than was read.
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

/// Serves a connection until it is closed.
pub(crate) async fn serve_connection(stream: Stream, service: &HttpService, open: &OpenConnection) {
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
        match runtime::timeout(left, or(arrived, stopped)).await {
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

/// Serves the next request of a connection, and those that arrive before its response is written.
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
    let request = match read {
        Some(Ok(request)) => request,
        None => return refuse_for_room(connection, service).await,
        Some(Err(ReadError::Disconnected)) => return Ok(Disposition::Close),
        Some(Err(ReadError::Refused(refusal, method) | ReadError::Truncated(refusal, method))) => {
            let response = service.encode_refusal(&refusal);
            write_response(connection, &response, &method, true).await?;
            return Ok(Disposition::Linger);
        }
    };
    let counted = counted.unwrap_or_else(|| OpenRequest::new(service));
    answer_request(
        connection,
        service,
        open,
        Accepted {
            request,
            held,
            counted,
        },
    )
    .await
}

/// Refuses a half-sent request of a connection that is closed to make room for others.
async fn refuse_for_room(
    connection: &mut Connection,
    service: &HttpService,
) -> io::Result<Disposition> {
    let refusal = Refusal::new(Kind::RequestTimeout, "other connections need the room");
    let response = service.encode_refusal(&refusal);
    write_response(connection, &response, ASSUMED_METHOD, true).await?;
    Ok(Disposition::Close)
}

/// A request that was read, with what is counted for it.
struct Accepted {
    request: Request,
    held: HeldBody,
    counted: OpenRequest,
}

/// What happens first while a request is handled.
enum Event {
    Response(Answer),
    /// The caller has closed the connection.
    Disconnected,
    /// A further request begins to arrive.
    FurtherRequest,
}

async fn answer_request(
    connection: &mut Connection,
    service: &HttpService,
    open: &OpenConnection,
    accepted: Accepted,
) -> io::Result<Disposition> {
    let Accepted {
        request,
        mut held,
        counted,
    } = accepted;
    let closes = request.closes;
    let method = request.received.method.clone();
    let path = request.received.path.clone();
    let mut handling = Handling::start(service, request.received);
    let handled = poll_fn(|context| handling.poll(service, context));
    let response = match first_event(connection, handled, closes).await {
        Event::Response(response) => response,
        Event::Disconnected => return Ok(Disposition::Close),
        Event::FurtherRequest => {
            let mut pipelined = PipelinedConnection::new(connection, service);
            pipelined.add_running(Exchange::new(method, path, held, counted), handling);
            return match serve_pipelined(pipelined, open).await? {
                Some(disposition) => Ok(disposition),
                None => refuse_for_room(connection, service).await,
            };
        }
    };
    let stops = service.is_stopping();
    held.add_held(response.body.len());
    write_response(connection, &response, &method, closes || stops).await?;
    // A caller that did not ask for the close may have sent more, and bytes left unread would reset
    // the connection.
    Ok(if stops || closes && connection.buffered() > 0 {
        Disposition::Linger
    } else if closes {
        Disposition::Close
    } else {
        Disposition::KeepAlive
    })
}

/// Waits for a response. A further request is noticed unless the connection `closes` after this one.
async fn first_event(
    connection: &mut Connection,
    handled: impl Future<Output = Answer>,
    closes: bool,
) -> Event {
    let received = async {
        if closes {
            connection.wait_closed().await;
            return Event::Disconnected;
        }
        match connection.wait_for_message().await {
            true => Event::FurtherRequest,
            false => Event::Disconnected,
        }
    };
    or(async { Event::Response(handled.await) }, received).await
}

/// Serves pipelined requests until all that were read are answered and no further one has begun.
/// Returns `None` if the connection has to make room while a request arrives.
async fn serve_pipelined(
    mut pipelined: PipelinedConnection<'_>,
    open: &OpenConnection,
) -> io::Result<Option<Disposition>> {
    loop {
        match poll_fn(|context| pipelined.poll(context)).await? {
            Step::Ended(disposition) => return Ok(Some(disposition)),
            Step::Receiving => {
                open.start_phase(Phase::Receiving);
                let received = poll_fn(|context| pipelined.poll_receive(context));
                let received = open.unless_closed(received).await;
                open.start_phase(Phase::Answering);
                if received.is_none() {
                    return Ok(None);
                }
            }
        }
    }
}

/// Writes a response, within `WRITE_TIMEOUT`.
pub(crate) async fn write_response(
    connection: &mut Connection,
    response: &Answer,
    method: &str,
    closes: bool,
) -> io::Result<()> {
    let bytes = encode_response(response, method, closes);
    let written = runtime::timeout(WRITE_TIMEOUT, connection.write(&bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
