//! Retry credit over call trees, retry ratio and the retry decision.

use indigospur_budget::{
    Attempted, Credit, RatioOptions, RetryOptions, RetryRatio, SeenRequests, decide_retry,
};
use indigospur_protocol::{Kind, Ran, Refusal, RetryReason};
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
        retries += u32::from(ratio.spend());
    }
    assert!(retries <= 1_010, "{retries}");
}

#[test]
fn retries_are_decided_by_this_table() {
    use RetryReason::{
        CreditSpent, Hopeless, Idempotent, MayHaveRun, NoTimeLeft, NotRun, RetriedBelow,
    };
    let long = Duration::from_secs(1);
    let short = Duration::from_millis(1);
    let cases = [
        (Kind::Draining, false, false, long, 1, Ok(NotRun)),
        (Kind::ConnectFailed, false, false, long, 1, Ok(NotRun)),
        (Kind::LinkLost, true, false, long, 1, Ok(Idempotent)),
        (Kind::LinkLost, false, false, long, 1, Err(MayHaveRun)),
        (Kind::BackendGone, false, false, long, 1, Err(MayHaveRun)),
        (Kind::DeadlineRunning, true, false, long, 1, Err(Hopeless)),
        (Kind::OverShare, true, false, long, 1, Err(Hopeless)),
        (Kind::Poisonous, true, false, long, 1, Err(Hopeless)),
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
            reserve: 0.0,
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
            reserve: 0.0,
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
    for kind in [Kind::Overloaded, Kind::LinkLost, Kind::BackendGone] {
        assert_eq!(decide(kind, 1), Err(RetryReason::CreditSpent), "{kind:?}");
    }
}

#[test]
fn a_refusal_that_may_have_run_stays_so_after_a_later_attempt_that_did_not() {
    let later = Refusal::new(Kind::Overloaded, "").after(Ran::Unknown);
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
        retries += u32::from(ratio.spend());
    }
    assert!(retries + repeats <= 1_000 + 10, "{retries} {repeats}");
    assert!(retries > 300, "{retries}");
}

/// The load of a service whose upstreams turn 55 in 100 calls away though they have room. Requests
/// of two classes make four calls in a row there.
#[test]
fn when_a_service_sheds_the_scarce_retries_finish_urgent_requests() {
    const SHED: f64 = 0.55;
    const UPSTREAMS: u32 = 3;
    let run = |reserve: f64| {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut ratio = RetryRatio::new(RatioOptions {
            percent: 16,
            saved: 3,
        });
        let (mut first, mut repeats) = (0_u32, 0_u32);
        let mut finished = [0_u32; 2];
        for request in 0..20_000 {
            let urgent = request % 4 == 0;
            let whole = (0..4).all(|_| {
                ratio.earn();
                first += 1;
                let mut sheds = UPSTREAMS - 1;
                while rng.random_bool(SHED) {
                    let refusal = Refusal::new(Kind::BackendShed, "");
                    let options = RetryOptions {
                        idempotent: true,
                        remaining: Duration::from_secs(1),
                        expected: Duration::ZERO,
                        passes: 0,
                        sheds,
                        reserve: if urgent { 0.0 } else { reserve },
                    };
                    let attempted = Attempted {
                        refusal: &refusal,
                        retried: false,
                    };
                    let mut credit = Credit::default();
                    if decide_retry(options, attempted, &mut credit, &mut ratio).is_err() {
                        return false;
                    }
                    repeats += 1;
                    sheds -= 1;
                }
                true
            });
            finished[usize::from(urgent)] += u32::from(whole);
        }
        assert!(
            f64::from(repeats) <= 0.2 * f64::from(first) + 3.0,
            "{repeats}"
        );
        finished.map(|count| f64::from(count) / 20_000.0)
    };
    let (without, with) = (run(0.0), run(0.6));
    assert!(with[1] > 1.5 * without[1], "{without:?} {with:?}");
    assert!(with[0] + 3.0 * with[1] > without[0] + 3.0 * without[1]);
}

/// In a large fleet each daemon can save up one or two retries only.
#[test]
fn less_urgent_calls_are_tried_again_too_however_little_can_be_saved() {
    for saved in 1..5 {
        let mut ratio = RetryRatio::new(RatioOptions { percent: 16, saved });
        assert!(ratio.spend_above(0.6), "{saved}");
    }
}
