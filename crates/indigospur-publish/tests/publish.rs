//! Publishing and following under conflicts, lost replies, outages and expiry of records.

use indigospur_protocol::EpochRecord;
use indigospur_publish::{
    Body, Chain, FetchedRecord, Follower, PublishAttempt, PublishOutcome, Record,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(3_600);
const RENEWAL_AGE: Duration = Duration::from_secs(1_200);

fn rules(name: u64) -> String {
    format!("[[rule]]\nname = \"r{name}\"\n")
}

/// A stand-in for the platform's log.
struct Log {
    now: Instant,
    first: u64,
    records: Vec<FetchedRecord>,
}

impl Log {
    fn new() -> Log {
        Log {
            now: Instant::now(),
            first: 0,
            records: Vec::new(),
        }
    }

    fn append(&mut self, body: Vec<u8>) -> u64 {
        let offset = self.first + self.records.len() as u64;
        self.records.push(FetchedRecord {
            offset,
            appended_at: self.now,
            body: body.into(),
        });
        offset
    }

    fn expire(&mut self) {
        let now = self.now;
        let old = |fetched: &FetchedRecord| {
            now.saturating_duration_since(fetched.appended_at) > RETENTION
        };
        let count = self
            .records
            .iter()
            .take_while(|fetched| old(fetched))
            .count();
        self.records.drain(..count);
        self.first += count as u64;
    }

    fn read(&self, follower: &mut Follower) {
        let next = follower.next();
        let records: Vec<FetchedRecord> = self
            .records
            .iter()
            .filter(|fetched| fetched.offset >= next)
            .cloned()
            .collect();
        follower.read(self.first, &records);
    }
}

fn attempt(chain: Chain, name: u64) -> PublishAttempt {
    PublishAttempt::new(
        chain,
        format!("id-{name}").into(),
        rules(name).into(),
        "ana".into(),
    )
}

fn follower(log: &Log) -> Follower {
    let mut follower = Follower::default();
    log.read(&mut follower);
    follower
}

fn version(follower: &Follower) -> Option<u64> {
    follower
        .active_rules()
        .map(|active_rules| active_rules.version)
}

#[test]
fn of_two_concurrent_publications_the_first_in_the_log_wins_and_the_other_gets_a_conflict() {
    let mut log = Log::new();
    let chain = follower(&log).rules_chain();
    let (ana, rui) = (attempt(chain, 1), attempt(chain, 2));
    log.append(ana.bytes());
    log.append(rui.bytes());
    assert_eq!(ana.outcome(&log.records), PublishOutcome::Accepted(0));
    let PublishOutcome::Rejected(conflict) = rui.outcome(&log.records) else {
        panic!("the second publication was not rejected")
    };
    assert_eq!((conflict.version, &*conflict.text), (0, &*rules(1)));
    assert_eq!(version(&follower(&log)), Some(0));
}

#[test]
fn an_append_whose_reply_is_lost_is_found_and_its_retry_has_no_effect() {
    let mut log = Log::new();
    let attempt = attempt(Chain::default(), 1);
    assert_eq!(attempt.outcome(&log.records), PublishOutcome::Absent);
    log.append(attempt.bytes());
    log.append(attempt.bytes());
    assert_eq!(attempt.outcome(&log.records), PublishOutcome::Accepted(0));
    assert_eq!(version(&follower(&log)), Some(0));
}

#[test]
fn invalid_records_are_skipped_and_counted() {
    let mut log = Log::new();
    log.append(b"garbage".to_vec());
    let bad = Body::Rules {
        text: "rule = 3".into(),
        operator: "x".into(),
    };
    log.append(
        Record {
            id: "bad".into(),
            link: Chain::default().next(),
            body: bad,
        }
        .encode(),
    );
    log.append(attempt(Chain::default(), 1).bytes());
    let follower = follower(&log);
    assert_eq!((version(&follower), follower.skipped()), (Some(2), 2));
}

#[test]
fn a_daemon_that_starts_during_a_log_outage_adopts_the_rule_set_of_its_peers() {
    let mut log = Log::new();
    log.append(attempt(Chain::default(), 1).bytes());
    let peer = follower(&log);
    let mut starting = Follower::default();
    starting.adopt(&peer.records(0), peer.has_gap());
    assert_eq!(version(&starting), Some(0));
    log.read(&mut starting);
    assert_eq!(version(&starting), Some(0));
}

#[test]
fn a_daemon_that_was_suspended_during_many_publications_never_returns_to_an_older_version() {
    let mut log = Log::new();
    let mut live = Follower::default();
    let mut suspended = Follower::default();
    for name in 0..50 {
        log.read(&mut live);
        log.append(attempt(live.rules_chain(), name).bytes());
        log.now += Duration::from_secs(120);
        log.expire();
        if name == 10 {
            log.read(&mut suspended);
        }
    }
    log.read(&mut live);
    let old: Vec<FetchedRecord> = suspended.records(0);
    log.read(&mut suspended);
    assert_eq!(version(&suspended), version(&live));
    live.adopt(&old, suspended.has_gap());
    assert_eq!(version(&suspended), version(&live));
}

/// Encoded record of a member list without a predecessor.
fn members() -> Vec<u8> {
    let epoch = EpochRecord {
        service: "contracts".into(),
        number: 1,
        members: Vec::new(),
        dead_members: Vec::new(),
    };
    let record = Record {
        id: "members".into(),
        link: Chain::default().next(),
        body: Body::Epoch(epoch),
    };
    record.encode()
}

#[test]
fn a_daemon_that_missed_expired_records_fetches_them_from_a_peer() {
    let mut log = Log::new();
    let mut live = Follower::default();
    let mut suspended = Follower::default();
    log.read(&mut suspended);
    log.append(attempt(Chain::default(), 1).bytes());
    log.read(&mut live);
    log.now += RETENTION * 2;
    log.expire();
    log.append(members());
    log.read(&mut live);
    for mut behind in [suspended, follower(&log)] {
        log.read(&mut behind);
        assert_eq!((version(&behind), behind.accepted()), (None, 2));
        // A peer that missed them too can't fill the gap.
        assert_eq!(behind.fetch_offset(2), Some(0));
        behind.adopt(&follower(&log).records(0), true);
        let from = behind
            .fetch_offset(live.accepted())
            .expect("the gap is not filled yet");
        behind.adopt(&live.records(from), live.has_gap());
        assert_eq!(version(&behind), Some(0));
        assert_eq!(behind.fetch_offset(live.accepted()), None);
    }
}

#[test]
fn a_rule_set_that_expired_early_is_renewed_at_once_and_can_be_replaced_afterwards() {
    let mut log = Log::new();
    let mut live = Follower::default();
    log.append(attempt(Chain::default(), 1).bytes());
    log.read(&mut live);
    assert!(live.renewal(log.now, "early".into(), RENEWAL_AGE).is_none());
    // The log retains records for less time than its contract states.
    log.records.clear();
    log.first = 1;
    log.read(&mut live);
    let renewal = live.renewal(log.now, "renewal".into(), RENEWAL_AGE);
    log.append(renewal.expect("it is due").encode());
    log.read(&mut live);
    assert!(live.renewal(log.now, "again".into(), RENEWAL_AGE).is_none());
    log.append(attempt(follower(&log).rules_chain(), 2).bytes());
    log.read(&mut live);
    assert_eq!(version(&live), Some(2));
    assert_eq!(version(&follower(&log)), Some(2));
}

/// The member list expired unread; the rule set was renewed since.
#[test]
fn a_daemon_that_missed_a_member_list_asks_for_it_although_it_has_read_a_rule_set() {
    let mut log = Log::new();
    let mut live = Follower::default();
    log.append(members());
    log.read(&mut live);
    log.now += RETENTION * 2;
    log.expire();
    log.append(attempt(Chain::default(), 1).bytes());
    log.read(&mut live);
    let mut late = follower(&log);
    assert_eq!((version(&late), late.fetch_offset(2)), (Some(1), Some(0)));
    assert_eq!(late.epoch_chain("contracts").head(), None);
    late.adopt(&follower(&log).records(0), true);
    assert_eq!(late.fetch_offset(2), Some(0), "the other one has a gap too");
    late.adopt(&live.records(0), live.has_gap());
    assert_eq!(late.epoch_chain("contracts").head(), Some(0));
    assert_eq!((version(&late), late.fetch_offset(2)), (Some(1), None));
    assert_eq!(late.fetch_offset(3), Some(2));
}

#[test]
fn a_gap_counts_as_closed_if_the_other_daemons_have_it_too() {
    let mut log = Log::new();
    log.append(members());
    log.now += RETENTION * 2;
    log.expire();
    log.append(attempt(Chain::default(), 1).bytes());
    let mut late = follower(&log);
    for _ in 0..3 {
        assert_eq!(late.fetch_offset(2), Some(0));
        late.adopt(&follower(&log).records(0), true);
    }
    assert_eq!((version(&late), late.fetch_offset(2)), (Some(1), None));
}

#[test]
fn the_active_rule_set_outlives_the_retention_of_the_log() {
    let mut log = Log::new();
    let mut live = Follower::default();
    log.append(attempt(Chain::default(), 1).bytes());
    log.read(&mut live);
    for round in 0..40 {
        log.now += Duration::from_secs(600);
        log.expire();
        if let Some(renewal) = live.renewal(log.now, format!("renewal-{round}").into(), RENEWAL_AGE)
        {
            log.append(renewal.encode());
        }
        log.read(&mut live);
        let late = follower(&log);
        assert_eq!(
            late.active_rules().map(|active| &active.text),
            live.active_rules().map(|active| &active.text)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Operators race, replies are lost, the log is down at times, records expire, and daemons
    /// start late, are suspended and fetch records from each other.
    #[test]
    fn all_daemons_converge_and_none_returns_to_an_older_version(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log = Log::new();
        let mut daemons: Vec<Follower> = (0..4).map(|_| Follower::default()).collect();
        let mut highest = [None; 4];
        let mut name = 0;
        for _ in 0..120 {
            log.now += Duration::from_secs(rng.random_range(1..300));
            log.expire();
            match rng.random_range(0..5) {
                0 => {
                    let stale = &daemons[rng.random_range(0..4)];
                    let mut fresh = Follower::default();
                    log.read(&mut fresh);
                    let chain = if rng.random_bool(0.3) { stale.rules_chain() } else { fresh.rules_chain() };
                    name += 1;
                    let bytes = attempt(chain, name).bytes();
                    (0..rng.random_range(1..3)).for_each(|_| { log.append(bytes.clone()); });
                }
                1 => {
                    let sender = &daemons[rng.random_range(0..4)];
                    let (records, gap) = (sender.records(0), sender.has_gap());
                    daemons[rng.random_range(0..4)].adopt(&records, gap);
                }
                2 => {
                    let index = rng.random_range(0..4);
                    daemons[index] = Follower::default();
                    let sender = &daemons[(index + 1) % 4];
                    let (records, gap) = (sender.records(0), sender.has_gap());
                    daemons[index].adopt(&records, gap);
                    highest[index] = None;
                }
                _ => log.read(&mut daemons[rng.random_range(0..4)]),
            }
            let mut live = Follower::default();
            log.read(&mut live);
            if let Some(renewal) = live.renewal(log.now, format!("renewal-{name}-{:?}", log.now).into(), RENEWAL_AGE) {
                log.append(renewal.encode());
            }
            for (index, daemon) in daemons.iter().enumerate() {
                prop_assert!(version(daemon) >= highest[index]);
                highest[index] = version(daemon);
            }
        }
        daemons.iter_mut().for_each(|daemon| log.read(daemon));
        let texts: Vec<_> = daemons.iter().map(|d| d.active_rules().map(|active| active.text.clone())).collect();
        prop_assert!(texts.windows(2).all(|pair| pair[0] == pair[1]), "{texts:?}");
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let fetched = FetchedRecord { offset: 0, appended_at: Instant::now(), body: bytes.into() };
        Follower::default().read(0, &[fetched]);
    }
}
