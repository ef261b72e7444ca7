//! A stand-in for another daemon.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use indigospur_protocol::wire::peer;
use indigospur_relay::{BodyMemory, runtime, serve_peers};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tonic::{Request, Response, Status};

/// Offset of the fetches of the tests, unlike those that check a new connection.
pub(crate) const FETCH: u64 = 7;
/// Body of a relayed call whose reply has more than [`LARGE_REPLY_BYTES`].
pub(crate) const LARGE_REPLY: &[u8] = b"large";
const LARGE_REPLY_BYTES: usize = 64 * 1024;

/// A daemon that replies to relayed calls, and to the first fetch of a test, once its `gate` channel is
/// closed.
pub(crate) struct GatedPeer {
    gate: Receiver<()>,
    /// Relayed calls started.
    pub(crate) started: AtomicUsize,
    /// Relayed calls that got their reply or were cancelled.
    pub(crate) ended: AtomicUsize,
    /// Fetches from offset [`FETCH`].
    pub(crate) fetches: AtomicUsize,
}

/// Counts a relayed call as ended when it is dropped.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl GatedPeer {
    /// Serves the daemon on a free port. Returns its address and the sender that keeps its gate shut.
    pub(crate) async fn start() -> (Arc<GatedPeer>, String, Sender<()>) {
        GatedPeer::start_with(Arc::default()).await
    }

    /// As [`GatedPeer::start`], with a memory for bodies.
    pub(crate) async fn start_with(
        memory: Arc<BodyMemory>,
    ) -> (Arc<GatedPeer>, String, Sender<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it listens").to_string();
        let (gate_sender, gate) = bounded(1);
        let peer = Arc::new(GatedPeer {
            gate,
            started: AtomicUsize::new(0),
            ended: AtomicUsize::new(0),
            fetches: AtomicUsize::new(0),
        });
        runtime::spawn(serve_peers(listener, peer.clone(), memory));
        (peer, address, gate_sender)
    }
}

#[tonic::async_trait]
impl peer::peer_server::Peer for GatedPeer {
    async fn relay(
        &self,
        request: Request<peer::RelayRequest>,
    ) -> Result<Response<peer::RelayReply>, Status> {
        self.started.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.ended);
        let _ = self.gate.recv().await;
        let mut reply = peer::RelayReply::default();
        if request.get_ref().body == LARGE_REPLY {
            reply.request_id = "x".repeat(LARGE_REPLY_BYTES);
        }
        Ok(Response::new(reply))
    }

    async fn revoke(
        &self,
        _: Request<peer::RevokeRequest>,
    ) -> Result<Response<peer::RevokeReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn claim(
        &self,
        _: Request<peer::RelayRequest>,
    ) -> Result<Response<peer::RelayReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn gossip(
        &self,
        _: Request<peer::GossipMessage>,
    ) -> Result<Response<peer::GossipMessage>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn fetch(
        &self,
        request: Request<peer::FetchRequest>,
    ) -> Result<Response<peer::FetchReply>, Status> {
        if request.get_ref().from == FETCH && self.fetches.fetch_add(1, Ordering::Relaxed) == 0 {
            let _ = self.gate.recv().await;
        }
        Ok(Response::new(peer::FetchReply::default()))
    }

    async fn hand_over(
        &self,
        _: Request<peer::HandOverRequest>,
    ) -> Result<Response<peer::HandOverReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn quota(
        &self,
        _: Request<peer::QuotaReport>,
    ) -> Result<Response<peer::QuotaGrant>, Status> {
        Err(Status::unimplemented(""))
    }
}
