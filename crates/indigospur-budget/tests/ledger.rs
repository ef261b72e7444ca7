//! Retry credit and remaining time of running calls and their child calls.

use indigospur_budget::{Ledger, Token};
use indigospur_protocol::{Context, Work};
use std::time::{Duration, Instant};

fn context(retries: u32) -> Context {
    Context {
        request_id: "r-1".into(),
        customer: "anyone".into(),
        class: 1,
        rank: 0,
        share: 1,
        retries,
        depth: 2,
        remaining: Duration::from_secs(1),
        idempotent: true,
        waits: false,
        key: None,
        digest: 0,
        epoch: 0,
        home: None,
        attempt: 0,
        crashes: Vec::new(),
        repeated: false,
        retry_order: 0,
        ends_within: None,
    }
}

/// A child call that no rule allows, or that its daemon refuses to admit, is never sent.
#[test]
fn a_child_call_refused_before_it_is_sent_costs_no_credit() {
    let now = Instant::now();
    let token: Token = "t-1".into();
    let mut ledger = Ledger::default();
    ledger.open(now, token.clone(), context(4));
    for _ in 0..3 {
        let child = ledger.child_context(now, &token).expect("the call runs");
        assert_eq!((child.depth, child.retries), (3, 0));
    }
    assert_eq!(ledger.lend(&token), 3);
    ledger.reclaim(&token, 3, 2, false);
    assert_eq!(ledger.close(&token).retries_left, 3);
}

#[test]
fn a_child_call_has_the_remaining_time_of_its_parent() {
    let now = Instant::now();
    let token: Token = "t-1".into();
    let mut ledger = Ledger::default();
    ledger.open(now, token.clone(), context(0));
    let later = now + Duration::from_millis(400);
    let child = ledger.child_context(later, &token).expect("the call runs");
    assert_eq!(child.remaining, Duration::from_millis(600));
    assert!(ledger.child_context(later, "t-2").is_none());
}

/// A request of four calls that has made three competes like one of a single call.
#[test]
fn calls_that_were_made_are_taken_off_the_place_in_the_retry_order() {
    const RANK: u32 = 3 << 23;
    let now = Instant::now();
    let token: Token = "t-1".into();
    let mut ledger = Ledger::default();
    let order = |class: u64, calls: u64| (class << 32) | (u64::from(RANK) * calls);
    let parent = Context {
        rank: RANK,
        retry_order: order(1, 4),
        ..context(4)
    };
    ledger.open(now, token.clone(), parent);
    let child = ledger.child_context(now, &token).expect("the call runs");
    let made = |service: &str| Work {
        service: service.into(),
        time: Duration::from_millis(86),
        calls: 1,
    };
    for left in [4, 3, 2, 1, 1] {
        assert_eq!(ledger.retry_order(&token, &child), order(1, left));
        ledger.record_work(&token, &[made("accounts")]);
    }
    // The position counts the calls to one service.
    ledger.record_work(&token, &[made("rates")]);
    assert_eq!(ledger.retry_order(&token, &child), order(1, 1));
    let unknown: Token = "t-2".into();
    assert_eq!(ledger.retry_order(&unknown, &child), order(1, 4));
}
