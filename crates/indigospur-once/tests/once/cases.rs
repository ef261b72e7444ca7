//! Cases of claims, hand-overs and dispatches, one mechanism each.

use crate::support::{OPTIONS, answer, epoch, executor_index, home_index, id, new_key, new_nodes};
use indigospur_once::{ClaimOutcome, HandOver, Once, RecordOutcome, home_of};
use indigospur_protocol::Key;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant, SystemTime};

#[test]
fn a_repeated_key_gets_the_first_answer_and_does_not_run() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let key: Key = "k".into();
    let home = home_index(&nodes[0], &key);
    assert_eq!(
        nodes[home].claim(now, wall, &key, 1),
        ClaimOutcome::Granted(1)
    );
    assert_eq!(nodes[home].claim(now, wall, &key, 1), ClaimOutcome::Running);
    nodes[home].mark_ran(&key, &answer());
    assert_eq!(
        nodes[home].claim(now, wall, &key, 1),
        ClaimOutcome::Repeat(answer())
    );
    assert_eq!(
        nodes[home].claim(now, wall, &key, 2),
        ClaimOutcome::Conflict
    );
}

#[test]
fn a_member_that_is_not_the_home_names_the_home() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let home = home_index(&nodes[0], "k");
    let other = (home + 1) % 3;
    assert_eq!(
        nodes[other].claim(now, wall, &"k".into(), 1),
        ClaimOutcome::NotHome(id(home, 1).host)
    );
}

#[test]
fn a_released_claim_may_be_claimed_again_and_an_uncertain_one_may_not() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let key: Key = "k".into();
    let home = home_index(&nodes[0], &key);
    nodes[home].claim(now, wall, &key, 1);
    nodes[home].release(&key);
    assert_eq!(
        nodes[home].claim(now, wall, &key, 1),
        ClaimOutcome::Granted(1)
    );
    nodes[home].mark_uncertain(&key);
    assert_eq!(
        nodes[home].claim(now, wall, &key, 1),
        ClaimOutcome::Uncertain
    );
}

#[test]
fn an_executor_refuses_a_dispatch_of_an_earlier_epoch() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let (home, executor) = (home_index(&nodes[0], "k"), executor_index(&nodes[0], "k"));
    let host = id(home, 1).host;
    nodes[executor].apply(now, wall, epoch(2, &[id(home, 1), id(executor, 1)]));
    assert_eq!(
        nodes[executor].record(now, 1, &host, &"k".into(), 1),
        RecordOutcome::Stale
    );
}

#[test]
fn an_executor_that_has_not_read_the_log_for_longer_than_the_lease_runs_nothing() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let (home, executor) = (home_index(&nodes[0], "k"), executor_index(&nodes[0], "k"));
    let host = id(home, 1).host;
    let late = now + OPTIONS.lease + Duration::from_secs(1);
    assert_eq!(
        nodes[executor].record(late, 1, &host, &"k".into(), 1),
        RecordOutcome::LeaseExpired
    );
    nodes[executor].renew_lease(late);
    assert_eq!(
        nodes[executor].record(late, 1, &host, &"k".into(), 1),
        RecordOutcome::Run
    );
}

/// The two remaining members of three, after the executor ran `key` and the key's home was lost.
struct AfterLoss {
    nodes: Vec<Once>,
    now: Instant,
    wall: SystemTime,
    key: Key,
    home: usize,
    successor: usize,
    other: usize,
}

/// Runs a key and loses its home. `executor_succeeds` says whether the executor becomes the next
/// home.
fn lose_home(executor_succeeds: bool) -> AfterLoss {
    let (now, wall) = (
        Instant::now(),
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
    );
    for number in 0.. {
        let key: Key = format!("k{number}").as_str().into();
        let mut nodes = new_nodes(3, now, wall);
        let (home, executor) = (home_index(&nodes[0], &key), executor_index(&nodes[0], &key));
        assert_eq!(
            nodes[home].claim(now, wall, &key, 1),
            ClaimOutcome::Granted(1)
        );
        assert_eq!(
            nodes[executor].record(now, 1, &id(home, 1).host, &key, 1),
            RecordOutcome::Run
        );
        nodes[executor].finish_run(&key);
        let rest: Vec<usize> = (0..3).filter(|index| *index != home).collect();
        let record = epoch(2, &[id(rest[0], 1), id(rest[1], 1)]);
        for index in &rest {
            nodes[*index].apply(now, wall, record.clone());
        }
        let successor = home_index(&nodes[rest[0]], &key);
        let other = rest[0] + rest[1] - successor;
        if (executor == successor) == executor_succeeds {
            return AfterLoss {
                nodes,
                now,
                wall,
                key,
                home,
                successor,
                other,
            };
        }
    }
    unreachable!("some key has the wanted executor")
}

