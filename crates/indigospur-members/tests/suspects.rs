//! Requests that are suspected of taking backend servers down, and how they are cleared.

use indigospur_members::{Suspects, Verdict};
use indigospur_protocol::HostId;

const POPULAR: u64 = 1;
const OTHER: u64 = 2;
const POISON: u64 = 3;

fn host(name: &str) -> HostId {
    name.into()
}

/// A backend server goes away, by no fault of what it runs.
fn lose(suspects: &mut Suspects, number: u64, running: &[u64]) {
    for fingerprint in running {
        assert_eq!(suspects.start(*fingerprint), Verdict::Run);
    }
    suspects.crashed(&host("a"), number, None);
    for fingerprint in running {
        suspects.finish(*fingerprint);
    }
}

#[test]
fn a_suspect_that_a_backend_server_survives_runs_as_often_as_before() {
    let mut suspects = Suspects::default();
    lose(&mut suspects, 1, &[POPULAR, OTHER]);
    assert_eq!(suspects.start(POPULAR), Verdict::Run);
    assert_eq!(suspects.start(POPULAR), Verdict::Elsewhere);
    suspects.survived(POPULAR);
    suspects.finish(POPULAR);
    for _ in 0..5 {
        assert_eq!(suspects.start(POPULAR), Verdict::Run);
    }
}

/// Over days many backend servers end while the same popular request runs there.
#[test]
fn a_request_that_is_served_between_losses_is_never_refused_for_good() {
    let mut suspects = Suspects::default();
    for number in 1..10 {
        lose(&mut suspects, number, &[POPULAR]);
        assert_eq!(suspects.start(POPULAR), Verdict::Run, "loss {number}");
        suspects.survived(POPULAR);
        suspects.finish(POPULAR);
    }
}

#[test]
fn what_others_tell_of_a_loss_that_is_cleared_does_not_bring_the_suspicion_back() {
    let mut suspects = Suspects::default();
    lose(&mut suspects, 1, &[POPULAR]);
    let told = suspects.of(POPULAR);
    assert_eq!(suspects.start(POPULAR), Verdict::Run);
    suspects.survived(POPULAR);
    suspects.finish(POPULAR);
    suspects.learn_all(&told);
    assert_eq!(suspects.of(POPULAR), []);
    assert_eq!(suspects.start(POPULAR), Verdict::Run);
    assert_eq!(suspects.start(POPULAR), Verdict::Run);
}

#[test]
fn a_request_that_no_backend_server_survives_is_condemned_after_three() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        lose(&mut suspects, number, &[POISON]);
    }
    assert!(suspects.is_condemned(POISON));
    assert_eq!(suspects.start(POISON), Verdict::Condemned);
    suspects.survived(OTHER);
    assert!(suspects.is_condemned(POISON));
}
