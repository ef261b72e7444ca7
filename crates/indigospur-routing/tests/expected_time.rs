//! Placement by expected time: decisions of one router.

use indigospur_protocol::{Load, Member, Pace, State};
use indigospur_routing::{AttemptResult, Criteria, Distance, Placement, Policy, Router};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(50);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn member(host: &str, data_centre: &str, region: &str) -> Member {
    Member {
        host: host.into(),
        incarnation: 1,
        revision: 1,
        address: "127.0.0.1:1".into(),
        data_centre: data_centre.into(),
        region: region.into(),
        service: "quoting".into(),
        slots: 10,
        connections: 100,
        state: State::Ready,
        instance: "".into(),
        started_ms: 0,
        leaving: false,
        rate_limit: None,
    }
}

fn router(members: &[Member]) -> Router {
    let mut router = Router::new("lisboa-a".into(), "lisbon".into());
    router.set_policy(Policy::Time { stay: millis(20) });
    members.iter().for_each(|member| router.update(member));
    router
}

/// A router with an upstream in its data centre, in its region and beyond.
fn router_of_three() -> Router {
    router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
        member("c", "hobart-a", "tasmania"),
    ])
}

fn load(in_flight: u32, queued: u32, service_time: Duration) -> Load {
    Load {
        in_flight,
        limit: 10,
        queued,
        service_time,
        ..Load::default()
    }
}

fn report(router: &mut Router, now: Instant, host: &str, load: Load) {
    let replied = AttemptResult::Replied;
    router.finish(now, "quoting", host, replied, Some(load));
}

fn place(
    router: &mut Router,
    now: Instant,
    seed: u64,
    remaining: Option<Duration>,
) -> Option<Placement> {
    let criteria = Criteria {
        service: "quoting",
        avoid: &[],
        remaining,
    };
    let placed = router.place(now, &mut SmallRng::seed_from_u64(seed), criteria)?;
    let abandoned = AttemptResult::Abandoned;
    router.finish(now, "quoting", &placed.member.host, abandoned, None);
    Some(placed)
}

/// Hosts of a hundred calls that are placed at `now`, with how many each gets.
fn count(router: &mut Router, now: Instant) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for seed in 0..100 {
        let placed = place(router, now, seed, None).expect("an upstream is ready");
        *counts.entry(placed.member.host.to_string()).or_default() += 1;
    }
    counts
}

/// Reports these loads of `a`, `b` and `c`, and places calls, every 10 ms for this time.
fn settle(
    router: &mut Router,
    now: &mut Instant,
    time: Duration,
    loads: [Load; 3],
) -> Vec<Placement> {
    let end = *now + time;
    let mut placed = Vec::new();
    while *now < end {
        *now += millis(10);
        for (host, load) in ["a", "b", "c"].into_iter().zip(loads) {
            report(router, *now, host, load);
        }
        let seed = placed.len() as u64;
        placed.extend(place(router, *now, seed, None));
    }
    placed
}

/// Guards against herding: all callers know the same old loads, and the first upstream looks best.
#[test]
fn callers_with_the_same_load_reports_do_not_herd_on_one_upstream() {
    let now = Instant::now();
    let hosts: Vec<Member> = (0..10)
        .map(|i| member(&format!("h{i}"), "lisboa-a", "lisbon"))
        .collect();
    let mut totals: HashMap<String, u32> = HashMap::new();
    for caller in 0..100 {
        let mut router = router(&hosts);
        for (index, host) in hosts.iter().enumerate() {
            let service_time = SERVICE_TIME + millis(index as u64);
            let load = load(index as u32, 0, service_time);
            report(&mut router, now, &host.host, load);
        }
        let placed = place(&mut router, now + millis(400), caller, None).expect("ready");
        *totals.entry(placed.member.host.to_string()).or_default() += 1;
    }
    let most = totals.values().max().copied().unwrap_or_default();
    assert!(most <= 40, "{totals:?}");
}

