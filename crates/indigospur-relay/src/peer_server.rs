//! The daemon's port for other daemons.

use crate::alarm::AlarmTimer;
use crate::link::LARGEST_MESSAGE;
use crate::listener::ACCEPT_PAUSE;
use crate::runtime::{self, Executor};
use async_std::net::{TcpListener, TcpStream};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use indigospur_protocol::wire::peer::peer_server::{Peer, PeerServer};
use smol_hyper::rt::FuturesIo;
use std::sync::Arc;
use std::time::Duration;
use tonic::codegen::Service;

/// Time after which an idle connection is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_secs(20);
/// Calls on one connection at a time. The library would have the sender hold further ones back, where
/// no admission sees them and nobody knows that they were not run.
const MOST_CALLS: u32 = 65_536;
/// Calls on one connection that may be taken back before they are looked at. The library ends a
/// connection with more, and with it every call that runs there: callers that leave while this
/// daemon is busy must not do that.
const MOST_TAKEN_BACK: usize = 65_536;

/// Serves connections of other daemons. What is not the protocol is cut off.
pub async fn serve_peers<P: Peer>(listener: TcpListener, peer: Arc<P>) {
    let server = PeerServer::from_arc(peer)
        .max_decoding_message_size(LARGEST_MESSAGE)
        .max_encoding_message_size(LARGEST_MESSAGE);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                runtime::spawn(serve_connection(stream, server.clone()));
            }
            Err(error) => {
                log::warn!(error:display; "a connection of another daemon could not be accepted");
                runtime::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P: Peer>(stream: TcpStream, server: PeerServer<P>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let mut server = server.clone();
        async move { server.call(request).await }
    });
    let served = http2::Builder::new(Executor)
        .timer(AlarmTimer)
        .keep_alive_interval(PING_AFTER)
        .max_concurrent_streams(MOST_CALLS)
        .max_pending_accept_reset_streams(MOST_TAKEN_BACK)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:display; "connection of another daemon ended");
    }
}
