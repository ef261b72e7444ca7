//! What callers and backend servers have seen.

use std::collections::HashMap;
use std::time::Duration;

/// How a caller uses its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Use {
    /// One request on a connection of its own.
    #[default]
    Fresh,
    /// A request on a connection that had others before.
    Kept,
    /// The caller left before the answer.
    Left,
    /// The caller sent just a part of the request and left.
    Part,
}

impl Use {
    /// Whether the caller waits for the answer.
    pub(crate) fn stays(self) -> bool {
        matches!(self, Use::Fresh | Use::Kept)
    }
}

/// A request and what became of it. Times count from the start of the soak.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Number, unique in the soak.
    pub number: u64,
    /// It must run at most once.
    pub keyed: bool,
    /// It was asked before with the same key, and nobody had told whether it ran.
    pub again: bool,
    /// Host whose daemon was asked.
    pub host: String,
    /// How it was sent.
    pub connection: Use,
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

/// A process that ended though nobody had told it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Host and program.
    pub process: String,
    /// Exit status.
    pub status: String,
    /// Last lines of its log.
    pub log: String,
}

/// A daemon that was told to stop.
#[derive(Clone, Debug)]
pub struct Stopped {
    /// Host.
    pub host: String,
    /// When it was told.
    pub from: Duration,
    /// When its host had a daemon again.
    pub to: Duration,
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
    /// Processes that ended by themselves.
    pub ended: Vec<Ended>,
    /// Daemons that were told to stop.
    pub stopped: Vec<Stopped>,
    /// Spans in which only planned work was done on a site that was calm before.
    pub planned: Vec<(Duration, Duration)>,
    /// What else was found, such as a site that does not calm down.
    pub findings: Vec<String>,
}

impl Observed {
    /// Whether the caller of a request waited for the answer, and only planned work was done
    /// meanwhile.
    pub(crate) fn is_calm(&self, asked: &Asked) -> bool {
        let within =
            |(from, to): &(Duration, Duration)| *from <= asked.sent && asked.answered <= *to;
        asked.connection.stays() && self.planned.iter().any(within)
    }

    /// Runs of each request.
    pub fn runs(&self) -> HashMap<u64, usize> {
        let mut runs = HashMap::new();
        for number in self.journals.values().flatten() {
            *runs.entry(*number).or_insert(0) += 1;
        }
        runs
    }
}
