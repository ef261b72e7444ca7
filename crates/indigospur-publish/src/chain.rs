//! Chains of log records, each of which names its predecessor.

use serde::{Deserialize, Serialize};

/// Position of a record in its chain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Link {
    /// Log offset of the predecessor; `None` for the first record.
    pub builds_on: Option<u64>,
    /// Number of records before this one in the chain.
    pub height: u64,
}

/// Result of offering a record to a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The record is the new head.
    Accepted,
    /// The record's offset is not above that of the head.
    Stale,
    /// The record does not build on the head: another record with the same predecessor came first.
    Conflict,
}

/// The head of a chain.
///
/// A reader that has seen the whole chain accepts exactly the records that build on its head. A
/// reader that missed expired records accepts the greatest height among those left. Of two records
/// at the same height the winner comes first in the log and so expires first, but by then a renewal
/// of it at a greater height is in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Log offset and link of the head.
    head: Option<(u64, Link)>,
}

impl Chain {
    /// Log offset of the head; `None` for an empty chain.
    pub fn head(&self) -> Option<u64> {
        self.head.map(|(offset, _)| offset)
    }

    /// Link for a new record that builds on the head.
    pub fn next(&self) -> Link {
        match self.head {
            None => Link::default(),
            Some((offset, link)) => Link {
                builds_on: Some(offset),
                height: link.height + 1,
            },
        }
    }

    /// Offers a record read from the log, and makes it the head if it is accepted. `truncated`:
    /// records between the last read and this one have expired unread.
    pub fn offer(&mut self, offset: u64, link: Link, truncated: bool) -> OfferOutcome {
        if self.head.is_some_and(|(head, _)| offset <= head) {
            return OfferOutcome::Stale;
        }
        let builds = link == self.next();
        let higher = self.head.is_none_or(|(_, head)| link.height > head.height);
        let after_gap = truncated && higher;
        if !builds && !after_gap {
            return OfferOutcome::Conflict;
        }
        self.head = Some((offset, link));
        OfferOutcome::Accepted
    }

    /// Makes a record that another daemon has accepted the head, if it is newer. Its link is not
    /// checked.
    pub fn adopt(&mut self, offset: u64, link: Link) -> OfferOutcome {
        match self.head {
            Some((head, _)) if offset <= head => OfferOutcome::Stale,
            _ => {
                self.head = Some((offset, link));
                OfferOutcome::Accepted
            }
        }
    }
}
