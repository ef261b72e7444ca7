//! The open connections of a listener, and which of them gives way to a further one when there are
//! as many as allowed.
//!
//! Answers the load of a caller that opens connections without end and leaves its requests half sent:
//! the address with most connections loses its oldest such request, and, if another address has
//! clearly fewer, an idle connection.

use async_std::channel::{Receiver, Sender, bounded};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Identifies an open connection.
pub(crate) type ConnectionId = u64;

/// Time for which a request may arrive before its connection gives way to a further one from the same
/// address.
const MIN_RECEIVING_TIME: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a request.
    Idle,
    /// A request has begun to arrive.
    Receiving,
    /// A request was read; it is handled, or its response written.
    Answering,
    /// It is being closed, to make room.
    Closing,
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    phase: Phase,
    /// Start of the phase.
    since: Instant,
    /// Tells the connection to close.
    close: Sender<()>,
}

/// All open connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    last_id: ConnectionId,
    entries: HashMap<ConnectionId, Entry>,
    /// Number of entries in the phase `Closing`.
    closing: usize,
}

impl ConnectionTable {
    /// Adds a connection. It is to close, unless it is answering, when the channel yields a message.
    pub(crate) fn open(&mut self, now: Instant, address: IpAddr) -> (ConnectionId, Receiver<()>) {
        self.last_id += 1;
        let (close, closed) = bounded(1);
        let entry = Entry {
            address,
            phase: Phase::Idle,
            since: now,
            close,
        };
        self.entries.insert(self.last_id, entry);
        (self.last_id, closed)
    }

    /// Starts a phase of a connection. One that is being closed stays so.
    pub(crate) fn start_phase(&mut self, now: Instant, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.phase != Phase::Closing
        {
            entry.phase = phase;
            entry.since = now;
        }
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id)
            && entry.phase == Phase::Closing
        {
            self.closing -= 1;
        }
    }

    /// Returns the number of connections, without those that are being closed.
    pub(crate) fn len(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Has a connection close to make room for a further one, which is in the table already. Returns
    /// false if none has to give way.
    pub(crate) fn make_room(&mut self, now: Instant, newcomer: ConnectionId) -> bool {
        let Some(id) = self.choose(now, newcomer) else {
            return false;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        log::info!(address:% = entry.address, phase:debug = entry.phase; "too many connections; closing one of the address that has most");
        entry.phase = Phase::Closing;
        self.closing += 1;
        // The channel has room for the one message that is ever sent.
        let _ = entry.close.try_send(());
        true
    }

    fn choose(&self, now: Instant, newcomer: ConnectionId) -> Option<ConnectionId> {
        let mut counts: HashMap<IpAddr, usize> = HashMap::new();
        for entry in self
            .entries
            .values()
            .filter(|entry| entry.phase != Phase::Closing)
        {
            *counts.entry(entry.address).or_default() += 1;
        }
        let own = self.entries.get(&newcomer)?.address;
        let (busiest, most) = counts.iter().max_by_key(|(_, count)| **count)?;
        let has_fewer = counts.get(&own).is_none_or(|count| count + 1 < *most);
        let oldest = |phase: Phase, min_age: Duration| {
            let candidates = self.entries.iter().filter(|(id, entry)| {
                entry.address == *busiest
                    && entry.phase == phase
                    && **id != newcomer
                    && now.saturating_duration_since(entry.since) >= min_age
            });
            let oldest = candidates.min_by_key(|(id, entry)| (entry.since, **id));
            oldest.map(|(id, _)| *id)
        };
        if has_fewer {
            let receiving = oldest(Phase::Receiving, Duration::ZERO);
            receiving.or_else(|| oldest(Phase::Idle, Duration::ZERO))
        } else {
            oldest(Phase::Receiving, MIN_RECEIVING_TIME)
        }
    }
}
