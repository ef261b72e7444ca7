//! A call's claim to a retry, and what is known of the service that it calls.

use indigospur_protocol::{Class, RetryOrder};

/// A call that asks for a retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryClaim {
    /// Priority class; decides where a bucket runs short.
    pub class: Class,
    /// Position among the requests that compete for retries; decides where a window runs short.
    pub order: RetryOrder,
    /// What the daemons that call the service report on it, if known.
    pub fleet: Option<RetryStatus>,
}

/// What calling daemons report on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryStatus {
    /// Share of attempts that the service's backend servers refuse, 0 to 1.
    pub refused: f64,
    /// Position in the retry order up to which requests get retries; `None` if all do.
    pub cutoff: Option<RetryOrder>,
    /// Recent attempts of the reporter, the weight of its report; not used for the fleet's.
    pub attempts: f64,
}
