//! Joining the fleet by way of registered daemons.

use crate::members::Members;
use indigospur_protocol::State;
use rand::Rng;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Members that ask a contact once they know each other, so that one of them may end before it has asked.
const ASKING_MEMBERS: usize = 2;

/// A registered daemon; others ask it for the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Host name, unique in the fleet.
    pub host: Arc<str>,
    /// Address for other daemons, an IP address and a port.
    pub address: Arc<str>,
}

/// Contacts that a daemon has yet to ask for the member list after its start.
///
/// Daemons that start together may find one another in groups, so knowing some members does not show that
/// the rest of the contacts are gone. A group asks all contacts that it does not know, and shares them
/// among its members. Of two groups, the one without the daemon that registered first finds that daemon
/// among its contacts. Members that go down may not have asked the contacts that fell to them, so these are
/// shared anew among the others.
#[derive(Debug)]
pub struct Joining {
    /// Contacts that have not been asked yet.
    remaining: Vec<Contact>,
    /// Contacts that fell to other members.
    left_to_others: Vec<Contact>,
    /// Members that were down at the last review, as a hash that is independent of their order.
    down: u64,
    started: Instant,
}

impl Joining {
    /// Contacts that are asked at a time.
    pub const BATCH: usize = 32;
    /// Time after which the next ones are asked, if some of them have neither answered nor failed.
    pub const BATCH_TIMEOUT: Duration = Duration::from_millis(400);
    /// Interval at which contacts that fell to members that are down since are looked for.
    pub const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
    /// Time after the start within which the other members have asked the contacts that fell to them.
    const REVIEW_TIME: Duration = Duration::from_secs(60);

    /// Creates the list of contacts to ask from `now` on, in random order.
    pub fn new(now: Instant, mut contacts: Vec<Contact>, rng: &mut impl Rng) -> Joining {
        contacts.sort_by(|one, other| one.address.cmp(&other.address));
        contacts.dedup_by(|one, other| one.address == other.address);
        contacts.shuffle(rng);
        Joining {
            remaining: contacts,
            left_to_others: Vec::new(),
            down: 0,
            started: now,
        }
    }

    /// Whether contacts that fell to other members may still have to be asked.
    pub fn needs_review(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        !self.left_to_others.is_empty() && age < Self::REVIEW_TIME
    }

    /// Adds the contacts that fell to other members and fall to this daemon now, since some of those are
    /// down, to those that [`Joining::next_batch`] returns.
    pub fn review(&mut self, members: &Members) {
        let down = members
            .all()
            .filter(|member| member.state == State::Down)
            .fold(0, |hash, member| hash ^ xxh3_64(member.host.as_bytes()));
        if down != self.down {
            self.down = down;
            self.remaining.append(&mut self.left_to_others);
        }
    }

    /// Takes the contacts to ask next: those that are not members at their registered address and that
    /// fall to this daemon. Returns `None` once there are no more.
    pub fn next_batch(&mut self, members: &Members) -> Option<Vec<Contact>> {
        let mut batch = Vec::new();
        while batch.len() < Self::BATCH {
            let Some(contact) = self.remaining.pop() else {
                break;
            };
            let member = members.get(&contact.host);
            let is_known = member.is_some_and(|member| member.address == contact.address);
            if is_known {
                continue;
            }
            if is_asked_by_others(&contact, members) {
                self.left_to_others.push(contact);
            } else {
                batch.push(contact);
            }
        }
        (!batch.is_empty()).then_some(batch)
    }
}

/// Whether a contact falls to other members, by rendezvous hashing over those that are not down.
fn is_asked_by_others(contact: &Contact, members: &Members) -> bool {
    let seed = xxh3_64(contact.address.as_bytes());
    let weight = |host: &str| xxh3_64_with_seed(host.as_bytes(), seed);
    let own_weight = weight(&members.me().host);
    let mut heavier = members
        .all()
        .filter(|member| member.state != State::Down && weight(&member.host) > own_weight);
    heavier.nth(ASKING_MEMBERS - 1).is_some()
}
