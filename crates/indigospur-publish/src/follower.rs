//! Follows the control stream and holds the active rule set, member lists and seeds.

use crate::chain::{Chain, Link, OfferOutcome};
use crate::record::{Body, Record};
use indigospur_protocol::{EpochRecord, ServiceName, Version};
use indigospur_rules::{RuleSet, parse};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Daemons with a gap of their own that are asked until a gap counts as closed: after a start of the
/// whole fleet no daemon has the records that expired before.
const MAX_GAP_FETCHES: u32 = 3;
/// Maximum number of seeds kept; the oldest are dropped.
const MAX_SEEDS: usize = 16;

/// A record as fetched from the log or from another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchedRecord {
    /// Offset in the log.
    pub offset: u64,
    /// Time of the append, by the reader's clock.
    pub appended_at: Instant,
    /// Encoded record, not validated yet.
    pub body: Arc<[u8]>,
}

impl FetchedRecord {
    /// Creates a record that was appended `age` before `now`.
    pub fn new(now: Instant, offset: u64, age: Duration, body: Vec<u8>) -> FetchedRecord {
        let appended_at = now.checked_sub(age).unwrap_or(now);
        FetchedRecord {
            offset,
            appended_at,
            body: body.into(),
        }
    }
}

/// The active rule set.
#[derive(Clone, Debug)]
pub struct ActiveRules {
    /// Version: the record's offset in the log. It never decreases.
    pub version: Version,
    /// The parsed rules.
    pub rules: Arc<RuleSet>,
    /// The rule set as published, in TOML.
    pub text: Arc<str>,
}

/// Change that an accepted record causes.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new rule set is active.
    Rules(ActiveRules),
    /// A service has a new epoch, with its member list.
    Epoch(EpochRecord),
    /// A daemon can be contacted at this address to join the gossip.
    Seed(Arc<str>),
}

/// Source of a record.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The log. `truncated`: records between the last read and this one have expired unread.
    Log { truncated: bool },
    /// Another daemon, which has accepted the record.
    Daemon,
}

/// Reader of the control stream, with the state that its records define.
#[derive(Debug, Default)]
pub struct Follower {
    rules_chain: Chain,
    epoch_chains: HashMap<ServiceName, Chain>,
    active_rules: Option<ActiveRules>,
    rules_record: Option<FetchedRecord>,
    /// Records of accepted member lists in the order of acceptance, until they are pruned.
    epoch_records: Vec<(ServiceName, FetchedRecord)>,
    /// Latest seeds with the time of their append, the newest last.
    seeds: VecDeque<(Instant, Arc<str>)>,
    /// Offset of the next record to read.
    next: u64,
    /// Lowest offset that the log retained at the last read.
    first_retained: u64,
    /// Whether records expired unread, and records of other daemons have not made up for them yet.
    gap: bool,
    /// Number of daemons whose records were adopted since the gap opened.
    gap_fetches: u32,
    skipped: u64,
}

impl Follower {
    /// Offset of the next record to read from the log.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Offset after the highest accepted record; zero if there is none.
    pub fn accepted(&self) -> u64 {
        let epochs = self.epoch_chains.values().filter_map(Chain::head);
        epochs
            .chain(self.rules_chain.head())
            .max()
            .map_or(0, |offset| offset + 1)
    }

    /// Offset from which to fetch records from a peer whose [`Follower::accepted`] is
    /// `peer_accepted`; `None` if the peer has none that are missing here. After records expired
    /// unread it is zero, since later accepted records do not make up for them.
    pub fn fetch_offset(&self, peer_accepted: u64) -> Option<u64> {
        let from = if self.gap { 0 } else { self.accepted() };
        (peer_accepted > from).then_some(from)
    }

    /// The active rule set; `None` until one is accepted.
    pub fn active_rules(&self) -> Option<&ActiveRules> {
        self.active_rules.as_ref()
    }

    /// Chain of the rule sets.
    pub fn rules_chain(&self) -> Chain {
        self.rules_chain
    }

    /// Chain of a service's member lists; empty if the service is unknown.
    pub fn epoch_chain(&self, service: &str) -> Chain {
        self.epoch_chains.get(service).copied().unwrap_or_default()
    }

    /// Addresses of daemons that can be contacted to join the gossip, the newest last.
    pub fn seeds(&self) -> impl Iterator<Item = &Arc<str>> {
        self.seeds.iter().map(|(_, address)| address)
    }

    /// Time at which the newest seed was appended.
    pub fn newest_seed(&self) -> Option<Instant> {
        self.seeds.back().map(|(appended, _)| *appended)
    }

    /// Number of records skipped as malformed or invalid.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Applies records read from the log in order, and returns the changes. `first` is the lowest
    /// offset that the log retained.
    pub fn read(&mut self, first: u64, records: &[FetchedRecord]) -> Vec<Change> {
        let truncated = first > self.next;
        self.first_retained = first;
        if truncated {
            (self.gap, self.gap_fetches) = (true, 0);
        }
        let source = Source::Log { truncated };
        let changes = records
            .iter()
            .filter_map(|fetched| self.apply(fetched, source))
            .collect();
        let last = records.last().map_or(first, |fetched| fetched.offset + 1);
        self.next = self.next.max(last);
        changes
    }

