//! The reading position in a source that may be restored from an earlier copy.

use indigospur_protocol::Era;

/// Position in a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// History that `offset` belongs to.
    pub era: Era,
    /// Offset within that history.
    pub offset: u64,
}

/// Position from which a reader continues. Answers may arrive late and in any order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    /// Highest era of an answer; `None` before the first one.
    era: Option<Era>,
    /// Where to continue; in the current era. `None` if the newest state has to be read first.
    position: Option<Position>,
}

impl Cursor {
    /// Position to continue from; `None` if the newest state has to be read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Latest era of an answer; zero before the first one.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Records the answer to a read that started at `from`, or of the newest state if that is
    /// `None`; `next` is the position after it. Returns whether the answer is the first one since
    /// the source was restored.
    ///
    /// An answer in a later era than the position that was read from says nothing about the records
    /// before that position, so the newest state has to be read again.
    pub fn advance(&mut self, from: Option<Position>, next: Position) -> bool {
        let is_first = self.era.is_none_or(|era| next.era > era);
        let is_restored = is_first && self.era.is_some();
        if is_first {
            self.era = Some(next.era);
            self.position = None;
        }
        let is_current = self.era == Some(next.era);
        let is_continuous = from.is_none_or(|from| from.era == next.era);
        if is_current && is_continuous {
            self.position = self.position.max(Some(next));
        }
        is_restored
    }

    /// Records that the source no longer holds `from`: the newest state has to be read again.
    pub fn expire(&mut self, from: Option<Position>) {
        if self.position == from {
            self.position = None;
        }
    }
}
