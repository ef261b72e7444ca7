//! The side that decides what share of a workspace's requests is admitted.

use crate::bucket::{Allowance, Bucket};
use crate::placement::{Hosts, SLOTS, Slot, SlotSet, report_interval, silence_timeout, slot_of};
use crate::report::{QuotaGrant, QuotaReport, WorkspaceCounts, WorkspaceLimit};
use indigospur_protocol::{HostId, Incarnation};
use indigospur_rules::{Quota, Workspaces};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which unused counts and silent senders are dropped. Shorter than the time for which
/// senders keep their counts, so that a count that began anew is never compared with an old one.
pub(crate) const RETENTION: Duration = Duration::from_secs(20);
/// Time between two searches for state to drop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which computed limits are used again.
const LIMITS_LIFETIME: Duration = Duration::from_millis(20);
/// Fraction of the known hosts that a home must hear. A home with fewer would admit the first request of
/// every workspace, which can be more than its portion of the quota.
const MIN_PORTION: f64 = 0.25;
/// Maximum number of senders whose counts are kept.
const MAX_SENDERS: usize = 4_096;

/// Counts of a workspace in the last report of a sender.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    asked: u64,
    admitted: u64,
    /// Requests admitted between the last two reports.
    recent: i64,
    updated: Instant,
}

/// A host that reports.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    /// Highest sequence number that was counted.
    sequence: u64,
    heard: Instant,
    /// Slots of its last report.
    slots: SlotSet,
    baselines: HashMap<Arc<str>, Baseline>,
}

/// Reports on a slot from any host.
#[derive(Clone, Copy, Debug)]
struct SlotState {
    /// Since when there have been reports without a gap.
    since: Instant,
    last: Instant,
}

/// Token buckets of the workspaces whose home this daemon is.
#[derive(Debug, Default)]
pub struct QuotaHome {
    senders: HashMap<HostId, Sender>,
    slots: BTreeMap<Slot, SlotState>,
    buckets: BTreeMap<Arc<str>, Bucket>,
    /// Senders heard lately, by slot.
    heard: [usize; SLOTS as usize],
    limits: Vec<(Slot, WorkspaceLimit)>,
    /// When `heard` and `limits` were computed.
    computed: Option<Instant>,
    swept: Option<Instant>,
}

impl QuotaHome {
    /// Counts a report and answers it. A report that is received again or after a later one is answered
    /// and not counted.
    ///
    /// `workspaces` are those in force here; workspaces that they lack and those without a quota are not
    /// counted and have no limit. Only the fraction of a quota that corresponds to the known hosts heard
    /// lately is given, so that several homes of one workspace do not exceed it together.
    pub fn report(
        &mut self,
        now: Instant,
        report: QuotaReport,
        workspaces: &Workspaces,
        hosts: &Hosts,
    ) -> QuotaGrant {
        self.sweep(now, workspaces, hosts);
        self.count(now, &report, workspaces, hosts);
        self.compute_limits(now, workspaces, hosts);
        let mut slots = SlotSet::default();
        // Reports of a process that began before the one known, as after a clock was set back, are not
        // counted until that one is forgotten. The host admits its own portion meanwhile.
        let sender = self.senders.get(&report.from);
        let is_counted = sender.is_some_and(|sender| sender.incarnation == report.incarnation);
        for slot in report.slots.iter() {
            if is_counted && self.can_decide(now, slot, hosts) {
                slots.insert(slot);
            }
        }
        let limits = self.limits.iter().filter(|(slot, _)| slots.contains(*slot));
        QuotaGrant {
            incarnation: report.incarnation,
            sequence: report.sequence,
            slots,
            limits: limits.map(|(_, limit)| limit.clone()).collect(),
        }
    }

    /// Number of workspaces with state.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no workspace has state.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Whether every host had time to report once, so that demand and portion are known, and the portion
    /// is large enough to be divided by demand. Hosts admit their own portions otherwise.
    fn can_decide(&self, now: Instant, slot: Slot, hosts: &Hosts) -> bool {
        let settled = self.age(now, slot) >= settling(hosts);
        settled && self.portion(slot, hosts) >= MIN_PORTION
    }