impl AfterLoss {
    fn claim(&mut self, now: Instant) -> ClaimOutcome {
        self.nodes[self.successor].claim(now, self.wall, &self.key, 1)
    }

    fn hand_over(&mut self) {
        let to = id(self.successor, 1).host;
        let hand_over = self.nodes[self.other]
            .hand_over(self.now, &to)
            .expect("an epoch is known");
        assert!(self.nodes[self.successor].apply_hand_over(self.now, self.wall, hand_over));
    }
}

#[test]
fn the_successor_of_a_lost_home_serves_after_the_executors_have_handed_over() {
    let mut after = lose_home(false);
    assert_eq!(after.claim(after.now), ClaimOutcome::NotServing);
    after.hand_over();
    assert_eq!(after.claim(after.now), ClaimOutcome::Ran);
}

#[test]
fn the_successor_of_a_lost_home_uses_its_own_records_as_an_executor() {
    let mut after = lose_home(true);
    after.hand_over();
    assert_eq!(after.claim(after.now), ClaimOutcome::Ran);
}

#[test]
fn the_successor_waits_until_an_unreachable_executor_can_run_nothing_any_more() {
    let mut after = lose_home(false);
    let epoch_timeout = OPTIONS.lease + OPTIONS.longest_call + OPTIONS.skew;
    assert_eq!(
        after.claim(after.now + epoch_timeout - Duration::from_secs(1)),
        ClaimOutcome::NotServing
    );
    assert_eq!(
        after.claim(after.now + epoch_timeout + Duration::from_secs(1)),
        ClaimOutcome::Uncertain
    );
}

/// Guards against counting a member as gone once another member's hand-over reports its move to the
/// current epoch, before its own hand-over has arrived. Occurs in rolling replacements under load.
#[test]
fn the_hand_over_of_a_member_that_has_moved_but_not_left_is_waited_for() {
    let mut after = lose_home(false);
    let hand_over = HandOver {
        from: id(9, 1),
        epoch: 2,
        records: Vec::new(),
        fences: vec![(id(after.other, 1), 2)],
        complete: Vec::new(),
    };
    assert!(after.nodes[after.successor].apply_hand_over(after.now, after.wall, hand_over));
    assert_eq!(after.claim(after.now), ClaimOutcome::NotServing);
    after.hand_over();
    assert_eq!(after.claim(after.now), ClaimOutcome::Ran);
}

/// A service starts with one upstream, grows, and then loses the first one, which alone has the
/// records of what ran in the first epoch.
#[test]
fn after_the_first_upstream_of_a_service_is_lost_only_keys_with_a_later_timestamp_are_granted() {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let ids = [id(0, 1), id(1, 1), id(2, 1)];
    let mut nodes: Vec<Once> = ids
        .iter()
        .map(|me| Once::new(Some(now), me.clone(), OPTIONS))
        .collect();
    let records = [&ids[..1], &ids[..], &ids[1..]];
    for (number, members) in (1..).zip(records) {
        for node in &mut nodes {
            node.apply(now, wall, epoch(number, members));
        }
        let hand_overs: Vec<HandOver> = nodes
            .iter()
            .filter_map(|node| node.hand_over(now, &ids[1].host))
            .collect();
        for hand_over in hand_overs
            .into_iter()
            .filter(|hand_over| number < 3 || hand_over.from.host != ids[0].host)
        {
            nodes[1].apply_hand_over(now, wall, hand_over);
        }
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut key_of_lost_home = |create: &mut dyn FnMut(&mut SmallRng) -> Key| loop {
        let key = create(&mut rng);
        let before = home_of(&epoch(2, &ids), &key) == Some(&ids[0]);
        if before && home_of(&epoch(3, &ids[1..]), &key) == Some(&ids[1]) {
            return key;
        }
    };
    let later = wall + Duration::from_secs(5);
    let plain = key_of_lost_home(&mut |rng| {
        format!("plain-{}", rand::Rng::random::<u32>(rng))
            .as_str()
            .into()
    });
    let newer = key_of_lost_home(&mut |rng| new_key(later, rng));
    assert_eq!(
        nodes[1].claim(now, later, &plain, 1),
        ClaimOutcome::Uncertain
    );
    assert_eq!(
        nodes[1].claim(now, later, &newer, 1),
        ClaimOutcome::Granted(3)
    );
}

#[test]
fn a_lost_home_that_resumes_gets_no_call_run() {
    let mut after = lose_home(false);
    let late: Key = "late".into();
    let host = id(after.home, 1).host;
    after.nodes[after.home].claim(after.now, after.wall, &late, 1);
    for index in [after.successor, after.other] {
        assert_eq!(
            after.nodes[index].record(after.now, 1, &host, &late, 1),
            RecordOutcome::Stale
        );
    }
}

#[test]
fn an_executor_runs_a_key_once_even_if_it_is_dispatched_twice() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(3, now, wall);
    let (home, executor) = (home_index(&nodes[0], "k"), executor_index(&nodes[0], "k"));
    let host = id(home, 1).host;
    assert_eq!(
        nodes[executor].record(now, 1, &host, &"k".into(), 1),
        RecordOutcome::Run
    );
    assert_eq!(
        nodes[executor].record(now, 1, &host, &"k".into(), 1),
        RecordOutcome::AlreadyRecorded
    );
}

