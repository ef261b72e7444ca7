//! The report of a soak: the faults, the request counts and the breaches.

use crate::checks::Breach;
use crate::observations::RequestRecord;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

/// Number of the most recent requests whose outcomes the report counts, of those whose callers
/// awaited the answer.
const LAST_REQUESTS: usize = 300;

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct Report {
    /// Violated invariants; empty if the soak passed.
    pub breaches: Vec<Breach>,
    /// Faults that were injected and rule sets that were published, in order.
    pub events: Vec<String>,
    /// Number of requests, and of those answered with status 200.
    pub requests: (usize, usize),
    /// Number of requests on reused connections, and of those that were sent and completed while
    /// only planned work was done.
    pub coverage: (usize, usize),
    /// Number of pipelined requests, and of those behind a response that closed the connection.
    pub pipelined: (usize, usize),
    /// Number of rounds played.
    pub rounds: usize,
    /// Outcomes of the most recent requests whose callers awaited the answer, each with its count.
    pub last_outcomes: Vec<(String, usize)>,
    /// Folder with the daemons' logs, if they were kept.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        let (requests, served) = self.requests;
        writeln!(
            f,
            "{} rounds, {requests} requests, {served} served",
            self.rounds
        )?;
        let (reused, planned) = self.coverage;
        writeln!(
            f,
            "{reused} requests on reused connections, {planned} requests while only planned work was done"
        )?;
        let (pipelined, unread) = self.pipelined;
        writeln!(
            f,
            "{pipelined} pipelined requests, {unread} of them behind the close of their connection"
        )?;
        for (outcome, count) in &self.last_outcomes {
            writeln!(f, "of the last {LAST_REQUESTS} requests: {count} {outcome}")?;
        }
        if let Some(logs) = &self.logs {
            writeln!(f, "daemon logs kept in {}", logs.display())?;
        }
        for breach in &self.breaches {
            writeln!(f, "BREACH {breach}")?;
        }
        if self.breaches.is_empty() {
            write!(f, "no breaches found")?;
        }
        Ok(())
    }
}

/// Counts the outcomes of the most recent requests whose callers awaited the answer, by service,
/// status and body of a failure.
pub(crate) fn count_outcomes(requests: &[RequestRecord]) -> Vec<(String, usize)> {
    let mut counts = BTreeMap::new();
    let awaited = requests
        .iter()
        .filter(|record| record.connection.awaits_answer());
    for record in awaited.rev().take(LAST_REQUESTS) {
        let service = if record.keyed { "contracts" } else { "quoting" };
        let detail = if record.status == 200 {
            ""
        } else {
            &record.body
        };
        let outcome = format!("{service} {} {detail}", record.status);
        *counts.entry(outcome).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}
