//! Whether this daemon has lost contact with all that could give it a newer configuration.

use crate::daemon::{Daemon, lock};
use crate::deadline::{Deadline, Moment};
use std::time::Duration;

/// Time after a contact within which the configuration counts as current. A version must be in force on
/// each host within 2.5 s, so that a host that had contact since can't lack a version that is due.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The last contact with another daemon or with the place that configurations are read from.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastContact {
    /// End of the time within which the configuration counts as current.
    current_until: Option<Deadline>,
}

impl LastContact {
    /// Records a contact.
    pub fn record(&mut self, now: Moment) {
        self.current_until = Some(Deadline::after(now, CONTACT_TIMEOUT));
    }

    /// Whether there was no contact for so long that a newer configuration may be in force elsewhere.
    pub fn is_lost(&self, now: Moment) -> bool {
        self.current_until
            .is_none_or(|until| until.remaining(now).is_zero())
    }
}

impl Daemon {
    /// Whether other daemons are known but there is no contact with them nor with the log or source, so
    /// that a newer configuration may be in force elsewhere.
    pub(crate) fn is_cut_off(&self) -> bool {
        !lock(&self.fleet).members.is_empty() && lock(&self.last_contact).is_lost(Moment::now())
    }
}
