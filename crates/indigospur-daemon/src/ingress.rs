//! Admission of requests that begin a chain of calls, by the load of the services that they need.

use crate::daemon::{Daemon, lock};
use indigospur_admission::IngressRequest;
use indigospur_protocol::{Kind, Refusal, RequestId};
use std::time::Instant;

/// Admits a request, unless a service that its chain needs lacks capacity for it.
///
/// # Errors
/// The refusal of a request that has not run and makes no calls.
pub(crate) fn admit(
    daemon: &Daemon,
    now: Instant,
    request: &RequestId,
    ingress_request: IngressRequest<'_>,
) -> Result<(), Refusal> {
    let pressures = lock(&daemon.pressures);
    let admitted = lock(&daemon.ingress).admit(now, ingress_request, &pressures);
    drop(pressures);
    admitted.map_err(|refusal| {
        log::info!(
            request = &**request,
            rule = &**ingress_request.rule,
            class = ingress_request.class,
            rule_class = ingress_request.rule_class,
            service = &*refusal.service,
            level = refusal.level,
            age_ms = refusal.age.as_millis() as u64,
            share = refusal.share,
            order = refusal.order,
            cutoff:? = refusal.cutoff,
            chance:? = refusal.chance;
            "request refused on arrival; a service that it needs is overloaded"
        );
        let detail = format!("{} has no room for it", refusal.service);
        Refusal::new(Kind::OverloadedBelow, detail).with_retry_after(refusal.retry_after)
    })
}
