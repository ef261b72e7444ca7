//! TCP proxy in this process that injects faults into the connections it forwards.

use socket2::{SockFilter, SockRef};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Instruction of a socket filter that ends it; its operand is the number of bytes that are kept.
const BPF_RETURN: u16 = 0x06;
/// Bytes that identify the start of a response.
const RESPONSE_START: &[u8] = b"HTTP/1.1";

/// Direction of the bytes that a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting client to the target.
    ToTarget,
    /// From the target to the connecting client.
    ToClient,
}

/// TCP proxy on a loopback address that can delay, drop, corrupt, close or refuse connections.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address to connect to in place of the target, as `ip:port`.
    pub address: String,
    state: Arc<ProxyState>,
}

#[derive(Debug, Default)]
struct ProxyState {
    target: Mutex<String>,
    /// Flags of each connection that may be open, by direction: whether its bytes are dropped.
    blackholed: Mutex<Vec<Arc<[AtomicBool; 2]>>>,
    /// Client and target streams that [`FaultProxy::close_open_connections`] shuts down.
    streams: Mutex<Vec<TcpStream>>,
    /// Whether the bytes of all connections are dropped, by direction.
    drops: [AtomicBool; 2],
    delay_ms: AtomicU64,
    corrupts: AtomicBool,
    /// Bytes that replace each response, without end; empty if responses are forwarded.
    flood: Mutex<&'static [u8]>,
    refuses: AtomicBool,
}

impl FaultProxy {
    /// Starts a proxy without a target; until one is set, it closes each connection it accepts.
    ///
    /// # Panics
    /// No loopback port can be bound.
    pub fn start() -> FaultProxy {
        let listener =
            TcpListener::bind((process_loopback(), 0)).expect("failed to bind a loopback port");
        let address = listener
            .local_addr()
            .expect("failed to get the listening address");
        let state = Arc::new(ProxyState::default());
        let shared = state.clone();
        thread::spawn(move || serve(&shared, address, listener));
        FaultProxy {
            address: address.to_string(),
            state,
        }
    }

    /// Sets the target of new connections, as `ip:port`.
    pub fn set_target(&self, address: &str) {
        *lock(&self.state.target) = address.to_owned();
    }

    /// Drops all bytes in both directions while connections stay open. Connections that are open
    /// now do not recover after [`FaultProxy::heal`].
    pub fn blackhole(&self) {
        self.blackhole_direction(Direction::ToTarget);
        self.blackhole_direction(Direction::ToClient);
        self.blackhole_open_connections();
    }

    /// Drops all bytes in one direction while connections stay open. Connections that lose bytes do
    /// not recover after [`FaultProxy::heal`].
    pub fn blackhole_direction(&self, direction: Direction) {
        self.state.drops[direction as usize].store(true, Ordering::Relaxed);
    }

    /// Ends all faults, except on connections that have lost bytes or were blackholed by
    /// [`FaultProxy::blackhole_open_connections`].
    pub fn heal(&self) {
        for drops in &self.state.drops {
            drops.store(false, Ordering::Relaxed);
        }
        self.state.delay_ms.store(0, Ordering::Relaxed);
        self.state.corrupts.store(false, Ordering::Relaxed);
        *lock(&self.state.flood) = &[];
        self.state.refuses.store(false, Ordering::Relaxed);
    }

    /// Delays each block of bytes read, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Overwrites `HTTP/1.1` at the start of responses.
    pub fn corrupt_responses(&self) {
        self.state.corrupts.store(true, Ordering::Relaxed);
    }

    /// Answers each request with `bytes`, repeated until the client closes the connection.
    pub fn flood_responses(&self, bytes: &'static [u8]) {
        *lock(&self.state.flood) = bytes;
    }

    /// Refuses new connections by closing the listening socket; open connections continue.
    pub fn refuse_connections(&self) {
        self.state.refuses.store(true, Ordering::Relaxed);
        // Unblocks `accept`, so that the listening socket is closed.
        let _ = TcpStream::connect(&self.address);
    }

