//! Connections between daemons: the failure of one call must not affect the other calls.

mod gated_peer;

use gated_peer::{FETCH, GatedPeer, LARGE_REPLY};
use indigospur_protocol::wire::peer;
use indigospur_relay::{BodyMemory, Channel, Link, LinkError, LinkPool, runtime};
use indigospur_test_support::FaultProxy;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

type PeerClient = peer::peer_client::PeerClient<Channel>;

/// Calls that are cancelled before the server reads them.
const CALLS: usize = 60;
/// Calls that run concurrently.
const MANY_CALLS: usize = 1_000;
/// Time limit for all calls to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a call whose sender has gone silent is cancelled.
const SILENT_CALL_LIMIT: Duration = Duration::from_secs(30);
/// Size of an HTTP/2 RST_STREAM frame.
const RST_STREAM_BYTES: usize = 13;

/// A TCP proxy that can hold back the client's data, and forwards it all at once later.
struct HoldingProxy {
    address: String,
    /// The client's connection, once it is open.
    client: Arc<Mutex<Option<TcpStream>>>,
    /// Whether data is held back.
    state: Arc<(Mutex<bool>, Condvar)>,
    /// Bytes received from the client.
    received: Arc<AtomicUsize>,
}

impl HoldingProxy {
    fn start(target: String) -> HoldingProxy {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = HoldingProxy {
            address: listener.local_addr().expect("it listens").to_string(),
            client: Arc::default(),
            state: Arc::default(),
            received: Arc::default(),
        };
        let (state, received) = (proxy.state.clone(), proxy.received.clone());
        let accepted = proxy.client.clone();
        std::thread::spawn(move || {
            let (client, _) = listener.accept().expect("a connection");
            *accepted.lock().unwrap_or_else(PoisonError::into_inner) = client.try_clone().ok();
            let server = TcpStream::connect(target).expect("the server listens");
            let (mut responses, mut to_client) =
                (server.try_clone().expect("it is open"), client.try_clone());
            std::thread::spawn(move || {
                let _ = std::io::copy(&mut responses, to_client.as_mut().expect("it is open"));
            });
            receive_from_client(client, server, &state, &received);
        });
        proxy
    }

    fn hold(&self, held: bool) {
        let (lock, changed) = &*self.state;
        *lock.lock().unwrap_or_else(PoisonError::into_inner) = held;
        changed.notify_all();
    }

