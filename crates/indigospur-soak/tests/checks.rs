//! Each check finds the violation that it is meant for, and nothing else.

use indigospur_soak::{
    BackendDrain, Breach, ConnectionUse, DaemonStop, Fault, Observations, RateLimitSpan,
    RequestRecord, ScheduledFault, UnexpectedExit, VersionSample, check, draw_faults,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const MILLI: Duration = Duration::from_millis(1);

fn served(number: u64, keyed: bool) -> RequestRecord {
    let body = if keyed {
        format!("contracts/sign?n={number}()")
    } else {
        format!("quoting/quote?n={number}(accounts/rates())")
    };
    RequestRecord {
        number,
        keyed,
        query: format!("n={number}"),
        host: "quoting-0".into(),
        sent: 100 * MILLI,
        completed: 130 * MILLI,
        status: 200,
        body,
        ..RequestRecord::default()
    }
}

fn refused(number: u64, ran: &str) -> RequestRecord {
    RequestRecord {
        status: 503,
        kind: "overloaded".into(),
        ran: ran.into(),
        body: "overloaded".into(),
        ..served(number, false)
    }
}

fn observed(requests: Vec<RequestRecord>, runs: &[u64]) -> Observations {
    let mut observations = Observations {
        requests,
        planned: vec![(Duration::ZERO, 5_000 * MILLI)],
        ..Observations::default()
    };
    let key = ("quoting-0".to_owned(), 1);
    observations.journals.insert(key, runs.to_vec());
    observations
}

#[test]
fn allowed_observations_are_no_breach() {
    let requests = vec![served(1, false), served(2, true), refused(3, "no")];
    let mut observations = observed(requests, &[1, 1, 2]);
    observations.requests.push(RequestRecord {
        status: 0,
        body: "io: Connection refused".into(),
        ..served(4, false)
    });
    observations.drains.push(BackendDrain {
        host: "quoting-0".into(),
        noticed_runs: 7,
        later_runs: 7,
    });
    observations.versions = version_samples(&[(0, 3), (0, 4), (1, 2)]);
    assert_eq!(check(&observations), []);
}

#[test]
fn two_runs_of_a_request_with_an_idempotency_key_are_found() {
    let observations = observed(vec![served(1, true)], &[1, 1]);
    assert_eq!(check(&observations), [Breach::DuplicateRun(1, 2)]);
}

#[test]
fn more_runs_than_retries_allow_are_found() {
    let observations = observed(vec![served(1, false)], &[1, 1, 1, 1, 1]);
    assert_eq!(check(&observations), [Breach::TooManyRuns(1, 5)]);
}

#[test]
fn a_request_refused_as_not_run_that_ran_is_found() {
    let observations = observed(vec![refused(1, "no"), refused(2, "unknown")], &[1, 2]);
    assert_eq!(
        check(&observations),
        [Breach::FalseNotRun(1, "overloaded".into())]
    );
}

#[test]
fn a_retry_refused_as_not_run_may_have_run_in_an_earlier_attempt() {
    let retry = RequestRecord {
        retry: true,
        ..refused(1, "no")
    };
    assert_eq!(check(&observed(vec![retry.clone()], &[1])), []);
    // The first attempt is judged.
    let observations = observed(vec![refused(1, "no"), retry], &[1]);
    let breach = Breach::FalseNotRun(1, "overloaded".into());
    assert_eq!(check(&observations), [breach]);
}

#[test]
fn an_answer_to_another_request_or_a_truncated_answer_is_found() {
    for body in [
        "quoting/quote?n=2(accounts/rates())",
        "quoting/quote?n=1(acc",
    ] {
        let record = RequestRecord {
            body: body.into(),
            ..served(1, false)
        };
        assert_eq!(
            check(&observed(vec![record], &[1])),
            [Breach::WrongBody(1, body.into())]
        );
    }
}

#[test]
fn a_lost_or_late_request_is_found_under_planned_work_and_not_under_faults() {
    let unanswered = RequestRecord {
        status: 0,
        body: "io: connection closed".into(),
        ..served(1, false)
    };
    let late = RequestRecord {
        completed: 3_200 * MILLI,
        ..refused(2, "no")
    };
    let mut observations = observed(vec![unanswered, late], &[]);
    assert_eq!(
        check(&observations),
        [
            Breach::Lost(
                1,
                "quoting-0".into(),
                30 * MILLI,
                0,
                "io: connection closed".into()
            ),
            Breach::LateAnswer(2, 3_100 * MILLI)
        ]
    );
    observations.planned.clear();
    assert_eq!(check(&observations), []);
}

fn version_samples(samples: &[(u32, u64)]) -> Vec<VersionSample> {
    let samples = samples.iter().map(|(restarts, version)| VersionSample {
        host: "quoting-0".into(),
        restarts: *restarts,
        version: *version,
    });
    samples.collect()
}

#[test]
fn a_rule_set_version_that_decreases_without_a_restart_is_found() {
    let mut observations = observed(Vec::new(), &[]);
    observations.versions = version_samples(&[(0, 4), (0, 3)]);
    let breach = Breach::VersionRegressed("quoting-0".into(), 4, 3);
    assert_eq!(check(&observations), [breach]);
}

#[test]
fn runs_on_a_backend_server_after_its_drain_was_noticed_are_found() {
    let mut observations = observed(Vec::new(), &[]);
    observations.drains.push(BackendDrain {
        host: "quoting-0".into(),
        noticed_runs: 7,
        later_runs: 9,
    });
    let breach = Breach::RunsAfterDrain("quoting-0".into(), 2);
    assert_eq!(check(&observations), [breach]);
}

#[test]
fn more_runs_than_a_named_rate_limit_allows_are_found() {
    let mut observations = observed(Vec::new(), &[]);
    let span = |starts| RateLimitSpan {
        host: "quoting-0".into(),
        starts,
        allowed: 35,
    };
    observations.rate_limits = vec![span(35), span(36)];
    let breach = Breach::OverRateLimit("quoting-0".into(), 36, 35);
    assert_eq!(check(&observations), [breach]);
}

fn lost(connection: ConnectionUse, body: &str) -> RequestRecord {
    RequestRecord {
        status: 0,
        connection,
        body: body.into(),
        ..served(1, false)
    }
}

fn stop_between(from: u32, to: u32) -> DaemonStop {
    DaemonStop {
        host: "quoting-0".into(),
        from: from * MILLI,
        to: to * MILLI,
    }
}

#[test]
fn a_lost_request_on_a_reused_connection_is_found_under_planned_work() {
    let unanswered = lost(ConnectionUse::Reused, "connection closed");
    let breach = |runs| {
        Breach::Lost(
            1,
            "quoting-0".into(),
            30 * MILLI,
            runs,
            "connection closed".into(),
        )
    };
    // No stop of this daemon was requested.
    assert_eq!(check(&observed(vec![unanswered.clone()], &[])), [breach(0)]);
    // A stop was requested, but the request ran.
    let mut observations = observed(vec![unanswered.clone()], &[1]);
    observations.stops.push(stop_between(50, 3_000));
    assert_eq!(check(&observations), [breach(1)]);
    // A stop was requested, but the daemon had the request for longer than a race with its exit
    // lasts.
    let long = RequestRecord {
        completed: 301 * MILLI,
        ..unanswered.clone()
    };
    let mut observations = observed(vec![long], &[]);
    observations.stops.push(stop_between(50, 3_000));
    assert_eq!(check(&observations).len(), 1);
    // The stop was requested only afterwards.
    let mut observations = observed(vec![unanswered], &[]);
    observations.stops.push(stop_between(131, 3_000));
    assert_eq!(check(&observations), [breach(0)]);
}

#[test]
fn a_request_that_races_a_requested_stop_is_no_breach() {
    let mut observations = observed(vec![lost(ConnectionUse::Reused, "connection closed")], &[]);
    observations.stops.push(stop_between(50, 3_000));
    assert_eq!(check(&observations), []);
    // A stopping daemon must not accept a new connection that it can't answer on.
    observations.requests = vec![lost(ConnectionUse::New, "connection closed")];
    assert_eq!(check(&observations).len(), 1);
}

#[test]
fn a_request_abandoned_by_its_caller_is_not_lost_and_its_key_still_runs_at_most_once() {
    let abandoned = lost(ConnectionUse::Abandoned, "left by the caller");
    assert_eq!(check(&observed(vec![abandoned.clone()], &[1])), []);
    let keyed = RequestRecord {
        keyed: true,
        ..abandoned
    };
    assert_eq!(
        check(&observed(vec![keyed], &[1, 1])),
        [Breach::DuplicateRun(1, 2)]
    );
}

#[test]
fn a_run_of_a_truncated_request_is_found() {
    let truncated = lost(ConnectionUse::Truncated, "left by the caller");
    assert_eq!(check(&observed(vec![truncated.clone()], &[])), []);
    assert_eq!(
        check(&observed(vec![truncated.clone()], &[1])),
        [Breach::TruncatedRan(1, 1)]
    );
    // An earlier attempt sent the complete request.
    let retry = RequestRecord {
        retry: true,
        ..truncated
    };
    assert_eq!(check(&observed(vec![retry], &[1])), []);
}

#[test]
fn a_run_of_a_request_behind_the_close_of_its_connection_is_found() {
    let unread = RequestRecord {
        pipelined: true,
        ..lost(ConnectionUse::Unread, "")
    };
    assert_eq!(check(&observed(vec![unread.clone()], &[])), []);
    assert_eq!(
        check(&observed(vec![unread], &[1])),
        [Breach::UnreadRan(1, 1)]
    );
}

#[test]
fn pipelined_responses_in_another_order_are_found() {
    let (mut first, mut second) = (served(1, false), served(2, false));
    std::mem::swap(&mut first.body, &mut second.body);
    let breaches = [
        Breach::WrongBody(1, first.body.clone()),
        Breach::WrongBody(2, second.body.clone()),
    ];
    assert_eq!(check(&observed(vec![first, second], &[1, 2])), breaches);
}

#[test]
fn an_unexpected_exit_is_found_with_its_status_and_last_log_lines() {
    let mut observations = observed(Vec::new(), &[]);
    observations.exits.push(UnexpectedExit {
        process: "daemon of quoting-0".into(),
        status: "signal: 1 (SIGHUP)".into(),
        log: "serving".into(),
    });
    let breaches = check(&observations);
    assert_eq!(
        breaches[0].to_string(),
        "daemon of quoting-0 exited unexpectedly, signal: 1 (SIGHUP); its log ends with: serving"
    );
    assert_eq!(breaches.len(), 1);
}

#[test]
fn a_seed_always_draws_the_same_faults_and_seeds_draw_all_kinds() {
    let draw_seed = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        draw_faults(&mut rng, 8)
    };
    assert_eq!(draw_seed(3), draw_seed(3));
    let drawn: Vec<_> = (0..300).flat_map(draw_seed).collect();
    for fault in Fault::all() {
        assert!(
            drawn.iter().any(|scheduled| scheduled.fault == fault),
            "{fault:?}"
        );
    }
    assert!(drawn.iter().all(|scheduled| scheduled.host < 8));
}

