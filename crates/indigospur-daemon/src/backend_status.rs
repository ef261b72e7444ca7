//! What the backend server of this host says about itself in its answers.

use crate::backend::Backend;
use crate::dialect::{BackendStatus, RateLimit};
use indigospur_protocol::Rate;
use std::time::Instant;

/// Takes note of the status in the answer to a call that was started at `started`.
pub(crate) fn observe(backend: &Backend, status: BackendStatus, started: Instant) {
    match status.rate_limit {
        RateLimit::Unlimited => observe_rate_limit(backend, started, None),
        RateLimit::Limited(rate) => observe_rate_limit(backend, started, Some(rate)),
        RateLimit::Malformed => {
            log::warn!(instance = &*backend.instance; "the rate limit in an answer of the backend server is malformed; it is ignored");
        }
    }
    if status.leaving {
        log::info!(instance = &*backend.instance; "the backend server says in an answer that it leaves");
    }
}

fn observe_rate_limit(backend: &Backend, started: Instant, rate: Option<Rate>) {
    let (before, after) = backend.slots.observe_rate_limit(started, rate);
    if before != after {
        log::info!(
            instance = &*backend.instance,
            per_second:? = after.map(Rate::calls_per_second),
            before:? = before.map(Rate::calls_per_second);
            "the backend server changed the limit on its rate of calls"
        );
    }
}
