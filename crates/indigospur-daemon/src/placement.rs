//! Metrics and log lines about where calls are placed.

use crate::daemon::{Daemon, lock};
use indigospur_protocol::RelayMessage;
use indigospur_routing::{Distance, LeavingChange, Placement};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Factor on the expected time from which an answer is logged as late.
const LATE_FACTOR: u32 = 3;
/// Time beyond it that an answer must take to be logged as late, so that short calls are not.
const LATE_TOLERANCE: Duration = Duration::from_millis(50);
/// Most services whose share of calls that leave is exported, so that the number of series is bounded.
const MAX_SERIES: usize = 64;

/// Text of a placement in log lines: the distance, and the figures of the expected time if the
/// placement looked at them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementSummary<'a>(pub(crate) &'a Placement);

impl Display for PlacementSummary<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let PlacementSummary(placement) = self;
        formatter.write_str(placement.distance.name())?;
        let Some(reason) = placement.reason else {
            return Ok(());
        };
        write!(formatter, ", expected {} ms", millis(reason.expected))?;
        if let Some(alternative) = reason.alternative {
            write!(formatter, ", elsewhere {} ms", millis(alternative))?;
        }
        match placement.report_age {
            Some(age) => write!(formatter, ", report {} ms old", millis(age))?,
            None => formatter.write_str(", no report")?,
        }
        write!(formatter, ", {} % leave", percent(reason.share))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
}

/// Counts a placement, and logs whether the calls to its service start or stop leaving.
pub(crate) fn record(daemon: &Daemon, message: &RelayMessage, placement: &Placement) {
    daemon.metrics.count_placement(placement.distance);
    let service = &*message.call.service;
    if let Some(change) = placement.reason.and_then(|reason| reason.change) {
        log_change(daemon, service, change);
    }
    log::debug!(
        request = &*message.context.request_id,
        service = service,
        upstream = &*placement.member.host,
        placement:% = PlacementSummary(placement);
        "upstream chosen"
    );
}

fn log_change(daemon: &Daemon, service: &str, change: LeavingChange) {
    let text = match (change.distance, change.starts) {
        (Distance::Beyond, true) => "calls to a service start to leave the region",
        (Distance::Beyond, false) => "calls to a service no longer leave the region",
        (_, true) => "calls to a service start to leave the data centre",
        (_, false) => "calls to a service no longer leave the data centre",
    };
    log::info!(
        service = service,
        here_ms = millis(change.here),
        there_ms = millis(change.there),
        stay_ms = daemon.settings().stay().map(millis),
        occupied_percent = percent(change.occupancy),
        leaving_percent = percent(change.share);
        "{text}"
    );
}

/// Logs an answer with a server error status, and one that took far longer than expected when its
/// upstream was chosen.
pub(crate) fn log_answer(
    message: &RelayMessage,
    placement: &Placement,
    status: u16,
    took: Duration,
) {
    if status >= 500 {
        log::info!(
            request = &*message.context.request_id,
            service = &*message.call.service,
            upstream = &*placement.member.host,
            instance = &*placement.member.instance,
            placement:% = PlacementSummary(placement),
            status,
            took_ms = millis(took);
            "upstream answered with a server error; the answer is passed to the caller"
        );
    } else if is_late(placement, took) {
        log::info!(
            request = &*message.context.request_id,
            service = &*message.call.service,
            upstream = &*placement.member.host,
            instance = &*placement.member.instance,
            placement:% = PlacementSummary(placement),
            took_ms = millis(took);
            "upstream answered far later than expected"
        );
    }
}

fn is_late(placement: &Placement, took: Duration) -> bool {
    placement.reason.is_some_and(|reason| {
        let expected = reason.expected.saturating_mul(LATE_FACTOR);
        took > expected.saturating_add(LATE_TOLERANCE)
    })
}

/// Updates the gauges of the shares that leave.
pub(crate) fn record_shares(daemon: &Daemon) {
    let router = lock(&daemon.router);
    let mut shares: Vec<_> = router.leaving_shares().collect();
    shares.sort_by(|a, b| a.0.cmp(b.0));
    for (service, share) in shares.into_iter().take(MAX_SERIES) {
        daemon.metrics.record_leaving_share(service, share);
    }
}
