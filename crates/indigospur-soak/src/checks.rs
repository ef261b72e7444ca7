//! What must hold, whatever fails.

use crate::observed::{Asked, Ended, Observed, Seen, Use};
use displaydoc::Display;
use std::collections::HashMap;
use std::time::Duration;

/// Runs of one request: the first and the retries that a rule gives where it says nothing.
const MOST_RUNS: usize = 4;
/// Time beyond its deadline within which a request is answered while only planned work is done.
const LATE: Duration = Duration::from_millis(1_000);
/// Time in which the end of a process meets a request that it has not begun.
const MET_END: Duration = Duration::from_millis(200);
/// Deadline that the callers give.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_000);

/// Something that must not happen.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Breach {
    /// request {0} must run at most once and ran {1} times
    Twice(u64, usize),
    /// request {0} ran {1} times, more often than its retries allow
    Attempts(u64, usize),
    /// request {0} was answered "not run" ({1}) and has run
    NotRunFalse(u64, String),
    /// request {0} got an answer that is not whole or not its own: {1}
    Foreign(u64, String),
    /// request {0} was cut at {1} while only planned work was done, {2:?} after it was sent, with {3} runs: {4}
    Cut(u64, String, Duration, usize, String),
    /// request {0} was answered {1:?} after it was sent, with a deadline of 2 s and planned work only
    Late(u64, Duration),
    /// a part of request {0} was sent, and it ran {1} times
    Part(u64, usize),
    /// {0} ended by itself, {1}; its log ends with: {2}
    Ended(String, String, String),
    /// {0} went back from version {1} to {2}
    WentBack(String, u64, u64),
    /// the backend server at {0} had left and began {1} more runs
    AfterLeaving(String, usize),
    /// {0}
    Found(String),
}

/// All that has happened and must not.
pub fn check(observed: &Observed) -> Vec<Breach> {
    let runs = observed.runs();
    let asked = observed.asked.iter();
    let mut breaches: Vec<Breach> = asked
        .flat_map(|asked| check_request(observed, asked, &runs))
        .collect();
    breaches.extend(check_versions(&observed.seen));
    breaches.extend(observed.ended.iter().map(check_ended));
    let leaves = observed.leaves.iter();
    let after = leaves.filter(|leave| leave.later > leave.noticed);
    breaches.extend(
        after.map(|leave| Breach::AfterLeaving(leave.host.clone(), leave.later - leave.noticed)),
    );
    breaches.extend(observed.findings.iter().cloned().map(Breach::Found));
    breaches
}

fn check_request(observed: &Observed, asked: &Asked, runs: &HashMap<u64, usize>) -> Vec<Breach> {
    let number = asked.number;
    let count = runs.get(&number).copied().unwrap_or(0);
    let mut breaches = Vec::new();
    if asked.keyed && count > 1 {
        breaches.push(Breach::Twice(number, count));
    }
    if count > MOST_RUNS {
        breaches.push(Breach::Attempts(number, count));
    }
    // Of a request that was asked before, the runs may be those of an earlier time.
    if asked.ran == "no" && count > 0 && !asked.again {
        breaches.push(Breach::NotRunFalse(number, asked.kind.clone()));
    }
    if asked.status == 200 && asked.body != expected_body(number, asked.keyed) {
        breaches.push(Breach::Foreign(number, asked.body.clone()));
    }
    if asked.connection == Use::Part && count > 0 && !asked.again {
        breaches.push(Breach::Part(number, count));
    }
    if observed.is_calm(asked) {
        let took = asked.answered.saturating_sub(asked.sent);
        if asked.status == 0 && !meets_end(observed, asked, count) {
            let (host, body) = (asked.host.clone(), asked.body.clone());
            breaches.push(Breach::Cut(number, host, took, count, body));
        }
        if took > DEADLINE + LATE {
            breaches.push(Breach::Late(number, took));
        }
    }
    breaches
}

/// Whether a lost request is what a daemon that has stopped leaves behind: it takes no connection
/// any more, or a kept one ends while a request is on its way that it has not begun.
fn meets_end(observed: &Observed, asked: &Asked, count: usize) -> bool {
    let took = asked.answered.saturating_sub(asked.sent);
    let stops = observed.stopped.iter().any(|stopped| {
        stopped.host == asked.host && stopped.from <= asked.answered && asked.sent <= stopped.to
    });
    asked.body.contains("refused")
        || (asked.connection == Use::Kept && stops && count == 0 && took <= MET_END)
}

fn check_ended(ended: &Ended) -> Breach {
    let Ended {
        process,
        status,
        log,
    } = ended.clone();
    Breach::Ended(process, status, log)
}

/// What the backend servers of the site answer to a request.
pub(crate) fn expected_body(number: u64, keyed: bool) -> String {
    if keyed {
        format!("contracts/sign?n={number}()")
    } else {
        format!("quoting/quote?n={number}(accounts/rates())")
    }
}

fn check_versions(seen: &[Seen]) -> Vec<Breach> {
    let mut newest: HashMap<(&str, u32), u64> = HashMap::new();
    let mut breaches = Vec::new();
    for seen in seen {
        let known = newest.entry((&seen.host, seen.start)).or_insert(0);
        if seen.version < *known {
            breaches.push(Breach::WentBack(seen.host.clone(), *known, seen.version));
        }
        *known = seen.version.max(*known);
    }
    breaches
}
