//! Measures the time that each decision takes, in nanoseconds, at 10, 100 and 1,000 rules, customers,
//! upstreams or members.

use indigospur_admission::{Admission, Arrival, Completion, LimitPolicy, Options, Verdict};
use indigospur_bench::Table;
use indigospur_budget::{
    Credit, FailedAttempt, RatioOptions, RetryClaim, RetryOptions, RetryRatio, decide_retry,
};
use indigospur_once::{Once, OnceOptions};
use indigospur_protocol::{EpochRecord, Key, Kind, Member, MemberId, Refusal, State};
use indigospur_routing::{AttemptResult, Criteria, Router};
use indigospur_rules::{CallAttributes, RuleSet, parse};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

const SIZES: [usize; 3] = [10, 100, 1_000];
/// Rounds of a measurement, of which the fastest counts.
const ROUNDS: usize = 5;
/// Decisions in a round.
const ITERATIONS: u32 = 20_000;

fn main() {
    let mut table = Table::new(&["decision", "10", "100", "1,000"]);
    let mut row = |name: &str, measure: fn(usize) -> f64| {
        let cells = SIZES.map(|size| format!("{:.0} ns", measure(size)));
        table.add_row(&[&[name.to_owned()], &cells[..]].concat());
    };
    row("rule match, last rule of the service", match_rule);
    row("admit and finish, idle, by customers", admit_idle);
    row("admit with eviction, full queue, by customers", admit_full);
    row("route and finish, by upstreams", route);
    row("retry decision", retry);
    row("claim, record and finish a key, by members", claim);
    println!("{}", table.render());
    println!(
        "a remembered key takes {:.0} bytes at its home and at its executor together",
        bytes_per_key()
    );
}

/// Returns the resident memory of this process in bytes; zero if it can't be read.
fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Measures the memory of a key whose call was claimed and finished, in bytes: its record at the
/// home and at the executor, which are one host here.
fn bytes_per_key() -> f64 {
    const KEYS: usize = 200_000;
    let (now, wall_clock) = (Instant::now(), SystemTime::now());
    let members = vec![MemberId {
        host: "host-0".into(),
        incarnation: 1,
    }];
    let epoch = EpochRecord {
        service: "contracts".into(),
        number: 1,
        members,
        dead_members: Vec::new(),
    };
    let mut once = Once::new(Some(now), epoch.members[0].clone(), OnceOptions::default());
    once.apply(now, wall_clock, epoch);
    let before = resident_bytes();
    for number in 0..KEYS {
        let key: Key = format!("0193a0c4-0000-7000-8000-{number:012}")
            .as_str()
            .into();
        once.claim(now, wall_clock, &key, 1);
        once.record(now, 1, "host-0", &key, 1);
        once.finish_run(&key);
    }
    let used = resident_bytes() - before;
    black_box(&once);
    used / KEYS as f64
}

/// Returns the mean time of `operation` in nanoseconds, in the fastest of [`ROUNDS`] rounds. The
/// operation gets its iteration within the round.
fn fastest_ns(mut operation: impl FnMut(u32)) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        (0..ITERATIONS).for_each(&mut operation);
        started.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
    });
    rounds.fold(f64::INFINITY, f64::min)
}

/// Creates rules for different paths, spread over 38 services.
fn rules(size: usize) -> RuleSet {
    let rule = |index: usize| {
        let service = index % 38;
        format!(
            "[[rule]]\nname = \"r{index}\"\nwhen = {{ service = \"s{service}\", path = \"/p{index}/*\" }}\n"
        )
    };
    parse("bench", &(0..size).map(rule).collect::<String>()).expect("the rules are valid")
}

fn match_rule(size: usize) -> f64 {
    let rule_set = rules(size);
    let (service, path) = (format!("s{}", (size - 1) % 38), format!("/p{}/x", size - 1));
    let attributes = CallAttributes {
        host: "",
        service: &service,
        method: "GET",
        path: &path,
        customer: "norte-motores",
        parent_class: None,
        idempotent: true,
        attempt: 0,
    };
    fastest_ns(|_| {
        black_box(rule_set.decide(black_box(&attributes)));
    })
}

fn customers(size: usize) -> Vec<Arc<str>> {
    (0..size)
        .map(|index| format!("customer-{index}").as_str().into())
        .collect()
}

