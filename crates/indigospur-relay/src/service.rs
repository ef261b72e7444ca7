//! The service behind an HTTP/1.1 listener: its handler, its bounds and how it is stopped.

use crate::memory::BodyMemory;
use crate::runtime::BoxFuture;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_protocol::{Answer, Header, Refusal, find_header};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Bounds on the connections and requests of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections; a request on a further one is refused.
    pub connections: usize,
    /// Time for a whole request to arrive, head and body, from its first byte.
    pub message_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            head_bytes: 8 * 1024,
            body_bytes: 64 * 1024,
            connections: 256,
            message_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A request that was received with its whole body.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, as sent.
    pub method: Arc<str>,
    /// Value of the `Host` field without the port, in lower case; empty if the request has none.
    pub host: Arc<str>,
    /// Request target, as sent: usually the path with its query.
    pub path: Arc<str>,
    /// Fields without those that apply to one connection or to the framing. Names are in lower case.
    pub headers: Vec<Header>,
    /// Content, without its framing.
    pub body: Arc<[u8]>,
    /// When its first byte was read from the connection, perhaps behind other requests whose
    /// responses come first.
    pub started: Instant,
}

impl ReceivedRequest {
    /// Returns the first value of a field if it is UTF-8; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Handles a request and returns the response. The future is dropped if the caller closes the
/// connection. A panic is caught, and the request is refused with `Kind::Internal`.
pub type Handler = Arc<dyn Fn(ReceivedRequest) -> BoxFuture<Answer> + Send + Sync>;
/// Encodes a refusal as a response.
pub type RefusalEncoder = Arc<dyn Fn(&Refusal) -> Answer + Send + Sync>;

/// A handler with its bounds; clones share the bounds and the state. The owner changes the bounds and
/// stops the service through a clone while [`serve_http`](crate::serve_http) runs.
#[derive(Clone)]
pub struct HttpService {
    handler: Handler,
    refusal_encoder: RefusalEncoder,
    bounds: Arc<Mutex<Bounds>>,
    memory: Arc<BodyMemory>,
    /// Whether each response announces that its connection is closed.
    closing: Arc<AtomicBool>,
    /// Requests that were read and whose responses are not written yet. While the service stops,
    /// also the connections on which a request may still arrive.
    open_requests: Arc<AtomicUsize>,
    /// Nothing is sent on this channel. It is closed to stop accepting connections.
    stop_signal: (Sender<()>, Receiver<()>),
}

impl std::fmt::Debug for HttpService {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = formatter.debug_struct("HttpService");
        debug
            .field("bounds", &self.bounds())
            .finish_non_exhaustive()
    }
}

impl HttpService {
    /// Creates a service. `handler` handles the requests; `refusal_encoder` encodes the responses
    /// to requests that can't be read or that exceed the bounds, and to those whose handler panics.
    pub fn new(bounds: Bounds, handler: Handler, refusal_encoder: RefusalEncoder) -> HttpService {
        HttpService {
            handler,
            refusal_encoder,
            bounds: Arc::new(Mutex::new(bounds)),
            memory: Arc::default(),
            closing: Arc::default(),
            open_requests: Arc::default(),
            stop_signal: bounded(1),
        }
    }

    /// Counts the bodies of requests and responses in `memory`. A request for whose body there is none
    /// left is refused with `Kind::Overloaded`.
    pub fn with_memory(mut self, memory: Arc<BodyMemory>) -> HttpService {
        self.memory = memory;
        self
    }

    pub(crate) fn memory(&self) -> &Arc<BodyMemory> {
        &self.memory
    }

    /// Replaces the bounds. They apply to requests and connections that arrive later; a changed
    /// idle time also applies to connections that are idle already, once their previous one has
    /// passed.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Returns the current bounds.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends `connection: close` with each further response, and closes the connection after it.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections, after those that are pending already. Idle connections are
    /// closed if no request arrives on them within a short grace period.
    pub fn stop_listening(&self) {
        self.stop_signal.0.close();
    }

    /// Returns the number of requests that were read and whose responses are not written yet. While
    /// the service stops, connections on which a request may still arrive count as well.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Returns true if connections are closed after the last request that was read.
    pub(crate) fn is_stopping(&self) -> bool {
        self.closing.load(Ordering::Relaxed) || self.stop_signal.1.is_closed()
    }

    /// Waits until the service stops listening.
    pub(crate) async fn wait_stopped(&self) {
        // Nothing is sent; `recv` returns once the channel is closed.
        let _ = self.stop_signal.1.recv().await;
    }

    pub(crate) fn encode_refusal(&self, refusal: &Refusal) -> Answer {
        (self.refusal_encoder)(refusal)
    }

    pub(crate) fn handle(&self, received: ReceivedRequest) -> BoxFuture<Answer> {
        (self.handler)(received)
    }
}

/// Counts a request as open until dropped, when its response is written or the caller has
/// disconnected.
pub(crate) struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    pub(crate) fn new(service: &HttpService) -> OpenRequest {
        service.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(service.open_requests.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
