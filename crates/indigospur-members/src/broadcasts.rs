//! Queue of updates to gossip.

use indigospur_protocol::HostId;
use std::collections::HashMap;

/// Number of messages that carry an update, for each doubling of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// Hosts with an update to gossip, and the number of messages that are still to carry it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broadcasts(HashMap<HostId, u32>);

impl Broadcasts {
    /// Queues the latest update of a host in a fleet of `size` members.
    pub(crate) fn enqueue(&mut self, host: &HostId, size: usize) {
        let doublings = usize::BITS - size.leading_zeros() + 1;
        self.0
            .insert(host.clone(), TRANSMISSIONS_PER_DOUBLING * doublings);
    }

    /// Takes up to `limit` hosts for one message, those with the most transmissions left first.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<HostId> {
        let mut hosts: Vec<(u32, HostId)> = self.0.iter().map(|(h, n)| (*n, h.clone())).collect();
        hosts.sort_by(|a, b| b.cmp(a));
        hosts.truncate(limit);
        for (_, host) in &hosts {
            self.count_transmission(host);
        }
        hosts.into_iter().map(|(_, host)| host).collect()
    }

    /// Number of queued updates.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    fn count_transmission(&mut self, host: &HostId) {
        if let Some(left) = self.0.get_mut(host) {
            *left -= 1;
            if *left == 0 {
                self.0.remove(host);
            }
        }
    }
}
