//! What the backend server of this host says about itself in its answers.

use crate::backend::{self, Backend};
use crate::daemon::{Daemon, lock};
use crate::dialect::{BackendStatus, RateLimit};
use indigospur_members::{Instance, NamedLimit};
use indigospur_protocol::{Pace, Rate};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Shortest time between two announcements of a changed rate limit to the fleet. The first one, and the
/// end of a limit, are announced at once.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Takes note of the status in the answer to a call that was started at `started`. A late answer of
/// an instance that was replaced is heard only if it names the instance that leaves.
pub(crate) fn observe(
    daemon: &Daemon,
    backend: &Arc<Backend>,
    status: BackendStatus,
    started: Instant,
) {
    let current = daemon.backend();
    let is_current = current.is_some_and(|current| Arc::ptr_eq(&current, backend));
    if is_current {
        backend.has_answered.store(true, Ordering::Relaxed);
        if let Some(percent) = status.pace {
            backend.slots.observe_pace(Pace::from_percent(percent));
        }
        match status.rate_limit {
            RateLimit::Unlimited => observe_rate_limit(daemon, backend, started, None),
            RateLimit::Limited(rate) => observe_rate_limit(daemon, backend, started, Some(rate)),
            RateLimit::Malformed => {
                log::warn!(instance = &*backend.instance; "the rate limit in an answer of the backend server is malformed; it is ignored");
            }
        }
    }
    let has_name = !backend.instance.is_empty();
    if status.leaving
        && (is_current || has_name)
        && backend::handle_departure(daemon, &backend.instance())
    {
        log::info!(instance = &*backend.instance; "the backend server says in an answer that it leaves");
    }
}

fn observe_rate_limit(daemon: &Daemon, backend: &Backend, started: Instant, rate: Option<Rate>) {
    let (before, after) = backend.slots.observe_rate_limit(started, rate);
    if before != after {
        log::info!(
            instance = &*backend.instance,
            per_second:? = after.map(Rate::calls_per_second),
            before:? = before.map(Rate::calls_per_second);
            "the backend server changed the limit on its rate of calls"
        );
        *lock(&daemon.named_limit) = after.map(|rate| NamedLimit {
            instance: backend.instance(),
            rate,
        });
    }
    announce_rate_limit(daemon, backend, after);
}

/// The rate limit that an instance is known to have named, before it is told again by an answer.
pub(crate) fn known_rate_limit(daemon: &Daemon, instance: &Instance) -> Option<Rate> {
    let named = lock(&daemon.named_limit);
    let named = named.as_ref().filter(|limit| limit.instance == *instance);
    named.map(|limit| limit.rate)
}

/// Applies a rate limit that other daemons remember of the backend server on this host, unless it has
/// answered a call of this daemon.
pub(crate) fn recall_rate_limit(daemon: &Daemon, limit: &NamedLimit) {
    let backend = daemon.backend();
    let has_answered = |backend: &Backend| backend.has_answered.load(Ordering::Relaxed);
    if backend.as_deref().is_some_and(has_answered) || lock(&daemon.named_limit).is_some() {
        return;
    }
    *lock(&daemon.named_limit) = Some(limit.clone());
    if let Some(backend) = backend.filter(|backend| backend.instance() == limit.instance) {
        observe_rate_limit(daemon, &backend, Instant::now(), Some(limit.rate));
    }
}

/// Announces the rate limit in force to the fleet, unless it is known there or a change was announced
/// just before; then a later answer announces it.
fn announce_rate_limit(daemon: &Daemon, backend: &Backend, rate: Option<Rate>) {
    let now = Instant::now();
    let mut announced = lock(&backend.announced_rate);
    let is_recent = |at: Instant| now.saturating_duration_since(at) < ANNOUNCE_INTERVAL;
    let is_same_kind = announced.rate.is_some() == rate.is_some();
    let too_early = is_same_kind && announced.at.is_some_and(is_recent);
    if announced.rate == rate || too_early {
        return;
    }
    announced.rate = rate;
    announced.at = Some(now);
    drop(announced);
    let changed = lock(&daemon.fleet).members.announce(now, |me| {
        if me.instance == backend.instance {
            me.rate_limit = rate;
        }
    });
    if changed {
        daemon.publish_own_state();
    }
}
