//! Long-lived HTTP/2 connections to other daemons.

use crate::alarm::AlarmTimer;
use crate::http::{CONNECT_TIMEOUT, connect};
use crate::runtime::{self, BoxFuture, Executor};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use indigospur_protocol::wire::peer::peer_client::PeerClient;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tonic::body::Body;
use tonic::codegen::Service;

/// Silence on a connection with calls under way after which it is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Time in which the sign of life must arrive; else the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections kept. Gossip goes to any daemon, so that without a bound each would keep one to all.
const MOST_LINKS: usize = 64;
/// Largest message, in bytes.
pub(crate) const LARGEST_MESSAGE: usize = 8 * 1024 * 1024;

/// Why a message got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be opened, or it ended before the message: nothing was sent.
    Connect,
    /// The connection broke or went silent; nothing was ever heard on it.
    Mute,
    /// The connection broke or went silent after it had worked.
    Lost,
    /// The other side does not speak the protocol.
    Protocol,
}

/// A channel for the generated client over one connection.
#[derive(Clone, Debug)]
pub struct Channel {
    sender: SendRequest<Body>,
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = BoxFuture<Result<Self::Response, Self::Error>>;

    /// Always ready: of a connection that has ended, the call tells that nothing was sent.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}

/// A connection to another daemon.
#[derive(Clone, Debug)]
pub struct Link {
    client: PeerClient<Channel>,
    sender: SendRequest<Body>,
    answered: Arc<AtomicBool>,
}

impl Link {
    async fn open(address: &str) -> Result<Link, LinkError> {
        let stream = connect(address).await.map_err(|_| LinkError::Connect)?;
        let handshake = http2::Builder::new(Executor)
            .timer(AlarmTimer)
            .keep_alive_interval(PING_AFTER)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(false)
            .handshake(FuturesIo::new(stream));
        let opened = runtime::within(CONNECT_TIMEOUT, handshake)
            .await
            .ok_or(LinkError::Connect)?;
        let (sender, connection) = opened.map_err(|_| LinkError::Connect)?;
        runtime::spawn(connection);
        let uri = format!("http://{address}")
            .parse()
            .map_err(|_| LinkError::Connect)?;
        let client = PeerClient::with_origin(
            Channel {
                sender: sender.clone(),
            },
            uri,
        )
        .max_decoding_message_size(LARGEST_MESSAGE)
        .max_encoding_message_size(LARGEST_MESSAGE);
        Ok(Link {
            client,
            sender,
            answered: Arc::default(),
        })
    }

    /// The generated client.
    pub fn client(&self) -> PeerClient<Channel> {
        self.client.clone()
    }

    /// Takes in a reply or a failure on this connection.
    ///
    /// # Errors
    /// The message got no reply.
    pub fn settle<T>(
        &self,
        reply: Result<tonic::Response<T>, tonic::Status>,
    ) -> Result<T, LinkError> {
        match reply {
            Ok(reply) => {
                self.answered.store(true, Ordering::Relaxed);
                Ok(reply.into_inner())
            }
            Err(status) if is_protocol(&status) => Err(LinkError::Protocol),
            Err(status) if is_unsent(&status) => Err(LinkError::Connect),
            Err(_) if self.answered.load(Ordering::Relaxed) => Err(LinkError::Lost),
            Err(_) => Err(LinkError::Mute),
        }
    }
}

fn is_protocol(status: &tonic::Status) -> bool {
    use tonic::Code::{InvalidArgument, Unimplemented};
    matches!(status.code(), InvalidArgument | Unimplemented)
}

/// Whether the connection had ended before the message was handed to it.
fn is_unsent(status: &tonic::Status) -> bool {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
        .filter_map(|error| error.downcast_ref::<hyper::Error>())
        .any(hyper::Error::is_canceled)
}

/// A connection and its last use.
#[derive(Debug)]
struct Kept {
    link: Link,
    used: Instant,
}

/// The connections to other daemons, one for each address, the latest used.
#[derive(Debug, Default)]
pub struct Links {
    /// At most `MOST_LINKS`; calls under way keep a connection open that was dropped here.
    links: Mutex<HashMap<Arc<str>, Kept>>,
}

impl Links {
    /// The connection to an address; opens one if there is none that works.
    ///
    /// # Errors
    /// No connection could be opened.
    pub async fn get(&self, address: &Arc<str>) -> Result<Link, LinkError> {
        if let Some(link) = self.working(address) {
            return Ok(link);
        }
        let link = Link::open(address).await?;
        let mut links = self.lock();
        drop_least_used(&mut links);
        links.insert(
            address.clone(),
            Kept {
                link: link.clone(),
                used: Instant::now(),
            },
        );
        Ok(link)
    }

    fn working(&self, address: &str) -> Option<Link> {
        let mut links = self.lock();
        let kept = links
            .get_mut(address)
            .filter(|kept| !kept.link.sender.is_closed())?;
        kept.used = Instant::now();
        Some(kept.link.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Arc<str>, Kept>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes room for another connection.
fn drop_least_used(links: &mut HashMap<Arc<str>, Kept>) {
    links.retain(|_, kept| !kept.link.sender.is_closed());
    while links.len() >= MOST_LINKS {
        let least = links
            .iter()
            .min_by_key(|(_, kept)| kept.used)
            .map(|(address, _)| address.clone());
        let Some(least) = least else { break };
        links.remove(&least);
    }
}
