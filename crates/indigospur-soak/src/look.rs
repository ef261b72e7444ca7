//! What the soak takes over from processes while it runs.

use crate::callers::{Shared, lock};
use crate::observed::{Leave, Seen};
use crate::soak::{LOOK, Soak};
use indigospur_test_support::fetch_status;
use std::sync::atomic::Ordering;

impl Soak {
    /// Takes over what a backend server has run so far.
    pub(crate) fn collect(&mut self, place: usize) -> usize {
        self.thaw_backend(place);
        let node = &self.site.nodes[place];
        if self.hosts[place].backend_down {
            return 0;
        }
        let journal = node.journal();
        let count = journal.len();
        let runs = journal.iter().filter_map(read_number).collect();
        if count > 0 {
            // Each start of a backend server has a process number of its own.
            let key = (node.name.clone(), node.backend.id());
            lock(&self.shared.observed).journals.insert(key, runs);
        }
        count
    }

    /// Counts the runs at a backend server that has announced that it leaves; whether it is the same
    /// still. Not watched are those whose host an unplanned fault has hit in this round.
    pub(crate) fn count_leaver(&mut self, place: usize, noticed: bool) -> bool {
        let leaving = self.hosts[place].leaving;
        let same = leaving == Some(self.site.nodes[place].backend.id());
        if !same || self.hosts[place].backend_down {
            return false;
        }
        let runs = self.collect(place);
        let host = self.site.nodes[place].name.clone();
        let mut observed = lock(&self.shared.observed);
        if self.hosts[place].disturbed {
            observed.leaves.retain(|leave| leave.host != host);
        } else if noticed {
            observed.leaves.push(Leave {
                host,
                noticed: runs,
                later: runs,
            });
        } else if let Some(leave) = observed.leaves.iter_mut().rfind(|leave| leave.host == host) {
            leave.later = runs;
        }
        true
    }

    /// Finds processes that ended by themselves; whether there are any so far.
    pub(crate) fn find_ended(&mut self) -> bool {
        let pairs = self.hosts.iter_mut().zip(&mut self.site.nodes);
        let ended: Vec<_> = pairs.flat_map(|(host, node)| host.ended(node)).collect();
        let mut observed = lock(&self.shared.observed);
        observed.ended.extend(ended);
        !observed.ended.is_empty()
    }
}

/// The number of the request that was run; `None` for the calls of other backend servers.
fn read_number(run: &serde_json::Value) -> Option<u64> {
    let call = run["call"].as_str()?;
    let rest = call.split("?n=").nth(1)?;
    rest.split('&').next()?.parse().ok()
}

/// Looks at the version that a daemon has, until the soak ends.
pub(crate) fn watch_version(shared: &Shared, place: usize) {
    while !shared.ended.load(Ordering::Relaxed) {
        let host = lock(&shared.hosts)[place].clone();
        let status = fetch_status(&host.admin);
        if let Some(version) = status["rules-version"].as_u64() {
            lock(&shared.observed).seen.push(Seen {
                host: host.name,
                start: host.start,
                version,
            });
        }
        std::thread::sleep(LOOK);
    }
}
