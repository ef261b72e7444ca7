//! HTTP/1.1 server with one task for each connection, and bounds on heads, bodies and connections.

use crate::connection::Connection;
use crate::connections::{ConnectionId, ConnectionTable, Phase};
use crate::runtime;
use crate::service::HttpService;
use crate::serving::{serve_connection, write_response};
use crate::stream::{Acceptor, Stream};
use async_std::channel::Receiver;
use async_std::net::TcpListener;
use indigospur_protocol::{Kind, Refusal};
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay after accepting a connection failed, for example because no file descriptor was free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of connections beyond the bound that are refused with a response; further ones are
/// closed without.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Time for reading the request on a connection beyond the bound, and for draining it after the
/// refusal; also the `retry-after` of that refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

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
pub(crate) struct OpenConnection {
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

    pub(crate) fn start_phase(&self, phase: Phase) {
        lock(&self.table).start_phase(Instant::now(), self.id, phase);
    }

    /// Returns the output of `work`, or `None` if the connection has to make room first.
    pub(crate) async fn unless_closed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
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
