//! Demand of all kinds without failures.

use crate::load::{Entry, Load, evenly, moving, skewed, surge};
use crate::seen::bound;
use crate::sim::{Fault, Fleet};
use indigospur_rules::Quota;

/// Workspaces of usual sizes, each with a quota of 1.6 times its usual rate and a burst of `burst`
/// seconds of the quota; demand is `factor` times the usual from second 8 to 16.
pub(crate) fn loads(burst: f64, factor: f64) -> Vec<Load> {
    let usual = [300.0, 100.0, 25.0, 5.0, 1.0];
    let load = |(index, usual): (usize, &f64)| {
        let rate = usual * 1.6;
        let demand = surge(*usual, factor, 8.0, 16.0);
        let name = format!("w{index}");
        Load::new(&name, rate, rate * burst, usual * factor, demand)
    };
    usual.iter().enumerate().map(load).collect()
}

fn entries() -> [(&'static str, Entry); 3] {
    [
        ("even", evenly()),
        ("skewed", skewed()),
        ("moving", moving()),
    ]
}

/// Plays a surge of 7.5 times the usual. Fails if a workspace exceeds its quota, if one is refused more
/// than 1 % before the surge, or if one gets less than 0.8 of its quota in the surge.
fn play_surge(hosts: usize) {
    for burst in [0.2, 1.0] {
        for (entry_name, entry) in entries() {
            let mut fleet = Fleet::new(11, hosts, entry, loads(burst, 7.5));
            fleet.play(24.0);
            let case = format!("{hosts} hosts, {entry_name} entry, burst {burst} s");
            let (used, name) = fleet.most_used();
            println!("{case}: {used:.2} of the bound ({name})");
            fleet.check_bound(&case);
            let usual = [300.0, 100.0, 25.0, 5.0, 1.0];
            for (seen, usual) in fleet.seen.iter().zip(usual) {
                let refused = seen.refused_share(2.0, 8.0);
                assert!(refused <= 0.01, "{case}, {usual}/s: {refused} refused");
                let admitted = seen.admitted_rate(8.0, 16.0);
                assert!(
                    admitted >= 0.8 * 1.6 * usual,
                    "{case}, {usual}/s: {admitted}"
                );
            }
        }
    }
}

#[test]
fn a_surge_stays_within_the_quota_at_16_hosts() {
    play_surge(16);
}

#[test]
fn a_surge_stays_within_the_quota_at_85_hosts() {
    play_surge(85);
}

#[test]
fn a_surge_stays_within_the_quota_at_195_hosts() {
    play_surge(195);
}

#[test]
fn a_surge_stays_within_the_quota_at_640_hosts() {
    play_surge(640);
}

/// Share of requests at `times` that a token bucket in one place would refuse.
fn refused_by_one_bucket(times: &[f64], quota: Quota) -> f64 {
    let (mut level, mut updated, mut refused) = (quota.burst, 0.0, 0);
    for at in times {
        level = (level + (at - updated) * quota.rate).min(quota.burst);
        updated = *at;
        if level < 1.0 {
            refused += 1;
        } else {
            level -= 1.0;
        }
    }
    f64::from(refused) / times.len().max(1) as f64
}

/// Guards against a share that follows the noise of the demand estimate: a small workspace has one
/// request in ten seconds on each of 85 hosts. Fails if more than 1 % are refused; where random
/// accumulations exceed the burst, if more are refused than by one bucket that sees every request.
#[test]
fn a_workspace_below_its_quota_is_not_refused() {
    for hosts in [16, 85, 195, 640] {
        for (entry_name, entry) in entries() {
            let rates = [3.0, 8.0, 40.0, 160.0];
            let load = |rate: &f64| {
                let demand = surge(rate * 0.9, 1.0, 0.0, 0.0);
                Load::new(&format!("w{rate}"), *rate, *rate, *rate, demand)
            };
            let loads = rates.iter().map(load).collect();
            let mut fleet = Fleet::new(3, hosts, entry, loads);
            fleet.repeats = 0;
            fleet.play(62.0);
            for (seen, rate) in fleet.seen.iter().zip(rates) {
                let refused = seen.refused_share(2.0, 62.0);
                let mut times = [seen.admitted.clone(), seen.refused.clone()].concat();
                times.retain(|at| *at >= 2.0);
                times.sort_by(f64::total_cmp);
                let least = refused_by_one_bucket(&times, Quota { rate, burst: rate });
                let case = format!("{hosts} hosts, {entry_name} entry, rate {rate}");
                println!("{case}: {refused:.4} refused, {least:.4} by one bucket");
                assert!(refused <= least.max(0.01), "{case}: {refused}, {least}");
            }
        }
    }
}

/// Guards against shares that swing between too many and too few admitted requests, which would waste
/// the quota in each swing.
#[test]
fn the_share_is_steady_under_steady_demand() {
    for hosts in [16, 85, 195] {
        for factor in [2.0, 7.5] {
            let demand = surge(300.0, factor, 0.0, 60.0);
            let load = Load::new("w", 480.0, 96.0, 300.0 * factor, demand);
            let mut fleet = Fleet::new(5, hosts, evenly(), vec![load]);
            fleet.repeats = 0;
            fleet.play(20.0);
            let (mean, deviation) = fleet.seen[0].share(8.0, 20.0);
            let rate = fleet.seen[0].admitted_rate(8.0, 20.0);
            println!(
                "{hosts} hosts, {factor} times: share {mean:.3}, deviation {deviation:.3}, {rate:.1}/s"
            );
            assert!(
                deviation <= 0.15,
                "{hosts} hosts, {factor} times: {deviation}"
            );
            assert!(
                (470.0..490.0).contains(&rate),
                "{hosts} hosts, {factor} times: {rate}"
            );
        }
    }
}

/// Guards against a lower limit that is not enforced from one window after all hosts could apply it,
/// and a higher or removed one that takes no effect.
#[test]
fn a_changed_quota_takes_effect() {
    for hosts in [16, 85, 195] {
        let demand = || surge(300.0, 1.0, 0.0, 0.0);
        let load = |name| Load::new(name, 480.0, 480.0, 300.0, demand());
        let mut fleet = Fleet::new(7, hosts, evenly(), vec![load("lowered"), load("removed")]);
        fleet.repeats = 0;
        let lower = Quota {
            rate: 20.0,
            burst: 5.0,
        };
        let higher = Quota {
            rate: 480.0,
            burst: 480.0,
        };
        fleet.fault(8.0, Fault::Change(0, Some(lower)));
        fleet.fault(20.0, Fault::Change(0, Some(higher)));
        fleet.fault(8.0, Fault::Change(1, Some(lower)));
        fleet.fault(20.0, Fault::Change(1, None));
        fleet.play(32.0);
        for seen in &fleet.seen {
            let most = seen.most_in_window(10.5, 15.0) as f64;
            println!("{hosts} hosts: {most} in 5 s, bound {}", bound(lower));
            assert!(most <= bound(lower), "{hosts} hosts: {most}");
            let refused = seen.refused_share(24.0, 32.0);
            assert!(refused <= 0.01, "{hosts} hosts: {refused} refused after it");
        }
    }
}

/// Guards against state and messages that grow with the number of workspaces that were ever used.
#[test]
fn a_thousand_workspaces_are_limited_and_forgotten() {
    let load = |index: usize| {
        let hot = surge(1.0, 7.5, 4.0, 10.0);
        let demand = Box::new(move |time| if time < 10.0 { hot(time) } else { 0.0 });
        Load::new(&format!("w{index}"), 1.6, 3.0, 7.5, demand)
    };
    let mut fleet = Fleet::new(13, 85, evenly(), (0..1_000).map(load).collect());
    fleet.repeats = 1;
    fleet.play(12.0);
    fleet.check_bound("1,000 workspaces");
    println!(
        "{} reports, {} counts, {} limits in 12 s; {:.2} of the bound",
        fleet.reports,
        fleet.counts,
        fleet.limits,
        fleet.most_used().0
    );
    assert!(fleet.home_state() >= 900, "{}", fleet.home_state());
    fleet.play(60.0);
    assert_eq!(fleet.home_state(), 0);
}
