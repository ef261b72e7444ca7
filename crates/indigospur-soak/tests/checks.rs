//! Each check fires on the fault that it is there for, and on nothing else.

use indigospur_soak::{
    Asked, Breach, Ended, Fault, Leave, Observed, Scheduled, Seen, Stopped, Use, check, draw,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const MILLI: Duration = Duration::from_millis(1);

fn served(number: u64, keyed: bool) -> Asked {
    let body = if keyed {
        format!("contracts/sign?n={number}()")
    } else {
        format!("quoting/quote?n={number}(accounts/rates())")
    };
    Asked {
        number,
        keyed,
        host: "quoting-0".into(),
        sent: 100 * MILLI,
        answered: 130 * MILLI,
        status: 200,
        body,
        ..Asked::default()
    }
}

fn refused(number: u64, ran: &str) -> Asked {
    Asked {
        status: 503,
        kind: "overloaded".into(),
        ran: ran.into(),
        body: "overloaded".into(),
        ..served(number, false)
    }
}

fn seen(asked: Vec<Asked>, runs: &[u64]) -> Observed {
    let mut observed = Observed {
        asked,
        planned: vec![(Duration::ZERO, 5_000 * MILLI)],
        ..Observed::default()
    };
    let key = ("quoting-0".to_owned(), 1);
    observed.journals.insert(key, runs.to_vec());
    observed
}

#[test]
fn what_is_allowed_is_no_breach() {
    let asked = vec![served(1, false), served(2, true), refused(3, "no")];
    let mut observed = seen(asked, &[1, 1, 2]);
    observed.asked.push(Asked {
        status: 0,
        body: "io: Connection refused".into(),
        ..served(4, false)
    });
    observed.leaves.push(Leave {
        host: "quoting-0".into(),
        noticed: 7,
        later: 7,
    });
    observed.seen = versions(&[(0, 3), (0, 4), (1, 2)]);
    assert_eq!(check(&observed), []);
}

#[test]
fn a_request_that_must_run_at_most_once_and_runs_twice_is_found() {
    let observed = seen(vec![served(1, true)], &[1, 1]);
    assert_eq!(check(&observed), [Breach::Twice(1, 2)]);
}

#[test]
fn more_runs_than_retries_allow_are_found() {
    let observed = seen(vec![served(1, false)], &[1, 1, 1, 1, 1]);
    assert_eq!(check(&observed), [Breach::Attempts(1, 5)]);
}

#[test]
fn a_promise_that_is_not_true_is_found() {
    let observed = seen(vec![refused(1, "no"), refused(2, "unknown")], &[1, 2]);
    assert_eq!(
        check(&observed),
        [Breach::NotRunFalse(1, "overloaded".into())]
    );
}

#[test]
fn a_promise_about_a_request_that_was_asked_before_says_nothing_of_its_earlier_run() {
    let again = Asked {
        again: true,
        ..refused(1, "no")
    };
    assert_eq!(check(&seen(vec![again.clone()], &[1])), []);
    // What was asked first is judged.
    let observed = seen(vec![refused(1, "no"), again], &[1]);
    let breach = Breach::NotRunFalse(1, "overloaded".into());
    assert_eq!(check(&observed), [breach]);
}

#[test]
fn an_answer_of_another_request_or_a_part_of_one_is_found() {
    for body in [
        "quoting/quote?n=2(accounts/rates())",
        "quoting/quote?n=1(acc",
    ] {
        let asked = Asked {
            body: body.into(),
            ..served(1, false)
        };
        assert_eq!(
            check(&seen(vec![asked], &[1])),
            [Breach::Foreign(1, body.into())]
        );
    }
}

#[test]
fn a_request_that_planned_work_cuts_or_holds_is_found_and_one_under_faults_is_not() {
    let cut = Asked {
        status: 0,
        body: "io: connection closed".into(),
        ..served(1, false)
    };
    let late = Asked {
        answered: 3_200 * MILLI,
        ..refused(2, "no")
    };
    let mut observed = seen(vec![cut, late], &[]);
    assert_eq!(
        check(&observed),
        [
            Breach::Cut(
                1,
                "quoting-0".into(),
                30 * MILLI,
                0,
                "io: connection closed".into()
            ),
            Breach::Late(2, 3_100 * MILLI)
        ]
    );
    observed.planned.clear();
    assert_eq!(check(&observed), []);
}

fn versions(seen: &[(u32, u64)]) -> Vec<Seen> {
    let seen = seen.iter().map(|(start, version)| Seen {
        host: "quoting-0".into(),
        start: *start,
        version: *version,
    });
    seen.collect()
}

#[test]
fn a_rule_set_that_goes_back_is_found() {
    let mut observed = seen(Vec::new(), &[]);
    observed.seen = versions(&[(0, 4), (0, 3)]);
    let breach = Breach::WentBack("quoting-0".into(), 4, 3);
    assert_eq!(check(&observed), [breach]);
}

#[test]
fn work_for_a_backend_server_that_has_left_is_found() {
    let mut observed = seen(Vec::new(), &[]);
    observed.leaves.push(Leave {
        host: "quoting-0".into(),
        noticed: 7,
        later: 9,
    });
    let breach = Breach::AfterLeaving("quoting-0".into(), 2);
    assert_eq!(check(&observed), [breach]);
}

fn lost(connection: Use, body: &str) -> Asked {
    Asked {
        status: 0,
        connection,
        body: body.into(),
        ..served(1, false)
    }
}

fn stopped(from: u32, to: u32) -> Stopped {
    Stopped {
        host: "quoting-0".into(),
        from: from * MILLI,
        to: to * MILLI,
    }
}

#[test]
fn a_request_on_a_kept_connection_that_planned_work_cuts_is_found() {
    let cut = lost(Use::Kept, "connection closed");
    let breach = |runs| {
        Breach::Cut(
            1,
            "quoting-0".into(),
            30 * MILLI,
            runs,
            "connection closed".into(),
        )
    };
    // Nobody told this daemon to stop.
    assert_eq!(check(&seen(vec![cut.clone()], &[])), [breach(0)]);
    // It was told, and the request ran.
    let mut observed = seen(vec![cut.clone()], &[1]);
    observed.stopped.push(stopped(50, 3_000));
    assert_eq!(check(&observed), [breach(1)]);
    // It was told, and had the request for longer than its end takes.
    let long = Asked {
        answered: 301 * MILLI,
        ..cut.clone()
    };
    let mut observed = seen(vec![long], &[]);
    observed.stopped.push(stopped(50, 3_000));
    assert_eq!(check(&observed).len(), 1);
    // It was told only afterwards.
    let mut observed = seen(vec![cut], &[]);
    observed.stopped.push(stopped(131, 3_000));
    assert_eq!(check(&observed), [breach(0)]);
}

#[test]
fn a_request_that_meets_the_end_of_a_daemon_told_to_stop_is_no_breach() {
    let mut observed = seen(vec![lost(Use::Kept, "connection closed")], &[]);
    observed.stopped.push(stopped(50, 3_000));
    assert_eq!(check(&observed), []);
    // A connection of its own is not taken by a daemon that can't answer.
    observed.asked = vec![lost(Use::Fresh, "connection closed")];
    assert_eq!(check(&observed).len(), 1);
}

#[test]
fn a_caller_that_leaves_by_itself_was_not_cut_and_its_key_still_runs_at_most_once() {
    let left = lost(Use::Left, "left by the caller");
    assert_eq!(check(&seen(vec![left.clone()], &[1])), []);
    let keyed = Asked {
        keyed: true,
        ..left
    };
    assert_eq!(check(&seen(vec![keyed], &[1, 1])), [Breach::Twice(1, 2)]);
}

#[test]
fn a_part_of_a_request_that_runs_is_found() {
    let part = lost(Use::Part, "left by the caller");
    assert_eq!(check(&seen(vec![part.clone()], &[])), []);
    assert_eq!(check(&seen(vec![part.clone()], &[1])), [Breach::Part(1, 1)]);
    // Its whole was sent before.
    let again = Asked {
        again: true,
        ..part
    };
    assert_eq!(check(&seen(vec![again], &[1])), []);
}

#[test]
fn a_process_that_ends_by_itself_is_found_with_its_status_and_last_lines() {
    let mut observed = seen(Vec::new(), &[]);
    observed.ended.push(Ended {
        process: "daemon of quoting-0".into(),
        status: "signal: 1 (SIGHUP)".into(),
        log: "serving".into(),
    });
    let breaches = check(&observed);
    assert_eq!(
        breaches[0].to_string(),
        "daemon of quoting-0 ended by itself, signal: 1 (SIGHUP); its log ends with: serving"
    );
    assert_eq!(breaches.len(), 1);
}

#[test]
fn a_seed_draws_the_same_faults_again_and_seeds_draw_all_kinds() {
    let of = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        draw(&mut rng, 8)
    };
    assert_eq!(of(3), of(3));
    let drawn: Vec<_> = (0..300).flat_map(of).collect();
    for fault in Fault::all() {
        assert!(drawn.iter().any(|p| p.fault == fault), "{fault:?}");
    }
    assert!(drawn.iter().all(|scheduled| scheduled.host < 8));
}

