//! What a soak has found, and what led to it.

use crate::checks::Breach;
use crate::observed::Asked;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

/// Outcomes that the report sums up.
const LAST: usize = 300;

/// What a soak has found.
#[derive(Clone, Debug)]
pub struct Report {
    /// What must not happen and did.
    pub breaches: Vec<Breach>,
    /// What was done to the site, in order.
    pub events: Vec<String>,
    /// Requests, and those that were served.
    pub asked: (usize, usize),
    /// Requests on kept connections, and those judged as planned work must leave them.
    pub judged: (usize, usize),
    /// Rounds played.
    pub rounds: usize,
    /// The last outcomes, by what they were, with their number.
    pub last: Vec<(String, usize)>,
    /// Folder with the daemons' logs, if they were kept.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        let (asked, served) = self.asked;
        writeln!(
            f,
            "{} rounds, {asked} requests, {served} served",
            self.rounds
        )?;
        let (kept, calm) = self.judged;
        writeln!(
            f,
            "{kept} on kept connections, {calm} while only planned work was done"
        )?;
        for (what, count) in &self.last {
            writeln!(f, "of the last {LAST}: {count} {what}")?;
        }
        if let Some(logs) = &self.logs {
            writeln!(f, "logs in {}", logs.display())?;
        }
        for breach in &self.breaches {
            writeln!(f, "BREACH {breach}")?;
        }
        if self.breaches.is_empty() {
            write!(f, "nothing found")?;
        }
        Ok(())
    }
}

/// The last outcomes, by status, kind and whether they ran.
pub(crate) fn summarize(asked: &[Asked]) -> Vec<(String, usize)> {
    let mut counts = BTreeMap::new();
    let stayed = asked.iter().filter(|asked| asked.connection.stays());
    for asked in stayed.rev().take(LAST) {
        let service = if asked.keyed { "contracts" } else { "quoting" };
        let detail = if asked.status == 200 { "" } else { &asked.body };
        let what = format!("{service} {} {detail}", asked.status);
        *counts.entry(what).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}
