//! A wire: connections that pass through this process and fail on demand.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Pause before a refusing wire looks whether it should listen again.
const LOOK: Duration = Duration::from_millis(10);
/// Beginning of an answer that a garbling wire damages.
const ANSWER: &[u8] = b"HTTP/1.1";

/// A direction of a wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From those who connect.
    There,
    /// To those who connect.
    Back,
}

/// A wire whose connections can be delayed, reset, silenced, cut, garbled or refused.
#[derive(Debug)]
pub struct Wire {
    /// Address to reach the other end through.
    pub address: String,
    state: Arc<WireState>,
}

#[derive(Debug, Default)]
struct WireState {
    target: Mutex<String>,
    /// Flags of each connection that may be open: nothing passes there, nothing passes back.
    silent: Mutex<Vec<Arc<[AtomicBool; 2]>>>,
    /// Both ends of each connection opened so far.
    open: Mutex<Vec<TcpStream>>,
    /// What passes there, and what passes back, is dropped.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    garbles: AtomicBool,
    refuses: AtomicBool,
}

impl Wire {
    /// A wire whose other end is not known yet.
    ///
    /// # Panics
    /// No port is free.
    pub fn start() -> Wire {
        let listener = TcpListener::bind((own_address(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("it listens");
        let state = Arc::new(WireState::default());
        let served = state.clone();
        thread::spawn(move || serve(&served, address, listener));
        Wire {
            address: address.to_string(),
            state,
        }
    }

    /// Sets the other end.
    pub fn set_target(&self, address: &str) {
        *lock(&self.state.target) = address.to_owned();
    }

    /// Cuts the wire: nothing passes any more, and nobody is told.
    pub fn cut(&self) {
        self.cut_way(Way::There);
        self.cut_way(Way::Back);
        self.silence();
    }

    /// Cuts one way: what is sent that way is lost, and nobody is told.
    pub fn cut_way(&self, way: Way) {
        self.state.cut[way as usize].store(true, Ordering::Relaxed);
    }

    /// Ends all that a wire does, but for connections that are silent for good.
    pub fn heal(&self) {
        for cut in &self.state.cut {
            cut.store(false, Ordering::Relaxed);
        }
        self.state.delay_ms.store(0, Ordering::Relaxed);
        self.state.garbles.store(false, Ordering::Relaxed);
        self.state.refuses.store(false, Ordering::Relaxed);
    }

    /// Delays what passes, each way.
    pub fn delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Damages the beginning of each answer.
    pub fn garble(&self) {
        self.state.garbles.store(true, Ordering::Relaxed);
    }

    /// Refuses new connections: nothing listens.
    pub fn refuse(&self) {
        self.state.refuses.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(&self.address);
    }

    /// Resets the connections that are open now.
    pub fn reset(&self) {
        for stream in lock(&self.state.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Silences the connections that are open now; their number.
    pub fn silence(&self) -> usize {
        let mut flags = lock(&self.state.silent);
        flags.retain(|flag| Arc::strong_count(flag) > 1);
        for flag in flags.iter().flat_map(|flags| flags.iter()) {
            flag.store(true, Ordering::Relaxed);
        }
        flags.len()
    }
}

/// A loopback address of this process alone, so that nobody takes a port that is free for a while.
pub(crate) fn own_address() -> IpAddr {
    let [_, a, b, c] = (std::process::id() & 0x7f_ffff).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b, c))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(state: &Arc<WireState>, address: SocketAddr, mut listener: TcpListener) {
    loop {
        for near in listener.incoming().flatten() {
            if state.refuses.load(Ordering::Relaxed) {
                break;
            }
            connect(state, near);
        }
        drop(listener);
        while state.refuses.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(LOOK),
            }
        };
    }
}

fn connect(state: &Arc<WireState>, near: TcpStream) {
    let address = lock(&state.target).clone();
    let Ok(far) = TcpStream::connect(&address) else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let silent: Arc<[AtomicBool; 2]> = Arc::default();
    lock(&state.silent).push(silent.clone());
    for (from, to, way) in [(&near, &far, Way::There), (&far, &near, Way::Back)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let (state, silent) = (state.clone(), silent.clone());
        thread::spawn(move || carry(from, to, way, &state, &silent[way as usize]));
    }
    lock(&state.open).extend([near, far]);
}

/// Carries bytes one way; in silence it reads on and drops them.
fn carry(mut from: TcpStream, mut to: TcpStream, way: Way, state: &WireState, silent: &AtomicBool) {
    let mut bytes = [0; 8_192];
    let is_silent = || {
        // Bytes that were lost can't be made up for: the connection stays silent.
        if state.cut[way as usize].load(Ordering::Relaxed) {
            silent.store(true, Ordering::Relaxed);
        }
        silent.load(Ordering::Relaxed)
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
        let garbles = way == Way::Back && state.garbles.load(Ordering::Relaxed);
        if garbles && bytes[..count].starts_with(ANSWER) {
            bytes[..ANSWER.len()].fill(b'?');
        }
        if !is_silent() && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Both);
    }
}
