//! Chooses the classes that may retry while the retries of a link do not suffice for all.

use indigospur_protocol::Class;

/// Factor applied to the cut-off when an allowed call finds the bucket empty.
const TIGHTEN_FACTOR: f64 = 0.95;
/// Share of the distance to 1 by which the cut-off rises when the bucket overflows.
const RELAX_SHARE: f64 = 0.01;
/// Smallest cut-off.
const MIN_CUTOFF: f64 = 0.01;

/// The lowest-priority class that may retry, as a position from 0 (class zero) to 1 (all classes).
///
/// A request of several calls may need a retry at each of them, so scarce retries that are spread
/// evenly over all requests complete hardly any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassCutoff(f64);

impl Default for ClassCutoff {
    fn default() -> Self {
        ClassCutoff(1.0)
    }
}

impl ClassCutoff {
    /// Whether calls of the class may retry; class zero always may.
    pub(crate) fn allows(self, class: Class) -> bool {
        let position = f64::from(class) / (1.0 + f64::from(class));
        position <= self.0
    }

    /// Lowers the cut-off after an allowed call found the bucket empty.
    pub(crate) fn tighten(&mut self) {
        self.0 = (self.0 * TIGHTEN_FACTOR).max(MIN_CUTOFF);
    }

    /// Raises the cut-off after the bucket overflowed.
    pub(crate) fn relax(&mut self) {
        self.0 += (1.0 - self.0) * RELAX_SHARE;
    }
}
