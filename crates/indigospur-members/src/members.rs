//! The members of the fleet as known to one daemon.

use crate::broadcasts::Broadcasts;
use crate::instances::{Instance, NamedLimit};
use indigospur_protocol::{HostId, Member, MemberId, State};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum time from the first failure to reach a host until it is declared down.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum number of consecutive failures to reach a host until it is declared down.
const FAILURES_UNTIL_DOWN: u32 = 4;
/// Time after which a host that is down is removed.
const DOWN_RETENTION: Duration = Duration::from_secs(7_200);
/// One gossip round in this many goes to a host that is down, so that a healed partition is
/// noticed.
const ROUNDS_PER_DOWN_PEER: u32 = 8;

/// Hosts that follow in the order of names among the peers of an urgent round. Each host follows as
/// many others, so one of these may fail unnoticed without the change missing any other host.
const URGENT_SUCCESSORS: usize = 2;
/// Maximum number of successors, those counted that could not be reached last.
const MAX_URGENT_SUCCESSORS: usize = 4;
/// Further hosts of an urgent round, chosen at random; they bound the number of steps to the last host.
const URGENT_RANDOM_PEERS: usize = 3;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed: Instant,
}

#[derive(Clone, Copy, Debug)]
struct FailureRecord {
    since: Instant,
    /// Consecutive failures, at least one.
    failures: u32,
}

/// Member list of one daemon, with failure detection and the updates to gossip.
#[derive(Debug)]
pub struct Members {
    me: HostId,
    table: BTreeMap<HostId, Entry>,
    /// Hosts whose last exchange failed.
    unreachable: HashMap<HostId, FailureRecord>,
    broadcasts: Broadcasts,
    /// XOR of the hashes of all entries.
    digest: u64,
    /// Instance of the backend server that left last, by host; kept over restarts of the daemon
    /// there.
    departed: HashMap<HostId, Instance>,
    /// Rate limit in force at the backend server, by host; kept over restarts of the daemon there.
    limits: HashMap<HostId, NamedLimit>,
}

impl Members {
    /// Creates a list that holds only `me`, the member of this daemon.
    pub fn new(now: Instant, me: Member) -> Members {
        let host = me.host.clone();
        let mut members = Members {
            me: host,
            table: BTreeMap::new(),
            unreachable: HashMap::new(),
            broadcasts: Broadcasts::default(),
            digest: 0,
            departed: HashMap::new(),
            limits: HashMap::new(),
        };
        members.store(now, me);
        members
    }

    /// This daemon's own member entry.
    pub fn me(&self) -> &Member {
        &self.table[&self.me].member
    }

    /// Host and incarnation of this daemon.
    pub fn own_id(&self) -> MemberId {
        self.me().id()
    }

