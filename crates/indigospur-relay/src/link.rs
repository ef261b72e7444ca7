//! HTTP/2 client for another daemon: one long-lived connection.

use crate::http::{CONNECT_TIMEOUT, connect};
use crate::memory::{BodyMemory, MessageKind};
use crate::metered::{CallMemory, ReceivedBody};
use crate::runtime::{self, BoxFuture, Executor};
use crate::timer::HyperTimer;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use indigospur_protocol::wire::peer::FetchRequest;
use indigospur_protocol::wire::peer::peer_client::PeerClient;
use smol_hyper::rt::FuturesIo;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tonic::body::Body;
use tonic::codegen::Service;

/// Time without received data on a connection with open streams after which an HTTP/2 PING is sent.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the PING acknowledgement; without it the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the reply to the first call on a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a reply on a connection with calls in progress after which it is probed.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Time for the reply to a call that is answered at once, such as a probe; without it the connection
/// counts as silent. A daemon whose quota of processor time is used up replies within 100 ms.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// An offset that no log record reaches, so that the reply to a fetch is empty.
const UNREACHED_OFFSET: u64 = u64::MAX;
/// Maximum encoded size of a message, in either direction.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Why a call to another daemon got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be opened, or it was closed before the call was passed to it. Nothing
    /// was sent.
    Connect,
    /// The connection failed or timed out before any call on it got a reply. The call may have run.
    Mute,
    /// The connection failed or timed out after earlier calls on it got replies. The call may have
    /// run.
    Lost,
    /// The other daemon had no memory for the message. The call has not run.
    Busy,
    /// The other daemon does not implement the call, or one side rejects a message as invalid.
    Protocol,
}

/// The transport of the generated client over one HTTP/2 connection.
#[derive(Clone, Debug)]
pub struct Channel {
    sender: SendRequest<Body>,
    /// Memory for the bodies of replies.
    memory: Arc<BodyMemory>,
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<ReceivedBody<Incoming>>;
    type Error = hyper::Error;
    type Future = BoxFuture<Result<Self::Response, Self::Error>>;

    /// Always ready. If the connection is closed, `call` fails instead, with an error which shows
    /// that nothing was sent.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let reply = self.sender.send_request(request);
        let memory = CallMemory::new(&self.memory, MessageKind::Response);
        Box::pin(async move {
            let reply = reply.await?;
            Ok(reply.map(|body| ReceivedBody::new(body, MessageKind::Response, memory)))
        })
    }
}

/// How a probe of a connection ended.
enum ProbeOutcome {
    /// The other daemon replied.
    Replied {
        /// Number that its process drew at its start; zero if it names none.
        process: u64,
    },
    /// The connection failed or is closed.
    Failed,
    NoReply,
}

/// What is known of the other side of a connection.
#[derive(Debug)]
struct Activity {
    /// Whether a call, other than a probe, got a reply.
    has_replied: AtomicBool,
    /// When the last reply arrived, of a call or of a probe.
    last_reply: Mutex<Instant>,
    /// Held by the one call that probes the connection.
    probing: async_std::sync::Mutex<()>,
    /// Whether a call that is answered at once got no reply. Never reset: the pool replaces the
    /// connection.
    is_silent: AtomicBool,
}

impl Activity {
    fn new(now: Instant) -> Activity {
        Activity {
            has_replied: AtomicBool::new(false),
            last_reply: Mutex::new(now),
            probing: async_std::sync::Mutex::new(()),
            is_silent: AtomicBool::new(false),
        }
    }

    fn last_reply(&self) -> MutexGuard<'_, Instant> {
        self.last_reply
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// When the connection is to be probed for a call that was sent at `sent`.
    fn probe_due(&self, sent: Instant) -> Instant {
        sent.max(*self.last_reply()) + QUIET_TIME
    }
}

/// A connection to another daemon; clones share it.
#[derive(Clone, Debug)]
pub struct Link {
    address: Arc<str>,
    client: PeerClient<Channel>,
    sender: SendRequest<Body>,
    /// Number that the other daemon's process drew at its start; zero if it names none.
    process: u64,
    activity: Arc<Activity>,
}

/// What a connection tells the other daemon first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Introduction {
    /// Number that this process drew at its start; zero for one whose transmissions can't be revoked.
    pub(crate) sender: u64,
    /// Number that the next transmission of a call has at least.
    pub(crate) transmission: u64,
}

