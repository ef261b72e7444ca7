//! Transmissions of calls that are revoked after their connection broke or went silent.

use indigospur_budget::Transmissions;
use proptest::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SENDER: u64 = 7;

#[test]
fn a_transmission_that_has_arrived_can_not_be_revoked() {
    let (mut transmissions, now) = (Transmissions::default(), Instant::now());
    assert!(transmissions.arrive(now, SENDER, 1));
    assert!(!transmissions.revoke(now, SENDER, 1));
}

#[test]
fn a_transmission_that_arrives_after_its_revocation_is_refused() {
    let (mut transmissions, now) = (Transmissions::default(), Instant::now());
    assert!(transmissions.arrive(now, SENDER, 1));
    assert!(transmissions.revoke(now, SENDER, 2));
    assert!(transmissions.revoke(now, SENDER, 2), "the reply was lost");
    assert!(!transmissions.arrive(now, SENDER, 2));
    let later = now + Duration::from_secs(3_600);
    assert!(transmissions.arrive(later, SENDER, 3));
    assert!(!transmissions.arrive(later, SENDER, 2));
}

/// The sender may have been suspended, so it does not know how long ago it sent the call.
#[test]
fn a_transmission_whose_arrival_is_no_longer_remembered_can_not_be_revoked() {
    let (mut transmissions, now) = (Transmissions::default(), Instant::now());
    assert!(transmissions.arrive(now, SENDER, 1));
    assert!(!transmissions.revoke(now + Duration::from_secs(3_600), SENDER, 1));
}

#[test]
fn nothing_is_revoked_for_a_sender_that_is_not_known() {
    let mut transmissions = Transmissions::default();
    assert!(!transmissions.revoke(Instant::now(), SENDER, 1));
}

#[test]
fn nothing_is_revoked_for_senders_beyond_the_maximum() {
    let (mut transmissions, now) = (Transmissions::default(), Instant::now());
    for sender in 0..5_000 {
        assert!(transmissions.arrive(now, sender, 1));
        assert!(!transmissions.revoke(now, sender, 1));
    }
    assert!(!transmissions.revoke(now, 4_999, 2));
    assert!(transmissions.revoke(now, 0, 2));
}

#[test]
fn the_first_transmission_of_a_registered_sender_can_be_revoked() {
    let (mut transmissions, now) = (Transmissions::default(), Instant::now());
    transmissions.register(SENDER, 5);
    transmissions.register(SENDER, 6);
    assert!(!transmissions.revoke(now, SENDER, 4));
    assert!(transmissions.revoke(now, SENDER, 5));
    assert!(!transmissions.arrive(now, SENDER, 5));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(u64, u64),
    Revoke(u64, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u64, 1..30_u64).prop_map(|(sender, number)| Step::Arrive(sender, number)),
        2 => (0..3_u64, 1..30_u64).prop_map(|(sender, number)| Step::Revoke(sender, number)),
        1 => (0..90_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn no_transmission_is_both_accepted_and_revoked(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let (mut transmissions, mut now) = (Transmissions::default(), Instant::now());
        let (mut accepted, mut revoked) = (HashSet::new(), HashSet::new());
        for step in steps {
            match step {
                Step::Arrive(sender, number) if transmissions.arrive(now, sender, number) => {
                    accepted.insert((sender, number));
                }
                Step::Revoke(sender, number) if transmissions.revoke(now, sender, number) => {
                    revoked.insert((sender, number));
                }
                Step::Arrive(..) | Step::Revoke(..) => {}
                Step::Wait(seconds) => now += Duration::from_secs(seconds),
            }
        }
        prop_assert!(accepted.is_disjoint(&revoked), "{:?}", accepted.intersection(&revoked));
    }
}
