//! Planned replacements, in which every member hands over before it stops.

use crate::support::{OPTIONS, answer, epoch, id, index_of, new_nodes};
use indigospur_once::{ClaimOutcome, Once, RecordOutcome, executor_candidates, home_of};
use indigospur_protocol::{EpochRecord, Key, MemberId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant, SystemTime};

/// Keys run after each step.
const KEYS: usize = 40;

/// A service whose hosts are replaced one after the other.
struct Service {
    rng: SmallRng,
    now: Instant,
    wall: SystemTime,
    log: Vec<EpochRecord>,
    nodes: Vec<Once>,
    ids: Vec<MemberId>,
}

impl Service {
    fn new(size: usize, seed: u64) -> Service {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let ids: Vec<MemberId> = (0..size).map(|index| id(index, 1)).collect();
        Service {
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall,
            log: vec![epoch(1, &ids)],
            nodes: new_nodes(size, now, wall),
            ids,
        }
    }

    /// Appends an epoch with these members to the log 2 s later. All daemons apply it and hand over
    /// to its members, including a daemon that leaves.
    fn change(&mut self, listed: &[MemberId]) {
        self.now += Duration::from_secs(2);
        self.wall += Duration::from_secs(2);
        let record = epoch(self.log.len() as u64 + 1, listed);
        self.log.push(record.clone());
        for node in &mut self.nodes {
            node.apply(self.now, self.wall, record.clone());
        }
        for from in 0..self.nodes.len() {
            self.hand_over(from, listed);
        }
    }

    fn hand_over(&mut self, from: usize, listed: &[MemberId]) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let hand_over = self.nodes[from].hand_over(self.now, &self.ids[to].host);
            if let Some(hand_over) = hand_over
                && listed.contains(&self.ids[to])
            {
                assert!(self.nodes[to].apply_hand_over(self.now, self.wall, hand_over));
            }
        }
    }

    /// Removes a member from the epoch; it hands over to the others.
    fn stop(&mut self, index: usize) {
        let rest: Vec<MemberId> = (0..self.ids.len())
            .filter(|other| *other != index)
            .map(|other| self.ids[other].clone())
            .collect();
        self.change(&rest);
    }

    /// Restarts a member with an empty state: it reads the log from the start and joins.
    fn start(&mut self, index: usize) {
        self.ids[index].incarnation += 1;
        let mut fresh = Once::new(Some(self.now), self.ids[index].clone(), OPTIONS);
        for record in &self.log {
            fresh.apply(self.now, self.wall, record.clone());
        }
        self.nodes[index] = fresh;
        let listed = self.ids.clone();
        self.change(&listed);
    }

    fn claim(&mut self, key: &Key) -> ClaimOutcome {
        let current = self.log.last().expect("the log has an epoch");
        let home = home_index_of(current, key);
        self.nodes[home].claim(self.now, self.wall, key, 1)
    }

    /// Claims a key at its home and runs it on a random executor.
    fn run(&mut self, key: &Key) {
        let current = self.log.last().expect("the log has an epoch").clone();
        let home = home_index_of(&current, key);
        let number = current.number;
        assert_eq!(self.claim(key), ClaimOutcome::Granted(number), "{key}");
        let candidates = executor_candidates(&current, key);
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        let executor = index_of(&chosen.host);
        let host = self.ids[home].host.clone();
        assert_eq!(
            self.nodes[executor].record(self.now, number, &host, key, 1),
            RecordOutcome::Run
        );
        self.nodes[executor].finish_run(key);
        self.nodes[home].mark_ran(key, &answer());
    }

    fn plain_keys(&mut self) -> Vec<Key> {
        (0..KEYS)
            .map(|_| Key::from(format!("plain-{}", self.rng.random::<u64>())))
            .collect()
    }
}

fn home_index_of(current: &EpochRecord, key: &str) -> usize {
    let home = home_of(current, key).expect("it has members");
    index_of(&home.host)
}

#[test]
fn new_keys_are_granted_immediately_after_each_step_of_a_rolling_replacement() {
    for size in [2, 3, 5] {
        let mut service = Service::new(size, 1);
        for index in (0..size).chain(0..size) {
            service.stop(index);
            service.plain_keys().iter().for_each(|key| service.run(key));
            service.start(index);
            service.plain_keys().iter().for_each(|key| service.run(key));
        }
    }
}

#[test]
fn keys_that_ran_stay_recorded_through_a_rolling_replacement() {
    let mut service = Service::new(3, 2);
    let mut keys = Vec::new();
    for index in (0..3).chain(0..3) {
        for step in [Service::stop, Service::start] {
            let new = service.plain_keys();
            new.iter().for_each(|key| service.run(key));
            keys.extend(new);
            step(&mut service, index);
            for key in &keys {
                let claim = service.claim(key);
                assert!(
                    matches!(claim, ClaimOutcome::Ran | ClaimOutcome::Repeat(_)),
                    "{claim:?}"
                );
            }
        }
    }
}
