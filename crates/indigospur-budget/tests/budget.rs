//! Retry credit over call trees, retry ratio and the retry decision.

use indigospur_budget::{
    Attempted, Credit, RatioOptions, RetryOptions, RetryRatio, SeenRequests, decide_retry,
};
use indigospur_protocol::{Class, Kind, Ran, Refusal, RetryReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// A call and the calls its backend server makes.
#[derive(Clone, Debug)]
struct Tree {
    children: Vec<Tree>,
    /// Outcome of each attempt in turn, and whether its answer is lost on the way.
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

/// Runs a call the way the daemons do: draws a share, retries while there is credit, gives back.
/// Returns the credit left, or `None` if the answer is lost.
fn run(tree: &Tree, mut credit: Credit, count: &mut u32) -> Option<u32> {
    let mut tries = tree.attempts.iter();
    loop {
        *count += 1;
        for child in &tree.children {
            let lent = credit.lend();
            let left = run(child, lent, count).unwrap_or(0);
            credit.give_back(lent, left);
        }
        let (fails, lost) = *tries.next().unwrap_or(&(false, false));
        if fails && credit.spend() {
            continue;
        }
        return (!lost).then_some(credit.left());
    }
}

/// The baseline: each hop retries on its own.
fn run_per_hop(tree: &Tree, retries: u32, count: &mut u32) {
    for _ in 0..=retries {
        *count += 1;
        for child in &tree.children {
            run_per_hop(child, retries, count);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn attempts_over_any_tree_stay_within_the_credit(tree in trees(), minted in 0_u32..6) {
        let mut count = 0;
        let left = run(&tree, Credit::new(minted), &mut count);
        prop_assert!(left.unwrap_or(0) <= minted);
        prop_assert!(count <= tree.size() * (minted + 1), "{count} attempts");
    }
}

#[test]
fn a_chain_six_deep_costs_at_most_four_times_its_calls_where_per_hop_retries_multiply() {
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
fn a_link_never_sends_more_than_a_tenth_of_its_calls_again() {
    let mut ratio = RetryRatio::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        ratio.earn();
        retries += u32::from(ratio.spend(0));
    }
    assert!(retries <= 1_010, "{retries}");
}

#[test]
fn retries_are_decided_by_this_table() {
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
            passes: 0,
            sheds: 0,
            class: 0,
        };
        let attempted = Attempted {
            refusal: &refusal,
            retried,
        };
        let mut credit = Credit::new(left);
        let decided = decide_retry(options, attempted, &mut credit, &mut RetryRatio::default());
        assert_eq!(decided, expected, "{kind:?}");
        assert_eq!(credit.left(), left - u32::from(expected.is_ok()));
    }
}

#[test]
fn an_upstream_that_is_out_of_order_is_passed_over_without_credit_a_few_times() {
    let decide = |kind, passes| {
        let refusal = Refusal::new(kind, "");
        let long = Duration::from_secs(1);
        let options = RetryOptions {
            idempotent: true,
            remaining: long,
            expected: long / 100,
            passes,
            sheds: 0,
            class: 0,
        };
        let attempted = Attempted {
            refusal: &refusal,
            retried: false,
        };
        decide_retry(
            options,
            attempted,
            &mut Credit::default(),
            &mut RetryRatio::default(),
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
fn a_refusal_that_may_have_run_stays_so_after_a_later_attempt_that_did_not() {
    let later = Refusal::new(Kind::Overloaded, "").after_attempts(Ran::Unknown);
    assert_eq!(later.ran, Ran::Unknown);
}

#[test]
fn a_request_sent_again_is_recognised_for_its_lifetime() {
    let now = Instant::now();
    let mut seen = SeenRequests::new(Duration::from_secs(60), 100);
    let id = "r-1".into();
    assert_eq!(seen.count(now, &id), 0);
    assert_eq!(seen.count(now + Duration::from_secs(59), &id), 1);
    assert_eq!(seen.count(now + Duration::from_secs(61), &id), 0);
}

/// A repeated run above makes calls that are repeats too and can't be refused.
#[test]
fn repeats_that_are_forced_from_above_leave_fewer_retries() {
    let mut ratio = RetryRatio::default();
    let mut retries = 0;
    let mut repeats = 0;
    for call in 0..10_000 {
        if call % 20 == 0 {
            ratio.charge();
            repeats += 1;
        } else {
            ratio.earn();
        }
        retries += u32::from(ratio.spend(0));
    }
    assert!(retries + repeats <= 1_000 + 10, "{retries} {repeats}");
    assert!(retries > 300, "{retries}");
}

/// The load of a service whose upstreams turn 55 in 100 calls away though they have room. Requests
/// of two classes make four calls in a row there, many at a time, from a few daemons.
struct Shedding {
    rng: SmallRng,
    ratios: Vec<RetryRatio>,
    /// Class, daemon and calls left of each request under way.
    open: Vec<(Class, usize, u32)>,
    /// Requests begun and finished, by class.
    begun: [u32; 2],
    finished: [u32; 2],
    first: u32,
    repeats: u32,
}

impl Shedding {
    const SHED: f64 = 0.55;
    const UPSTREAMS: u32 = 3;

    fn new(daemons: usize, saved: f64) -> Shedding {
        let options = RatioOptions { percent: 16, saved };
        Shedding {
            rng: SmallRng::seed_from_u64(3),
            ratios: vec![RetryRatio::new(options); daemons],
            open: Vec::new(),
            begun: [0; 2],
            finished: [0; 2],
            first: 0,
            repeats: 0,
        }
    }

    /// Plays the load; `seen` is the class that the retries see.
    fn run(mut self, seen: impl Fn(Class) -> Class) -> Shedding {
        for request in 0..40_000 {
            let class = Class::from(request % 4 != 0);
            let daemon = self.rng.random_range(0..self.ratios.len());
            self.begun[usize::from(class)] += 1;
            self.open.push((class, daemon, 4));
            while self.open.len() > 40 {
                let next = self.rng.random_range(0..self.open.len());
                self.call(next, &seen);
            }
        }
        self
    }

    fn call(&mut self, index: usize, seen: &impl Fn(Class) -> Class) {
        let (class, daemon, left) = self.open[index];
        self.ratios[daemon].earn();
        self.first += 1;
        let mut sheds = Shedding::UPSTREAMS - 1;
        while self.rng.random_bool(Shedding::SHED) {
            let refusal = Refusal::new(Kind::BackendShed, "");
            let options = RetryOptions {
                idempotent: true,
                remaining: Duration::from_secs(1),
                expected: Duration::ZERO,
                passes: 0,
                sheds,
                class: seen(class),
            };
            let attempted = Attempted {
                refusal: &refusal,
                retried: false,
            };
            let credit = &mut Credit::new(0);
            if decide_retry(options, attempted, credit, &mut self.ratios[daemon]).is_err() {
                self.open.swap_remove(index);
                return;
            }
            self.repeats += 1;
            sheds -= 1;
        }
        self.open[index].2 = left - 1;
        if left == 1 {
            self.finished[usize::from(class)] += 1;
            self.open.swap_remove(index);
        }
    }

    /// Share of the requests of a class that are finished.
    fn share(&self, class: usize) -> f64 {
        f64::from(self.finished[class]) / f64::from(self.begun[class])
    }
}

#[test]
fn when_a_service_sheds_the_scarce_retries_finish_urgent_requests() {
    for (daemons, saved, gain) in [(1, 3.0, 2.2), (4, 1.9, 1.8), (12, 1.0, 1.5)] {
        let equal = Shedding::new(daemons, saved).run(|_| 0);
        let ordered = Shedding::new(daemons, saved).run(|class| class);
        for outcome in [&equal, &ordered] {
            let allowed = 0.16 * f64::from(outcome.first) + saved * daemons as f64;
            assert!(f64::from(outcome.repeats) <= allowed);
        }
        let (before, after) = (equal.share(0), ordered.share(0));
        assert!(after > gain * before, "{daemons}: {before:.3} {after:.3}");
        let worth = |outcome: &Shedding| 3 * outcome.finished[0] + outcome.finished[1];
        assert!(worth(&ordered) > worth(&equal), "{daemons}");
    }
}

/// In a large fleet each daemon can save up one or two retries only.
#[test]
fn less_urgent_calls_are_tried_again_too_however_little_can_be_saved() {
    for saved in [1.0, 1.9, 3.0, 5.0] {
        let mut ratio = RetryRatio::new(RatioOptions { percent: 16, saved });
        assert!(ratio.spend(2), "{saved}");
    }
}
