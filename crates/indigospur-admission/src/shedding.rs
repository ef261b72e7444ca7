//! Admission of requests that need a service which refuses a share of its calls.

use crate::needs::CallNeeds;
use crate::pressure::Pressures;
use crate::request::IngressRequest;
use indigospur_protocol::{RetryOrder, ServiceName};
use std::time::Instant;

/// Smallest refused share that counts. Below it retries are few, and chance refusals are as many.
const MIN_REFUSED: f64 = 0.02;
/// Level up to which calls at a service do not queue, so that work which is probably wasted delays
/// nobody.
const IDLE_LEVEL: f64 = 0.8;

/// A refusal because a service refuses calls and the retries do not suffice.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ShedRefusal {
    /// The needed service that refuses the largest share.
    pub(crate) service: ServiceName,
    /// Chance of success without retries, 0 to 1.
    pub(crate) chance: f64,
    /// Position up to which requests get retries.
    pub(crate) cutoff: Option<RetryOrder>,
}

/// Outlook of a request at the services that refuse calls.
#[derive(Debug)]
struct Outlook {
    /// The service that refuses the largest share.
    service: ServiceName,
    refused: f64,
    /// Calls that the request makes to services that refuse calls.
    calls: f64,
    /// Chance that all of them are accepted the first time.
    chance: f64,
    /// The lowest cutoff.
    cutoff: Option<RetryOrder>,
}

/// Decides on a request by what the services that it needs refuse.
///
/// A request is admitted if it gets the retries that it needs. Without them it is admitted as long as
/// its probable failure takes nothing from others: if it may run again and the services that it needs
/// are idle, or if less work is expected to be wasted than finished.
///
/// # Errors
/// A service refuses so many calls that the request would probably waste work.
pub(crate) fn check(
    now: Instant,
    request: IngressRequest<'_>,
    order: RetryOrder,
    needs: &CallNeeds,
    pressures: &Pressures,
) -> Result<(), ShedRefusal> {
    let Some(outlook) = outlook(now, request.rule, needs, pressures) else {
        return Ok(());
    };
    let gets_retries = outlook.cutoff.is_none_or(|cutoff| order <= cutoff);
    let delays_nobody = request.idempotent && are_idle(now, request.rule, needs, pressures);
    if gets_retries || delays_nobody || outlook.finishes_most_work() {
        return Ok(());
    }
    Err(ShedRefusal {
        service: outlook.service,
        chance: outlook.chance,
        cutoff: outlook.cutoff,
    })
}

/// Whether calls queue at none of the services that a rule needs.
fn are_idle(now: Instant, rule: &str, needs: &CallNeeds, pressures: &Pressures) -> bool {
    let is_idle = |service| {
        let level = pressures.level(now, service);
        level.is_none_or(|level| level < IDLE_LEVEL)
    };
    needs.of(rule).all(|(service, _)| is_idle(service))
}

impl Outlook {
    /// Whether at least as much work is expected to be finished as wasted without retries. The work is
    /// that of the request itself, taken as one call, and of the calls that are accepted before the
    /// first one that is refused.
    fn finishes_most_work(&self) -> bool {
        let accepted = self.chance.powf(1.0 / self.calls);
        let finished = (1.0 + self.calls) * self.chance;
        // The sum of (1 + k) x accepted^k x (1 - accepted) over the k calls before a refusal.
        let wasted = (1.0 - self.chance) / (1.0 - accepted) - self.calls * self.chance;
        finished >= wasted
    }
}

/// `None` if no service that the rule is known to need refuses calls.
fn outlook(now: Instant, rule: &str, needs: &CallNeeds, pressures: &Pressures) -> Option<Outlook> {
    let mut found: Option<Outlook> = None;
    for (service, calls) in needs.of(rule) {
        let refused = pressures.refused(now, service);
        if refused < MIN_REFUSED {
            continue;
        }
        let cutoff = pressures.cutoff(now, service);
        let outlook = found.get_or_insert(Outlook {
            service: service.clone(),
            refused,
            calls: 0.0,
            chance: 1.0,
            cutoff: None,
        });
        outlook.calls += calls;
        outlook.chance *= (1.0 - refused).max(0.0).powf(calls);
        if refused > outlook.refused {
            outlook.service = service.clone();
            outlook.refused = refused;
        }
        outlook.cutoff = match (outlook.cutoff, cutoff) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
    found
}
