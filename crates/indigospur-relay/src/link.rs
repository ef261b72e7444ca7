//! A long-lived HTTP/2 connection to another daemon.

use crate::alarm::AlarmTimer;
use crate::http::{CONNECT_TIMEOUT, connect};
use crate::runtime::{self, BoxFuture, Executor};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use indigospur_protocol::wire::peer::FetchRequest;
use indigospur_protocol::wire::peer::peer_client::PeerClient;
use smol_hyper::rt::FuturesIo;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::Body;
use tonic::codegen::Service;

/// Silence on a connection with calls under way after which it is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Time in which the sign of life must arrive; else the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a new connection must show that the other daemon is awake.
const SIGN_TIMEOUT: Duration = Duration::from_millis(500);
/// Stands behind all that a daemon could be asked for: the reply is empty.
const NOTHING: u64 = u64::MAX;
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
    pub(crate) async fn open(address: &str) -> Result<Link, LinkError> {
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
        let link = Link {
            client,
            sender,
            answered: Arc::default(),
        };
        link.await_sign_of_life().await?;
        Ok(link)
    }

    /// Waits for a reply of the other daemon: the system of a host that is suspended takes
    /// connections too, and what is sent on one may run later.
    async fn await_sign_of_life(&self) -> Result<(), LinkError> {
        let mut client = self.client();
        let asked = client.fetch(FetchRequest { from: NOTHING });
        match runtime::within(SIGN_TIMEOUT, asked).await {
            Some(Err(status)) if std::error::Error::source(&status).is_some() => {
                Err(LinkError::Connect)
            }
            Some(_) => Ok(()),
            None => Err(LinkError::Connect),
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.sender.is_closed()
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
