//! The side where requests enter.

use crate::entry::Entry;
use crate::home::RETENTION;
use crate::placement::{Hosts, SLOTS, Slot, SlotSet, all_slots, idle_interval, slot_of};
use crate::report::{QuotaGrant, QuotaReport, WorkspaceCounts, WorkspaceLimit};
use indigospur_protocol::{HostId, Incarnation};
use indigospur_rules::{Quota, Workspace};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time within which a home must answer a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two probes of a home that did not answer. It is passed over until it answers one.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Age up to which a share is in force.
const SHARE_LIFETIME: Duration = Duration::from_secs(1);
/// Time without an answer to a report after which a share is applied with a bound on its host's rate.
const OVERDUE: Duration = Duration::from_millis(150);
/// Time for which the counts of an unused workspace are kept.
const COUNTS_LIFETIME: Duration = RETENTION.saturating_mul(3);
/// Number of hosts assumed while none are known. Larger than any fleet: daemons that are added to a fleet
/// and don't know it yet admit their portions in addition to the whole quota.
const DEFAULT_HOSTS: usize = 2_048;
/// Maximum number of reports to one home whose answers are awaited.
const MAX_UNANSWERED: usize = 16;
/// Bounds of Retry-After before it is spread, in seconds.
const RETRY_AFTER_SECONDS: (f64, f64) = (0.3, 5.0);

/// Refusal of a request over its workspace's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which the quota is expected to have room, at least 0.3 s.
    pub retry_after: Duration,
    /// Share of the workspace's requests that is admitted, 0 to 1; `None` if no home answers and this
    /// host admits its own portion of the rate.
    pub share: Option<f64>,
    /// Level of the token bucket at the home, in requests; `None` as for `share`.
    pub level: Option<f64>,
    /// Age of the last answer of a home; `None` if there was none.
    pub age: Option<Duration>,
}

/// The last answer on a slot.
#[derive(Clone, Copy, Debug)]
struct SlotGrant {
    /// When the report that was answered was sent.
    sent: Instant,
    sequence: u64,
}

/// Reports to one home.
#[derive(Debug, Default)]
struct Link {
    /// Sequence numbers and times of the unanswered reports, oldest first, with their slots.
    unanswered: VecDeque<(u64, Instant, SlotSet)>,
    last_sent: Option<Instant>,
    /// Slots of the last report.
    slots: SlotSet,
    /// When to probe the home next, if it is passed over.
    next_probe: Option<Instant>,
}

/// Admission of requests by the quotas of their workspaces, at one host.
#[derive(Debug)]
pub struct QuotaGate {
    host: HostId,
    incarnation: Incarnation,
    started: Instant,
    /// Sequence number of the next reports.
    sequence: u64,
    /// Number of known hosts.
    known: usize,
    entries: BTreeMap<Arc<str>, Entry>,
    slots: HashMap<Slot, SlotGrant>,
    limits: HashMap<Arc<str>, WorkspaceLimit>,
    /// When the first report on a slot was sent that no home has answered since; `None` if there is none.
    waiting: [Option<Instant>; SLOTS as usize],
    links: BTreeMap<HostId, Link>,
    spread: u64,
}

impl QuotaGate {
    /// Creates the gate of a daemon on `host` that started at `incarnation`.
    pub fn new(now: Instant, host: HostId, incarnation: Incarnation) -> QuotaGate {
        QuotaGate {
            spread: xxh3_64_with_seed(host.as_bytes(), incarnation),
            host,
            incarnation,
            started: now,
            sequence: 1,
            known: DEFAULT_HOSTS,
            entries: BTreeMap::new(),
            slots: HashMap::new(),
            limits: HashMap::new(),
            waiting: Default::default(),
            links: BTreeMap::new(),
        }
    }

