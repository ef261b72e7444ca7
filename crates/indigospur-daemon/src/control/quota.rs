//! Reports the requests of workspaces with a quota to their homes.

use crate::daemon::{Daemon, lock};
use crate::{peers, quotas};
use indigospur_protocol::HostId;
use indigospur_quota::{QuotaReport, report_interval};
use indigospur_relay::{LinkError, runtime};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a rule set without quotas is looked at again.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a daemon that knows no other looks for some. It would be the home of all workspaces
/// and give the whole quotas.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends reports for as long as the daemon runs. Nothing is sent while no workspace has a quota.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut is_reported = false;
    loop {
        if !has_quotas(&daemon) {
            runtime::sleep(IDLE_INTERVAL).await;
            continue;
        }
        if !knows_fleet(&daemon) {
            if daemon.start_waits.is_fleet_wait_over() && !is_reported {
                is_reported = true;
                log::warn!(
                    "this daemon has not found the other ones; until then it admits a small portion of each quota"
                );
            }
            runtime::sleep(FLEET_CHECK_INTERVAL).await;
            continue;
        }
        let hosts = daemon.quotas.hosts(&lock(&daemon.fleet).members);
        let reports = lock(&daemon.quotas.gate).reports(Instant::now(), &hosts);
        for (home, report) in reports {
            if home == *daemon.host() {
                let grant = quotas::answer_report(&daemon, report);
                lock(&daemon.quotas.gate).apply(Instant::now(), &home, grant);
            } else {
                runtime::spawn(send(daemon.clone(), home, report));
            }
        }
        runtime::sleep(report_interval(&hosts)).await;
    }
}

/// Whether this daemon knows which fleet it acts for: it knows another member, or no registered daemon has
/// answered. Until then hosts admit a small portion of each quota by themselves.
fn knows_fleet(daemon: &Daemon) -> bool {
    if daemon.source.is_none() {
        return daemon.start_waits.is_fleet_wait_over();
    }
    daemon.start_waits.has_asked_contacts() || !lock(&daemon.fleet).members.is_empty()
}

fn has_quotas(daemon: &Daemon) -> bool {
    let Some(rules) = daemon.rules() else {
        return false;
    };
    let mut workspaces = rules.workspaces.iter();
    workspaces.any(|workspace| workspace.quota.is_some())
}

/// Sends a report to a home and puts its answer in force.
async fn send(daemon: Arc<Daemon>, home: HostId, report: QuotaReport) {
    let sequence = report.sequence;
    let error = match daemon.address_of(&home) {
        Some(address) => match peers::report_quota(&daemon, &address, &report).await {
            Ok(grant) => {
                lock(&daemon.quotas.gate).apply(Instant::now(), &home, grant);
                return;
            }
            Err(error) => error,
        },
        None => LinkError::Connect,
    };
    log::info!(host = &*home, error:debug; "a quota report got no answer; the next host in rank takes over");
    lock(&daemon.quotas.gate).fail(Instant::now(), &home, sequence);
}
