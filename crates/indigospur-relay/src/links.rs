//! The connections to other daemons.

use crate::link::{Link, LinkError};
use crate::runtime;
use async_std::channel::{Receiver, bounded};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// Connections kept. Gossip goes to any daemon, so that without a bound each would keep one to all.
const MOST_LINKS: usize = 64;

/// A connection and its last use.
#[derive(Debug)]
struct Kept {
    link: Link,
    used: Instant,
}

/// A connection that is being opened, for all that wait for it.
#[derive(Clone, Debug)]
struct Opening {
    outcome: Arc<OnceLock<Result<Link, LinkError>>>,
    /// Closed once there is an outcome.
    done: Receiver<()>,
}

impl Opening {
    async fn outcome(self) -> Result<Link, LinkError> {
        // Nothing is ever sent: this ends when the channel is closed.
        let _ = self.done.recv().await;
        let outcome = self.outcome.get().cloned();
        outcome.unwrap_or(Err(LinkError::Connect))
    }
}

#[derive(Debug, Default)]
struct State {
    /// At most `MOST_LINKS`; calls under way keep a connection open that was dropped here.
    kept: HashMap<Arc<str>, Kept>,
    opening: HashMap<Arc<str>, Opening>,
}

/// The connections to other daemons, one for each address, the latest used; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

impl Links {
    /// The connection to an address; opens one if there is none that works. All who need it
    /// meanwhile share the outcome.
    ///
    /// # Errors
    /// No connection could be opened.
    pub async fn get(&self, address: &Arc<str>) -> Result<Link, LinkError> {
        let opening = {
            let mut state = self.lock();
            if let Some(link) = state.working(address) {
                return Ok(link);
            }
            let begun = state.opening.get(address);
            let begun = begun.filter(|opening| !opening.done.is_closed()).cloned();
            begun.unwrap_or_else(|| self.open(&mut state, address))
        };
        opening.outcome().await
    }

    /// Opens a connection in the background, so that it goes on if a caller that needs it leaves.
    fn open(&self, state: &mut State, address: &Arc<str>) -> Opening {
        let (sender, done) = bounded(1);
        let outcome = Arc::new(OnceLock::new());
        let opening = Opening {
            outcome: outcome.clone(),
            done,
        };
        state.opening.insert(address.clone(), opening.clone());
        let (links, address) = (self.clone(), address.clone());
        runtime::spawn(async move {
            let opened = Link::open(&address).await;
            let mut state = links.lock();
            state.opening.remove(&address);
            if let Ok(link) = &opened {
                state.keep(address, link.clone());
            }
            drop(state);
            let _ = outcome.set(opened);
            drop(sender);
        });
        opening
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn working(&mut self, address: &str) -> Option<Link> {
        let kept = self.kept.get_mut(address)?;
        if kept.link.has_ended() {
            return None;
        }
        kept.used = Instant::now();
        Some(kept.link.clone())
    }

    fn keep(&mut self, address: Arc<str>, link: Link) {
        self.make_room();
        let used = Instant::now();
        self.kept.insert(address, Kept { link, used });
    }

    fn make_room(&mut self) {
        self.kept.retain(|_, kept| !kept.link.has_ended());
        while self.kept.len() >= MOST_LINKS {
            let least = self
                .kept
                .iter()
                .min_by_key(|(_, kept)| kept.used)
                .map(|(address, _)| address.clone());
            let Some(least) = least else { break };
            self.kept.remove(&least);
        }
    }
}