/// Guards against a burst of one caller on the upstream that it knows the best report of.
#[test]
fn calls_that_were_started_since_the_report_count() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    report(&mut router, now, "a", load(0, 0, SERVICE_TIME));
    report(&mut router, now, "b", load(9, 0, SERVICE_TIME));
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = Criteria {
        service: "quoting",
        avoid: &[],
        remaining: None,
    };
    let chosen: Vec<_> = (0..20)
        .filter_map(|_| router.choose(now, &mut rng, criteria))
        .collect();
    let at_a = chosen.iter().filter(|member| &*member.host == "a").count();
    assert!((12..=17).contains(&at_a), "{at_a}");
}

/// Guards against a slow upstream that is never tried again after its report has grown old.
#[test]
fn an_upstream_that_was_slow_is_left_aside_and_tried_again_later() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    report(&mut router, now, "a", load(2, 0, SERVICE_TIME * 3));
    report(&mut router, now, "b", load(2, 0, SERVICE_TIME));
    assert_eq!(count(&mut router, now).get("a"), None);
    let later = now + Duration::from_secs(4);
    report(&mut router, later, "b", load(2, 0, SERVICE_TIME));
    assert!(count(&mut router, later).get("a") > Some(&20));
}

/// Guards against a pace that counts after the slow phase, or before the service time shows it.
#[test]
fn a_slow_pace_moves_calls_while_it_is_recent() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    let slow = Load {
        pace: Pace::from_percent(250),
        ..load(0, 0, SERVICE_TIME)
    };
    report(&mut router, now, "a", slow);
    report(&mut router, now, "b", load(5, 0, SERVICE_TIME));
    assert_eq!(count(&mut router, now).get("a"), None);
    let later = now + millis(600);
    report(&mut router, later, "b", load(5, 0, SERVICE_TIME));
    assert_eq!(count(&mut router, later).get("b"), None);
}

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

/// Guards against a link time that counts queueing at the upstream, or a slow link that does not count.
#[test]
fn the_link_time_is_the_reply_time_less_the_residence_time() {
    let mut now = Instant::now();
    let mut router = router_of_three();
    let slow = load(5, 0, SERVICE_TIME * 3);
    let usual = load(5, 0, SERVICE_TIME);
    let resided = Load {
        residence: millis(400),
        ..usual
    };
    for (took, expected) in [(401, Distance::Region), (600, Distance::DataCentre)] {
        for _ in 0..200 {
            router.record_reply_time(now, "quoting", "b", millis(took), resided);
            settle(&mut router, &mut now, millis(10), [slow, usual, slow]);
        }
        let placed = place(&mut router, now, 1, None).expect("ready");
        assert_eq!(placed.distance, expected, "a reply took {took} ms");
    }
}

/// Guards against times of a restarted daemon's predecessor.
#[test]
fn without_reports_calls_are_spread_by_own_calls_and_slots() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = Criteria {
        service: "quoting",
        avoid: &[],
        remaining: None,
    };
    let chosen: Vec<_> = (0..20)
        .filter_map(|_| router.choose(now, &mut rng, criteria))
        .collect();
    let at_a = chosen.iter().filter(|member| &*member.host == "a").count();
    assert!((8..=12).contains(&at_a), "{at_a}");
}

/// Guards against a change of placement on sites whose backend servers tell no pace.
#[test]
fn the_paced_policy_goes_by_time_only_where_backend_servers_tell_their_pace() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(9);
    for paced in [false, true] {
        let mut router = router_of_three();
        router.set_policy(Policy::Paced { stay: millis(20) });
        let load = Load {
            paced,
            ..load(0, 0, SERVICE_TIME)
        };
        let criteria = Criteria {
            service: "quoting",
            avoid: &[],
            remaining: None,
        };
        let placement = router.place(now, &mut rng, criteria).expect("an upstream");
        assert!(placement.reason.is_none(), "nothing has been told yet");
        let host = placement.member.host;
        router.finish(now, "quoting", &host, AttemptResult::Replied, Some(load));
        let placement = router.place(now, &mut rng, criteria).expect("an upstream");
        assert_eq!(placement.reason.is_some(), paced);
    }
}
