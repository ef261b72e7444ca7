//! Which transmissions of calls have arrived from other daemons. A daemon whose connection broke or went
//! silent can revoke a transmission that has not arrived, and send the call again: it runs once.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which an arrival is remembered. Senders ask within about a second; later they get no
/// revocation.
const ARRIVAL_RETENTION: Duration = Duration::from_secs(5);
/// Time for which a revocation is remembered. Later, all transmissions of the sender up to that one are
/// refused.
const REVOCATION_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of senders that are remembered. None is ever forgotten, since its transmissions could
/// not be told from new ones; further ones get no revocations.
const MAX_SENDERS: usize = 4_096;

/// Random number that identifies a process of a sender.
pub type SenderId = u64;
/// Number of a transmission among all of one sender, from one; later ones have higher numbers.
pub type TransmissionNumber = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Arrived,
    Revoked,
}

/// Transmissions of one sender.
#[derive(Debug, Default)]
struct Sender {
    states: HashMap<TransmissionNumber, State>,
    /// Arrivals and revocations in the order in which they were recorded; each has a state.
    arrivals: VecDeque<(Instant, TransmissionNumber)>,
    revocations: VecDeque<(Instant, TransmissionNumber)>,
    /// Every transmission that has arrived and has no state is at or below this number.
    forgotten: TransmissionNumber,
    /// Every transmission that was revoked and has no state is at or below this number.
    refused: TransmissionNumber,
}

impl Sender {
    fn evict(&mut self, now: Instant) {
        while let Some(number) = pop_expired(&mut self.arrivals, now, ARRIVAL_RETENTION) {
            self.states.remove(&number);
            self.forgotten = self.forgotten.max(number);
        }
        while let Some(number) = pop_expired(&mut self.revocations, now, REVOCATION_RETENTION) {
            self.states.remove(&number);
            self.refused = self.refused.max(number);
        }
    }
}

fn pop_expired(
    queue: &mut VecDeque<(Instant, TransmissionNumber)>,
    now: Instant,
    retention: Duration,
) -> Option<TransmissionNumber> {
    let (at, number) = *queue.front()?;
    if now.saturating_duration_since(at) <= retention {
        return None;
    }
    queue.pop_front();
    Some(number)
}

/// Transmissions that have arrived at this process or were revoked. Whatever the clocks of the daemons
/// do, a transmission that was revoked is neither accepted before nor after.
#[derive(Debug, Default)]
pub struct Transmissions {
    senders: HashMap<SenderId, Sender>,
}

impl Transmissions {
    /// Registers a sender whose transmissions have the number `first` at least. Has no effect if the
    /// sender is known.
    pub fn register(&mut self, sender: SenderId, first: TransmissionNumber) {
        self.sender(sender, first);
    }

    /// Records the arrival of a transmission. Returns false if it was revoked: the call must not run.
    pub fn arrive(&mut self, now: Instant, sender: SenderId, number: TransmissionNumber) -> bool {
        let Some(sender) = self.sender(sender, number) else {
            return true;
        };
        sender.evict(now);
        if number <= sender.refused || sender.states.get(&number) == Some(&State::Revoked) {
            return false;
        }
        if sender.states.insert(number, State::Arrived).is_none() {
            sender.arrivals.push_back((now, number));
        }
        true
    }

    /// Revokes a transmission. Returns false if it has arrived, or may have.
    pub fn revoke(&mut self, now: Instant, sender: SenderId, number: TransmissionNumber) -> bool {
        // Arrivals from a sender that is not remembered are not recorded.
        let Some(sender) = self.senders.get_mut(&sender) else {
            return false;
        };
        sender.evict(now);
        match sender.states.get(&number) {
            Some(state) => *state == State::Revoked,
            None if number <= sender.forgotten => false,
            None => {
                sender.states.insert(number, State::Revoked);
                sender.revocations.push_back((now, number));
                true
            }
        }
    }

    /// The sender, which is remembered from now on; `None` if there is no room for it. A new one may
    /// have sent any transmission before `first`.
    fn sender(&mut self, id: SenderId, first: TransmissionNumber) -> Option<&mut Sender> {
        let has_room = self.senders.len() < MAX_SENDERS;
        match self.senders.entry(id) {
            Entry::Occupied(known) => Some(known.into_mut()),
            Entry::Vacant(new) if has_room => Some(new.insert(Sender {
                forgotten: first.saturating_sub(1),
                ..Sender::default()
            })),
            Entry::Vacant(_) => None,
        }
    }
}
