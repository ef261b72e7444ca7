//! Waiting for the first upstream of a service after the start of a daemon.

use std::time::{Duration, Instant};

/// Time after the start of a daemon in which it learns the upstreams: backend servers announce
/// themselves about once a second, and gossip spreads that.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Part of a call's objective for which it waits; the rest is for running it.
const WAIT_SHARE: f64 = 0.5;

/// Decides how long calls wait for a service of which no upstream is known yet.
///
/// The load: all daemons are killed and start again. For up to a second hardly any of them knows an
/// upstream of each service. A caller that is refused then comes back later than its objective.
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
    /// `None` once the daemon should know all upstreams. `objective` is the response time to aim at.
    pub fn wait_until(&self, now: Instant, objective: Duration) -> Option<Instant> {
        let end = self.started + DISCOVERY_TIME;
        (now < end).then(|| end.min(now + objective.mul_f64(WAIT_SHARE)))
    }
}
