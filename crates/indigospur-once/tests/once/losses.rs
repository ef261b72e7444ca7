//! What is lost with a home and an executor that went on after the others had moved to another
//! epoch, as behind a cut.

use crate::support::{OPTIONS, epoch, id, members, new_key};
use indigospur_once::{Claim, HandOver, Once, Recorded, home_of};
use indigospur_protocol::{Key, MemberId};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant, SystemTime};

/// Three members: one has seen the second epoch, in which it is alone; home and executor have not.
struct Cut {
    rng: SmallRng,
    /// When the second epoch was seen.
    now: Instant,
    wall: SystemTime,
    parts: Vec<Once>,
}

const HOME: usize = 0;
const EXECUTOR: usize = 1;
const WITNESS: usize = 2;

impl Cut {
    fn new() -> Cut {
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mut parts = members(3, now, wall);
        parts[WITNESS].apply(now, wall, epoch(2, &[id(WITNESS, 1)]));
        let rng = SmallRng::seed_from_u64(1);
        Cut {
            rng,
            now,
            wall,
            parts,
        }
    }

    /// A key made so long after the second epoch was seen, at home at the first member and, without
    /// that one, at the witness.
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

    /// Home and executor run a new key so long after the second epoch was seen.
    fn run(&mut self, after: Duration) -> Key {
        let key = self.key(after);
        let (now, wall) = (self.now + after, self.wall + after);
        assert_eq!(
            self.parts[HOME].claim(now, wall, &key, 1),
            Claim::Granted(1)
        );
        let home = id(HOME, 1).host;
        assert_eq!(
            self.parts[EXECUTOR].record(now, 1, &home, &key, 1),
            Recorded::Run
        );
        key
    }

    fn claim(&mut self, after: Duration, key: &Key) -> Claim {
        self.parts[WITNESS].claim(self.now + after, self.wall + after, key, 1)
    }

    /// Checks, some time after the loss was learnt, that the key that ran is uncertain and that one
    /// made just before is granted in this epoch.
    fn check(&mut self, ran: &Key, learnt: Duration, number: u64) {
        let later = learnt + OPTIONS.skew * 3;
        let new = self.key(later - OPTIONS.skew);
        assert_eq!(self.claim(later, ran), Claim::Uncertain);
        assert_eq!(self.claim(later, &new), Claim::Granted(number));
    }
}

#[test]
fn what_a_member_ran_until_its_later_start_is_not_run_again() {
    let mut cut = Cut::new();
    let ran = cut.run(Duration::from_secs(30));
    let learnt = Duration::from_secs(40);
    let restarted = epoch(3, &[id(EXECUTOR, 2), id(WITNESS, 1)]);
    cut.parts[WITNESS].apply(cut.now + learnt, cut.wall + learnt, restarted);
    cut.check(&ran, learnt, 3);
}

#[test]
fn what_a_member_ran_until_its_lease_ended_is_not_run_again() {
    let mut cut = Cut::new();
    let ran = cut.run(OPTIONS.lease - Duration::from_secs(1));
    let lapse = OPTIONS.lease + OPTIONS.longest_call + OPTIONS.skew;
    cut.check(&ran, lapse, 2);
}

#[test]
fn what_a_member_ran_until_it_moved_and_left_is_not_run_again() {
    let mut cut = Cut::new();
    let ran = cut.run(Duration::from_secs(30));
    let learnt = Duration::from_secs(40);
    let hand_over = HandOver {
        from: id(9, 1),
        epoch: 2,
        records: Vec::new(),
        fences: vec![(id(EXECUTOR, 1), 2)],
        complete: Vec::new(),
    };
    assert!(cut.parts[WITNESS].take(cut.now + learnt, cut.wall + learnt, hand_over));
    cut.check(&ran, learnt, 2);
}
