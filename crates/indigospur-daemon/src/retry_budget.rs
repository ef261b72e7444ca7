//! The retry bucket or window of each service that this daemon calls.

use crate::daemon::{Daemon, lock};
use indigospur_budget::{RatioOptions, RetryRatio, RetryStatus, WindowOptions};
use indigospur_protocol::{Kind, Outcome, Ran, Refusal, RelayMessage, ServiceName};
use std::time::Instant;

/// Services with gauges of their own, in the order of their names.
const MAX_METRIC_SERVICES: usize = 64;

impl Daemon {
    /// Applies `update` to the token bucket or the window that bounds the retries of calls to a
    /// service. Its capacity or slack is this daemon's share of the fleet's.
    pub(crate) fn with_retry_ratio<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        update: impl FnOnce(&mut RetryRatio) -> T,
    ) -> T {
        let members = lock(&self.fleet).members.len().max(1) as f64;
        let settings = self.settings();
        let fleet_share = f64::from(settings.fleet_retry_capacity) / members;
        let options = RatioOptions {
            percent: settings.retry_percent,
            capacity: fleet_share.min(f64::from(settings.retry_capacity)).max(1.0),
            window: settings.retry_window.map(|length| WindowOptions {
                length,
                slack: fleet_share,
            }),
        };
        let mut retry_ratios = lock(&self.retry_ratios);
        let ratio = retry_ratios
            .entry(service.clone())
            .or_insert_with(|| RetryRatio::new(now, options));
        ratio.set_options(now, options);
        update(ratio)
    }
}

/// Whether a backend server refused the call itself, and did not run it.
pub(crate) fn is_shed(refusal: &Refusal) -> bool {
    refusal.kind == Kind::BackendShed && refusal.ran == Ran::No
}

/// Counts a call in the retry ratio of its service: as a retry if it is nested in a call that is
/// itself a retry, else as a first attempt.
pub(crate) fn count_in_ratio(daemon: &Daemon, message: &RelayMessage) {
    let now = Instant::now();
    daemon.with_retry_ratio(&message.call.service, now, |ratio| {
        if message.context.repeated {
            ratio.charge(now);
        } else {
            ratio.earn(now, message.context.retry_order);
        }
    });
}

/// Counts an attempt that a backend server accepted or refused itself in the share that the service
/// refuses.
pub(crate) fn record_in_ratio(daemon: &Daemon, service: &ServiceName, outcome: &Outcome) {
    let refused = match outcome {
        Outcome::Answered(_) => false,
        Outcome::Refused(refusal) if is_shed(refusal) => true,
        Outcome::Refused(_) => return,
    };
    let now = Instant::now();
    daemon.with_retry_ratio(service, now, |ratio| ratio.record(now, refused));
}

/// What the daemons that call a service report on it; `None` where retries are not bounded by a window.
pub(crate) fn fleet_status(daemon: &Daemon, now: Instant, service: &str) -> Option<RetryStatus> {
    daemon.settings().retry_window?;
    let pressures = lock(&daemon.pressures);
    Some(RetryStatus {
        refused: pressures.refused(now, service),
        cutoff: pressures.cutoff(now, service),
        attempts: 0.0,
    })
}

/// Updates the gauges of the refused share and the cutoff of the services that are called.
pub(crate) fn record_shedding(daemon: &Daemon) {
    if daemon.settings().retry_window.is_none() {
        return;
    }
    let now = Instant::now();
    let mut services: Vec<ServiceName> = lock(&daemon.retry_ratios).keys().cloned().collect();
    services.sort();
    let pressures = lock(&daemon.pressures);
    for service in services.iter().take(MAX_METRIC_SERVICES) {
        let refused = pressures.refused(now, service);
        let cutoff = pressures.cutoff_place(now, service);
        daemon.metrics.record_shedding(service, refused, cutoff);
    }
}
