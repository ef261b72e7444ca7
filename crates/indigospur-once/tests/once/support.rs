//! Helpers shared by the tests.

use indigospur_once::{Once, OnceOptions, executor_candidates, home_of};
use indigospur_protocol::{Answer, EpochRecord, HostId, Key, MemberId};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant, SystemTime};

pub(crate) const OPTIONS: OnceOptions = OnceOptions {
    horizon: Duration::from_secs(600),
    lease: Duration::from_secs(60),
    longest_call: Duration::from_secs(20),
    skew: Duration::from_secs(1),
    largest_answer: 1_024,
};

pub(crate) fn id(index: usize, incarnation: u64) -> MemberId {
    MemberId {
        host: format!("host-{index}").into(),
        incarnation,
    }
}

pub(crate) fn epoch(number: u64, members: &[MemberId]) -> EpochRecord {
    EpochRecord {
        service: "contracts".into(),
        number,
        members: members.to_vec(),
        dead_members: Vec::new(),
    }
}

pub(crate) fn answer() -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: b"signed".as_slice().into(),
    }
}

/// Creates the daemons of an epoch with `count` members, all with this epoch applied.
pub(crate) fn new_nodes(count: usize, now: Instant, wall: SystemTime) -> Vec<Once> {
    let ids: Vec<MemberId> = (0..count).map(|index| id(index, 1)).collect();
    let node = |me: &MemberId| {
        let mut once = Once::new(Some(now), me.clone(), OPTIONS);
        once.apply(now, wall, epoch(1, &ids));
        once
    };
    ids.iter().map(node).collect()
}

pub(crate) fn index_of(host: &HostId) -> usize {
    host[5..].parse().expect("the host name ends in its number")
}

pub(crate) fn home_index(once: &Once, key: &str) -> usize {
    let current = once.current().expect("an epoch is known");
    index_of(&home_of(current, key).expect("it has members").host)
}

pub(crate) fn executor_index(once: &Once, key: &str) -> usize {
    let current = once.current().expect("an epoch is known");
    index_of(&executor_candidates(current, key)[0].host)
}

pub(crate) fn new_key(wall: SystemTime, rng: &mut SmallRng) -> Key {
    let since = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("after 1970");
    let uuid = uuid::Builder::from_unix_timestamp_millis(since.as_millis() as u64, &rng.random());
    uuid.into_uuid().to_string().as_str().into()
}
