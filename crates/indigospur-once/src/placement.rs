//! Assignment of keys to homes and executors.

use indigospur_protocol::{EpochRecord, HostId, MemberId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the key's home: the member with the highest weight in rendezvous hashing, so that adding
/// or removing a member moves only that member's share of the keys. `None` if the epoch has no
/// members.
pub fn home_of<'a>(epoch: &'a EpochRecord, key: &str) -> Option<&'a MemberId> {
    epoch
        .members
        .iter()
        .max_by_key(|member| weight(&member.host, key))
}

/// Returns the members that may run the key: all but its home, or the home itself if it is the only
/// member.
pub fn executor_candidates<'a>(epoch: &'a EpochRecord, key: &str) -> Vec<&'a MemberId> {
    let home = home_of(epoch, key);
    if epoch.members.len() == 1 {
        return home.into_iter().collect();
    }
    epoch
        .members
        .iter()
        .filter(|member| Some(*member) != home)
        .collect()
}

fn weight(host: &HostId, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(host.as_bytes(), 0))
}