    /// Decides whether a request of a workspace is admitted.
    ///
    /// # Errors
    /// The workspace is over its quota.
    pub fn admit(&mut self, now: Instant, workspace: &Workspace) -> Result<(), QuotaRefusal> {
        let Some(quota) = workspace.quota else {
            return Ok(());
        };
        let slot = slot_of(&workspace.name);
        let grant = self.slots.get(&slot).copied();
        let age = grant.map(|grant| now.saturating_duration_since(grant.sent));
        let expired = grant.map_or(self.started, |grant| grant.sent + SHARE_LIFETIME);
        let overdue = self.waiting[slot as usize].map(|since| since + OVERDUE);
        let limit = self.limits.get(&workspace.name).cloned();
        let share = limit.as_ref().map_or(1.0, |limit| limit.share);
        let portion = quota.rate / self.known as f64;
        let sequence = self.sequence;
        let entry = self.entry(now, &workspace.name);
        entry.decay_pace(now);
        entry.used = now;
        entry.asked += 1;
        entry.changed = sequence;
        let is_fresh = age.is_some_and(|age| age <= SHARE_LIFETIME);
        let is_admitted = if !is_fresh {
            entry.take_portion(now, expired, quota, portion)
        } else if let Some(since) = overdue.filter(|since| *since <= now) {
            entry.thin(share) && entry.take_overdue(now, since, portion)
        } else {
            let is_admitted = entry.thin(share);
            entry.record_pace(is_admitted);
            is_admitted
        };
        if is_admitted {
            entry.admitted += 1;
            if !is_fresh {
                // Homes give the portions of hosts that they do not hear to nobody else.
                entry.acknowledged.1 += 1;
            }
            return Ok(());
        }
        let limit = limit.filter(|_| is_fresh);
        Err(QuotaRefusal {
            retry_after: self.retry_after(quota, limit.as_ref()),
            share: limit.as_ref().map(|limit| limit.share),
            level: limit.as_ref().map(|limit| limit.level),
            age,
        })
    }

    /// Returns the token of an admitted request that has not run.
    pub fn refund(&mut self, now: Instant, name: &str) {
        let sequence = self.sequence;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.admitted > 0 {
            entry.decay_pace(now);
            entry.used = now;
            entry.admitted -= 1;
            entry.changed = sequence;
        }
    }

