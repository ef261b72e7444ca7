//! Refusals by the backend server of this host.

use crate::backend::Backend;
use crate::daemon::Daemon;
use indigospur_protocol::{Context, Ran};
use indigospur_relay::Exchange;

/// A refusal of the backend server, and on which connection it came.
pub(crate) struct BackendRefusal {
    pub(crate) status: u16,
    pub(crate) ran: Ran,
    /// Whether it names the call.
    pub(crate) names_call: bool,
    pub(crate) exchange: Exchange,
}

impl BackendRefusal {
    /// Counts and logs the refusal of a call with `context`.
    pub(crate) fn observe(&self, daemon: &Daemon, backend: &Backend, context: &Context) {
        let is_kept = self.exchange.call > 1;
        daemon
            .metrics
            .count_backend_refusal(self.names_call, is_kept);
        log::info!(
            request = &*context.request_id,
            instance = &*backend.instance,
            status = self.status,
            ran = self.ran.as_str(),
            names_call = self.names_call,
            connection = self.exchange.connection,
            call = self.exchange.call,
            skipped = self.exchange.skipped;
            "backend server refused a call"
        );
    }
}