#[test]
fn faults_of_a_round_overlap_and_repeat_on_a_host_and_mix_planned_work_with_other_faults() {
    let rounds: Vec<_> = (0..300)
        .map(|seed| draw_faults(&mut SmallRng::seed_from_u64(seed), 8))
        .collect();
    let count_rounds = |holds: fn(&ScheduledFault, &ScheduledFault) -> bool| {
        let pairs = |round: &Vec<ScheduledFault>| {
            let mut pairs = round.windows(2);
            pairs.any(|pair| holds(&pair[0], &pair[1]))
        };
        rounds.iter().filter(|round| pairs(round)).count()
    };
    let overlap =
        count_rounds(|one, other| one.host == other.host && other.at < one.at + one.duration);
    let repeat = count_rounds(|one, other| one.host == other.host && one.fault == other.fault);
    let mixed = count_rounds(|one, other| !one.fault.is_planned() && other.fault.is_planned());
    assert!(overlap > 50, "{overlap}");
    assert!(repeat > 50, "{repeat}");
    assert!(mixed > 50, "{mixed}");
    let all_planned = |round: &&Vec<ScheduledFault>| round.iter().all(|s| s.fault.is_planned());
    assert!(rounds.iter().filter(all_planned).count() > 50);
    let in_order = |round: &Vec<ScheduledFault>| round.is_sorted_by_key(|scheduled| scheduled.at);
    assert!(rounds.iter().all(in_order));
}