    /// The reports that are due, with the homes to send them to. To be called every
    /// [`report_interval`](crate::report_interval). A home that has not answered in time is passed over in
    /// favour of the host that ranks next, until it answers a probe.
    pub fn reports(&mut self, now: Instant, hosts: &Hosts) -> Vec<(HostId, QuotaReport)> {
        self.known = hosts.known().max(1);
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.used) < COUNTS_LIFETIME);
        self.check_answers(now);
        let mut targets: BTreeMap<HostId, SlotSet> = BTreeMap::new();
        for slot in all_slots() {
            let is_silent = |host: &HostId| {
                let link = self.links.get(host);
                link.is_some_and(|link| link.next_probe.is_some())
            };
            if let Some(home) = hosts.home(slot, is_silent) {
                targets.entry(home.clone()).or_default().insert(slot);
            }
        }
        for (home, link) in &mut self.links {
            // A home that is no longer one for any slot is told so.
            let is_former = link.slots != SlotSet::default();
            let is_probed = link.next_probe.is_some_and(|at| at <= now);
            if is_probed {
                link.next_probe = Some(now + PROBE_INTERVAL);
            }
            if is_former || is_probed {
                targets.entry(home.clone()).or_default();
            }
        }
        let idle_interval = idle_interval(hosts);
        let sequence = self.sequence;
        self.sequence += 1;
        let mut reports = Vec::new();
        for (home, slots) in targets {
            let counts = self.changed_counts(sequence, slots);
            let link = self.links.entry(home.clone()).or_default();
            let is_due = link
                .last_sent
                .is_none_or(|at| now.saturating_duration_since(at) >= idle_interval);
            if counts.is_empty() && !is_due && link.slots == slots {
                continue;
            }
            link.slots = slots;
            link.last_sent = Some(now);
            for slot in slots.iter() {
                self.waiting[slot as usize].get_or_insert(now);
            }
            link.unanswered.push_back((sequence, now, slots));
            if link.unanswered.len() > MAX_UNANSWERED {
                link.unanswered.pop_front();
            }
            let report = QuotaReport {
                from: self.host.clone(),
                incarnation: self.incarnation,
                sequence,
                slots,
                counts,
            };
            reports.push((home, report));
        }
        reports
    }

    /// Puts the answer of `home` in force. Answers that came too late, that were overtaken by a later
    /// one or that belong to another process have no effect.
    pub fn apply(&mut self, now: Instant, home: &HostId, grant: QuotaGrant) {
        let Some(link) = self.links.get_mut(home) else {
            return;
        };
        let answered = |(sequence, _, _): &(u64, Instant, SlotSet)| *sequence == grant.sequence;
        let answered = link.unanswered.iter().copied().find(answered);
        let Some((sequence, sent, slots)) = answered else {
            return;
        };
        if grant.incarnation != self.incarnation
            || now.saturating_duration_since(sent) > ANSWER_TIMEOUT
        {
            return;
        }
        link.unanswered.retain(|(other, _, _)| *other > sequence);
        link.next_probe = None;
        let slots = SlotSet(slots.0 & grant.slots.0);
        let mut accepted = SlotSet::default();
        for slot in slots.iter() {
            let known = self.slots.get(&slot);
            if known.is_none_or(|known| known.sequence < sequence) {
                self.slots.insert(slot, SlotGrant { sent, sequence });
                self.waiting[slot as usize] = None;
                accepted.insert(slot);
            }
        }
        self.limits
            .retain(|name, _| !accepted.contains(slot_of(name)));
        for mut limit in grant.limits {
            if accepted.contains(slot_of(&limit.name)) && limit.share.is_finite() {
                limit.share = limit.share.clamp(0.0, 1.0);
                self.limits.insert(limit.name.clone(), limit);
            }
        }
    }

    /// Records that a report could not be delivered: the home is passed over at once.
    pub fn fail(&mut self, now: Instant, home: &HostId, sequence: u64) {
        let Some(link) = self.links.get_mut(home) else {
            return;
        };
        if link.unanswered.iter().any(|(sent, _, _)| *sent == sequence) {
            link.pass_over(now);
        }
    }

    /// Takes homes as silent that have not answered in time, and forgets links that are not used.
    fn check_answers(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        for link in self.links.values_mut() {
            let oldest = link.unanswered.front();
            if oldest.is_some_and(|(_, sent, _)| age(*sent) >= ANSWER_TIMEOUT) {
                link.pass_over(now);
            }
        }
        self.links.retain(|_, link| {
            let is_recent = link.last_sent.is_some_and(|at| age(at) < RETENTION);
            is_recent || link.next_probe.is_some()
        });
    }

    /// Counts of the workspaces in `slots` that changed since the last acknowledged report.
    fn changed_counts(&mut self, sequence: u64, slots: SlotSet) -> Vec<WorkspaceCounts> {
        let mut counts = Vec::new();
        for (name, entry) in &mut self.entries {
            let slot = slot_of(name);
            let acknowledged = self.slots.get(&slot).map_or(0, |grant| grant.sequence);
            if !slots.contains(slot) || entry.changed <= acknowledged {
                continue;
            }
            let (sent, asked, admitted) = entry.sent;
            if sent <= acknowledged {
                entry.acknowledged = (asked, admitted);
            }
            entry.sent = (sequence, entry.asked, entry.admitted);
            let (asked, admitted) = entry.acknowledged;
            let limit = self.limits.get(name);
            counts.push(WorkspaceCounts {
                name: name.clone(),
                asked: entry.asked,
                admitted: entry.admitted,
                new_asked: entry.asked.saturating_sub(asked),
                new_admitted: entry.admitted.wrapping_sub(admitted) as i64,
                debt: limit.map_or(0.0, |limit| (-limit.level).max(0.0)),
            });
        }
        counts
    }

    fn entry(&mut self, now: Instant, name: &Arc<str>) -> &mut Entry {
        let seed = xxh3_64_with_seed(self.host.as_bytes(), self.incarnation);
        self.entries.entry(name.clone()).or_insert_with(|| {
            let phase = xxh3_64_with_seed(name.as_bytes(), seed) as f64 / u64::MAX as f64;
            Entry::new(now, phase)
        })
    }

    /// Time until the quota is expected to have room: until the debt is repaid, and longer the smaller
    /// the share that is admitted. It is spread evenly over its double, so that callers do not return
    /// together.
    fn retry_after(&mut self, quota: Quota, limit: Option<&WorkspaceLimit>) -> Duration {
        const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
        self.spread = self.spread.wrapping_add(GOLDEN);
        let spread = self.spread as f64 / u64::MAX as f64;
        let (shortest, longest) = RETRY_AFTER_SECONDS;
        let wait = limit.map_or(2.0 * shortest, |limit| {
            (-limit.level).max(0.0) / quota.rate + shortest / limit.share.max(0.1)
        });
        Duration::from_secs_f64(wait.clamp(shortest, longest) * (1.0 + spread))
    }
}

impl Link {
    fn pass_over(&mut self, now: Instant) {
        self.unanswered.clear();
        self.slots = SlotSet::default();
        self.next_probe = Some(now + PROBE_INTERVAL);
    }
}