    /// Time since when reports on a slot have come without a gap.
    fn age(&self, now: Instant, slot: Slot) -> Duration {
        let state = self.slots.get(&slot);
        state.map_or(Duration::ZERO, |state| {
            now.saturating_duration_since(state.since)
        })
    }

    /// The portion of a quota that this home may give: the heard hosts among those known.
    fn allowance(&self, slot: Slot, quota: Quota, hosts: &Hosts) -> Allowance {
        Allowance::new(quota, self.portion(slot, hosts), report_interval(hosts))
    }

    /// Known hosts that were heard lately on a slot, as a fraction.
    fn portion(&self, slot: Slot, hosts: &Hosts) -> f64 {
        let heard = self.heard[slot as usize].max(1);
        (heard as f64 / hosts.known().max(1) as f64).min(1.0)
    }

    fn count(
        &mut self,
        now: Instant,
        report: &QuotaReport,
        workspaces: &Workspaces,
        hosts: &Hosts,
    ) {
        if !self.senders.contains_key(&report.from) && self.senders.len() >= MAX_SENDERS {
            return;
        }
        let new_sender = || Sender {
            incarnation: report.incarnation,
            sequence: 0,
            heard: now,
            slots: report.slots,
            baselines: HashMap::new(),
        };
        let mut sender = self.senders.remove(&report.from).unwrap_or_else(new_sender);
        if sender.incarnation < report.incarnation {
            let lost = std::mem::replace(&mut sender, new_sender());
            self.estimate_lost(now, &lost, workspaces, hosts);
        }
        let is_current =
            (sender.incarnation, sender.sequence) < (report.incarnation, report.sequence);
        if is_current {
            // Counts of a sender that was silent for longer are not all recent: while it was, it had its
            // own portion of the rate.
            let gap = now.saturating_duration_since(sender.heard);
            let is_continuous = gap <= silence_timeout(hosts);
            sender.sequence = report.sequence;
            sender.heard = now;
            sender.slots = report.slots;
            for slot in report.slots.iter() {
                self.record_slot(now, slot, hosts);
            }
            for counts in &report.counts {
                let workspace = workspaces.get(&counts.name);
                let Some(quota) = workspace.and_then(|workspace| workspace.quota) else {
                    sender.baselines.remove(&counts.name);
                    continue;
                };
                let (asked, admitted) = sender.difference(now, counts, is_continuous);
                self.record(now, counts, quota, hosts, asked, admitted);
            }
        }
        self.senders.insert(report.from.clone(), sender);
    }

    /// Counts the last report of a process that has ended once more, as an estimate of what it admitted
    /// after that report.
    fn estimate_lost(
        &mut self,
        now: Instant,
        lost: &Sender,
        workspaces: &Workspaces,
        hosts: &Hosts,
    ) {
        for (name, baseline) in &lost.baselines {
            let workspace = workspaces.get(name);
            let quota = workspace.and_then(|workspace| workspace.quota);
            let is_last = baseline.updated == lost.heard;
            if let (Some(quota), Some(bucket)) = (quota, self.buckets.get(name))
                && is_last
            {
                let allowance = self.allowance(slot_of(name), quota, hosts);
                let mut bucket = bucket.clone();
                bucket.advance(now, allowance);
                bucket.record(allowance, 0.0, baseline.recent as f64);
                self.buckets.insert(name.clone(), bucket);
            }
        }
    }

    /// Records a report on a slot. After a gap this home is a new one: another may have given the
    /// quota meanwhile.
    fn record_slot(&mut self, now: Instant, slot: Slot, hosts: &Hosts) {
        let state = self.slots.entry(slot).or_insert(SlotState {
            since: now,
            last: now,
        });
        if now.saturating_duration_since(state.last) > silence_timeout(hosts) {
            state.since = now;
            self.buckets.retain(|name, _| slot_of(name) != slot);
        }
        state.last = now;
    }