    /// Whether records expired unread that other daemons may have.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Applies records that another daemon has accepted, and returns the changes. `sender_gap` says
    /// whether that daemon has a gap itself.
    pub fn adopt(&mut self, records: &[FetchedRecord], sender_gap: bool) -> Vec<Change> {
        let changes = records
            .iter()
            .filter_map(|fetched| self.apply(fetched, Source::Daemon))
            .collect();
        self.gap_fetches += 1;
        let may_be_filled = sender_gap && self.gap_fetches < MAX_GAP_FETCHES;
        self.gap &= may_be_filled || self.active_rules.is_none();
        changes
    }

    /// Records at or after offset `from` to pass on to another daemon: the active rule set and the
    /// member lists that are not pruned.
    pub fn records(&self, from: u64) -> Vec<FetchedRecord> {
        let kept = self
            .epoch_records
            .iter()
            .map(|(_, kept)| kept)
            .chain(&self.rules_record);
        let mut records: Vec<FetchedRecord> =
            kept.filter(|kept| kept.offset >= from).cloned().collect();
        records.sort_by_key(|fetched| fetched.offset);
        records
    }

    /// Record to append that renews the active rule set; `None` if there is none, or if it is
    /// younger than `renewal_age` and still in the log. Rule sets are renewed before their
    /// retention ends, or once they have expired early.
    ///
    /// A renewal builds on the record that it repeats, so that it can't restore an old rule set.
    pub fn renewal(&self, now: Instant, id: Arc<str>, renewal_age: Duration) -> Option<Record> {
        let kept = self.rules_record.as_ref()?;
        let expired = kept.offset < self.first_retained;
        if !expired && now.saturating_duration_since(kept.appended_at) < renewal_age {
            return None;
        }
        let record = Record::decode(&kept.body).ok()?;
        Some(Record {
            id,
            link: self.rules_chain.next(),
            body: record.body,
        })
    }

    /// Drops the records of superseded member lists that are older than `age`.
    pub fn prune_epochs(&mut self, now: Instant, age: Duration) {
        let heads: HashMap<ServiceName, Option<u64>> = self
            .epoch_chains
            .iter()
            .map(|(service, chain)| (service.clone(), chain.head()))
            .collect();
        self.epoch_records.retain(|(service, kept)| {
            let live = heads.get(service).copied().flatten() == Some(kept.offset);
            live || now.saturating_duration_since(kept.appended_at) < age
        });
    }

    fn apply(&mut self, fetched: &FetchedRecord, source: Source) -> Option<Change> {
        let Ok(record) = Record::decode(&fetched.body) else {
            self.skipped += u64::from(fetched.offset >= self.next);
            return None;
        };
        match record.body {
            Body::Rules { text, .. } => self.apply_rules(fetched, record.link, text, source),
            Body::Epoch(epoch) => self.apply_epoch(fetched, record.link, epoch, source),
            Body::Seed { address } => self.apply_seed(fetched, address),
        }
    }

    fn apply_rules(
        &mut self,
        fetched: &FetchedRecord,
        link: Link,
        text: Arc<str>,
        source: Source,
    ) -> Option<Change> {
        let Ok(rules) = parse("published rule set", &text) else {
            self.skipped += 1;
            return None;
        };
        if offer(&mut self.rules_chain, fetched.offset, link, source) != OfferOutcome::Accepted {
            return None;
        }
        let active_rules = ActiveRules {
            version: fetched.offset,
            rules: Arc::new(rules),
            text,
        };
        self.rules_record = Some(fetched.clone());
        self.active_rules = Some(active_rules.clone());
        Some(Change::Rules(active_rules))
    }

    fn apply_seed(&mut self, fetched: &FetchedRecord, address: Arc<str>) -> Option<Change> {
        self.seeds.retain(|(_, known)| *known != address);
        self.seeds.push_back((fetched.appended_at, address.clone()));
        if self.seeds.len() > MAX_SEEDS {
            self.seeds.pop_front();
        }
        Some(Change::Seed(address))
    }

    fn apply_epoch(
        &mut self,
        fetched: &FetchedRecord,
        link: Link,
        epoch: EpochRecord,
        source: Source,
    ) -> Option<Change> {
        let chain = self.epoch_chains.entry(epoch.service.clone()).or_default();
        if offer(chain, fetched.offset, link, source) != OfferOutcome::Accepted {
            return None;
        }
        self.epoch_records
            .push((epoch.service.clone(), fetched.clone()));
        Some(Change::Epoch(epoch))
    }
}

fn offer(chain: &mut Chain, offset: u64, link: Link, source: Source) -> OfferOutcome {
    match source {
        Source::Log { truncated } => chain.offer(offset, link, truncated),
        Source::Daemon => chain.adopt(offset, link),
    }
}
