//! Homes and hosts that fail in the middle of a surge.

use crate::cases::loads;
use crate::load::{evenly, skewed};
use crate::sim::{Fault, Fleet};

/// Plays faults, given the index of the home of the largest workspace, during a surge from second 8 to
/// 16, and checks the bound.
fn play(case: &str, hosts: usize, faults: impl Fn(&mut Fleet, usize)) -> Fleet {
    let mut last = None;
    for seed in [1, 2, 3] {
        for burst in [0.2, 1.0] {
            let entry = if seed == 3 { skewed() } else { evenly() };
            let mut fleet = Fleet::new(seed, hosts, entry, loads(burst, 7.5));
            let home = fleet.home_of(0);
            faults(&mut fleet, home);
            fleet.play(30.0);
            let (used, name) = fleet.most_used();
            println!("{case}, {hosts} hosts, seed {seed}, burst {burst} s: {used:.2} ({name})");
            fleet.check_bound(&format!(
                "{case}, {hosts} hosts, seed {seed}, burst {burst} s"
            ));
            last = Some(fleet);
        }
    }
    last.expect("at least one run")
}

/// Guards against a home whose loss lets every host admit all requests.
#[test]
fn a_killed_home_leaves_the_quota_in_force() {
    for hosts in [16, 85] {
        for at in [7.0, 8.2, 10.0] {
            play(&format!("home killed at {at}"), hosts, |fleet, home| {
                fleet.fault(at, Fault::Kill(home));
            });
        }
    }
}

/// Guards against a home that comes back from a pause with a full bucket and old reports.
#[test]
fn a_paused_home_leaves_the_quota_in_force() {
    for hosts in [16, 85] {
        for seconds in [0.4, 1.5, 3.0, 7.0] {
            let case = format!("home paused for {seconds} s");
            play(&case, hosts, |fleet, home| {
                fleet.fault(10.0, Fault::Pause(home, seconds));
            });
        }
    }
}

/// Guards against hosts that are cut off and admit the whole quota each.
#[test]
fn hosts_that_are_cut_off_leave_the_quota_in_force() {
    for hosts in [16, 85] {
        play("home cut off", hosts, |fleet, home| {
            fleet.fault(9.0, Fault::Cut(home));
            fleet.fault(19.0, Fault::Heal);
        });
        play("a third cut off", hosts, |fleet, _| {
            for host in 0..hosts / 3 {
                fleet.fault(9.0, Fault::Cut(host));
            }
            fleet.fault(19.0, Fault::Heal);
        });
    }
}

/// Guards against two homes that give the whole quota each.
#[test]
fn both_sides_of_a_split_together_stay_within_the_quota() {
    for hosts in [16, 85] {
        for (at, heal) in [(9.0, 11.0), (9.0, 20.0), (5.0, 12.0)] {
            let case = format!("split from {at} to {heal}");
            play(&case, hosts, |fleet, _| {
                fleet.fault(at, Fault::Split(hosts / 2));
                fleet.fault(heal, Fault::Heal);
            });
        }
    }
}

/// Guards against counts that are lost with their daemons: each restarts with an empty state.
#[test]
fn daemons_that_all_restart_within_a_window_leave_the_quota_in_force() {
    for hosts in [16, 85] {
        play("all restarted", hosts, |fleet, _| {
            for host in 0..hosts {
                let at = 9.0 + 4.0 * host as f64 / hosts as f64;
                fleet.fault(at, Fault::Kill(host));
                fleet.fault(at + 0.5, Fault::Start(host));
            }
        });
        play("all restarted at once", hosts, |fleet, _| {
            for host in 0..hosts {
                fleet.fault(10.0, Fault::Kill(host));
                fleet.fault(10.5, Fault::Start(host));
            }
        });
    }
}

/// Guards against a home's failure that stops the service of a workspace within its quota: the next
/// host in rank takes over before the member lists show the failure.
#[test]
fn a_workspace_within_its_quota_is_served_while_homes_fail() {
    for hosts in [16, 85] {
        let mut fleet = Fleet::new(4, hosts, evenly(), loads(1.0, 1.0));
        fleet.repeats = 0;
        let home = fleet.home_of(3);
        fleet.fault(8.0, Fault::Kill(home));
        fleet.play(20.0);
        for (seen, usual) in fleet.seen.iter().zip([300.0, 100.0, 25.0, 5.0]) {
            let refused = seen.refused_share(8.0, 18.0);
            println!("{hosts} hosts, usual {usual}/s: {refused:.4} refused in 10 s");
            assert!(refused <= 0.1, "{hosts} hosts, usual {usual}/s: {refused}");
        }
    }
}
