//! What a daemon has in force.

use crate::chain::{Chain, Link, Offered};
use crate::record::{Body, Record};
use indigospur_protocol::{EpochRecord, ServiceName, Version};
use indigospur_rules::{RuleSet, parse};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seeds that are remembered.
const MOST_SEEDS: usize = 16;

/// A record as fetched from the log or from another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Offset in the log.
    pub offset: u64,
    /// When it was appended, by the reader's clock.
    pub appended: Instant,
    /// Bytes.
    pub body: Arc<[u8]>,
}

impl Fetched {
    /// A record that is `age` old at `now`.
    pub fn new(now: Instant, offset: u64, age: Duration, body: Vec<u8>) -> Fetched {
        let appended = now.checked_sub(age).unwrap_or(now);
        Fetched {
            offset,
            appended,
            body: body.into(),
        }
    }
}

/// The rule set in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Version; only ever grows.
    pub version: Version,
    /// The rules.
    pub rules: Arc<RuleSet>,
    /// The rules as published.
    pub text: Arc<str>,
}

/// What a record changed.
#[derive(Clone, Debug)]
pub enum News {
    /// Another rule set is in force.
    Rules(InForce),
    /// A service has another member list.
    Epoch(EpochRecord),
    /// A daemon can be asked for the fleet at this address.
    Seed(Arc<str>),
}

/// Where a record was fetched from.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The log. `truncated`: records between the last read and this one have expired.
    Log { truncated: bool },
    /// Another daemon, which has accepted it.
    Daemon,
}

/// Follows the control stream.
#[derive(Debug, Default)]
pub struct Follower {
    rules: Chain,
    epochs: HashMap<ServiceName, Chain>,
    in_force: Option<InForce>,
    rules_record: Option<Fetched>,
    /// Accepted member lists in the order of the log, until they are closed.
    epoch_records: Vec<(ServiceName, Fetched)>,
    /// Latest seeds, the newest last, and when they were appended.
    seeds: VecDeque<(Instant, Arc<str>)>,
    /// Offset from which to read on.
    next: u64,
    /// The log forgot a part unread, and nobody who has a rule set has told what that part held.
    gap: bool,
    skipped: u64,
}

impl Follower {
    /// Offset from which to read on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Highest offset of an accepted record, plus one.
    pub fn accepted(&self) -> u64 {
        let epochs = self.epochs.values().filter_map(Chain::head);
        epochs
            .chain(self.rules.head())
            .max()
            .map_or(0, |offset| offset + 1)
    }

    /// Offset from which to ask a daemon that has accepted records up to `told`, if it may have some
    /// that are missing here. After a part of the log was missed that is the start, since records
    /// accepted beyond that part say nothing of it.
    pub fn wanted(&self, told: u64) -> Option<u64> {
        let from = if self.gap { 0 } else { self.accepted() };
        (told > from).then_some(from)
    }

    /// The rule set in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The chain of rule sets.
    pub fn rules_chain(&self) -> Chain {
        self.rules
    }

    /// The chain of a service's member lists.
    pub fn epoch_chain(&self, service: &str) -> Chain {
        self.epochs.get(service).copied().unwrap_or_default()
    }

    /// Addresses of daemons that can be asked for the fleet, the newest last.
    pub fn seeds(&self) -> impl Iterator<Item = &Arc<str>> {
        self.seeds.iter().map(|(_, address)| address)
    }

    /// When the newest seed was appended.
    pub fn newest_seed(&self) -> Option<Instant> {
        self.seeds.back().map(|(appended, _)| *appended)
    }

    /// Records skipped as malformed or invalid.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Takes in records read from the log, the `first` retained offset among them.
    pub fn read(&mut self, first: u64, records: &[Fetched]) -> Vec<News> {
        let truncated = first > self.next;
        self.gap |= truncated;
        let source = Source::Log { truncated };
        let news = records
            .iter()
            .filter_map(|fetched| self.take(fetched, source))
            .collect();
        let last = records.last().map_or(first, |fetched| fetched.offset + 1);
        self.next = self.next.max(last);
        news
    }

