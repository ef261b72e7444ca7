//! Loss of a home and an executor that went on running keys in an old epoch, as behind a network
//! partition.

use crate::support::{OPTIONS, epoch, id, new_key, new_nodes};
use indigospur_once::{ClaimOutcome, HandOver, Once, RecordOutcome, home_of};
use indigospur_protocol::{Key, MemberId};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant, SystemTime};

/// Three members, of which only the witness has seen the second epoch, with itself as the only
/// member.
struct Partition {
    rng: SmallRng,
    /// When the second epoch was seen.
    now: Instant,
    wall: SystemTime,
    nodes: Vec<Once>,
}

const HOME: usize = 0;
const EXECUTOR: usize = 1;
const WITNESS: usize = 2;

impl Partition {
    fn new() -> Partition {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mut nodes = new_nodes(3, now, wall);
        nodes[WITNESS].apply(now, wall, epoch(2, &[id(WITNESS, 1)]));
        let rng = SmallRng::seed_from_u64(1);
        Partition {
            rng,
            now,
            wall,
            nodes,
        }
    }

    /// Creates a key `after` the second epoch was seen. Its home is `HOME` in the first epoch, and
    /// the witness in an epoch without `HOME`.
    fn key(&mut self, after: Duration) -> Key {
        let all: Vec<MemberId> = (0..3).map(|index| id(index, 1)).collect();
        loop {
            let key = new_key(self.wall + after, &mut self.rng);
            let first = home_of(&epoch(1, &all), &key) == Some(&all[HOME]);
            if first && home_of(&epoch(3, &all[1..]), &key) == Some(&all[WITNESS]) {
                return key;
            }
        }
    }

    /// Runs a new key on home and executor `after` the second epoch was seen.
    fn run(&mut self, after: Duration) -> Key {
        let key = self.key(after);
        let (now, wall) = (self.now + after, self.wall + after);
        assert_eq!(
            self.nodes[HOME].claim(now, wall, &key, 1),
            ClaimOutcome::Granted(1)
        );
        let home = id(HOME, 1).host;
        assert_eq!(
            self.nodes[EXECUTOR].record(now, 1, &home, &key, 1),
            RecordOutcome::Run
        );
        key
    }

    fn claim(&mut self, after: Duration, key: &Key) -> ClaimOutcome {
        self.nodes[WITNESS].claim(self.now + after, self.wall + after, key, 1)
    }

    /// Checks, three times the skew after the loss was learnt, that the key that ran is uncertain
    /// and that a key created one skew earlier is granted in the epoch `number`.
    fn check(&mut self, ran: &Key, learnt: Duration, number: u64) {
        let later = learnt + OPTIONS.skew * 3;
        let new = self.key(later - OPTIONS.skew);
        assert_eq!(self.claim(later, ran), ClaimOutcome::Uncertain);
        assert_eq!(self.claim(later, &new), ClaimOutcome::Granted(number));
    }
}

#[test]
fn a_key_run_before_the_executors_restart_is_not_run_again() {
    let mut partition = Partition::new();
    let ran = partition.run(Duration::from_secs(30));
    let learnt = Duration::from_secs(40);
    let restarted = epoch(3, &[id(EXECUTOR, 2), id(WITNESS, 1)]);
    partition.nodes[WITNESS].apply(partition.now + learnt, partition.wall + learnt, restarted);
    partition.check(&ran, learnt, 3);
}

#[test]
fn a_key_run_before_the_executors_lease_expired_is_not_run_again() {
    let mut partition = Partition::new();
    let ran = partition.run(OPTIONS.lease - Duration::from_secs(1));
    let epoch_timeout = OPTIONS.lease + OPTIONS.longest_call + OPTIONS.skew;
    partition.check(&ran, epoch_timeout, 2);
}

#[test]
fn a_key_run_before_the_executor_moved_and_left_is_not_run_again() {
    let mut partition = Partition::new();
    let ran = partition.run(Duration::from_secs(30));
    let learnt = Duration::from_secs(40);
    let hand_over = HandOver {
        from: id(9, 1),
        epoch: 2,
        records: Vec::new(),
        fences: vec![(id(EXECUTOR, 1), 2)],
        complete: Vec::new(),
    };
    assert!(partition.nodes[WITNESS].apply_hand_over(
        partition.now + learnt,
        partition.wall + learnt,
        hand_over
    ));
    partition.check(&ran, learnt, 2);
}
