//! When calls leave the data centre or the region, and how many.

use super::*;

/// Guards against calls that leave although the nearer upstreams are only a little slower.
#[test]
fn calls_stay_unless_leaving_saves_more_than_the_setting() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slower = load(5, 0, SERVICE_TIME + millis(15));
    let usual = load(5, 0, SERVICE_TIME);
    let second = Duration::from_secs(1);
    let placed = settle(&mut router, &mut now, second, [slower, usual, usual]);
    assert!(
        placed
            .iter()
            .all(|each| each.distance == Distance::DataCentre)
    );
    let slow = load(5, 0, SERVICE_TIME * 3);
    let placed = settle(&mut router, &mut now, second, [slow, usual, usual]);
    let changes: Vec<_> = placed
        .iter()
        .filter_map(|each| each.reason.and_then(|reason| reason.change))
        .collect();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].starts && changes[0].distance == Distance::Region);
    let left = placed.iter().rev().take(20);
    assert!(left.clone().all(|each| each.distance == Distance::Region));
    let placed = settle(&mut router, &mut now, second, [usual, usual, usual]);
    let stopped = placed.iter().rev().take(20);
    assert!(
        stopped
            .clone()
            .all(|each| each.distance == Distance::DataCentre)
    );
}

/// Guards against calls that never try a slow data centre again, or that return to it in numbers.
#[test]
fn few_calls_try_a_data_centre_that_all_calls_have_left() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slow = load(5, 0, SERVICE_TIME * 3);
    let usual = load(5, 0, SERVICE_TIME);
    let second = Duration::from_secs(1);
    settle(&mut router, &mut now, second, [slow, usual, usual]);
    let mut stayed = 0;
    for call in 0..500 {
        now += millis(40);
        let placed = place(&mut router, now, call, None).expect("ready");
        let host = &*placed.member.host;
        report(
            &mut router,
            now,
            host,
            if host == "a" { slow } else { usual },
        );
        stayed += u32::from(host == "a");
    }
    assert!((1..40).contains(&stayed), "{stayed}");
}

/// Guards against calls that go to and fro at the limit: the time that brings them back is shorter than
/// the one that makes them leave.
#[test]
fn the_share_that_leaves_stays_between_the_two_limits() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slow = load(5, 0, SERVICE_TIME * 3);
    let usual = load(5, 0, SERVICE_TIME);
    settle(&mut router, &mut now, millis(300), [slow, usual, usual]);
    let share = |router: &Router| router.leaving_shares().map(|(_, share)| share).sum::<f64>();
    let before = share(&router);
    assert!((0.2..0.9).contains(&before), "{before}");
    for (extra, held) in [(15, true), (5, false)] {
        let near = load(5, 0, SERVICE_TIME + millis(extra));
        // The first step averages the savings before and after the change.
        settle(&mut router, &mut now, millis(100), [near, usual, usual]);
        let before = share(&router);
        settle(&mut router, &mut now, millis(300), [near, usual, usual]);
        let after = share(&router);
        assert_eq!(
            after == before && after > 0.0,
            held,
            "{extra} ms: {before}, {after}"
        );
    }
}

/// Guards against a jump of all calls at once, which would overload the other side in turn.
#[test]
fn the_share_that_leaves_moves_in_small_steps() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slow = load(10, 10, SERVICE_TIME * 3);
    let usual = load(5, 0, SERVICE_TIME);
    let mut before = 0.0;
    for _ in 0..20 {
        settle(&mut router, &mut now, millis(50), [slow, usual, usual]);
        let share = router.leaving_shares().map(|(_, share)| share).sum::<f64>();
        assert!(share - before < 0.13, "from {before} to {share}");
        before = share;
    }
    assert!(before > 0.9, "{before}");
}

/// Guards against an overload that is passed on: the other data centre has hardly any slots left.
#[test]
fn no_call_leaves_for_upstreams_without_room() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let full = load(10, 20, SERVICE_TIME);
    let busy = load(9, 0, SERVICE_TIME);
    let second = Duration::from_secs(1);
    let placed = settle(&mut router, &mut now, second, [full, busy, busy]);
    assert!(
        placed
            .iter()
            .all(|each| each.distance == Distance::DataCentre)
    );
    let placed = place(&mut router, now, 1, Some(millis(1_000))).expect("ready");
    assert_eq!(placed.distance, Distance::DataCentre);
}

/// Guards against calls that are refused here while the queues in other data centres are short, and
/// against calls that are passed on to queues where they would be late too.
#[test]
fn a_call_that_would_be_late_here_leaves_for_full_upstreams_with_short_queues_only() {
    let full = load(10, 20, SERVICE_TIME);
    for (running, queued, distance) in [
        (9, 0, Distance::Region),
        (10, 2, Distance::Region),
        (10, 10, Distance::DataCentre),
        (10, 20, Distance::DataCentre),
    ] {
        let now = Instant::now();
        let mut router = router_of_three();
        report(&mut router, now, "a", full);
        for host in ["b", "c"] {
            report(&mut router, now, host, load(running, queued, SERVICE_TIME));
        }
        let placed = place(&mut router, now, 1, Some(millis(100))).expect("ready");
        assert_eq!(placed.distance, distance, "{running} run, {queued} wait");
    }
}

/// Guards against calls that are late here while the share that leaves is still small.
#[test]
fn a_call_that_would_be_late_only_here_leaves() {
    let now = Instant::now();
    let mut router = router_of_three();
    report(&mut router, now, "a", load(10, 10, SERVICE_TIME));
    report(&mut router, now, "b", load(5, 0, SERVICE_TIME));
    for (remaining, distance) in [
        (20, Distance::DataCentre),
        (80, Distance::Region),
        (500, Distance::DataCentre),
    ] {
        let placed = place(&mut router, now, 1, Some(millis(remaining))).expect("ready");
        assert_eq!(placed.distance, distance, "{remaining} ms remain");
    }
}

/// Guards against a wait for small steps when there is nothing to wait for.
#[test]
fn all_calls_leave_at_once_when_the_data_centre_has_no_upstream() {
    let now = Instant::now();
    let mut router = router_of_three();
    for _ in 0..3 {
        router.finish(now, "quoting", "a", AttemptResult::Failed, None);
    }
    assert_eq!(count(&mut router, now).get("b"), Some(&100));
    router.remove("a");
    router.remove("b");
    assert_eq!(count(&mut router, now).get("c"), Some(&100));
}

/// Guards against regions that are treated as near: nothing is left in this region but a slow upstream.
#[test]
fn calls_leave_the_region_by_the_same_rule() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slow = load(5, 0, SERVICE_TIME * 3);
    let usual = load(5, 0, SERVICE_TIME);
    let loads = [slow, slow, usual];
    let placed = settle(&mut router, &mut now, Duration::from_secs(2), loads);
    let left = placed.iter().rev().take(20);
    assert!(left.clone().all(|each| each.distance == Distance::Beyond));
}
