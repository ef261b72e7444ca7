//! What is known of a caller's request when it asks for admission.

use indigospur_protocol::{Class, Rank};
use std::sync::Arc;
use std::time::Duration;

/// A caller's request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct IngressRequest<'a> {
    /// Name of the rule that the request matched.
    pub rule: &'a Arc<str>,
    /// Priority class; zero is the highest priority and is shed last.
    pub class: Class,
    /// Class by the rule alone. It orders the requests of one class, which may be that of a workspace.
    pub rule_class: Class,
    /// Shed rank within the class.
    pub rank: Rank,
    /// Time until the caller stops waiting, over all of its attempts.
    pub remaining: Duration,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
}
