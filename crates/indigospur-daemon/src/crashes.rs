//! Calls that may crash the backend server of this host.

use crate::daemon::{Daemon, lock};
use indigospur_members::Verdict;
use indigospur_protocol::{Crash, HostId, Kind, Refusal, ServiceName};
use std::time::{Duration, Instant};

/// Time after which a request that is held may have been tried.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(2);

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

/// The host to which a request goes that needs a trial; `None` for all others.
pub(crate) fn trial_host(daemon: &Daemon, service: &ServiceName, digest: u64) -> Option<HostId> {
    let hosts = trial_candidates(daemon, service, digest);
    let fleet = lock(&daemon.fleet);
    let chosen = fleet.suspects.trial_host(Instant::now(), digest, &hosts);
    chosen.cloned()
}

/// The hosts of the service that take calls now; none unless the request needs a trial.
fn trial_candidates(daemon: &Daemon, service: &ServiceName, digest: u64) -> Vec<HostId> {
    let needs_trial = lock(&daemon.fleet)
        .suspects
        .needs_trial(Instant::now(), digest);
    if needs_trial {
        lock(&daemon.router).ready_hosts(service)
    } else {
        Vec::new()
    }
}

/// Records that a new process of the backend server was announced.
pub(crate) fn record_start(daemon: &Daemon) {
    let cleared = lock(&daemon.fleet)
        .suspects
        .record_start(Instant::now(), daemon.host());
    log_cleared(cleared);
}

/// Records a crash of the backend server. `unsent` is the digest of a call that did not reach it.
pub(crate) fn record_crash(daemon: &Daemon, unsent: Option<u64>) {
    let number = daemon.new_crash_id();
    let cleared =
        lock(&daemon.fleet)
            .suspects
            .record_crash(Instant::now(), daemon.host(), number, unsent);
    log_cleared(cleared);
}

fn log_cleared(cleared: usize) {
    if cleared > 0 {
        log::info!(
            cleared;
            "backend server goes down by itself; requests are no longer blamed for its earlier crashes"
        );
    }
}

/// Registers a call as a suspect in case the backend server crashes, until it is dropped.
pub(crate) struct SuspectGuard<'a> {
    daemon: &'a Daemon,
    fingerprint: u64,
}

impl<'a> SuspectGuard<'a> {
    /// Registers the call, unless it must not run here.
    pub(crate) fn start(
        daemon: &'a Daemon,
        service: &ServiceName,
        fingerprint: u64,
    ) -> Result<SuspectGuard<'a>, Refusal> {
        let candidates = trial_candidates(daemon, service, fingerprint);
        let verdict = lock(&daemon.fleet).suspects.try_start(
            Instant::now(),
            daemon.host(),
            fingerprint,
            &candidates,
        );
        if verdict == Verdict::Trial {
            log::info!(
                service = &**service;
                "a request that has taken down backend servers runs on trial"
            );
        }
        match verdict {
            Verdict::Run | Verdict::Trial => Ok(SuspectGuard {
                daemon,
                fingerprint,
            }),
            Verdict::OtherHost => Err(Refusal::new(
                Kind::Overloaded,
                "another suspect of a crash runs here",
            )),
            Verdict::Held => Err(Refusal::new(
                Kind::Overloaded,
                "the request is tried on one host first, after crashes of backend servers",
            )
            .with_retry_after(TRIAL_RETRY_AFTER)),
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
