//! Load balancing: locality, ejection of failing upstreams and penalties.

use indigospur_protocol::{Load, Member, State};
use indigospur_routing::{AttemptResult, Criteria, Router};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

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
    members.iter().for_each(|member| router.update(member));
    router
}

const ANY: Criteria<'_> = Criteria {
    service: "quoting",
    avoid: &[],
    remaining: None,
};

fn count(router: &mut Router, now: Instant, calls: u32) -> HashMap<String, u32> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = HashMap::new();
    for _ in 0..calls {
        let chosen = router
            .choose(now, &mut rng, ANY)
            .expect("an upstream is ready");
        router.finish(now, "quoting", &chosen.host, AttemptResult::Abandoned, None);
        *counts.entry(chosen.host.to_string()).or_default() += 1;
    }
    counts
}

fn load(in_flight: u32, queued: u32) -> Option<Load> {
    Some(Load {
        in_flight,
        limit: 10,
        queued,
        ..Load::default()
    })
}

#[test]
fn calls_stay_in_the_data_centre_while_it_has_room() {
    let members = [
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
    ];
    let counts = count(&mut router(&members), Instant::now(), 100);
    assert_eq!(counts["a"], 100);
}

#[test]
fn calls_spill_over_to_the_region_and_then_beyond_when_nearer_upstreams_are_full() {
    let now = Instant::now();
    let far = member("c", "hobart-a", "tasmania");
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
        far,
    ]);
    router.finish(now, "quoting", "a", AttemptResult::Replied, load(10, 5));
    assert_eq!(count(&mut router, now, 100).get("b"), Some(&100));
    router.finish(now, "quoting", "b", AttemptResult::Replied, load(10, 5));
    assert_eq!(count(&mut router, now, 100).get("c"), Some(&100));
}

#[test]
fn a_failing_upstream_is_ejected_and_retried_later() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    for _ in 0..3 {
        router.finish(now, "quoting", "a", AttemptResult::Failed, None);
    }
    assert_eq!(count(&mut router, now, 100).get("a"), None);
    assert!(count(&mut router, now + Duration::from_secs(1), 100)["a"] > 20);
}

#[test]
fn many_simultaneous_failures_eject_an_upstream_no_longer_than_three_do() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    for _ in 0..40 {
        router.finish(now, "quoting", "a", AttemptResult::Failed, None);
    }
    assert!(count(&mut router, now + Duration::from_secs(1), 100).get("a") > Some(&20));
}

#[test]
fn ejection_never_leaves_a_service_without_upstreams() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    for host in ["a", "b"] {
        for _ in 0..5 {
            router.finish(now, "quoting", host, AttemptResult::Failed, None);
        }
    }
    assert_eq!(count(&mut router, now, 100).len(), 2);
}

#[test]
fn a_draining_upstream_gets_no_new_calls_while_another_is_ready() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-a", "lisbon"),
    ]);
    router.set_draining(&member("a", "lisboa-a", "lisbon"));
    assert_eq!(count(&mut router, now, 100).get("a"), None);
}

/// The next instance of its backend server is known already when the reply for the last one arrives.
#[test]
fn a_late_reply_that_an_upstream_drains_does_not_outlast_its_next_state() {
    let now = Instant::now();
    let chosen = member("a", "lisboa-a", "lisbon");
    let mut router = router(&[chosen.clone(), member("b", "lisboa-b", "lisbon")]);
    for next in [
        Member {
            revision: 2,
            ..chosen.clone()
        },
        Member {
            incarnation: 2,
            ..chosen.clone()
        },
    ] {
        router.update(&next);
        router.set_draining(&chosen);
        assert_eq!(count(&mut router, now, 10)["a"], 10);
    }
}

/// While the daemon of the only serving host restarts, its service must stay reachable.
#[test]
fn a_draining_upstream_is_a_last_resort_unless_it_is_leaving() {
    let now = Instant::now();
    let stopping = Member {
        state: State::Draining,
        ..member("a", "lisboa-a", "lisbon")
    };
    let leaving = Member {
        state: State::Draining,
        leaving: true,
        ..member("b", "lisboa-a", "lisbon")
    };
    let mut router = router(&[stopping, leaving]);
    let counts = count(&mut router, now, 100);
    assert_eq!((counts.get("a"), counts.get("b")), (Some(&100), None));
}

#[test]
fn a_host_to_avoid_is_never_chosen() {
    let mut router = router(&[member("a", "lisboa-a", "lisbon")]);
    let avoid = ["a".into()];
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = Criteria {
        service: "quoting",
        avoid: &avoid,
        remaining: None,
    };
    assert!(router.choose(Instant::now(), &mut rng, criteria).is_none());
}

/// Choosing the least loaded upstream by stale reports makes callers herd; two random choices avoid
/// that.
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
            router.finish(
                now,
                "quoting",
                &host.host,
                AttemptResult::Replied,
                load(index as u32, 0),
            );
        }
        let mut rng = SmallRng::seed_from_u64(caller);
        let chosen = router.choose(now, &mut rng, ANY).expect("ready");
        *totals.entry(chosen.host.to_string()).or_default() += 1;
    }
    let most = totals.values().max().copied().unwrap_or_default();
    assert!(most <= 40, "{totals:?}");
}

/// The nearest upstream refuses nearly half of its calls (4 of 9), although it reports free
/// capacity.
#[test]
fn an_upstream_with_a_higher_fault_rate_is_avoided_and_retried_later() {
    let start = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
    ]);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut now = start;
    let mut faults = 0;
    for call in 0..1_000 {
        now += Duration::from_millis(5);
        let chosen = router.choose(now, &mut rng, ANY).expect("ready");
        let fault = &*chosen.host == "a" && call % 9 < 4;
        faults += u32::from(fault);
        let result = if fault {
            AttemptResult::Faulted
        } else {
            AttemptResult::Replied
        };
        router.finish(now, "quoting", &chosen.host, result, load(2, 0));
    }
    assert!(
        faults < 80,
        "{faults} faults; nearest first without penalties would meet 444"
    );
    now += Duration::from_secs(10);
    assert_eq!(count(&mut router, now, 20).get("a"), Some(&20));
}

#[test]
fn equal_fault_rates_move_no_calls() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
    ]);
    for _ in 0..100 {
        for host in ["a", "b"] {
            router.finish(now, "quoting", host, AttemptResult::Faulted, None);
        }
    }
    assert_eq!(count(&mut router, now, 100).get("a"), Some(&100));
}

/// The nearest upstream becomes five times slower than the other one.
#[test]
fn a_slow_upstream_loses_calls_before_it_is_full() {
    let now = Instant::now();
    let mut router = router(&[
        member("a", "lisboa-a", "lisbon"),
        member("b", "lisboa-b", "lisbon"),
    ]);
    let slow = |millis| {
        load(7, 0).map(|load| Load {
            service_time: Duration::from_millis(millis),
            ..load
        })
    };
    router.finish(now, "quoting", "a", AttemptResult::Replied, slow(55));
    router.finish(now, "quoting", "b", AttemptResult::Replied, slow(55));
    assert_eq!(count(&mut router, now, 100).get("a"), Some(&100));
    router.finish(now, "quoting", "a", AttemptResult::Replied, slow(275));
    assert_eq!(count(&mut router, now, 100).get("b"), Some(&100));
}