fn arrival(now: Instant, customer: &Arc<str>, rank: u32) -> Arrival {
    let deadline = now + Duration::from_secs(100);
    Arrival {
        class: 1,
        rank,
        customer: customer.clone(),
        share: 1,
        deadline,
        waits: true,
    }
}

fn admit_idle(size: usize) -> f64 {
    let (now, customers) = (Instant::now(), customers(size));
    let options = Options {
        policy: LimitPolicy::Aimd,
        slots: 70,
        ..Options::default()
    };
    let mut admission = Admission::new(options, now);
    fastest_ns(|number| {
        let call = arrival(now, &customers[number as usize % size], number);
        let (Verdict::Run(ticket), _) = admission.arrive(now, call) else {
            return;
        };
        black_box(admission.finish(now, ticket, Completion::Answered));
    })
}

fn admit_full(size: usize) -> f64 {
    let (now, customers) = (Instant::now(), customers(size));
    let options = Options {
        policy: LimitPolicy::Aimd,
        slots: 70,
        max_queued: 2_000,
        ..Options::default()
    };
    let mut admission = Admission::new(options, now);
    for number in 0..3_000 {
        admission.arrive(
            now,
            arrival(now, &customers[number as usize % size], number),
        );
    }
    fastest_ns(|number| {
        // Multiplicative hashing gives ranks in no particular order.
        let rank = number.wrapping_mul(2_654_435_761);
        black_box(admission.arrive(now, arrival(now, &customers[number as usize % size], rank)));
    })
}

fn member(index: usize) -> Member {
    Member {
        host: format!("host-{index}").as_str().into(),
        incarnation: 1,
        revision: 1,
        address: "127.0.0.1:1".into(),
        data_centre: format!("dc-{}", index % 6).as_str().into(),
        region: format!("r-{}", index % 2).as_str().into(),
        service: "quoting".into(),
        slots: 70,
        connections: 500,
        state: State::Ready,
        instance: "".into(),
        started_ms: 0,
        leaving: false,
        rate_limit: None,
    }
}

fn route(size: usize) -> f64 {
    let now = Instant::now();
    let mut router = Router::new("dc-0".into(), "r-0".into());
    (0..size).for_each(|index| router.update(&member(index)));
    let mut rng = SmallRng::seed_from_u64(1);
    fastest_ns(|_| {
        let criteria = Criteria {
            service: "quoting",
            avoid: &[],
            remaining: None,
        };
        let chosen = router
            .choose(now, &mut rng, criteria)
            .expect("an upstream is ready");
        router.finish(now, "quoting", &chosen.host, AttemptResult::Replied, None);
    })
}

fn retry(_: usize) -> f64 {
    let refusal = Refusal::new(Kind::Draining, "");
    let options = RetryOptions {
        idempotent: true,
        remaining: Duration::from_secs(1),
        expected: Duration::from_millis(10),
        free_failovers: 0,
        free_sheds: 0,
        claim: RetryClaim::default(),
    };
    let now = Instant::now();
    let mut ratio = RetryRatio::new(now, RatioOptions::default());
    fastest_ns(|_| {
        let mut credit = Credit::new(3);
        let failed_attempt = FailedAttempt {
            refusal: &refusal,
            retried: false,
        };
        let _ = black_box(decide_retry(
            now,
            options,
            failed_attempt,
            &mut credit,
            &mut ratio,
        ));
    })
}

fn claim(size: usize) -> f64 {
    let (now, wall_clock) = (Instant::now(), SystemTime::now());
    let ids = (0..size).map(|index| MemberId {
        host: format!("host-{index}").as_str().into(),
        incarnation: 1,
    });
    let epoch = EpochRecord {
        service: "contracts".into(),
        number: 1,
        members: ids.collect(),
        dead_members: Vec::new(),
    };
    let mut once = Once::new(Some(now), epoch.members[0].clone(), OnceOptions::default());
    once.apply(now, wall_clock, epoch);
    let keys: Vec<Key> = (0..ITERATIONS)
        .map(|number| format!("key-{number}").as_str().into())
        .collect();
    fastest_ns(|number| {
        let key = &keys[number as usize];
        black_box(once.claim(now, wall_clock, key, 1));
        black_box(once.record(now, 1, "host-0", key, 1));
        once.finish_run(key);
        once.release(key);
        once.cancel_run(key);
    })
}
