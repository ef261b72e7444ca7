//! The retry credit of a customer's request.

/// Retries that a part of the call tree may still spend. The sum over all parts never exceeds what
/// was minted at the root, so the number of retries is bounded whatever the depth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Credit(u32);

impl Credit {
    /// A credit of `retries`.
    pub fn new(retries: u32) -> Credit {
        Credit(retries)
    }

    /// Retries left.
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

    /// Takes out the share that a call below gets: three quarters, rounded up, since a retry close
    /// to the failure repeats the least work, and what it leaves comes back.
    pub fn lend(&mut self) -> Credit {
        let share = (self.0 * 3).div_ceil(4);
        self.0 -= share;
        Credit(share)
    }

    /// Takes back what a call below has left; never more than what was `lent` to it.
    pub fn give_back(&mut self, lent: Credit, left: u32) {
        self.0 += left.min(lent.0);
    }
}
