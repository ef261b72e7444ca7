//! The peers of urgent rounds: a change that each host passes on once reaches every host.

use crate::fleet::member;
use indigospur_members::Members;
use indigospur_protocol::HostId;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Failures to reach a host, each less than it takes to declare the host down.
const FAILURES: u32 = 3;

/// Time of a step whose connections have all gone silent.
const STEP: Duration = Duration::from_millis(200);

/// Member lists of hosts that know each other. Every host could not reach the `suspected` ones last.
fn lists(size: usize, suspected: &HashSet<usize>) -> Vec<Members> {
    let now = Instant::now();
    let list = |index| {
        let mut members = Members::new(now, member(index));
        members.merge(now, (0..size).map(member).collect());
        for host in suspected.iter().filter(|host| **host != index) {
            (0..FAILURES).for_each(|_| members.record_failure(now, &member(*host).host));
        }
        members
    };
    (0..size).map(list).collect()
}

fn index_of(host: &HostId) -> usize {
    host[5..].parse().expect("the host name ends in its number")
}

/// Passes a change on from the `first` hosts; `dead` ones neither receive nor send it. Returns the hosts
/// that have it, and the number of steps until the last one got it.
fn spread(
    lists: &[Members],
    first: &[usize],
    dead: &HashSet<usize>,
    rng: &mut SmallRng,
) -> (HashSet<usize>, usize) {
    let mut reached: HashSet<usize> = first.iter().copied().collect();
    let (mut senders, mut steps) = (first.to_vec(), 0);
    loop {
        let peers = senders
            .iter()
            .flat_map(|sender| lists[*sender].choose_urgent_peers(rng));
        let peers: HashSet<usize> = peers.map(|peer| index_of(&peer.host)).collect();
        senders = peers.difference(dead).copied().collect();
        senders.retain(|host| reached.insert(*host));
        if senders.is_empty() {
            return (reached, steps);
        }
        steps += 1;
    }
}

proptest! {
    #[test]
    fn an_urgent_change_reaches_every_host_though_others_can_not_be_reached(
        size in 2..120_usize,
        seed: u64,
        dead in proptest::collection::hash_set(0..120_usize, 0..30),
        suspected in proptest::collection::hash_set(0..120_usize, 0..3),
    ) {
        let follows = |host: &usize| dead.contains(&((host + 1) % size));
        // No two dead hosts follow each other.
        let dead: HashSet<usize> = dead.iter().copied().filter(|host| *host < size && !follows(host)).collect();
        let suspected = suspected.into_iter().filter(|host| *host < size).collect();
        let lists = lists(size, &suspected);
        let first = (0..size).find(|host| !dead.contains(host)).expect("a live host");
        let mut rng = SmallRng::seed_from_u64(seed);
        let (reached, _) = spread(&lists, &[first], &dead, &mut rng);
        prop_assert_eq!(reached.len(), size - dead.len());
    }
}

#[test]
fn an_urgent_change_reaches_the_last_host_in_a_few_steps() {
    for (size, allowed) in [(16, 1), (80, 1), (640, 13)] {
        let limit = (Duration::from_secs(allowed).as_millis() / STEP.as_millis()) as usize;
        let lists = lists(size, &HashSet::from([size - 1]));
        let most = (0..20).map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            spread(&lists, &[0, 1, 2], &HashSet::new(), &mut rng).1
        });
        let most = most.max().expect("some seeds");
        println!("{size} hosts: {most} steps at most");
        assert!(most <= limit, "{most} steps to {size} hosts");
    }
}
