//! Bounds the memory for message bodies that a process holds at the same time, whoever sends them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each body that are not counted, so that small messages get through when large ones use
/// up the memory. The number of small ones is bounded by the numbers of connections and slots.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Part of the memory, in percent, that bodies of requests may fill. The rest is for the responses to
/// requests that run already.
const REQUEST_PERCENT: usize = 75;

/// The message that a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Request,
    Response,
}

/// The memory for bodies is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Memory for the bodies of all messages that a process reads, keeps or writes.
#[derive(Debug)]
pub struct BodyMemory {
    limit: AtomicUsize,
    /// Bytes in use; above `limit` only after the limit was lowered, or by messages that are ready to
    /// be written.
    used: AtomicUsize,
}

impl Default for BodyMemory {
    /// Memory without a limit.
    fn default() -> Self {
        BodyMemory::new(usize::MAX)
    }
}

impl BodyMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> BodyMemory {
        BodyMemory {
            limit: AtomicUsize::new(limit),
            used: AtomicUsize::new(0),
        }
    }

    /// Changes the limit. Bodies that are held already stay.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn limit_for(&self, kind: MessageKind) -> usize {
        let limit = self.limit.load(Ordering::Relaxed);
        match kind {
            MessageKind::Request => limit / 100 * REQUEST_PERCENT,
            MessageKind::Response => limit,
        }
    }

    /// Returns true if the body of a request, of `bytes`, could be held now.
    pub(crate) fn has_room(&self, bytes: u64) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES as u64);
        let limit = self.limit_for(MessageKind::Request);
        counted <= limit.saturating_sub(self.used()) as u64
    }

    /// Returns true if `bytes` more could be held for requests that a caller sends behind others.
    pub(crate) fn has_free(&self, bytes: usize) -> bool {
        bytes
            <= self
                .limit_for(MessageKind::Request)
                .saturating_sub(self.used())
    }

    /// Starts holding a body, of no bytes yet.
    pub(crate) fn hold(self: &Arc<Self>, kind: MessageKind) -> HeldBody {
        self.hold_beyond(kind, UNCOUNTED_BYTES)
    }

    /// As [`BodyMemory::hold`], but counts all bytes: for messages whose number is not bounded by
    /// connections and slots.
    pub(crate) fn hold_whole(self: &Arc<Self>, kind: MessageKind) -> HeldBody {
        self.hold_beyond(kind, 0)
    }

    fn hold_beyond(self: &Arc<Self>, kind: MessageKind, uncounted: usize) -> HeldBody {
        HeldBody {
            memory: self.clone(),
            kind,
            uncounted,
            counted: 0,
        }
    }
}

/// Memory that one body uses, or several that belong to one exchange. Released on drop.
#[derive(Debug)]
pub(crate) struct HeldBody {
    memory: Arc<BodyMemory>,
    /// Kind of the message that grows.
    kind: MessageKind,
    /// Bytes of each body that are not counted.
    uncounted: usize,
    counted: usize,
}

impl HeldBody {
    /// Sets the size of the body to `bytes`, if it has grown.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let counted = bytes.saturating_sub(self.uncounted);
        let Some(added) = counted.checked_sub(self.counted).filter(|added| *added > 0) else {
            return Ok(());
        };
        let used = self.memory.used.fetch_add(added, Ordering::Relaxed) + added;
        if used > self.memory.limit_for(self.kind) {
            self.memory.used.fetch_sub(added, Ordering::Relaxed);
            return Err(OutOfMemory);
        }
        self.counted = counted;
        Ok(())
    }

    /// Adds a body of `bytes` that is held already, whether or not there is room for it.
    pub(crate) fn add_held(&mut self, bytes: usize) {
        let added = bytes.saturating_sub(self.uncounted);
        self.memory.used.fetch_add(added, Ordering::Relaxed);
        self.counted += added;
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
