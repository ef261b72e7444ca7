//! Observation of the processes while the soak runs.

use crate::callers::{Shared, lock};
use crate::observations::{BackendDrain, RateLimitSpan, VersionSample};
use crate::soak::{POLL_INTERVAL, Soak};
use indigospur_test_support::{fetch_status, get, post};
use serde_json::Value;
use std::sync::atomic::Ordering;

impl Soak {
    /// Stores the numbers of the requests that a host's backend server has run so far; returns how
    /// many runs it has begun, calls from other backend servers included. Resumes the backend
    /// server if it is suspended, as it could not answer otherwise.
    pub(crate) fn collect_journal(&mut self, index: usize) -> usize {
        self.resume_backend(index);
        let node = &self.site.nodes[index];
        if self.hosts[index].backend_down {
            return 0;
        }
        let journal = node.journal();
        let count = journal.len();
        let runs = journal.iter().filter_map(request_number).collect();
        if count > 0 {
            // The process ID tells the journals of a host's successive backend servers apart.
            let key = (node.name.clone(), node.backend.id());
            lock(&self.shared.observations).journals.insert(key, runs);
        }
        count
    }

    /// Counts the runs at a backend server that has announced that it leaves: with `noticed` when
    /// all daemons must have noticed, without it at the end of the watch that follows. Returns
    /// whether that process still runs as the host's backend server. Hosts that an unplanned fault
    /// has hit in this round are left out.
    pub(crate) fn record_drain(&mut self, index: usize, noticed: bool) -> bool {
        let draining = self.hosts[index].draining_backend;
        let same = draining == Some(self.site.nodes[index].backend.id());
        if !same || self.hosts[index].backend_down {
            return false;
        }
        let runs = self.collect_journal(index);
        let unannounced = self.hosts[index].leaves_unannounced;
        if noticed && unannounced && self.named_count(index, "leaving-answers") == 0 {
            // It has had no call in whose answer it could say so.
            return true;
        }
        let host = self.site.nodes[index].name.clone();
        let mut observations = lock(&self.shared.observations);
        if self.hosts[index].unplanned_fault {
            observations.drains.retain(|drain| drain.host != host);
        } else if noticed {
            observations.drains.push(BackendDrain {
                host,
                noticed_runs: runs,
                later_runs: runs,
            });
        } else if let Some(drain) = observations
            .drains
            .iter_mut()
            .rfind(|drain| drain.host == host)
        {
            drain.later_runs = runs;
        }
        true
    }

    /// A count that a backend server keeps since it named a rate limit or that it leaves.
    fn named_count(&self, index: usize, name: &str) -> u64 {
        let address = self.site.nodes[index].backend.address("address");
        let report = get(&address, "/stand-in/named").body;
        let report: Value = serde_json::from_str(&report).unwrap_or_default();
        report[name].as_u64().unwrap_or_default()
    }

    pub(crate) fn limit_rate(&mut self, index: usize, limit: &str) {
        self.resume_backend(index);
        let host = &mut self.hosts[index];
        if !host.backend_down {
            let backend = &self.site.nodes[index].backend;
            host.limited_backend = Some(backend.id());
            let path = format!("/stand-in/rate-limit/{limit}");
            post(&backend.address("address"), &path, "");
        }
    }

    /// Records the calls that a backend server got while it named a limit, and lifts the limit. Hosts
    /// that an unplanned fault has hit in this round are left out.
    pub(crate) fn end_rate_limit(&mut self, index: usize) {
        let limited = self.hosts[index].limited_backend.take();
        let same = limited == Some(self.site.nodes[index].backend.id());
        if !same || self.hosts[index].backend_down {
            return;
        }
        self.resume_backend(index);
        if !self.hosts[index].unplanned_fault {
            let span = RateLimitSpan {
                host: self.site.nodes[index].name.clone(),
                starts: self.named_count(index, "most-starts"),
                allowed: self.named_count(index, "allowed-starts"),
            };
            lock(&self.shared.observations).rate_limits.push(span);
        }
        self.limit_rate(index, "none");
        self.hosts[index].limited_backend = None;
    }

    /// Records processes that have exited unexpectedly; returns whether any has since the start.
    pub(crate) fn record_exits(&mut self) -> bool {
        let pairs = self.hosts.iter_mut().zip(&mut self.site.nodes);
        let exits: Vec<_> = pairs
            .flat_map(|(host, node)| host.take_exits(node))
            .collect();
        let mut observations = lock(&self.shared.observations);
        observations.exits.extend(exits);
        !observations.exits.is_empty()
    }
}

/// The number of the request that was run; `None` for calls of other backend servers.
fn request_number(run: &serde_json::Value) -> Option<u64> {
    let call = run["call"].as_str()?;
    let rest = call.split("?n=").nth(1)?;
    rest.split('&').next()?.parse().ok()
}

/// Samples the version of a daemon's rule set until the soak ends.
pub(crate) fn watch_version(shared: &Shared, index: usize) {
    while !shared.finished.load(Ordering::Relaxed) {
        let host = lock(&shared.hosts)[index].clone();
        let status = fetch_status(&host.admin_address);
        if let Some(version) = status["rules-version"].as_u64() {
            lock(&shared.observations).versions.push(VersionSample {
                host: host.name,
                restarts: host.restarts,
                version,
            });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
