//! Placement by expected time: decisions of one router.

mod leaving;

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

/// Places twenty calls that do not end, and returns how many of them go to `a`.
fn count_burst_at_a(router: &mut Router, now: Instant) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = Criteria {
        service: "quoting",
        avoid: &[],
        remaining: None,
    };
    let chosen: Vec<_> = (0..20)
        .filter_map(|_| router.choose(now, &mut rng, criteria))
        .collect();
    chosen.iter().filter(|member| &*member.host == "a").count()
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
    let at_a = count_burst_at_a(&mut router, now);
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
    let at_a = count_burst_at_a(&mut router, now);
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
