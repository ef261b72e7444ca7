//! The retry credit of a request.

/// Number of retries that a part of a call tree may still make. The sum over all parts never
/// exceeds the credit granted at the root, so the number of retries is bounded at any depth of the
/// tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Credit(u32);

impl Credit {
    /// Creates a credit of `retries`, as at the root of a call tree.
    pub fn new(retries: u32) -> Credit {
        Credit(retries)
    }

    /// Number of retries left.
    pub fn left(self) -> u32 {
        self.0
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.0.checked_sub(1) else {
            return false;
        };
        self.0 = left;
        true
    }

    /// Lends a child call its share: three quarters, rounded up. A retry close to the failure
    /// repeats the least work, and the child returns what it does not use.
    pub fn lend(&mut self) -> Credit {
        let share = (self.0 * 3).div_ceil(4);
        self.0 -= share;
        Credit(share)
    }

    /// Takes back the `left` retries that a child call did not use; at most what was `lent` to it.
    pub fn reclaim(&mut self, lent: Credit, left: u32) {
        self.0 += left.min(lent.0);
    }
}
