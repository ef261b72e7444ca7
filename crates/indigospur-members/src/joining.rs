//! Joining the fleet by way of registered daemons.

use crate::members::Members;
use indigospur_protocol::State;
use rand::Rng;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;
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
/// among its contacts.
#[derive(Debug)]
pub struct Joining {
    /// Contacts that have not been asked yet.
    remaining: Vec<Contact>,
}

impl Joining {
    /// Contacts that are asked at a time.
    pub const BATCH: usize = 32;
    /// Time after which the next ones are asked, if some of them have neither answered nor failed.
    pub const BATCH_TIMEOUT: Duration = Duration::from_millis(400);

    /// Creates the list of contacts to ask, in random order.
    pub fn new(mut contacts: Vec<Contact>, rng: &mut impl Rng) -> Joining {
        contacts.sort_by(|one, other| one.address.cmp(&other.address));
        contacts.dedup_by(|one, other| one.address == other.address);
        contacts.shuffle(rng);
        Joining {
            remaining: contacts,
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
            if !is_known && !is_asked_by_others(&contact, members) {
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
