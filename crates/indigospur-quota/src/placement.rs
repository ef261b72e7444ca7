//! Which host is the home of which workspace.
//!
//! Workspaces are hashed into a fixed number of slots, and ranges of slots form the partitions. Daemons
//! that disagree on the number of partitions for a moment still agree on the slot of a workspace.

use indigospur_protocol::HostId;
use std::cmp::Reverse;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of slots, and the largest number of partitions.
pub(crate) const SLOTS: u32 = 32;
/// Hosts for which there is one partition.
const HOSTS_PER_PARTITION: usize = 32;
/// Hosts that are tried in turn as the home of a partition.
const CANDIDATES: usize = 4;
/// Time between two reports of a host to a home.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of hosts up to which reports are sent every [`REPORT_INTERVAL`]. Above it the interval grows
/// with the number of hosts, so that the reports that a home receives stay below 800 a second.
const FULL_RATE_HOSTS: usize = 200;

/// Bound of the time between two reports of a host without changed counts, unless [`report_interval`] is
/// longer.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(700);

/// Slot of a workspace, below [`SLOTS`].
pub(crate) type Slot = u32;

/// A set of slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotSet(pub u32);

impl SlotSet {
    pub(crate) fn insert(&mut self, slot: Slot) {
        self.0 |= 1 << slot;
    }

    pub(crate) fn contains(self, slot: Slot) -> bool {
        self.0 & (1 << slot) != 0
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = Slot> {
        let mut rest = self.0;
        std::iter::from_fn(move || {
            let slot = (rest != 0).then(|| rest.trailing_zeros());
            rest &= rest.wrapping_sub(1);
            slot
        })
    }
}

/// The hosts as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// Hosts that can be the home of each partition, the first choice first; at most [`CANDIDATES`].
    candidates: Vec<Vec<HostId>>,
    /// Number of hosts that may admit requests, including those that can't be reached; at least the
    /// number of live hosts.
    known: usize,
}

impl Hosts {
    /// Creates the list from the hosts that can be a home, and the number of all that are known.
    pub fn new(live: Vec<HostId>, known: usize) -> Hosts {
        let known = known.max(live.len());
        let partitions = known.div_ceil(HOSTS_PER_PARTITION).clamp(1, SLOTS as usize);
        let rank = |partition| {
            let weight = |host: &HostId| Reverse(weight(host, partition));
            let mut hosts = live.clone();
            hosts.sort_by_cached_key(weight);
            hosts.truncate(CANDIDATES);
            hosts
        };
        Hosts {
            candidates: (0..partitions as u64).map(rank).collect(),
            known,
        }
    }

    /// Number of hosts that are known.
    pub fn known(&self) -> usize {
        self.known
    }

    /// Home of a slot: the first host by rendezvous hashing that is not excluded, so that a host that
    /// comes or goes moves only its own partitions.
    pub(crate) fn home(
        &self,
        slot: Slot,
        is_excluded: impl Fn(&HostId) -> bool,
    ) -> Option<&HostId> {
        let partition = slot as usize * self.candidates.len() / SLOTS as usize;
        let candidates = self.candidates.get(partition)?;
        candidates.iter().find(|host| !is_excluded(host))
    }
}

fn weight(host: &HostId, partition: u64) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), partition)
}

pub(crate) fn all_slots() -> impl Iterator<Item = Slot> {
    0..SLOTS
}

/// Slot of a workspace.
pub(crate) fn slot_of(name: &str) -> Slot {
    (xxh3_64(name.as_bytes()) % u64::from(SLOTS)) as Slot
}

/// Home of a workspace; `None` if no host is live.
pub fn home_of(name: &str, hosts: &Hosts) -> Option<HostId> {
    hosts.home(slot_of(name), |_| false).cloned()
}

/// Time between two reports of a host to a home.
pub fn report_interval(hosts: &Hosts) -> Duration {
    let factor = hosts.known as f64 / FULL_RATE_HOSTS as f64;
    REPORT_INTERVAL.mul_f64(factor.max(1.0))
}

/// Longest time between two reports of a host without changed counts. Shorter than the life of a share,
/// so that a request that comes after a pause finds a share in force.
pub(crate) fn idle_interval(hosts: &Hosts) -> Duration {
    let interval = report_interval(hosts);
    // A little less than whole intervals, since timers differ by a little.
    let longest = MAX_IDLE_INTERVAL.max(interval.mul_f64(0.9));
    interval.mul_f64(1.8).min(longest)
}

/// Time without a report after which a home takes a host as silent. Hosts send before half of it has passed, so
/// that the loss of one report seldom matters.
pub(crate) fn silence_timeout(hosts: &Hosts) -> Duration {
    idle_interval(hosts) * 2
}
