//! When the bytes in a read buffer arrived.

use std::collections::VecDeque;
use std::time::Instant;

/// Maximum number of reads that are told apart. Only bytes that are read while nothing is parsed need
/// several: a few kilobytes, usually one read.
const MAX_READS: usize = 64;

/// The reads that filled a buffer.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Position in the stream of the first byte of each read, and when it was read, in order.
    reads: VecDeque<(u64, Instant)>,
    /// Number of bytes read so far.
    total: u64,
}

impl Arrivals {
    /// Adds a read of `count` bytes behind `unread` bytes in the buffer.
    pub(crate) fn add(&mut self, now: Instant, unread: usize, count: usize) {
        let first_unread = self.position(unread);
        while self
            .reads
            .get(1)
            .map_or(unread == 0, |next| next.0 <= first_unread)
            && self.reads.pop_front().is_some()
        {}
        if count > 0 && self.reads.len() < MAX_READS {
            self.reads.push_back((self.total, now));
        }
        self.total += count as u64;
    }

    /// Returns the position in the stream of the first of the last `unread` bytes.
    pub(crate) fn position(&self, unread: usize) -> u64 {
        self.total.saturating_sub(unread as u64)
    }

    /// Forgets all reads so far. Bytes of them that are asked for later count as arrived with the
    /// next read.
    pub(crate) fn clear(&mut self) {
        self.reads.clear();
    }

    /// Returns when the first of the last `unread` bytes arrived, if there are any.
    pub(crate) fn first(&self, unread: usize) -> Option<Instant> {
        let position = self.position(unread);
        let later = self.reads.partition_point(|read| read.0 <= position);
        let read = self.reads.get(later.saturating_sub(1));
        read.filter(|_| unread > 0).map(|read| read.1)
    }
}