/// Guards against a second run of a key that host 1 ran as the only member. Host 1 stays its home
/// when host 0 joins, so its hand-over to host 0 does not include the key; then host 1 is lost.
#[test]
fn a_hand_over_to_another_home_does_not_count_for_this_home() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let (zero, one) = (id(0, 1), id(1, 1));
    let both = epoch(2, &[zero.clone(), one.clone()]);
    let key: Key = (0..)
        .map(|number| Key::from(format!("k{number}")))
        .find(|key| home_of(&both, key) == Some(&one))
        .expect("some key has its home there");
    let mut nodes: Vec<Once> = [zero.clone(), one.clone()]
        .map(|me| Once::new(Some(now), me, OPTIONS))
        .into();
    for node in &mut nodes {
        node.apply(now, wall, epoch(1, std::slice::from_ref(&one)));
    }
    assert_eq!(nodes[1].claim(now, wall, &key, 1), ClaimOutcome::Granted(1));
    assert_eq!(
        nodes[1].record(now, 1, &one.host, &key, 1),
        RecordOutcome::Run
    );
    for node in &mut nodes {
        node.apply(now, wall, both.clone());
    }
    let hand_over = nodes[1]
        .hand_over(now, &zero.host)
        .expect("an epoch is known");
    assert!(nodes[0].apply_hand_over(now, wall, hand_over));
    nodes[0].apply(now, wall, epoch(3, std::slice::from_ref(&zero)));
    assert_eq!(nodes[0].claim(now, wall, &key, 1), ClaimOutcome::Uncertain);
}

#[test]
fn after_home_and_executor_are_both_lost_only_keys_created_before_are_uncertain() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut nodes = new_nodes(3, now, wall);
    let old: Vec<Key> = (0..50).map(|_| new_key(wall, &mut rng)).collect();
    let later = wall + Duration::from_secs(10);
    let restarted = [id(0, 1), id(1, 2), id(2, 2)];
    nodes[0].apply(now, later, epoch(2, &restarted));
    for (host, node) in nodes.iter_mut().enumerate().skip(1) {
        let mut fresh = Once::new(Some(now), id(host, 2), OPTIONS);
        fresh.apply(now, later, epoch(1, &[id(0, 1), id(1, 1), id(2, 1)]));
        fresh.apply(now, later, epoch(2, &restarted));
        *node = fresh;
    }
    let claim_all = |nodes: &mut Vec<Once>, keys: &[Key], wall| -> Vec<ClaimOutcome> {
        keys.iter()
            .map(|key| {
                let home = home_index(&nodes[0], key);
                if home == 0 {
                    return ClaimOutcome::Granted(2);
                }
                let hand_over = nodes[0]
                    .hand_over(now, &id(home, 2).host)
                    .expect("an epoch is known");
                nodes[home].apply_hand_over(now, later, hand_over);
                nodes[home].claim(now, wall, key, 1)
            })
            .collect()
    };
    let before = claim_all(&mut nodes, &old, later);
    assert!(before.contains(&ClaimOutcome::Uncertain));
    assert!(
        before
            .iter()
            .all(|claim| matches!(claim, ClaimOutcome::Uncertain | ClaimOutcome::Granted(2)))
    );
    let new: Vec<Key> = (0..50)
        .map(|_| new_key(later + Duration::from_secs(2), &mut rng))
        .collect();
    let after = claim_all(&mut nodes, &new, later + Duration::from_secs(2));
    assert!(
        after.iter().all(|claim| *claim == ClaimOutcome::Granted(2)),
        "{after:?}"
    );
}

#[test]
fn a_key_older_than_the_horizon_is_refused_and_does_not_run() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(1, now, wall);
    let key = new_key(wall, &mut SmallRng::seed_from_u64(1));
    let late = wall + OPTIONS.horizon + Duration::from_secs(1);
    assert_eq!(nodes[0].claim(now, late, &key, 1), ClaimOutcome::Expired);
}

#[test]
fn a_single_upstream_is_home_and_executor() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let mut nodes = new_nodes(1, now, wall);
    let key: Key = "k".into();
    assert_eq!(nodes[0].claim(now, wall, &key, 1), ClaimOutcome::Granted(1));
    assert_eq!(
        nodes[0].record(now, 1, "host-0", &key, 1),
        RecordOutcome::Run
    );
}
