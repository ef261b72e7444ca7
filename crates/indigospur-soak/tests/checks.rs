//! Each check fires on the fault that it is there for, and on nothing else.

use indigospur_soak::{Asked, Breach, Fault, Leave, Observed, Seen, check, draw};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashSet;
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

#[test]
fn a_seed_draws_the_same_faults_again_and_seeds_draw_all_kinds() {
    let of = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        draw(&mut rng, 8)
    };
    assert_eq!(of(3), of(3));
    let drawn: Vec<_> = (0..300).flat_map(of).collect();
    let kinds: HashSet<String> = drawn.iter().map(|p| format!("{:?}", p.fault)).collect();
    assert_eq!(kinds.len(), 13);
    for seed in 0..300 {
        let hosts: HashSet<usize> = of(seed).iter().map(|planned| planned.host).collect();
        assert_eq!(hosts.len(), of(seed).len(), "seed {seed}");
    }
    assert!(drawn.iter().any(|p| p.fault == Fault::Cut));
}
