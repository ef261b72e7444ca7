//! Single decisions of the gate and the home.

use crate::sim::{name, workspace};
use indigospur_protocol::HostId;
use indigospur_quota::{
    Hosts, QuotaGate, QuotaGrant, QuotaHome, QuotaReport, SlotSet, WorkspaceCounts, home_of,
};
use indigospur_rules::{Quota, Workspaces};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn hosts(count: usize) -> Hosts {
    Hosts::new((0..count).map(name).collect(), count)
}

fn workspaces(rate: f64) -> Workspaces {
    let mut workspaces = Workspaces::default();
    workspaces.insert(workspace("w", Some(Quota { rate, burst: rate })), []);
    workspaces
}

fn report(sequence: u64, admitted: u64, new_admitted: i64) -> QuotaReport {
    QuotaReport {
        from: name(0),
        incarnation: 1,
        sequence,
        slots: SlotSet(u32::MAX),
        counts: vec![WorkspaceCounts {
            name: "w".into(),
            asked: admitted,
            admitted,
            new_asked: new_admitted.unsigned_abs(),
            new_admitted,
            debt: 0.0,
        }],
    }
}

proptest! {
    /// Guards against counts that are added twice if a report is sent again or overtaken: whatever the
    /// order, the last grant is that of the reports in order.
    #[test]
    fn replayed_and_reordered_reports_count_once(order in prop::collection::vec(1u64..20, 0..40)) {
        let now = Instant::now();
        let (workspaces, hosts) = (workspaces(10.0), hosts(1));
        let (mut plain, mut replayed) = (QuotaHome::default(), QuotaHome::default());
        for home in [&mut plain, &mut replayed] {
            home.report(now, report(1, 5, 5), &workspaces, &hosts);
        }
        let later = now + Duration::from_millis(400);
        for sequence in order {
            replayed.report(later, report(sequence, 5 * sequence, 5), &workspaces, &hosts);
        }
        let last = |home: &mut QuotaHome| home.report(later, report(20, 100, 5), &workspaces, &hosts);
        last(&mut plain);
        last(&mut replayed);
        let end = later + Duration::from_millis(100);
        let grant = |home: &mut QuotaHome| home.report(end, report(20, 100, 5), &workspaces, &hosts);
        let (plain, replayed) = (grant(&mut plain), grant(&mut replayed));
        prop_assert_eq!(plain.limits.len(), 1);
        prop_assert_eq!(replayed.limits.len(), 1);
        prop_assert!((plain.limits[0].level - replayed.limits[0].level).abs() < 1e-6);
    }

    /// Guards against workspaces that move among the remaining homes when a host goes.
    #[test]
    fn only_the_workspaces_of_a_lost_host_move(name_of in "[a-z]{1,12}", lost in 0usize..60) {
        let all: Vec<HostId> = (0..60).map(name).collect();
        let rest = all.iter().filter(|host| **host != name(lost)).cloned().collect();
        let before = home_of(&name_of, &Hosts::new(all, 60));
        let after = home_of(&name_of, &Hosts::new(rest, 60));
        if before == Some(name(lost)) {
            prop_assert_ne!(after, before);
        } else {
            prop_assert_eq!(after, before);
        }
    }

    /// Guards against a share that is applied in bursts or drifts: of any number of requests, the
    /// admitted ones differ from the share by less than one.
    #[test]
    fn requests_are_thinned_evenly(share in 0.0f64..1.0, requests in 1usize..500) {
        let now = Instant::now();
        let mut gate = QuotaGate::new(now, name(0), 1);
        let limited = workspace("w", Some(Quota { rate: 10.0, burst: 10.0 }));
        let reports = gate.reports(now, &hosts(1));
        let grant = QuotaGrant {
            incarnation: 1,
            sequence: reports[0].1.sequence,
            slots: SlotSet(u32::MAX),
            limits: vec![indigospur_quota::WorkspaceLimit { name: "w".into(), share, level: 0.0 }],
        };
        gate.apply(now, &name(0), grant);
        let admitted = (0..requests).filter(|_| gate.admit(now, &limited).is_ok()).count() as f64;
        prop_assert!((admitted - share * requests as f64).abs() <= 1.0);
    }
}

