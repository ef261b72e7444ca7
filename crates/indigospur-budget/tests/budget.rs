//! Retry credit over call trees, the retry ratio and the retry decision.

use indigospur_budget::{
    Credit, FailedAttempt, RatioOptions, RequestCounts, RetryClaim, RetryOptions, RetryRatio,
    decide_retry,
};
use indigospur_protocol::{Class, Kind, Ran, Refusal, RetryReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// A call and its child calls.
#[derive(Clone, Debug)]
struct Tree {
    children: Vec<Tree>,
    /// For each attempt in turn, whether it fails and whether its answer is lost.
    attempts: Vec<(bool, bool)>,
}

impl Tree {
    fn size(&self) -> u32 {
        1 + self.children.iter().map(Tree::size).sum::<u32>()
    }
}

fn trees() -> impl Strategy<Value = Tree> {
    let attempts = || prop::collection::vec((any::<bool>(), any::<bool>()), 8);
    let leaf = attempts().prop_map(|attempts| Tree {
        children: Vec::new(),
        attempts,
    });
    leaf.prop_recursive(6, 40, 3, move |inner| {
        (prop::collection::vec(inner, 1..4), attempts())
            .prop_map(|(children, attempts)| Tree { children, attempts })
    })
}

/// Runs a call as daemons do: lends credit to child calls, takes back what they leave, and retries
/// while there is credit. Returns the credit left, or `None` if the answer is lost.
fn run(tree: &Tree, mut credit: Credit, attempts_made: &mut u32) -> Option<u32> {
    let mut outcomes = tree.attempts.iter();
    loop {
        *attempts_made += 1;
        for child in &tree.children {
            let lent = credit.lend();
            let left = run(child, lent, attempts_made).unwrap_or(0);
            credit.reclaim(lent, left);
        }
        let (fails, lost) = *outcomes.next().unwrap_or(&(false, false));
        if fails && credit.spend() {
            continue;
        }
        return (!lost).then_some(credit.left());
    }
}

/// The baseline for comparison: each hop retries independently.
fn run_per_hop(tree: &Tree, retries: u32, attempts_made: &mut u32) {
    for _ in 0..=retries {
        *attempts_made += 1;
        for child in &tree.children {
            run_per_hop(child, retries, attempts_made);
        }
    }
}

fn claim(class: Class) -> RetryClaim {
    RetryClaim {
        class,
        ..RetryClaim::default()
    }
}

fn bucket() -> RetryRatio {
    RetryRatio::new(Instant::now(), RatioOptions::default())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn attempts_over_any_tree_stay_within_the_credit(tree in trees(), granted in 0_u32..6) {
        let mut attempts_made = 0;
        let left = run(&tree, Credit::new(granted), &mut attempts_made);
        prop_assert!(left.unwrap_or(0) <= granted);
        prop_assert!(attempts_made <= tree.size() * (granted + 1), "{attempts_made} attempts");
    }
}

#[test]
fn credit_bounds_the_attempts_of_a_chain_for_which_retries_at_each_hop_multiply() {
    let mut chain = Tree {
        children: Vec::new(),
        attempts: vec![(true, false); 8],
    };
    for _ in 1..6 {
        chain = Tree {
            children: vec![chain],
            attempts: vec![(true, false); 8],
        };
    }
    let (mut with_credit, mut per_hop) = (0, 0);
    run(&chain, Credit::new(3), &mut with_credit);
    run_per_hop(&chain, 3, &mut per_hop);
    assert!(with_credit <= 6 * 4, "{with_credit}");
    assert_eq!(per_hop, 4 + 16 + 64 + 256 + 1_024 + 4_096);
}

#[test]
fn retries_on_a_link_stay_within_a_tenth_of_the_first_attempts() {
    let now = Instant::now();
    let mut ratio = bucket();
    let mut retries = 0;
    for _ in 0..10_000 {
        ratio.earn(now, 0);
        retries += u32::from(ratio.spend(now, claim(0)));
    }
    assert!(retries <= 1_010, "{retries}");
}

#[test]
fn retry_decisions_follow_the_table_of_cases() {
    use RetryReason::{
        CreditSpent, Idempotent, MayHaveRun, NoTimeLeft, NotRetryable, NotRun, RetriedBelow,
    };
    let long = Duration::from_secs(1);
    let short = Duration::from_millis(1);
    let cases = [
        (Kind::Draining, false, false, long, 1, Ok(NotRun)),
        (Kind::ConnectFailed, false, false, long, 1, Ok(NotRun)),
        (Kind::LinkLost, true, false, long, 1, Ok(Idempotent)),
        (Kind::LinkLost, false, false, long, 1, Err(MayHaveRun)),
        (Kind::BackendLost, false, false, long, 1, Err(MayHaveRun)),
        (
            Kind::DeadlineRunning,
            true,
            false,
            long,
            1,
            Err(NotRetryable),
        ),
        (Kind::OverShare, true, false, long, 1, Err(NotRetryable)),
        (Kind::PoisonRequest, true, false, long, 1, Err(NotRetryable)),
        (Kind::LinkLost, true, true, long, 1, Err(RetriedBelow)),
        (Kind::Draining, true, false, short, 1, Err(NoTimeLeft)),
        (Kind::Draining, true, false, long, 0, Err(CreditSpent)),
    ];
    for (kind, idempotent, retried, remaining, left, expected) in cases {
        let refusal = Refusal::new(kind, "");
        let options = RetryOptions {
            idempotent,
            remaining,
            expected: Duration::from_millis(10),
            free_failovers: 0,
            free_sheds: 0,
            claim: claim(0),
        };
        let attempted = FailedAttempt {
            refusal: &refusal,
            retried,
        };
        let mut credit = Credit::new(left);
        let now = Instant::now();
        let decision = decide_retry(now, options, attempted, &mut credit, &mut bucket());
        assert_eq!(decision, expected, "{kind:?}");
        assert_eq!(credit.left(), left - u32::from(expected.is_ok()));
    }
}

#[test]
fn an_unavailable_upstream_is_passed_over_without_credit_a_limited_number_of_times() {
    let decide = |kind, free_failovers| {
        let refusal = Refusal::new(kind, "");
        let long = Duration::from_secs(1);
        let options = RetryOptions {
            idempotent: true,
            remaining: long,
            expected: long / 100,
            free_failovers,
            free_sheds: 0,
            claim: claim(0),
        };
        let attempted = FailedAttempt {
            refusal: &refusal,
            retried: false,
        };
        decide_retry(
            Instant::now(),
            options,
            attempted,
            &mut Credit::default(),
            &mut bucket(),
        )
    };
    for kind in [Kind::NotReady, Kind::Draining, Kind::ConnectFailed] {
        assert_eq!(decide(kind, 1), Ok(RetryReason::NotRun), "{kind:?}");
        assert_eq!(decide(kind, 0), Err(RetryReason::CreditSpent), "{kind:?}");
    }
    for kind in [Kind::Overloaded, Kind::LinkLost, Kind::BackendLost] {
        assert_eq!(decide(kind, 1), Err(RetryReason::CreditSpent), "{kind:?}");
    }
}

#[test]
fn a_call_that_may_have_run_still_may_have_after_a_later_attempt_that_did_not() {
    let later = Refusal::new(Kind::Overloaded, "").after_attempts(Ran::Unknown);
    assert_eq!(later.ran, Ran::Unknown);
}

#[test]
fn a_request_sent_again_is_recognised_within_the_lifetime() {
    let now = Instant::now();
    let mut counts = RequestCounts::new(Duration::from_secs(60), 100);
    let id = "r-1".into();
    assert_eq!(counts.count(now, &id), 0);
    assert_eq!(counts.count(now + Duration::from_secs(59), &id), 1);
    assert_eq!(counts.count(now + Duration::from_secs(61), &id), 0);
}

/// The calls of a request that was refused at ingress and comes back are no repeats.
#[test]
fn a_request_refused_before_anything_was_sent_is_not_counted() {
    let now = Instant::now();
    let mut counts = RequestCounts::new(Duration::from_secs(60), 100);
    let id = "r-1".into();
    assert_eq!(counts.count(now, &id), 0);
    counts.undo(&id);
    assert_eq!(counts.count(now, &id), 0);
    assert_eq!(counts.count(now, &id), 1);
}

/// When a parent call is run again, its child calls are repeats too and can't be refused.
#[test]
fn repeats_forced_by_a_repeated_parent_call_count_against_the_ratio() {
    let now = Instant::now();
    let mut ratio = bucket();
    let mut retries = 0;
    let mut repeats = 0;
    for call in 0..10_000 {
        if call % 20 == 0 {
            ratio.charge(now);
            repeats += 1;
        } else {
            ratio.earn(now, 0);
        }
        retries += u32::from(ratio.spend(now, claim(0)));
    }
    assert!(retries + repeats <= 1_000 + 10, "{retries} {repeats}");
    assert!(retries > 300, "{retries}");
}

/// Simulates a service whose upstreams refuse 55 in 100 calls although they have capacity. Requests
/// of two classes each make four successive calls to it, many at a time, from several daemons.
struct Shedding {
    /// The bucket does not depend on the time.
    now: Instant,
    rng: SmallRng,
    ratios: Vec<RetryRatio>,
    /// Class, daemon and number of calls left of each request in progress.
    in_progress: Vec<(Class, usize, u32)>,
    /// Numbers of requests started and completed, by class.
    started: [u32; 2],
    completed: [u32; 2],
    /// Numbers of first attempts and of retries.
    first: u32,
    repeats: u32,
}

impl Shedding {
    const SHED_PROBABILITY: f64 = 0.55;
    const UPSTREAMS: u32 = 3;

    fn new(daemons: usize, capacity: f64) -> Shedding {
        let now = Instant::now();
        let options = RatioOptions {
            percent: 16,
            capacity,
            window: None,
        };
        Shedding {
            now,
            rng: SmallRng::seed_from_u64(3),
            ratios: vec![RetryRatio::new(now, options); daemons],
            in_progress: Vec::new(),
            started: [0; 2],
            completed: [0; 2],
            first: 0,
            repeats: 0,
        }
    }

    /// Runs the load; `retry_class` maps the class of a call to the one given to the retry
    /// decision.
    fn run(mut self, retry_class: impl Fn(Class) -> Class) -> Shedding {
        for request in 0..40_000 {
            let class = Class::from(request % 4 != 0);
            let daemon = self.rng.random_range(0..self.ratios.len());
            self.started[usize::from(class)] += 1;
            self.in_progress.push((class, daemon, 4));
            while self.in_progress.len() > 40 {
                let next = self.rng.random_range(0..self.in_progress.len());
                self.call(next, &retry_class);
            }
        }
        self
    }

    fn call(&mut self, index: usize, retry_class: &impl Fn(Class) -> Class) {
        let (class, daemon, calls_left) = self.in_progress[index];
        self.ratios[daemon].earn(self.now, 0);
        self.first += 1;
        let mut free_sheds = Shedding::UPSTREAMS - 1;
        while self.rng.random_bool(Shedding::SHED_PROBABILITY) {
            let refusal = Refusal::new(Kind::BackendShed, "");
            let options = RetryOptions {
                idempotent: true,
                remaining: Duration::from_secs(1),
                expected: Duration::ZERO,
                free_failovers: 0,
                free_sheds,
                claim: claim(retry_class(class)),
            };
            let attempted = FailedAttempt {
                refusal: &refusal,
                retried: false,
            };
            let credit = &mut Credit::new(0);
            let ratio = &mut self.ratios[daemon];
            if decide_retry(self.now, options, attempted, credit, ratio).is_err() {
                self.in_progress.swap_remove(index);
                return;
            }
            self.repeats += 1;
            free_sheds -= 1;
        }
        self.in_progress[index].2 = calls_left - 1;
        if calls_left == 1 {
            self.completed[usize::from(class)] += 1;
            self.in_progress.swap_remove(index);
        }
    }

    /// Share of the requests of a class that were completed.
    fn share(&self, class: usize) -> f64 {
        f64::from(self.completed[class]) / f64::from(self.started[class])
    }
}

#[test]
fn scarce_retries_complete_the_high_priority_requests_when_a_service_sheds() {
    for (daemons, capacity, gain) in [(1, 3.0, 2.2), (4, 1.9, 1.8), (12, 1.0, 1.5)] {
        let equal = Shedding::new(daemons, capacity).run(|_| 0);
        let ordered = Shedding::new(daemons, capacity).run(|class| class);
        for outcome in [&equal, &ordered] {
            let allowed = 0.16 * f64::from(outcome.first) + capacity * daemons as f64;
            assert!(f64::from(outcome.repeats) <= allowed);
        }
        let (before, after) = (equal.share(0), ordered.share(0));
        assert!(after > gain * before, "{daemons}: {before:.3} {after:.3}");
        let value = |outcome: &Shedding| 3 * outcome.completed[0] + outcome.completed[1];
        assert!(value(&ordered) > value(&equal), "{daemons}");
    }
}

/// In a large installation the bucket of each daemon holds only one or two retries.
#[test]
fn low_priority_calls_may_retry_even_with_a_small_bucket() {
    let now = Instant::now();
    for capacity in [1.0, 1.9, 3.0, 5.0] {
        let mut ratio = RetryRatio::new(
            now,
            RatioOptions {
                percent: 16,
                capacity,
                window: None,
            },
        );
        assert!(ratio.spend(now, claim(2)), "{capacity}");
    }
}
