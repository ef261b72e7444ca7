//! What an HTTP/1.1 listener serves, and within which bounds.

use crate::runtime::BoxFuture;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_protocol::{Answer, Header, Refusal};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

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
    /// When it began to arrive.
    pub begun: Instant,
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

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Waits until the service stops listening.
    pub(crate) async fn stopped(&self) {
        // Nothing is ever sent: this ends when the channel is closed.
        let _ = self.listening.1.recv().await;
    }

    pub(crate) fn refuse(&self, refusal: &Refusal) -> Answer {
        (self.refuse)(refusal)
    }

    pub(crate) fn handle(&self, received: Received) -> BoxFuture<Answer> {
        (self.handler)(received)
    }
}

/// A request that was read, until it is answered or its caller has gone.
pub(crate) struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    pub(crate) fn new(service: &HttpService) -> OpenRequest {
        service.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(service.open.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
