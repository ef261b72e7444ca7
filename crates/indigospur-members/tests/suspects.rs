//! Requests that are suspected of crashing backend servers, and how they are cleared.

use indigospur_members::{Suspects, Verdict};
use indigospur_protocol::HostId;
use std::time::Instant;

const POPULAR: u64 = 1;
const OTHER: u64 = 2;
const POISON: u64 = 3;

fn host(name: &str) -> HostId {
    name.into()
}

/// Starts these requests and records the loss of the backend server that runs them.
fn lose_backend(suspects: &mut Suspects, number: u64, running: &[u64]) {
    for fingerprint in running {
        assert_eq!(
            suspects.try_start(Instant::now(), &host("a"), *fingerprint, &[host("a")]),
            Verdict::Run
        );
    }
    suspects.record_crash(Instant::now(), &host("a"), number, None);
    for fingerprint in running {
        suspects.finish(*fingerprint);
    }
}

#[test]
fn a_cleared_suspect_runs_concurrently_again() {
    let mut suspects = Suspects::default();
    lose_backend(&mut suspects, 1, &[POPULAR, OTHER]);
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
        Verdict::Run
    );
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
        Verdict::OtherHost
    );
    suspects.clear(Instant::now(), POPULAR);
    suspects.finish(POPULAR);
    for _ in 0..5 {
        assert_eq!(
            suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
            Verdict::Run
        );
    }
}

/// Over days, many backend servers are lost while they run the same popular request.
#[test]
fn a_request_that_is_answered_between_losses_is_never_refused_for_good() {
    let mut suspects = Suspects::default();
    for number in 1..10 {
        lose_backend(&mut suspects, number, &[POPULAR]);
        assert_eq!(
            suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
            Verdict::Run,
            "loss {number}"
        );
        suspects.clear(Instant::now(), POPULAR);
        suspects.finish(POPULAR);
    }
}

#[test]
fn gossip_of_a_cleared_crash_does_not_make_the_request_a_suspect_again() {
    let mut suspects = Suspects::default();
    lose_backend(&mut suspects, 1, &[POPULAR]);
    let crashes = suspects.crashes_of(Instant::now(), POPULAR);
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
        Verdict::Run
    );
    suspects.clear(Instant::now(), POPULAR);
    suspects.finish(POPULAR);
    suspects.merge(Instant::now(), &crashes);
    let known = suspects.crashes_of(Instant::now(), POPULAR);
    assert!(known.iter().all(|crash| crash.cleared), "{known:?}");
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
        Verdict::Run
    );
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POPULAR, &[host("a")]),
        Verdict::Run
    );
}

#[test]
fn a_request_that_crashes_every_backend_server_is_refused_after_three_crashes() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        lose_backend(&mut suspects, number, &[POISON]);
    }
    assert!(suspects.is_poisonous(Instant::now(), POISON));
    assert_eq!(
        suspects.try_start(Instant::now(), &host("a"), POISON, &[host("a")]),
        Verdict::Poisonous
    );
    suspects.clear(Instant::now(), OTHER);
    assert!(suspects.is_poisonous(Instant::now(), POISON));
}
