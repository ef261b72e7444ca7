//! Calls that may crash the backend server of this host.

use crate::daemon::{Daemon, lock};
use indigospur_members::Verdict;
use indigospur_protocol::{Crash, Kind, Refusal};
use std::time::Instant;

/// The crashes of the request that the sender does not know as they are known here. It must know them
/// before it tries another host.
pub(crate) fn crashes_for_sender(
    daemon: &Daemon,
    digest: u64,
    known_to_sender: &[Crash],
) -> Vec<Crash> {
    let mut crashes = lock(&daemon.fleet)
        .suspects
        .crashes_of(Instant::now(), digest);
    crashes.retain(|crash| !known_to_sender.iter().any(|known| known.says_same(crash)));
    crashes
}

/// Registers a call as a suspect in case the backend server crashes, until it is dropped.
pub(crate) struct SuspectGuard<'a> {
    daemon: &'a Daemon,
    fingerprint: u64,
}

impl<'a> SuspectGuard<'a> {
    /// Registers the call, unless it must not run here.
    pub(crate) fn start(daemon: &'a Daemon, fingerprint: u64) -> Result<SuspectGuard<'a>, Refusal> {
        let verdict =
            lock(&daemon.fleet)
                .suspects
                .try_start(Instant::now(), daemon.host(), fingerprint);
        match verdict {
            Verdict::Run => Ok(SuspectGuard {
                daemon,
                fingerprint,
            }),
            Verdict::OtherHost => Err(Refusal::new(
                Kind::Overloaded,
                "another suspect of a crash runs here",
            )),
            Verdict::Poisonous => Err(Refusal::new(
                Kind::PoisonRequest,
                "the request has taken down several backend servers",
            )),
        }
    }
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        lock(&self.daemon.fleet).suspects.finish(self.fingerprint);
    }
}
