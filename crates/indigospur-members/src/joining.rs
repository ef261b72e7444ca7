//! Joining the fleet by way of registered daemons.

use crate::members::Members;
use rand::Rng;
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;

/// A registered daemon; others ask it for the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Host name, unique in the fleet.
    pub host: Arc<str>,
    /// Address for other daemons, an IP address and a port.
    pub address: Arc<str>,
}

/// Contacts that a daemon asks for the member list until it knows another member.
#[derive(Debug)]
pub struct Joining {
    /// Contacts that have not been asked yet.
    remaining: Vec<Contact>,
    /// Whether a batch has been asked.
    started: bool,
}

impl Joining {
    /// Contacts that are asked at a time.
    pub const BATCH: usize = 4;
    /// Time after which the next ones are asked, if some of them have neither answered nor failed.
    pub const BATCH_TIMEOUT: Duration = Duration::from_millis(400);

    /// Selects the contacts that are not members at their registered address, in random order.
    pub fn new(mut contacts: Vec<Contact>, members: &Members, rng: &mut impl Rng) -> Joining {
        contacts.retain(|contact| {
            let member = members.get(&contact.host);
            member.is_none_or(|member| member.address != contact.address)
        });
        contacts.sort_by(|one, other| one.address.cmp(&other.address));
        contacts.dedup_by(|one, other| one.address == other.address);
        contacts.shuffle(rng);
        Joining {
            remaining: contacts,
            started: false,
        }
    }

    /// Takes the contacts to ask next. Returns `None` if all have been asked, or if some have and
    /// another member is known.
    pub fn next_batch(&mut self, members: &Members) -> Option<Vec<Contact>> {
        let has_joined = self.started && !members.is_empty();
        if has_joined || self.remaining.is_empty() {
            return None;
        }
        self.started = true;
        let rest = self.remaining.len().saturating_sub(Self::BATCH);
        Some(self.remaining.split_off(rest))
    }
}
