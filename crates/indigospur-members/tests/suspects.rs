//! Requests that are suspected of crashing backend servers, and how they are cleared.

use indigospur_members::{Suspects, Verdict};
use indigospur_protocol::{Crash, HostId};
use std::time::{Duration, Instant};

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

/// A backend server of a host `a` that goes down by itself, with requests that run there for all its uptime.
struct Flapping {
    suspects: Suspects,
    now: Instant,
    number: u64,
}

impl Flapping {
    const UPTIME: Duration = Duration::from_millis(700);

    fn start(&mut self) {
        self.now += Self::UPTIME;
        self.suspects.record_start(self.now, &host("a"));
    }

    fn try_start(&mut self) -> Verdict {
        let hosts = [host("a")];
        self.suspects
            .try_start(self.now, &hosts[0], POPULAR, &hosts)
    }

    /// Goes down after its uptime; `unsent` tells whether the request had not been sent yet.
    fn go_down(&mut self, unsent: bool) {
        self.now += Self::UPTIME;
        self.number += 1;
        let unsent = unsent.then_some(POPULAR);
        self.suspects
            .record_crash(self.now, &host("a"), self.number, unsent);
        self.suspects.finish(POPULAR);
    }

    /// Starts and goes down while the request is running.
    fn lose(&mut self) {
        self.start();
        assert_eq!(self.try_start(), Verdict::Run);
        self.go_down(false);
    }
}

impl Default for Flapping {
    fn default() -> Flapping {
        Flapping {
            suspects: Suspects::default(),
            now: Instant::now(),
            number: 0,
        }
    }
}

#[test]
fn a_request_beside_a_server_that_goes_down_is_held_and_tried_once_the_server_stays_up() {
    let mut flapping = Flapping::default();
    flapping.lose();
    flapping.lose();
    flapping.start();
    assert_eq!(flapping.try_start(), Verdict::Held);
    flapping.now += Duration::from_millis(1_100);
    assert_eq!(flapping.try_start(), Verdict::Trial);
    assert_eq!(flapping.try_start(), Verdict::Held);
    flapping.suspects.clear(flapping.now, POPULAR);
    flapping.suspects.finish(POPULAR);
    assert_eq!(flapping.try_start(), Verdict::Run);
}

#[test]
fn a_server_that_goes_down_without_the_request_speaks_for_it() {
    let mut flapping = Flapping::default();
    flapping.lose();
    flapping.lose();
    flapping.start();
    assert_eq!(flapping.try_start(), Verdict::Held);
    flapping.go_down(false);
    flapping.start();
    assert_eq!(flapping.try_start(), Verdict::Run);
}

/// Guards against a trial that found the backend server down and was counted as one that took it down.
#[test]
fn a_trial_that_was_not_sent_does_not_count() {
    let mut flapping = Flapping::default();
    flapping.lose();
    flapping.lose();
    flapping.start();
    flapping.now += Duration::from_millis(1_100) - Flapping::UPTIME;
    assert_eq!(flapping.try_start(), Verdict::Held);
    flapping.now += Flapping::UPTIME;
    assert_eq!(flapping.try_start(), Verdict::Trial);
    flapping.now -= Flapping::UPTIME;
    flapping.go_down(true);
    flapping.lose();
    flapping.lose();
    flapping.start();
    flapping.now += Duration::from_millis(1_100);
    assert_eq!(flapping.try_start(), Verdict::Trial);
}

#[test]
fn an_answer_clears_crashes_before_it_that_are_learnt_later() {
    let mut one = Flapping::default();
    one.lose();
    one.lose();
    let crashes = one.suspects.crashes_of(one.now, POPULAR);
    let mut other = Flapping {
        now: one.now,
        ..Flapping::default()
    };
    other.start();
    other.suspects.clear(other.now, POPULAR);
    other.now += Duration::from_millis(10);
    let later = crashes.into_iter().map(|crash| Crash {
        age: crash.age + Duration::from_millis(720),
        ..crash
    });
    other.suspects.merge(other.now, &later.collect::<Vec<_>>());
    assert_eq!(other.try_start(), Verdict::Run);
    assert_eq!(other.try_start(), Verdict::Run);
}