#[test]
fn the_faults_of_a_round_overlap_on_a_host_repeat_and_mix_planned_work_with_others() {
    let rounds: Vec<_> = (0..300)
        .map(|seed| draw(&mut SmallRng::seed_from_u64(seed), 8))
        .collect();
    let some = |holds: fn(&Scheduled, &Scheduled) -> bool| {
        let pairs = |round: &Vec<Scheduled>| {
            let mut pairs = round.windows(2);
            pairs.any(|pair| holds(&pair[0], &pair[1]))
        };
        rounds.iter().filter(|round| pairs(round)).count()
    };
    let overlap = some(|one, other| one.host == other.host && other.at < one.at + one.length);
    let repeat = some(|one, other| one.host == other.host && one.fault == other.fault);
    let mixed = some(|one, other| !one.fault.is_planned() && other.fault.is_planned());
    assert!(overlap > 50, "{overlap}");
    assert!(repeat > 50, "{repeat}");
    assert!(mixed > 50, "{mixed}");
    let all_planned = |round: &&Vec<Scheduled>| round.iter().all(|s| s.fault.is_planned());
    assert!(rounds.iter().filter(all_planned).count() > 50);
    let in_order = |round: &Vec<Scheduled>| round.is_sorted_by_key(|scheduled| scheduled.at);
    assert!(rounds.iter().all(in_order));
}