    fn record(
        &mut self,
        now: Instant,
        counts: &WorkspaceCounts,
        quota: Quota,
        hosts: &Hosts,
        asked: u64,
        admitted: i64,
    ) {
        let slot = slot_of(&counts.name);
        let allowance = self.allowance(slot, quota, hosts);
        let age = self.age(now, slot);
        let bucket = self
            .buckets
            .entry(counts.name.clone())
            .or_insert_with(|| Bucket::new(now, allowance, age));
        bucket.advance(now, allowance);
        if age < settling(hosts) {
            bucket.take_over(allowance, counts.debt);
        }
        bucket.record(allowance, asked as f64, admitted as f64);
    }

    /// Counts the senders heard lately and computes the limits, unless that was done a moment ago.
    fn compute_limits(&mut self, now: Instant, workspaces: &Workspaces, hosts: &Hosts) {
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.computed.is_some_and(|at| age(at) < LIMITS_LIFETIME) {
            return;
        }
        self.computed = Some(now);
        self.heard = Default::default();
        let timeout = silence_timeout(hosts);
        for sender in self.senders.values().filter(|s| age(s.heard) <= timeout) {
            for slot in sender.slots.iter() {
                self.heard[slot as usize] += 1;
            }
        }
        let mut buckets = std::mem::take(&mut self.buckets);
        self.limits.clear();
        for (name, bucket) in &mut buckets {
            let workspace = workspaces.get(name);
            let Some(quota) = workspace.and_then(|workspace| workspace.quota) else {
                continue;
            };
            let slot = slot_of(name);
            let allowance = self.allowance(slot, quota, hosts);
            bucket.advance(now, allowance);
            let share = bucket.share(allowance, self.age(now, slot));
            if share < 1.0 {
                let limit = WorkspaceLimit {
                    name: name.clone(),
                    share,
                    level: bucket.level,
                };
                self.limits.push((slot, limit));
            }
        }
        self.buckets = buckets;
    }

    /// Drops the state of workspaces that are not used or have no quota any more, and of hosts that no
    /// longer report.
    fn sweep(&mut self, now: Instant, workspaces: &Workspaces, hosts: &Hosts) {
        let is_recent = |at: Instant, limit| now.saturating_duration_since(at) < limit;
        if self.swept.is_some_and(|at| is_recent(at, SWEEP_INTERVAL)) {
            return;
        }
        self.swept = Some(now);
        self.senders
            .retain(|_, sender| is_recent(sender.heard, RETENTION));
        for sender in self.senders.values_mut() {
            sender
                .baselines
                .retain(|_, baseline| is_recent(baseline.updated, RETENTION));
        }
        self.slots
            .retain(|_, state| is_recent(state.last, RETENTION));
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|name, bucket| {
            let workspace = workspaces.get(name);
            let Some(quota) = workspace.and_then(|workspace| workspace.quota) else {
                return false;
            };
            let allowance = self.allowance(slot_of(name), quota, hosts);
            bucket.advance(now, allowance);
            !bucket.is_unused(allowance)
        });
        self.buckets = buckets;
    }
}

/// Time in which every host reports once to a new home.
fn settling(hosts: &Hosts) -> Duration {
    report_interval(hosts).mul_f64(1.2)
}

impl Sender {
    /// Requests asked and admitted since the last report of the workspace that arrived. Without one, or
    /// if the sender was silent, those since a home last acknowledged a report.
    fn difference(
        &mut self,
        now: Instant,
        counts: &WorkspaceCounts,
        is_continuous: bool,
    ) -> (u64, i64) {
        let before = self.baselines.get(&counts.name);
        let asked = before.and_then(|before| counts.asked.checked_sub(before.asked));
        let difference = match (before, asked) {
            (Some(before), Some(asked)) if is_continuous => {
                let admitted = counts.admitted.wrapping_sub(before.admitted) as i64;
                (asked, admitted)
            }
            _ => (counts.new_asked, counts.new_admitted),
        };
        let baseline = Baseline {
            asked: counts.asked,
            admitted: counts.admitted,
            recent: difference.1,
            updated: now,
        };
        self.baselines.insert(counts.name.clone(), baseline);
        difference
    }
}
