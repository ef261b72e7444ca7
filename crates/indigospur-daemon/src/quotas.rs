//! Quotas of workspaces at this daemon: admission of requests, and the buckets of the workspaces whose
//! home it is.

use crate::daemon::{Daemon, lock};
use indigospur_members::Members;
use indigospur_protocol::{HostId, Incarnation, Kind, Refusal, State};
use indigospur_quota::{Hosts, QuotaGate, QuotaGrant, QuotaHome, QuotaReport, SlotSet};
use indigospur_rules::Workspace;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Workspaces that have metrics of their own.
const MAX_NAMED_WORKSPACES: usize = 20;
/// Label of the metrics of the other workspaces. No workspace of the users' platform has it as its name.
const OTHER_WORKSPACES: &str = "(others)";

/// The hosts, computed from a member list.
#[derive(Debug, Default)]
struct KnownHosts {
    /// Digest of the member list; `None` before the first computation.
    digest: Option<u64>,
    hosts: Arc<Hosts>,
}

/// State of quotas. Of its locks, none is held while another is taken.
#[derive(Debug)]
pub(crate) struct Quotas {
    pub(crate) gate: Mutex<QuotaGate>,
    home: Mutex<QuotaHome>,
    hosts: Mutex<KnownHosts>,
    /// Workspaces that were refused first, at most [`MAX_NAMED_WORKSPACES`].
    named: Mutex<BTreeSet<Arc<str>>>,
}

impl Quotas {
    pub(crate) fn new(now: Instant, host: HostId, incarnation: Incarnation) -> Quotas {
        Quotas {
            gate: Mutex::new(QuotaGate::new(now, host, incarnation)),
            home: Mutex::default(),
            hosts: Mutex::default(),
            named: Mutex::default(),
        }
    }

    /// The hosts of a member list; those that are down are known and can't be a home.
    pub(crate) fn hosts(&self, members: &Members) -> Arc<Hosts> {
        let mut known = lock(&self.hosts);
        let digest = Some(members.digest());
        if known.digest != digest {
            let live = members.all().filter(|member| member.state != State::Down);
            let live = live.map(|member| member.host.clone()).collect();
            *known = KnownHosts {
                digest,
                hosts: Arc::new(Hosts::new(live, members.len())),
            };
        }
        known.hosts.clone()
    }

    /// Label of a workspace in metrics: its name for those that were refused first, as only they need a
    /// search for the cause.
    fn label(&self, name: &Arc<str>, is_refused: bool) -> Arc<str> {
        let mut named = lock(&self.named);
        if is_refused && named.len() < MAX_NAMED_WORKSPACES && !named.contains(name) {
            named.insert(name.clone());
        }
        match named.contains(name) {
            true => name.clone(),
            false => OTHER_WORKSPACES.into(),
        }
    }
}

/// Takes a request from the quota of its workspace.
///
/// # Errors
/// The workspace is over its quota; the request has not run.
pub(crate) fn admit(daemon: &Daemon, request: &str, workspace: &Workspace) -> Result<(), Refusal> {
    let Some(quota) = workspace.quota else {
        return Ok(());
    };
    let admitted = lock(&daemon.quotas.gate).admit(Instant::now(), workspace);
    let label = daemon.quotas.label(&workspace.name, admitted.is_err());
    daemon.metrics.count_quota(&label, admitted.is_ok());
    admitted.map_err(|refusal| {
        log::info!(
            request,
            workspace = &*workspace.name,
            rate = quota.rate,
            burst = quota.burst,
            share:debug = refusal.share,
            level:debug = refusal.level,
            age_ms:debug = refusal.age.map(|age| age.as_millis() as u64);
            "request refused on arrival; its workspace is over its quota"
        );
        let detail = format!("workspace {} is over its quota", workspace.name);
        Refusal::new(Kind::OverQuota, detail).with_retry_after(refusal.retry_after)
    })
}

/// Counts a report of this or another daemon at this home. Without a rule set, and so without the quotas,
/// the home decides nothing.
pub(crate) fn answer_report(daemon: &Daemon, report: QuotaReport) -> QuotaGrant {
    let hosts = daemon.quotas.hosts(&lock(&daemon.fleet).members);
    match daemon.rules() {
        Some(rules) => {
            let mut home = lock(&daemon.quotas.home);
            home.report(Instant::now(), report, &rules.workspaces, &hosts)
        }
        None => QuotaGrant {
            incarnation: report.incarnation,
            sequence: report.sequence,
            slots: SlotSet::default(),
            limits: Vec::new(),
        },
    }
}
