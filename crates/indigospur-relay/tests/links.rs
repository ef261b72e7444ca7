//! Links between daemons: what one call suffers leaves the others alone.

use async_std::channel::{Receiver, bounded};
use async_std::net::TcpListener;
use indigospur_protocol::wire::peer;
use indigospur_relay::{Link, LinkError, Links, runtime, serve_peers};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;
use tonic::{Request, Response, Status};

/// Calls whose callers leave while the other side is busy.
const CALLS: usize = 60;
/// Bytes of a frame that takes a call back.
const RESET_FRAME: usize = 13;

/// A daemon that replies once its gate is closed.
struct Gated {
    gate: Receiver<()>,
    begun: AtomicUsize,
}

#[tonic::async_trait]
impl peer::peer_server::Peer for Gated {
    async fn relay(
        &self,
        _: Request<peer::RelayRequest>,
    ) -> Result<Response<peer::RelayReply>, Status> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        let _ = self.gate.recv().await;
        Ok(Response::new(peer::RelayReply::default()))
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
        _: Request<peer::FetchRequest>,
    ) -> Result<Response<peer::FetchReply>, Status> {
        Err(Status::unimplemented(""))
    }

    async fn hand_over(
        &self,
        _: Request<peer::HandOverRequest>,
    ) -> Result<Response<peer::HandOverReply>, Status> {
        Err(Status::unimplemented(""))
    }
}

/// A wire that can hold back what is sent to the far end, and lets it through at once later.
struct Dam {
    address: String,
    /// The near end of its connection, once there is one.
    near: Arc<Mutex<Option<TcpStream>>>,
    state: Arc<(Mutex<bool>, Condvar)>,
    /// Bytes that came in from the near end.
    received: Arc<AtomicUsize>,
}

impl Dam {
    fn start(target: String) -> Dam {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let dam = Dam {
            address: listener.local_addr().expect("it listens").to_string(),
            near: Arc::default(),
            state: Arc::default(),
            received: Arc::default(),
        };
        let (state, received) = (dam.state.clone(), dam.received.clone());
        let open = dam.near.clone();
        std::thread::spawn(move || {
            let (near, _) = listener.accept().expect("a connection");
            *open.lock().unwrap_or_else(PoisonError::into_inner) = near.try_clone().ok();
            let far = TcpStream::connect(target).expect("the far end listens");
            let (mut back, mut to_near) = (far.try_clone().expect("it is open"), near.try_clone());
            std::thread::spawn(move || {
                let _ = std::io::copy(&mut back, to_near.as_mut().expect("it is open"));
            });
            carry(near, far, &state, &received);
        });
        dam
    }

    fn hold(&self, held: bool) {
        let (lock, changed) = &*self.state;
        *lock.lock().unwrap_or_else(PoisonError::into_inner) = held;
        changed.notify_all();
    }

    /// Ends the connection at its near end.
    fn end(&self) {
        let near = self.near.lock().unwrap_or_else(PoisonError::into_inner);
        let near = near.as_ref().expect("there is a connection");
        near.shutdown(Shutdown::Both).expect("it is open");
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

fn carry(
    mut near: TcpStream,
    far: TcpStream,
    state: &Arc<(Mutex<bool>, Condvar)>,
    received: &AtomicUsize,
) {
    let waiting: Arc<Mutex<Vec<u8>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let (queue, over, state_of) = (waiting.clone(), ended.clone(), state.clone());
    std::thread::spawn(move || pass(far, &queue, &over, &state_of));
    let mut bytes = [0; 8_192];
    while let Ok(count) = near.read(&mut bytes)
        && count > 0
    {
        let mut queue = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        queue.extend_from_slice(&bytes[..count]);
        drop(queue);
        received.fetch_add(count, Ordering::Relaxed);
        state.1.notify_all();
    }
    ended.store(true, Ordering::Relaxed);
    state.1.notify_all();
}

fn pass(
    mut far: TcpStream,
    waiting: &Mutex<Vec<u8>>,
    ended: &AtomicBool,
    state: &(Mutex<bool>, Condvar),
) {
    let (lock, changed) = state;
    loop {
        let held = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let pause = Duration::from_millis(5);
        let (held, _) = changed
            .wait_timeout(held, pause)
            .unwrap_or_else(PoisonError::into_inner);
        if *held {
            continue;
        }
        drop(held);
        let mut queue = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut *queue);
        drop(queue);
        if far.write_all(&bytes).is_err() || ended.load(Ordering::Relaxed) {
            let _ = far.shutdown(Shutdown::Write);
            return;
        }
    }
}

async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

async fn relay(link: Link) -> Result<peer::RelayReply, LinkError> {
    let request = peer::RelayRequest {
        body: vec![0; 500],
        ..peer::RelayRequest::default()
    };
    let replied = link.client().relay(request).await;
    link.settle(replied)
}

#[test]
fn a_burst_of_calls_that_are_taken_back_unseen_ends_no_other_call_on_the_link() {
    runtime::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it listens").to_string();
        let (open_gate, gate) = bounded(1);
        let peer = Arc::new(Gated {
            gate,
            begun: AtomicUsize::new(0),
        });
        runtime::spawn(serve_peers(listener, peer.clone()));
        let dam = Dam::start(address);
        let links = Links::default();
        let link = links.get(&dam.address.as_str().into()).await;
        let link = link.expect("the daemon listens");
        let stays = runtime::spawn(relay(link.clone()));
        until(|| peer.begun.load(Ordering::Relaxed) == 1).await;
        dam.hold(true);
        let before = dam.received();
        let leaving: Vec<_> = (0..CALLS)
            .map(|_| runtime::spawn(relay(link.clone())))
            .collect();
        until(|| dam.received() >= before + CALLS * 500).await;
        let sent = dam.received();
        for call in leaving {
            call.cancel().await;
        }
        until(|| dam.received() >= sent + CALLS * RESET_FRAME).await;
        dam.hold(false);
        let after = runtime::spawn(relay(link));
        drop(open_gate);
        assert!(stays.await.is_ok(), "the call that stayed has its reply");
        assert!(after.await.is_ok(), "the link takes another");
    });
}

#[test]
fn a_call_on_a_link_that_has_ended_is_known_to_be_unsent() {
    runtime::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it listens").to_string();
        let (open_gate, gate) = bounded(1);
        let peer = Arc::new(Gated {
            gate,
            begun: AtomicUsize::new(0),
        });
        runtime::spawn(serve_peers(listener, peer.clone()));
        let dam = Dam::start(address);
        let link = Links::default().get(&dam.address.as_str().into()).await;
        let link = link.expect("the daemon listens");
        let runs = runtime::spawn(relay(link.clone()));
        until(|| peer.begun.load(Ordering::Relaxed) == 1).await;
        dam.end();
        assert_eq!(runs.await, Err(LinkError::Mute), "it may have run");
        assert_eq!(relay(link).await, Err(LinkError::Connect), "it has not");
        drop(open_gate);
    });
}
