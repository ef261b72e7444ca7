//! The members of the fleet as one daemon knows them.

use crate::rumours::Rumours;
use crate::starts::Start;
use indigospur_protocol::{HostId, Member, MemberId, State};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest time from the first failure to reach a host until it counts as down.
const SUSPICION: Duration = Duration::from_secs(3);
/// Failures in a row to reach a host until it counts as down.
const MISSES_UNTIL_DOWN: u32 = 4;
/// Time for which a host that is down is remembered.
const MEMORY_OF_DOWN: Duration = Duration::from_secs(7_200);
/// One gossip round in this many goes to a host that is down, so that a healed cut is noticed.
const DOWN_ROUNDS: u32 = 8;

/// A member and since when it is what it is.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed: Instant,
}

/// A host that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    /// Failures in a row; at least one.
    misses: u32,
}

/// The members of the fleet.
#[derive(Debug)]
pub struct Members {
    me: HostId,
    table: BTreeMap<HostId, Entry>,
    /// Hosts that could not be reached.
    silent: HashMap<HostId, Silence>,
    rumours: Rumours,
    /// Exclusive or of the hashes of all entries.
    digest: u64,
    /// Start of the backend server that left last, by host; outlives the daemon there.
    departed: HashMap<HostId, Start>,
}

impl Members {
    /// The fleet of which only `me` is known.
    pub fn new(now: Instant, me: Member) -> Members {
        let host = me.host.clone();
        let mut members = Members {
            me: host,
            table: BTreeMap::new(),
            silent: HashMap::new(),
            rumours: Rumours::default(),
            digest: 0,
            departed: HashMap::new(),
        };
        members.store(now, me);
        members
    }

    /// The member that this daemon is.
    pub fn me(&self) -> &Member {
        &self.table[&self.me].member
    }

    /// This start of this daemon.
    pub fn my_id(&self) -> MemberId {
        self.me().id()
    }

    /// A member.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.table.get(host).map(|entry| &entry.member)
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.table.values().map(|entry| &entry.member)
    }

    /// Members.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.table.len() <= 1
    }

    /// The same for two daemons that know the same of all members.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Start of the backend server that left last on a host.
    pub fn departed(&self, host: &str) -> Option<&Start> {
        self.departed.get(host)
    }

    /// Changes what this daemon says of itself; false if nothing changed.
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

    /// Takes in what others say; returns the members that changed.
    pub fn merge(&mut self, now: Instant, heard: Vec<Member>) -> Vec<Member> {
        heard
            .into_iter()
            .filter_map(|member| self.merge_one(now, member))
            .collect()
    }

    /// Takes in a whole member list. What it brings is not told on: others get whole lists too.
    pub fn merge_whole(&mut self, now: Instant, heard: Vec<Member>) -> Vec<Member> {
        let news = self.rumours.clone();
        let changed = self.merge(now, heard);
        let refuted = changed.iter().any(|member| member.host == self.me);
        self.rumours = news;
        if refuted {
            self.rumours.start(&self.me, self.table.len());
        }
        changed
    }

    fn merge_one(&mut self, now: Instant, heard: Member) -> Option<Member> {
        if heard.host == self.me {
            return self.refute(now, &heard);
        }
        let known = self.table.get(&heard.host);
        if known.is_some_and(|entry| entry.member.recency() >= heard.recency()) {
            return None;
        }
        self.store(now, heard.clone());
        Some(heard)
    }

    /// Contradicts what others wrongly say of this daemon: that it is down, or that an earlier start
    /// is the newest. The time of day numbers the starts and may go back between two of them.
    fn refute(&mut self, now: Instant, heard: &Member) -> Option<Member> {
        if heard.recency() <= self.me().recency() {
            return None;
        }
        let mut me = self.me().clone();
        if heard.incarnation > me.incarnation {
            me.incarnation = heard.incarnation.saturating_add(1);
        }
        me.revision = heard.revision.saturating_add(1);
        self.store(now, me.clone());
        Some(me)
    }

    /// Takes the members to tell of in one message.
    pub(crate) fn take_news(&mut self, most: usize) -> Vec<Member> {
        let hosts = self.rumours.take(most);
        hosts
            .iter()
            .filter_map(|host| self.get(host).cloned())
            .collect()
    }

    /// Changes still to be told.
    pub(crate) fn untold(&self) -> usize {
        self.rumours.len()
    }

    /// The member to gossip with next. A host that could not be reached is asked again in most
    /// rounds, so that one lost exchange does not bring it down.
    pub fn choose_peer(&self, rng: &mut impl Rng) -> Option<Member> {
        let suspect = self.silent.keys().min().and_then(|host| self.get(host));
        if let Some(suspect) = suspect.filter(|_| rng.random_ratio(4, 5)) {
            return Some(suspect.clone());
        }
        let down_round = rng.random_ratio(1, DOWN_ROUNDS);
        let others = || self.all().filter(|member| member.host != self.me);
        let mut wanted: Vec<&Member> = others()
            .filter(|member| (member.state == State::Down) == down_round)
            .collect();
        if wanted.is_empty() {
            wanted = others().collect();
        }
        let last = wanted.len().checked_sub(1)?;
        Some(wanted[rng.random_range(0..=last)].clone())
    }

    /// The host answered.
    pub fn reached(&mut self, host: &str) {
        self.silent.remove(host);
    }

    /// The host could not be reached.
    pub fn missed(&mut self, now: Instant, host: &HostId) {
        let silence = self.silent.entry(host.clone()).or_insert(Silence {
            since: now,
            misses: 0,
        });
        silence.misses += 1;
    }

    /// Declares hosts down that stayed silent, and forgets hosts long down; returns the members
    /// that changed.
    pub fn tick(&mut self, now: Instant) -> Vec<Member> {
        let long = |silence: &Silence| {
            let age = now.saturating_duration_since(silence.since);
            age >= SUSPICION && silence.misses >= MISSES_UNTIL_DOWN
        };
        let silent: Vec<HostId> = self
            .silent
            .iter()
            .filter(|(_, silence)| long(silence))
            .map(|(h, _)| h.clone())
            .collect();
        let changed = silent
            .iter()
            .filter_map(|host| self.declare_down(now, host))
            .collect();
        self.forget(now);
        changed
    }

    fn declare_down(&mut self, now: Instant, host: &HostId) -> Option<Member> {
        self.silent.remove(host);
        let mut member = self.get(host)?.clone();
        if member.state == State::Down {
            return None;
        }
        member.state = State::Down;
        self.store(now, member.clone());
        Some(member)
    }

    fn forget(&mut self, now: Instant) {
        let old = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.changed);
            entry.member.state == State::Down && age > MEMORY_OF_DOWN
        };
        let hosts: Vec<HostId> = self
            .table
            .iter()
            .filter(|(_, entry)| old(entry))
            .map(|(h, _)| h.clone())
            .collect();
        for host in hosts {
            self.departed.remove(&host);
            if let Some(entry) = self.table.remove(&host) {
                self.digest ^= hash(&entry.member);
            }
        }
    }

    fn store(&mut self, now: Instant, member: Member) {
        self.digest ^= hash(&member);
        let host = member.host.clone();
        if member.leaving && !member.instance.is_empty() {
            let start = Start::new(&member.instance, member.started_ms);
            self.departed.insert(host.clone(), start);
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
        self.rumours.start(&host, self.table.len());
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
