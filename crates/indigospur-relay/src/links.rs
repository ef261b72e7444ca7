//! The pool of connections to other daemons.

use crate::link::{Channel, Introduction, Link, LinkError, SILENCE_TIMEOUT};
use crate::memory::BodyMemory;
use crate::runtime;
use async_std::channel::{Receiver, bounded};
use indigospur_protocol::wire::peer::peer_client::PeerClient;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// Maximum number of connections in the pool. Gossip goes to any daemon, so without a bound each
/// daemon would keep a connection to every other.
const MAX_LINKS: usize = 64;

#[derive(Debug)]
struct PooledLink {
    link: Link,
    last_used: Instant,
}

/// A connection that is being opened; all callers that need it wait for the same outcome.
#[derive(Clone, Debug)]
struct PendingLink {
    outcome: Arc<OnceLock<Result<Link, LinkError>>>,
    /// Closed once `outcome` is set.
    done: Receiver<()>,
}

impl PendingLink {
    async fn outcome(self) -> Result<Link, LinkError> {
        // Nothing is sent; `recv` returns once the channel is closed.
        let _ = self.done.recv().await;
        let outcome = self.outcome.get().cloned();
        outcome.unwrap_or(Err(LinkError::Connect))
    }
}

#[derive(Debug, Default)]
struct State {
    /// At most `MAX_LINKS`. An evicted connection stays open until its last call ends.
    links: HashMap<Arc<str>, PooledLink>,
    pending: HashMap<Arc<str>, PendingLink>,
}

/// A pool of connections to other daemons, one for each address. Beyond a maximum, the least recently
/// used one is evicted. Clones share the pool.
#[derive(Clone, Debug, Default)]
pub struct LinkPool {
    state: Arc<Mutex<State>>,
    /// Number that this process drew at its start; zero if its transmissions can't be revoked.
    sender: u64,
    last_transmission: Arc<AtomicU64>,
    memory: Arc<BodyMemory>,
}

impl LinkPool {
    /// Creates a pool for a process that drew the number `sender` at its start. Bodies of replies
    /// share `memory` with other users of it.
    pub fn new(sender: u64, memory: Arc<BodyMemory>) -> LinkPool {
        LinkPool {
            sender,
            memory,
            ..LinkPool::default()
        }
    }

    /// Returns the number for the next transmission of a call, higher than all before.
    pub fn next_transmission(&self) -> u64 {
        self.last_transmission.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the connection to the daemon at `address`, an `IP:port`, and opens one if none is
    /// open. Concurrent callers wait for the same attempt.
    ///
    /// # Errors
    /// `LinkError::Connect` if no connection could be opened, or the daemon doesn't reply on it.
    pub async fn get(&self, address: &Arc<str>) -> Result<Link, LinkError> {
        let pending = {
            let mut state = self.lock();
            if let Some(link) = state.open_link(address) {
                return Ok(link);
            }
            let pending = state.pending.get(address);
            let pending = pending.filter(|pending| !pending.done.is_closed()).cloned();
            pending.unwrap_or_else(|| self.open(&mut state, address))
        };
        pending.outcome().await
    }

    /// Makes a call to the daemon at `address` that it answers at once and that may run more than once.
    /// If there is no reply for [`SILENCE_TIMEOUT`], the call is made again on a new connection; the
    /// first reply counts.
    ///
    /// # Errors
    /// The call failed, on the new connection if there is one.
    pub async fn call_repeatable<T, F>(
        &self,
        address: &Arc<str>,
        call: impl Fn(PeerClient<Channel>) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let link = self.get(address).await?;
        let mut reply = Box::pin(async { link.handle_reply(call(link.client()).await) });
        if let Some(outcome) = runtime::timeout(SILENCE_TIMEOUT, &mut reply).await {
            return outcome;
        }
        link.mark_silent();
        let repeated = async {
            let link = self.get(address).await?;
            link.handle_reply(call(link.client()).await)
        };
        // The first connection fails while the second call may still get its reply.
        let first = async {
            match reply.await {
                Ok(reply) => Ok(reply),
                Err(_) => std::future::pending().await,
            }
        };
        futures_lite::future::or(first, repeated).await
    }

    /// Opens a connection in a task of its own, so that the attempt continues if the caller that
    /// started it is cancelled.
    fn open(&self, state: &mut State, address: &Arc<str>) -> PendingLink {
        let (sender, done) = bounded(1);
        let outcome = Arc::new(OnceLock::new());
        let pending = PendingLink {
            outcome: outcome.clone(),
            done,
        };
        state.pending.insert(address.clone(), pending.clone());
        let (pool, address) = (self.clone(), address.clone());
        // Calls that wait for this connection get their numbers later.
        let introduction = Introduction {
            sender: self.sender,
            transmission: self.last_transmission.load(Ordering::Relaxed) + 1,
        };
        runtime::spawn(async move {
            let opened = Link::open(&address, introduction, pool.memory.clone()).await;
            let mut state = pool.lock();
            state.pending.remove(&address);
            if let Ok(link) = &opened {
                state.insert(address, link.clone());
            }
            drop(state);
            let _ = outcome.set(opened);
            drop(sender);
        });
        pending
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn open_link(&mut self, address: &str) -> Option<Link> {
        let pooled = self.links.get_mut(address)?;
        if !pooled.link.is_usable() {
            return None;
        }
        pooled.last_used = Instant::now();
        Some(pooled.link.clone())
    }

    fn insert(&mut self, address: Arc<str>, link: Link) {
        self.evict();
        let last_used = Instant::now();
        self.links.insert(address, PooledLink { link, last_used });
    }

    fn evict(&mut self) {
        self.links.retain(|_, pooled| pooled.link.is_usable());
        while self.links.len() >= MAX_LINKS {
            let oldest = self
                .links
                .iter()
                .min_by_key(|(_, pooled)| pooled.last_used)
                .map(|(address, _)| address.clone());
            let Some(oldest) = oldest else { break };
            self.links.remove(&oldest);
        }
    }
}