impl Link {
    pub(crate) async fn open(
        address: &str,
        introduction: Introduction,
        memory: Arc<BodyMemory>,
    ) -> Result<Link, LinkError> {
        let stream = connect(address).await.map_err(|_| LinkError::Connect)?;
        let handshake = http2::Builder::new(Executor)
            .timer(HyperTimer)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(false)
            .handshake(FuturesIo::new(stream));
        let opened = runtime::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .ok_or(LinkError::Connect)?;
        let (sender, connection) = opened.map_err(|_| LinkError::Connect)?;
        let name: Arc<str> = address.into();
        let peer = name.clone();
        runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::info!(address = &*peer, error:debug; "connection to another daemon failed; calls on it are lost");
            }
        });
        let uri = format!("http://{address}")
            .parse()
            .map_err(|_| LinkError::Connect)?;
        let client = PeerClient::with_origin(
            Channel {
                sender: sender.clone(),
                memory,
            },
            uri,
        )
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let mut link = Link {
            address: name,
            client,
            sender,
            process: 0,
            activity: Arc::new(Activity::new(Instant::now())),
        };
        // The operating system accepts connections even while the daemon is suspended, and a call
        // sent then may run much later.
        match link.probe(PROBE_TIMEOUT, introduction).await {
            ProbeOutcome::Replied { process } => {
                link.process = process;
                Ok(link)
            }
            ProbeOutcome::Failed | ProbeOutcome::NoReply => Err(LinkError::Connect),
        }
    }

    async fn probe(&self, timeout: Duration, introduction: Introduction) -> ProbeOutcome {
        let mut client = self.client();
        let reply = client.fetch(FetchRequest {
            from: UNREACHED_OFFSET,
            sender: introduction.sender,
            transmission: introduction.transmission,
        });
        let process = match runtime::timeout(timeout, reply).await {
            None => return ProbeOutcome::NoReply,
            Some(Err(status)) if std::error::Error::source(&status).is_some() => {
                return ProbeOutcome::Failed;
            }
            Some(Err(_)) => 0,
            Some(Ok(reply)) => reply.into_inner().process,
        };
        *self.activity.last_reply() = Instant::now();
        ProbeOutcome::Replied { process }
    }

    /// Whether both connections lead to the same process.
    pub fn is_same_process(&self, other: &Link) -> bool {
        self.process != 0 && self.process == other.process
    }

    /// Completes once the connection counts as silent, for a call that was sent at `sent`. Probes it
    /// whenever no reply has arrived for [`QUIET_TIME`]. The call may still get its reply; the pool
    /// opens a new connection for later ones.
    pub async fn silence(&self, sent: Instant) {
        loop {
            runtime::sleep_until(self.activity.probe_due(sent)).await;
            let _probing = self.activity.probing.lock().await;
            if self.is_silent() {
                return;
            }
            if self.activity.probe_due(sent) > Instant::now() {
                continue;
            }
            // Boxed, as most calls get their reply before it is needed.
            match Box::pin(self.probe(SILENCE_TIMEOUT, Introduction::default())).await {
                ProbeOutcome::Replied { .. } => {}
                ProbeOutcome::NoReply => return self.mark_silent(),
                // The calls on the connection fail too.
                ProbeOutcome::Failed => std::future::pending().await,
            }
        }
    }

    /// Whether the pool may hand the connection out: it is neither closed nor known to be silent.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.is_silent()
    }

    fn is_silent(&self) -> bool {
        self.activity.is_silent.load(Ordering::Relaxed)
    }

    /// Marks the connection as silent: calls on it may still get replies, but the pool opens a new one
    /// for later calls.
    pub(crate) fn mark_silent(&self) {
        if !self.activity.is_silent.swap(true, Ordering::Relaxed) {
            log::info!(address = &*self.address; "connection to another daemon is silent; a new one is opened for later calls");
        }
    }

    /// Returns a generated client that sends its calls on this connection. Pass each outcome to
    /// [`Link::handle_reply`].
    pub fn client(&self) -> PeerClient<Channel> {
        self.client.clone()
    }

    /// Unwraps the outcome of a call on this connection, and remembers that the connection has
    /// worked if it is a reply.
    ///
    /// # Errors
    /// The call failed; the error tells whether it may have run.
    pub fn handle_reply<T>(
        &self,
        reply: Result<tonic::Response<T>, tonic::Status>,
    ) -> Result<T, LinkError> {
        match reply {
            Ok(reply) => {
                self.activity.has_replied.store(true, Ordering::Relaxed);
                *self.activity.last_reply() = Instant::now();
                Ok(reply.into_inner())
            }
            Err(status) if is_protocol_error(&status) => Err(LinkError::Protocol),
            Err(status) if is_busy(&status) => Err(LinkError::Busy),
            Err(status) if is_unsent(&status) => Err(LinkError::Connect),
            Err(_) if self.activity.has_replied.load(Ordering::Relaxed) => Err(LinkError::Lost),
            Err(_) => Err(LinkError::Mute),
        }
    }
}

fn is_protocol_error(status: &tonic::Status) -> bool {
    use tonic::Code::{InvalidArgument, Unimplemented};
    matches!(status.code(), InvalidArgument | Unimplemented)
}

/// Returns true if the other daemon replied that it has no memory for the message. An error of the
/// connection may have the same code, but has a source.
fn is_busy(status: &tonic::Status) -> bool {
    let is_reply = std::error::Error::source(status).is_none();
    is_reply && status.code() == tonic::Code::ResourceExhausted
}

/// Returns true if the connection was closed before the call was passed to it.
fn is_unsent(status: &tonic::Status) -> bool {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
        .filter_map(|error| error.downcast_ref::<hyper::Error>())
        .any(hyper::Error::is_canceled)
}
