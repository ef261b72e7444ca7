//! What the backend server of this host says about itself in its answers.

use crate::backend::Backend;
use crate::daemon::lock;
use crate::dialect::{BackendStatus, RateLimit};

/// Takes note of the status in an answer.
pub(crate) fn observe(backend: &Backend, status: BackendStatus) {
    let rate_limit = match status.rate_limit {
        RateLimit::Unlimited => None,
        RateLimit::Limited(rate) => Some(rate),
        RateLimit::Malformed => {
            log::warn!(instance = &*backend.instance; "the rate limit in an answer of the backend server is malformed; it is ignored");
            return;
        }
    };
    let before = std::mem::replace(&mut *lock(&backend.rate_limit), rate_limit);
    if before != rate_limit {
        log::info!(
            instance = &*backend.instance,
            per_second:? = rate_limit.map(|rate| rate.calls_per_second()),
            before:? = before.map(|rate| rate.calls_per_second());
            "the backend server changed the limit on its rate of calls"
        );
    }
    if status.leaving {
        log::info!(instance = &*backend.instance; "the backend server says in an answer that it leaves");
    }
}
