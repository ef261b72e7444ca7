//! Which calls are tried again while there are not enough retries for all.

use indigospur_protocol::Class;

/// Factor of the cut-off when a call that it allows finds no retry saved.
const TIGHTEN: f64 = 0.95;
/// Part of the way to no cut-off when a saved retry goes to waste.
const RELAX: f64 = 0.01;
/// Smallest cut-off.
const SMALLEST: f64 = 0.01;

/// Class up to which calls are tried again. A request of several calls needs retries at several of
/// them: spread evenly over all requests they finish hardly any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cutoff(f64);

impl Default for Cutoff {
    fn default() -> Self {
        Cutoff(1.0)
    }
}

impl Cutoff {
    /// Whether calls of the class are tried again; those of class zero always are.
    pub(crate) fn allows(self, class: Class) -> bool {
        let place = f64::from(class) / (1.0 + f64::from(class));
        place <= self.0
    }

    /// A call that was allowed found no retry saved.
    pub(crate) fn tighten(&mut self) {
        self.0 = (self.0 * TIGHTEN).max(SMALLEST);
    }

    /// A saved retry goes to waste.
    pub(crate) fn relax(&mut self) {
        self.0 += (1.0 - self.0) * RELAX;
    }
}
