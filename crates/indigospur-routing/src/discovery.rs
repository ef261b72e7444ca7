//! Waiting for the first upstream of a service after the start of a daemon.

use std::time::{Duration, Instant};

/// Time after the start of a daemon in which it learns the upstreams: backend servers announce
/// themselves about once a second, and gossip spreads that.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Part of a call's remaining time for which it waits; the rest is for running it. A caller that is
/// refused instead waits as long before it comes back.
const WAIT_SHARE: f64 = 1.0 / 3.0;

/// Decides how long calls wait for a service of which no upstream is known yet.
///
/// The load: all daemons are killed and start again. For up to a second hardly any of them knows an
/// upstream of each service, and a caller that is refused may come back only once.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    started: Instant,
}

impl Discovery {
    /// Discovery of a daemon that starts at `started`.
    pub fn new(started: Instant) -> Discovery {
        Discovery { started }
    }

    /// Time up to which a call that arrives at `now` may wait for the first upstream of its service;
    /// `None` once the daemon should know all upstreams. `remaining` is the time until its deadline.
    pub fn wait_until(&self, now: Instant, remaining: Duration) -> Option<Instant> {
        let end = self.started + DISCOVERY_TIME;
        (now < end).then(|| end.min(now + remaining.mul_f64(WAIT_SHARE)))
    }
}
