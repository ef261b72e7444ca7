//! A call's claim to a retry, and what is known of the service that it calls.

use indigospur_protocol::{Class, Rank, RetryOrder};

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

/// Position of a request of this rank once it has made `calls` of the calls that its position counts. The
/// lower half of a position is the product of the rank and the number of calls.
pub fn order_after_calls(order: RetryOrder, rank: Rank, calls: u32) -> RetryOrder {
    const PRODUCT: RetryOrder = u32::MAX as RetryOrder;
    let product = order & PRODUCT;
    let made = u64::from(rank) * u64::from(calls);
    let last = u64::from(rank).clamp(1, product.max(1));
    (order & !PRODUCT) | product.saturating_sub(made).max(last)
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