    /// Shuts down the open connections on both sides.
    pub fn close_open_connections(&self) {
        for stream in lock(&self.state.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets the open connections go silent for good: they stay open, but this host no longer sends
    /// or acknowledges anything on them. New connections are not affected.
    ///
    /// # Panics
    /// The operating system refuses a socket filter.
    pub fn silence_open_connections(&self) {
        self.blackhole_open_connections();
        for stream in lock(&self.state.streams).iter() {
            silence(stream);
        }
    }

    /// Drops all further bytes of the open connections, which stay open and acknowledge what they
    /// receive, and returns their number. New connections are not affected.
    pub fn blackhole_open_connections(&self) -> usize {
        let mut connections = lock(&self.state.blackholed);
        connections.retain(|flags| Arc::strong_count(flags) > 1);
        for flag in connections.iter().flat_map(|flags| flags.iter()) {
            flag.store(true, Ordering::Relaxed);
        }
        connections.len()
    }
}

/// Has the operating system drop all packets that arrive for a connection from now on, so that it
/// acknowledges nothing.
///
/// # Panics
/// The operating system refuses the filter.
pub fn silence(stream: &TcpStream) {
    let drop_all = SockFilter::new(BPF_RETURN, 0, 0, 0);
    SockRef::from(stream)
        .attach_filter(&[drop_all])
        .expect("the system has socket filters");
}

/// Loopback address derived from the process ID. Other test processes use other addresses, so none
/// of them takes a port on it while the port is closed.
pub(crate) fn process_loopback() -> IpAddr {
    let [_, a, b, c] = (std::process::id() & 0x7f_ffff).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b, c))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(state: &Arc<ProxyState>, address: SocketAddr, mut listener: TcpListener) {
    loop {
        for client in listener.incoming().flatten() {
            if state.refuses.load(Ordering::Relaxed) {
                break;
            }
            open_connection(state, client);
        }
        drop(listener);
        while state.refuses.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        };
    }
}

fn open_connection(state: &Arc<ProxyState>, client: TcpStream) {
    let target_address = lock(&state.target).clone();
    let Ok(target) = TcpStream::connect(&target_address) else {
        return;
    };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let blackholed: Arc<[AtomicBool; 2]> = Arc::default();
    lock(&state.blackholed).push(blackholed.clone());
    for (from, to, direction) in [
        (&client, &target, Direction::ToTarget),
        (&target, &client, Direction::ToClient),
    ] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let (state, blackholed) = (state.clone(), blackholed.clone());
        thread::spawn(move || {
            forward(from, to, direction, &state, &blackholed[direction as usize])
        });
    }
    lock(&state.streams).extend([client, target]);
}

/// Forwards bytes in one direction. In a blackholed direction it continues to read, and forwards
/// neither the bytes nor the close of the connection.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    state: &ProxyState,
    blackholed: &AtomicBool,
) {
    let mut bytes = [0; 8_192];
    let is_blackholed = || {
        // Dropped bytes leave a gap in the stream, so the connection is not forwarded again.
        if state.drops[direction as usize].load(Ordering::Relaxed) {
            blackholed.store(true, Ordering::Relaxed);
        }
        blackholed.load(Ordering::Relaxed)
    };
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let delay = state.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        let corrupts = direction == Direction::ToClient && state.corrupts.load(Ordering::Relaxed);
        if corrupts && bytes[..count].starts_with(RESPONSE_START) {
            bytes[..RESPONSE_START.len()].fill(b'?');
        }
        let flood = *lock(&state.flood);
        if direction == Direction::ToClient && !flood.is_empty() {
            while to.write_all(flood).is_ok() {}
            break;
        }
        if !is_blackholed() && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !is_blackholed() {
        let _ = to.shutdown(Shutdown::Both);
    }
}
