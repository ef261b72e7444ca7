//! Invariants that must hold under every fault, and stricter ones under planned work only.

use crate::observations::{
    ConnectionUse, Observations, RequestRecord, UnexpectedExit, VersionSample,
};
use displaydoc::Display;
use std::collections::HashMap;
use std::time::Duration;

/// Most runs of one request: the first run and the retries that the rules allow by default.
const MAX_RUNS: usize = 4;
/// Time after its deadline by which a request must be answered while only planned work is done.
const ANSWER_GRACE: Duration = Duration::from_millis(1_000);
/// Longest time for which a request can be on its way to a daemon that exits before reading it.
const STOP_RACE_TIME: Duration = Duration::from_millis(200);
/// Deadline that callers set on their requests.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_000);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Breach {
    /// request {0} must run at most once and ran {1} times
    DuplicateRun(u64, usize),
    /// request {0} ran {1} times; with its retries it may run at most 4 times
    TooManyRuns(u64, usize),
    /// request {0} was refused as "not run" (kind {1}) and had run
    FalseNotRun(u64, String),
    /// request {0} was answered with status 200 and a truncated body or that of another request: {1}
    WrongBody(u64, String),
    /// request {0} to the daemon of {1} got no complete answer while only planned work was done; it failed {2:?} after it was sent and ran {3} times: {4}
    Lost(u64, String, Duration, usize, String),
    /// request {0} was answered {1:?} after it was sent while only planned work was done; with its deadline of 2 s it must be answered within 3 s
    LateAnswer(u64, Duration),
    /// request {0} was sent only in part and ran {1} times
    TruncatedRan(u64, usize),
    /// request {0} was behind a response that closed the connection and ran {1} times
    UnreadRan(u64, usize),
    /// {0} exited unexpectedly, {1}; its log ends with: {2}
    UnexpectedExit(String, String, String),
    /// the daemon of {0} went back from rule set version {1} to {2} without a restart
    VersionRegressed(String, u64, u64),
    /// the backend server of {0} began {1} runs after all daemons should have noticed that it leaves
    RunsAfterDrain(String, usize),
    /// the backend server of {0} began {1} runs in four seconds while it named a limit that allows {2}
    OverRateLimit(String, u64, u64),
    /// {0}
    Other(String),
}

/// Returns all violated invariants, those of requests first.
pub fn check(observations: &Observations) -> Vec<Breach> {
    let runs = observations.runs();
    let requests = observations.requests.iter();
    let mut breaches: Vec<Breach> = requests
        .flat_map(|record| check_request(observations, record, &runs))
        .collect();
    breaches.extend(check_versions(&observations.versions));
    breaches.extend(observations.exits.iter().map(exit_breach));
    let drains = observations.drains.iter();
    let violated = drains.filter(|drain| drain.later_runs > drain.noticed_runs);
    breaches.extend(violated.map(|drain| {
        Breach::RunsAfterDrain(drain.host.clone(), drain.later_runs - drain.noticed_runs)
    }));
    let limits = observations.rate_limits.iter();
    let exceeded = limits.filter(|span| span.starts > span.allowed);
    breaches.extend(
        exceeded.map(|span| Breach::OverRateLimit(span.host.clone(), span.starts, span.allowed)),
    );
    breaches.extend(observations.findings.iter().cloned().map(Breach::Other));
    breaches
}

fn check_request(
    observations: &Observations,
    record: &RequestRecord,
    runs: &HashMap<u64, usize>,
) -> Vec<Breach> {
    let number = record.number;
    let count = runs.get(&number).copied().unwrap_or(0);
    let mut breaches = Vec::new();
    if record.keyed && count > 1 {
        breaches.push(Breach::DuplicateRun(number, count));
    }
    if count > MAX_RUNS {
        breaches.push(Breach::TooManyRuns(number, count));
    }
    // The runs of a retried request may belong to an earlier attempt.
    if record.ran == "no" && count > 0 && !record.retry {
        breaches.push(Breach::FalseNotRun(number, record.kind.clone()));
    }
    if record.status == 200 && record.body != expected_body(record) {
        breaches.push(Breach::WrongBody(number, record.body.clone()));
    }
    if record.connection == ConnectionUse::Truncated && count > 0 && !record.retry {
        breaches.push(Breach::TruncatedRan(number, count));
    }
    if record.connection == ConnectionUse::Unread && count > 0 {
        breaches.push(Breach::UnreadRan(number, count));
    }
    if observations.is_planned_only(record) {
        let took = record.completed.saturating_sub(record.sent);
        if record.status == 0 && !races_stop(observations, record, count) {
            let (host, body) = (record.host.clone(), record.body.clone());
            breaches.push(Breach::Lost(number, host, took, count, body));
        }
        if took > DEADLINE + ANSWER_GRACE {
            breaches.push(Breach::LateAnswer(number, took));
        }
    }
    breaches
}

/// Whether a request without an answer is a harmless race with the stop of a daemon: the connection
/// is refused, or a reused connection closes before the daemon has begun the request sent on it.
fn races_stop(observations: &Observations, record: &RequestRecord, count: usize) -> bool {
    let took = record.completed.saturating_sub(record.sent);
    let stops = observations.stops.iter().any(|stop| {
        stop.host == record.host && stop.from <= record.completed && record.sent <= stop.to
    });
    record.body.contains("refused")
        || (record.connection == ConnectionUse::Reused
            && stops
            && count == 0
            && took <= STOP_RACE_TIME)
}

fn exit_breach(exit: &UnexpectedExit) -> Breach {
    let UnexpectedExit {
        process,
        status,
        log,
    } = exit.clone();
    Breach::UnexpectedExit(process, status, log)
}

/// The body with which the backend servers of the site answer a request.
fn expected_body(record: &RequestRecord) -> String {
    let query = &record.query;
    if record.keyed {
        format!("contracts/sign?{query}()")
    } else {
        format!("quoting/quote?{query}(accounts/rates())")
    }
}

fn check_versions(samples: &[VersionSample]) -> Vec<Breach> {
    let mut newest: HashMap<(&str, u32), u64> = HashMap::new();
    let mut breaches = Vec::new();
    for sample in samples {
        let known = newest.entry((&sample.host, sample.restarts)).or_insert(0);
        if sample.version < *known {
            breaches.push(Breach::VersionRegressed(
                sample.host.clone(),
                *known,
                sample.version,
            ));
        }
        *known = sample.version.max(*known);
    }
    breaches
}
