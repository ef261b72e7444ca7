//! HTTP/2 server for other daemons.

use crate::link::MAX_MESSAGE_BYTES;
use crate::listener::ACCEPT_RETRY_DELAY;
use crate::memory::{BodyMemory, MessageKind};
use crate::metered::{CallMemory, ReceivedBody, SentBody};
use crate::runtime::{self, Executor};
use crate::stream::{Acceptor, Stream};
use crate::timer::HyperTimer;
use async_std::net::TcpListener;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use indigospur_protocol::wire::peer::peer_server::{Peer, PeerServer};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tonic::codegen::Service;

/// Time without received data on a connection after which an HTTP/2 PING is sent.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Time for the PING acknowledgement; without it the connection is closed and its calls are cancelled.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Value of `SETTINGS_MAX_CONCURRENT_STREAMS`. The sender's HTTP/2 library queues calls beyond it,
/// where admission control doesn't see them and nobody knows that they have not run.
const MAX_CONCURRENT_STREAMS: u32 = 65_536;
/// Streams on one connection that may be reset before the server accepts them. The HTTP/2 library
/// closes a connection with more, which fails every call that runs on it: callers that cancel while
/// this daemon is busy must not cause that.
const MAX_PENDING_RESETS: usize = 65_536;

/// Serves connections from other daemons, for as long as the process runs. A connection that violates
/// HTTP/2 is closed. A message for which no `memory` is left is refused before its call begins.
pub async fn serve_peers<P: Peer>(listener: TcpListener, peer: Arc<P>, memory: Arc<BodyMemory>) {
    let server = PeerServer::from_arc(peer)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let listener = match Acceptor::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:display; "the port for other daemons can't be served");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                runtime::spawn(serve_connection(stream, server.clone(), memory.clone()));
            }
            Err(error) => {
                log::warn!(error:display; "failed to accept a connection from another daemon; accepting resumes after a pause");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<P: Peer>(stream: Stream, server: PeerServer<P>, memory: Arc<BodyMemory>) {
    let _ = stream.set_nodelay();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let mut server = server.clone();
        let memory = CallMemory::new(&memory, MessageKind::Request);
        async move {
            let request =
                request.map(|body| ReceivedBody::new(body, MessageKind::Request, memory.clone()));
            let response = server.call(request).await?;
            Ok::<_, Infallible>(response.map(|body| SentBody::new(body, memory)))
        }
    });
    let outcome = http2::Builder::new(Executor)
        .timer(HyperTimer)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = outcome {
        log::debug!(error:display; "connection from another daemon ended with an error");
    }
}
