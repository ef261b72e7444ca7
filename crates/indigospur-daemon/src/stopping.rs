//! What a stopping daemon still takes.

use crate::daemon::{Daemon, lock};
use indigospur_admission::{CallKind, Caution, ResponseTimes};
use indigospur_protocol::{Context, Kind, Refusal};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time for an answer to reach the caller before a stopping daemon ends.
const REPLY_TIME: Duration = Duration::from_millis(200);

/// The kind of a call with `context`, whose response time is recorded under `name`.
pub(crate) fn call_kind<'a>(name: &'a str, context: &Context) -> CallKind<'a> {
    CallKind {
        name,
        caution: Caution::new(context.idempotent, context.depth > 0),
    }
}

/// Refuses a call that is not expected to end before this daemon does.
pub(crate) fn too_late() -> Refusal {
    let detail = "this daemon is stopping before the call would end; call another";
    Refusal::new(Kind::Draining, detail)
}

impl Daemon {
    /// Whether calls of callers are accepted: while serving, and for the shutdown delay after the
    /// shutdown has begun, in which callers learn of it.
    pub(crate) fn accepts_callers(&self) -> bool {
        let since = *lock(&self.draining_since);
        since.is_none_or(|since| since.elapsed() < self.settings().effective_shutdown_delay())
    }

    /// Whether a call that is started now is expected to end before this daemon does; every call is while
    /// the daemon is not stopping. `times` has the response times of such calls, and `remaining` is the
    /// time until the deadline.
    pub(crate) fn ends_in_time(
        &self,
        now: Instant,
        times: &Mutex<ResponseTimes>,
        kind: CallKind<'_>,
        remaining: Duration,
    ) -> bool {
        let Some(left) = self.time_to_end(now) else {
            return true;
        };
        let bound = lock(times).bound(now, kind);
        remaining.min(bound) <= left
    }

    /// Time within which calls must end so that their callers get the answers before this daemon ends;
    /// `None` if it is not stopping.
    pub(crate) fn time_to_end(&self, now: Instant) -> Option<Duration> {
        let since = (*lock(&self.draining_since))?;
        let end = since + self.settings().shutdown_timeout;
        Some(
            end.saturating_duration_since(now)
                .saturating_sub(REPLY_TIME),
        )
    }
}
