//! What callers and backend servers have seen.

use std::collections::HashMap;
use std::time::Duration;

/// A request and what became of it. Times count from the start of the soak.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Number, unique in the soak.
    pub number: u64,
    /// It must run at most once.
    pub keyed: bool,
    /// Host whose daemon was asked.
    pub host: String,
    /// When it was sent.
    pub sent: Duration,
    /// When it was answered or lost.
    pub answered: Duration,
    /// HTTP status; zero if there was no whole answer.
    pub status: u16,
    /// Kind of the daemon's own refusal; empty for the answer of a backend server.
    pub kind: String,
    /// What the daemon's own refusal says of a run.
    pub ran: String,
    /// Body, or how the connection failed.
    pub body: String,
}

/// Version of the rule set that a daemon had.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Host.
    pub host: String,
    /// Starts of the host's daemon so far.
    pub start: u32,
    /// The version.
    pub version: u64,
}

/// A backend server that has announced that it leaves.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Host.
    pub host: String,
    /// Runs begun there once everyone had time to notice.
    pub noticed: usize,
    /// Runs begun there some time later.
    pub later: usize,
}

/// All that was seen since the start.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Requests that have ended.
    pub asked: Vec<Asked>,
    /// Numbers of the requests that each start of a backend server has run, by host and start.
    pub journals: HashMap<(String, u32), Vec<u64>>,
    /// Versions, in order of time.
    pub seen: Vec<Seen>,
    /// Leaves.
    pub leaves: Vec<Leave>,
    /// Spans in which only planned work was done on a site that was calm before.
    pub planned: Vec<(Duration, Duration)>,
    /// What else was found, such as a site that does not calm down.
    pub findings: Vec<String>,
}

impl Observed {
    /// Runs of each request.
    pub fn runs(&self) -> HashMap<u64, usize> {
        let mut runs = HashMap::new();
        for number in self.journals.values().flatten() {
            *runs.entry(*number).or_insert(0) += 1;
        }
        runs
    }
}