    /// Closes the client's connection.
    fn close(&self) {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        let client = client.as_ref().expect("there is a connection");
        client.shutdown(Shutdown::Both).expect("it is open");
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

fn receive_from_client(
    mut client: TcpStream,
    server: TcpStream,
    state: &Arc<(Mutex<bool>, Condvar)>,
    received: &AtomicUsize,
) {
    let buffered: Arc<Mutex<Vec<u8>>> = Arc::default();
    let closed = Arc::new(AtomicBool::new(false));
    let (queue, client_closed, shared_state) = (buffered.clone(), closed.clone(), state.clone());
    std::thread::spawn(move || forward_to_server(server, &queue, &client_closed, &shared_state));
    let mut bytes = [0; 8_192];
    while let Ok(count) = client.read(&mut bytes)
        && count > 0
    {
        let mut queue = buffered.lock().unwrap_or_else(PoisonError::into_inner);
        queue.extend_from_slice(&bytes[..count]);
        drop(queue);
        received.fetch_add(count, Ordering::Relaxed);
        state.1.notify_all();
    }
    closed.store(true, Ordering::Relaxed);
    state.1.notify_all();
}

fn forward_to_server(
    mut server: TcpStream,
    buffered: &Mutex<Vec<u8>>,
    closed: &AtomicBool,
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
        let mut queue = buffered.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut *queue);
        drop(queue);
        if server.write_all(&bytes).is_err() || closed.load(Ordering::Relaxed) {
            let _ = server.shutdown(Shutdown::Write);
            return;
        }
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

async fn relay(link: Link) -> Result<peer::RelayReply, LinkError> {
    let request = peer::RelayRequest {
        body: vec![0; 500],
        ..peer::RelayRequest::default()
    };
    let outcome = link.client().relay(request).await;
    link.handle_reply(outcome)
}

#[test]
fn many_calls_cancelled_before_they_are_accepted_fail_no_other_call_on_the_connection() {
    runtime::block_on(async {
        let (peer, address, gate_sender) = GatedPeer::start().await;
        let proxy = HoldingProxy::start(address);
        let links = LinkPool::default();
        let link = links.get(&proxy.address.as_str().into()).await;
        let link = link.expect("the daemon listens");
        let kept = runtime::spawn(relay(link.clone()));
        wait_until(|| peer.started.load(Ordering::Relaxed) == 1).await;
        proxy.hold(true);
        let before = proxy.received();
        let cancelled: Vec<_> = (0..CALLS)
            .map(|_| runtime::spawn(relay(link.clone())))
            .collect();
        wait_until(|| proxy.received() >= before + CALLS * 500).await;
        let sent = proxy.received();
        for call in cancelled {
            call.cancel().await;
        }
        wait_until(|| proxy.received() >= sent + CALLS * RST_STREAM_BYTES).await;
        proxy.hold(false);
        let after = runtime::spawn(relay(link));
        drop(gate_sender);
        assert!(
            kept.await.is_ok(),
            "the call that was not cancelled gets its reply"
        );
        assert!(after.await.is_ok(), "the connection takes another call");
    });
}

#[test]
fn a_call_on_a_closed_connection_is_reported_as_not_sent() {
    runtime::block_on(async {
        let (peer, address, gate_sender) = GatedPeer::start().await;
        let proxy = HoldingProxy::start(address);
        let link = LinkPool::default()
            .get(&proxy.address.as_str().into())
            .await;
        let link = link.expect("the daemon listens");
        let running = runtime::spawn(relay(link.clone()));
        wait_until(|| peer.started.load(Ordering::Relaxed) == 1).await;
        proxy.close();
        assert_eq!(running.await, Err(LinkError::Mute), "the call may have run");
        assert_eq!(
            relay(link).await,
            Err(LinkError::Connect),
            "the call was not sent"
        );
        drop(gate_sender);
    });
}

async fn fetch(links: &LinkPool, address: &Arc<str>) -> Result<peer::FetchReply, LinkError> {
    let request = peer::FetchRequest {
        from: FETCH,
        ..peer::FetchRequest::default()
    };
    let call = |mut client: PeerClient| async move { client.fetch(request).await };
    links.call_repeatable(address, call).await
}

#[test]
fn a_repeatable_call_on_a_connection_that_went_silent_is_answered_on_a_new_one() {
    runtime::block_on(async {
        let (_peer, target, gate_sender) = GatedPeer::start().await;
        drop(gate_sender);
        let proxy = FaultProxy::start();
        proxy.set_target(&target);
        let (links, address) = (LinkPool::default(), proxy.address.as_str().into());
        for _ in 0..3 {
            assert!(fetch(&links, &address).await.is_ok());
            proxy.silence_open_connections();
        }
    });
}

/// The sender's end of the connection goes silent with the call; nobody waits for its reply.
#[test]
fn a_call_is_cancelled_at_the_receiver_if_its_connection_stays_silent() {
    runtime::block_on(async {
        let (peer, target, _gate_sender) = GatedPeer::start().await;
        let proxy = FaultProxy::start();
        proxy.set_target(&target);
        let (links, address) = (LinkPool::default(), proxy.address.as_str().into());
        let link = links.get(&address).await.expect("the daemon listens");
        let call = runtime::spawn(relay(link));
        wait_until(|| peer.started.load(Ordering::Relaxed) == 1).await;
        proxy.silence_open_connections();
        let ended = wait_until(|| peer.ended.load(Ordering::Relaxed) == 1);
        let outcome = runtime::timeout(SILENT_CALL_LIMIT, ended).await;
        assert!(outcome.is_some(), "the call still runs");
        assert!(call.await.is_err());
    });
}

#[test]
fn a_call_in_progress_survives_a_slow_reply_to_another_on_its_connection() {
    runtime::block_on(async {
        let (peer, address, gate_sender) = GatedPeer::start().await;
        let (links, address) = (LinkPool::default(), address.as_str().into());
        let link = links.get(&address).await.expect("the daemon listens");
        let running = runtime::spawn(relay(link));
        wait_until(|| peer.started.load(Ordering::Relaxed) == 1).await;
        assert!(fetch(&links, &address).await.is_ok());
        assert_eq!(
            peer.fetches.load(Ordering::Relaxed),
            2,
            "the first got no reply"
        );
        drop(gate_sender);
        assert!(running.await.is_ok());
    });
}

/// A suspended daemon: the operating system accepts connections, but nothing replies. Returns the
/// address and the accepted connections.
fn suspended_daemon() -> (Arc<str>, Arc<Mutex<Vec<TcpStream>>>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("it listens").to_string();
    let accepted: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let connections = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(stream);
        }
    });
    (address.as_str().into(), accepted)
}