    /// Takes in records that another daemon has accepted.
    pub fn adopt(&mut self, records: &[Fetched]) -> Vec<News> {
        let news = records
            .iter()
            .filter_map(|fetched| self.take(fetched, Source::Daemon))
            .collect();
        self.gap &= self.in_force.is_none();
        news
    }

    /// The accepted records from offset `from` on that are still in force.
    pub fn records(&self, from: u64) -> Vec<Fetched> {
        let kept = self
            .epoch_records
            .iter()
            .map(|(_, kept)| kept)
            .chain(&self.rules_record);
        let mut records: Vec<Fetched> = kept.filter(|kept| kept.offset >= from).cloned().collect();
        records.sort_by_key(|fetched| fetched.offset);
        records
    }

    /// The record of the live rule set that must be renewed before its retention ends.
    ///
    /// A renewal builds on the record it repeats, so it can't bring back an old rule set.
    pub fn renewal(&self, now: Instant, id: Arc<str>, due: Duration) -> Option<Record> {
        let kept = self.rules_record.as_ref()?;
        if now.saturating_duration_since(kept.appended) < due {
            return None;
        }
        let record = Record::decode(&kept.body).ok()?;
        Some(Record {
            id,
            link: self.rules.next(),
            body: record.body,
        })
    }

    /// Drops member lists that are replaced and older than `age`.
    pub fn close_epochs(&mut self, now: Instant, age: Duration) {
        let heads: HashMap<ServiceName, Option<u64>> = self
            .epochs
            .iter()
            .map(|(service, chain)| (service.clone(), chain.head()))
            .collect();
        self.epoch_records.retain(|(service, kept)| {
            let live = heads.get(service).copied().flatten() == Some(kept.offset);
            live || now.saturating_duration_since(kept.appended) < age
        });
    }

    fn take(&mut self, fetched: &Fetched, source: Source) -> Option<News> {
        let Ok(record) = Record::decode(&fetched.body) else {
            self.skipped += u64::from(fetched.offset >= self.next);
            return None;
        };
        match record.body {
            Body::Rules { text, .. } => self.take_rules(fetched, record.link, text, source),
            Body::Epoch(epoch) => self.take_epoch(fetched, record.link, epoch, source),
            Body::Seed { address } => self.take_seed(fetched, address),
        }
    }

    fn take_rules(
        &mut self,
        fetched: &Fetched,
        link: Link,
        text: Arc<str>,
        source: Source,
    ) -> Option<News> {
        let Ok(rules) = parse("published rule set", &text) else {
            self.skipped += 1;
            return None;
        };
        if offer(&mut self.rules, fetched.offset, link, source) != Offered::Accepted {
            return None;
        }
        let in_force = InForce {
            version: fetched.offset,
            rules: Arc::new(rules),
            text,
        };
        // Newer than all that was missed.
        self.gap &= matches!(source, Source::Daemon);
        self.rules_record = Some(fetched.clone());
        self.in_force = Some(in_force.clone());
        Some(News::Rules(in_force))
    }

    fn take_seed(&mut self, fetched: &Fetched, address: Arc<str>) -> Option<News> {
        self.seeds.retain(|(_, known)| *known != address);
        self.seeds.push_back((fetched.appended, address.clone()));
        if self.seeds.len() > MOST_SEEDS {
            self.seeds.pop_front();
        }
        Some(News::Seed(address))
    }

    fn take_epoch(
        &mut self,
        fetched: &Fetched,
        link: Link,
        epoch: EpochRecord,
        source: Source,
    ) -> Option<News> {
        let chain = self.epochs.entry(epoch.service.clone()).or_default();
        if offer(chain, fetched.offset, link, source) != Offered::Accepted {
            return None;
        }
        self.epoch_records
            .push((epoch.service.clone(), fetched.clone()));
        Some(News::Epoch(epoch))
    }
}

fn offer(chain: &mut Chain, offset: u64, link: Link, source: Source) -> Offered {
    match source {
        Source::Log { truncated } => chain.offer(offset, link, truncated),
        Source::Daemon => chain.adopt(offset, link),
    }
}