/// Guards against a workspace that stays limited after its quota was removed, and against counts of
/// returned requests that are lost.
#[test]
fn a_removed_quota_admits_everything_and_refunds_reach_the_report() {
    let now = Instant::now();
    let mut gate = QuotaGate::new(now, name(0), 1);
    let unlimited = workspace("w", None);
    for _ in 0..100 {
        assert!(gate.admit(now, &unlimited).is_ok());
    }
    let reports = gate.reports(now, &hosts(1));
    assert!(reports[0].1.counts.is_empty());
    let grant = QuotaGrant {
        incarnation: 1,
        sequence: reports[0].1.sequence,
        slots: SlotSet(u32::MAX),
        limits: Vec::new(),
    };
    gate.apply(now, &name(0), grant);
    let limited = workspace(
        "w",
        Some(Quota {
            rate: 1.0,
            burst: 1.0,
        }),
    );
    for _ in 0..5 {
        assert!(gate.admit(now, &limited).is_ok());
    }
    gate.refund(now, "w");
    gate.refund(now, "unknown");
    let counts = &gate.reports(now, &hosts(1))[0].1.counts;
    assert_eq!((counts[0].asked, counts[0].admitted), (5, 4));
    assert_eq!(counts[0].new_admitted, 4);
}

/// Guards against shares that a daemon applies after a pause: an answer to a report from before it is
/// discarded, and the share in force has expired.
#[test]
fn a_paused_gate_discards_old_shares() {
    let now = Instant::now();
    let mut gate = QuotaGate::new(now, name(0), 1);
    let limited = workspace(
        "w",
        Some(Quota {
            rate: 1.0,
            burst: 0.0,
        }),
    );
    let sequence = gate.reports(now, &hosts(100))[0].1.sequence;
    let later = now + Duration::from_secs(3);
    let grant = QuotaGrant {
        incarnation: 1,
        sequence,
        slots: SlotSet(u32::MAX),
        limits: Vec::new(),
    };
    gate.apply(later, &name(0), grant);
    let refusals = (0..20)
        .filter(|_| gate.admit(later, &limited).is_err())
        .count();
    assert!(refusals >= 19, "{refusals}");
    let refusal = gate
        .admit(later, &limited)
        .expect_err("the portion is spent");
    assert_eq!((refusal.share, refusal.level), (None, None));
}

/// Guards against a host that is given shares while its requests are not counted: its daemon was restarted
/// after the clock was set back, so that its reports seem to come from an earlier process.
#[test]
fn a_process_that_is_not_counted_is_given_no_share() {
    let start = Instant::now();
    let (workspaces, hosts) = (workspaces(10.0), hosts(1));
    let mut home = QuotaHome::default();
    let mut slots = |millis: u64, incarnation, sequence| {
        let report = QuotaReport {
            incarnation,
            ..report(sequence, 5, 5)
        };
        let now = start + Duration::from_millis(millis);
        home.report(now, report, &workspaces, &hosts).slots
    };
    assert_eq!(slots(0, 2, 1), SlotSet::default(), "a new home");
    assert_eq!(slots(400, 2, 2), SlotSet(u32::MAX));
    assert_eq!(slots(800, 1, 1), SlotSet::default());
    // The earlier process is forgotten.
    slots(21_000, 1, 80);
    assert_eq!(slots(21_400, 1, 81), SlotSet(u32::MAX));
}

/// Guards against hosts that are added to a fleet, can't find it and exceed the quota together.
#[test]
fn hosts_that_know_no_fleet_stay_within_the_overage() {
    const WINDOW: f64 = 5.0;
    const STEPS_PER_SECOND: u32 = 20;
    // A site of 640 hosts to which three in ten are added.
    const ADDED: usize = 192;
    for rate in [20.0, 480.0] {
        let workspace = workspace("w", Some(Quota { rate, burst: rate }));
        let now = Instant::now();
        let mut gates: Vec<QuotaGate> = (0..ADDED)
            .map(|host| QuotaGate::new(now, name(host), 1))
            .collect();
        let admitted = (0..WINDOW as u32 * STEPS_PER_SECOND).map(|step| {
            let at = now + Duration::from_secs(1) * step / STEPS_PER_SECOND;
            let admits = |gate: &mut QuotaGate| gate.admit(at, &workspace).is_ok();
            gates
                .iter_mut()
                .map(admits)
                .filter(|admits| *admits)
                .count()
        });
        let admitted: usize = admitted.sum();
        let overage = (rate * WINDOW + rate) * 0.1 + 20.0;
        assert!(
            admitted as f64 <= overage,
            "{admitted} admitted at {rate}/s, {overage} beside the quota"
        );
    }
}