#[test]
fn a_connection_to_a_daemon_that_does_not_reply_is_never_handed_out() {
    runtime::block_on(async {
        let (address, _accepted) = suspended_daemon();
        let opened = LinkPool::default().get(&address).await;
        assert_eq!(opened.err(), Some(LinkError::Connect));
    });
}

#[test]
fn concurrent_callers_share_one_attempt_to_connect() {
    runtime::block_on(async {
        let (address, accepted) = suspended_daemon();
        let links = Arc::new(LinkPool::default());
        let callers: Vec<_> = (0..50)
            .map(|_| {
                let (links, address) = (links.clone(), address.clone());
                runtime::spawn(async move { links.get(&address).await.err() })
            })
            .collect();
        for call in callers {
            assert_eq!(call.await, Some(LinkError::Connect));
        }
        let accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
        assert_eq!(accepted.len(), 1, "connections");
    });
}

#[test]
fn a_daemon_accepts_a_thousand_concurrent_calls_on_one_connection() {
    runtime::block_on(async {
        let (peer, address, gate_sender) = GatedPeer::start().await;
        let link = LinkPool::default().get(&address.as_str().into()).await;
        let link = link.expect("the daemon listens");
        let calls: Vec<_> = (0..MANY_CALLS)
            .map(|_| runtime::spawn(relay(link.clone())))
            .collect();
        let all = wait_until(|| peer.started.load(Ordering::Relaxed) == MANY_CALLS);
        let outcome = runtime::timeout(START_TIMEOUT, all).await;
        assert!(outcome.is_some(), "{:?} of {MANY_CALLS}", peer.started);
        drop(gate_sender);
        for call in calls {
            assert!(call.await.is_ok());
        }
    });
}

fn relay_request(body: &[u8]) -> peer::RelayRequest {
    peer::RelayRequest {
        body: body.to_vec(),
        ..peer::RelayRequest::default()
    }
}

#[test]
fn a_message_for_which_there_is_no_memory_is_refused_and_its_call_does_not_start() {
    runtime::block_on(async {
        let memory = Arc::new(BodyMemory::new(256 * 1024));
        let (peer, address, gate) = GatedPeer::start_with(memory.clone()).await;
        drop(gate);
        let pool = LinkPool::new(1, Arc::default());
        let link = pool
            .get(&address.as_str().into())
            .await
            .expect("it listens");
        let large = link
            .client()
            .relay(relay_request(&[b'x'; 1024 * 1024]))
            .await;
        assert_eq!(link.handle_reply(large).err(), Some(LinkError::Busy));
        assert_eq!(peer.started.load(Ordering::Relaxed), 0);
        let small = link.client().relay(relay_request(b"small")).await;
        assert!(link.handle_reply(small).is_ok(), "the link goes on");
        assert_eq!(memory.used(), 0);
    });
}

#[test]
fn a_reply_for_which_there_is_no_memory_counts_as_one_that_may_have_run() {
    runtime::block_on(async {
        let (peer, address, gate) = GatedPeer::start().await;
        drop(gate);
        let pool = LinkPool::new(1, Arc::new(BodyMemory::new(0)));
        let link = pool
            .get(&address.as_str().into())
            .await
            .expect("it listens");
        let large = link.client().relay(relay_request(LARGE_REPLY)).await;
        assert_eq!(link.handle_reply(large).err(), Some(LinkError::Mute));
        assert_eq!(peer.started.load(Ordering::Relaxed), 1);
    });
}