    /// The member on a host; `None` if the host is unknown.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.table.get(host).map(|entry| &entry.member)
    }

    /// All members in the order of their hosts, including this daemon and hosts that are down.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.table.values().map(|entry| &entry.member)
    }

    /// Number of members, including this daemon and hosts that are down.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.table.len() <= 1
    }

    /// Hash of the hosts, incarnations, revisions and states of all members; equal on daemons with
    /// the same list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Instance of the backend server that left a host last; `None` if none is known to have left.
    pub fn departed(&self, host: &str) -> Option<&Instance> {
        self.departed.get(host)
    }

    /// Records an instance that left a host according to the source of configurations, unless one
    /// that left it is known already.
    pub fn recall_departed(&mut self, host: HostId, instance: Instance) {
        self.departed.entry(host).or_insert(instance);
    }

    /// Rate limit in force at the backend server on a host; `None` if none is known.
    pub fn named_limit(&self, host: &str) -> Option<&NamedLimit> {
        self.limits.get(host)
    }

    /// Changes this daemon's own entry and queues it for gossip; returns false if nothing changed.
    pub fn announce(&mut self, now: Instant, change: impl FnOnce(&mut Member)) -> bool {
        let mut me = self.me().clone();
        change(&mut me);
        if me == *self.me() {
            return false;
        }
        me.revision = self.me().revision + 1;
        self.store(now, me);
        true
    }

    /// Merges updates received from other daemons; returns the members that changed.
    pub fn merge(&mut self, now: Instant, updates: Vec<Member>) -> Vec<Member> {
        updates
            .into_iter()
            .filter_map(|member| self.merge_one(now, member))
            .collect()
    }

    /// Merges a full member list; returns the members that changed. They are not queued for gossip,
    /// as other daemons request full lists too; only a refutation is.
    pub fn merge_full(&mut self, now: Instant, updates: Vec<Member>) -> Vec<Member> {
        let queued = self.broadcasts.clone();
        let changed = self.merge(now, updates);
        let has_refutation = changed.iter().any(|member| member.host == self.me);
        self.broadcasts = queued;
        if has_refutation {
            self.broadcasts.enqueue(&self.me, self.table.len());
        }
        changed
    }

    fn merge_one(&mut self, now: Instant, update: Member) -> Option<Member> {
        if update.host == self.me {
            return self.refute(now, &update);
        }
        let known = self.table.get(&update.host);
        if known.is_some_and(|entry| entry.member.recency() >= update.recency()) {
            return None;
        }
        self.store(now, update.clone());
        Some(update)
    }

    /// Refutes an update that says that this daemon is down or that an earlier incarnation is the
    /// latest one. Incarnation numbers come from the wall clock, which may go back between two
    /// starts.
    fn refute(&mut self, now: Instant, update: &Member) -> Option<Member> {
        if update.recency() <= self.me().recency() {
            return None;
        }
        let mut me = self.me().clone();
        if update.incarnation > me.incarnation {
            me.incarnation = update.incarnation.saturating_add(1);
        }
        me.revision = update.revision.saturating_add(1);
        self.store(now, me.clone());
        Some(me)
    }

    /// Takes up to `limit` members with queued updates for one message.
    pub(crate) fn take_updates(&mut self, limit: usize) -> Vec<Member> {
        let hosts = self.broadcasts.take(limit);
        hosts
            .iter()
            .filter_map(|host| self.get(host).cloned())
            .collect()
    }

    /// Number of members with queued updates.
    pub(crate) fn pending_updates(&self) -> usize {
        self.broadcasts.len()
    }

    /// Chooses the member to gossip with next; `None` if no other member is known. A host that
    /// could not be reached is tried again in most rounds, so that one lost exchange does not get
    /// it declared down.
    pub fn choose_peer(&self, rng: &mut impl Rng) -> Option<Member> {
        let unreachable = self
            .unreachable
            .keys()
            .min()
            .and_then(|host| self.get(host));
        if let Some(member) = unreachable.filter(|_| rng.random_ratio(4, 5)) {
            return Some(member.clone());
        }
        let down_round = rng.random_ratio(1, ROUNDS_PER_DOWN_PEER);
        let others = || self.all().filter(|member| member.host != self.me);
        let mut candidates: Vec<&Member> = others()
            .filter(|member| (member.state == State::Down) == down_round)
            .collect();
        if candidates.is_empty() {
            candidates = others().collect();
        }
        let last = candidates.len().checked_sub(1)?;
        Some(candidates[rng.random_range(0..=last)].clone())
    }

    /// Chooses the members to send an urgent change to: the next hosts in the order of names, beginning
    /// again after the last, and some others at random. Hosts that are down are left out; those that
    /// could not be reached last are sent the change too, but count as no successor.
    pub fn choose_urgent_peers(&self, rng: &mut impl Rng) -> Vec<Member> {
        let is_up = |member: &&Member| member.state != State::Down;
        let after = self.all().filter(|member| member.host > self.me);
        let before = self.all().filter(|member| member.host < self.me);
        let mut others: Vec<&Member> = after.chain(before).filter(is_up).collect();
        let is_reachable = |member: &&Member| !self.unreachable.contains_key(&member.host);
        let reachable = others.iter().enumerate();
        let mut reachable = reachable.filter(|(_, member)| is_reachable(member));
        let successors = reachable
            .nth(URGENT_SUCCESSORS - 1)
            .map_or(others.len(), |(index, _)| index + 1)
            .min(MAX_URGENT_SUCCESSORS);
        let mut peers: Vec<Member> = others
            .drain(..successors.min(others.len()))
            .cloned()
            .collect();
        for _ in 0..URGENT_RANDOM_PEERS.min(others.len()) {
            let index = rng.random_range(0..others.len());
            peers.push(others.swap_remove(index).clone());
        }
        peers
    }

    /// Records a successful exchange, which resets the failures of the host.
    pub fn record_success(&mut self, host: &str) {
        self.unreachable.remove(host);
    }

    /// Records a failed exchange.
    pub fn record_failure(&mut self, now: Instant, host: &HostId) {
        let record = self
            .unreachable
            .entry(host.clone())
            .or_insert(FailureRecord {
                since: now,
                failures: 0,
            });
        record.failures += 1;
    }

    /// Declares hosts down that stayed unreachable, and removes hosts that have been down for long.
    /// Returns the members that were declared down.
    pub fn tick(&mut self, now: Instant) -> Vec<Member> {
        let is_down = |record: &FailureRecord| {
            let age = now.saturating_duration_since(record.since);
            age >= UNREACHABLE_TIMEOUT && record.failures >= FAILURES_UNTIL_DOWN
        };
        let down: Vec<HostId> = self
            .unreachable
            .iter()
            .filter(|(_, record)| is_down(record))
            .map(|(h, _)| h.clone())
            .collect();
        let changed = down
            .iter()
            .filter_map(|host| self.declare_down(now, host))
            .collect();
        self.remove_expired(now);
        changed
    }

    fn declare_down(&mut self, now: Instant, host: &HostId) -> Option<Member> {
        self.unreachable.remove(host);
        let mut member = self.get(host)?.clone();
        if member.state == State::Down {
            return None;
        }
        member.state = State::Down;
        self.store(now, member.clone());
        Some(member)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.changed);
            entry.member.state == State::Down && age > DOWN_RETENTION
        };
        let hosts: Vec<HostId> = self
            .table
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(h, _)| h.clone())
            .collect();
        for host in hosts {
            self.departed.remove(&host);
            self.limits.remove(&host);
            if let Some(entry) = self.table.remove(&host) {
                self.digest ^= hash(&entry.member);
            }
        }
    }

    fn store(&mut self, now: Instant, member: Member) {
        self.digest ^= hash(&member);
        let host = member.host.clone();
        if member.leaving && !member.instance.is_empty() {
            let instance = Instance::new(&member.instance, member.started_ms);
            self.departed.insert(host.clone(), instance);
        }
        match member.rate_limit {
            Some(rate) => {
                let instance = Instance::new(&member.instance, member.started_ms);
                let limit = NamedLimit { instance, rate };
                self.limits.insert(host.clone(), limit);
            }
            // A daemon that has just started does not know its backend server yet.
            None if member.service.is_empty() => {}
            None => {
                self.limits.remove(&host);
            }
        }
        let before = self.table.insert(
            host.clone(),
            Entry {
                member,
                changed: now,
            },
        );
        if let Some(before) = before {
            self.digest ^= hash(&before.member);
        }
        self.broadcasts.enqueue(&host, self.table.len());
    }
}

fn hash(member: &Member) -> u64 {
    let (incarnation, revision, state) = member.recency();
    let text = format!(
        "{}\0{incarnation}\0{revision}\0{}",
        member.host,
        state.number()
    );
    xxh3_64(text.as_bytes())
}
