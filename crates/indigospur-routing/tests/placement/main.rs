//! Placement on uneven servers and uneven data centres, in virtual time: mean, 99th percentile, share
//! within the objective and share of the calls that leave their data centre.

mod model;

use indigospur_routing::Policy;
use model::{Results, Scenario, play};
use std::iter::repeat_n;
use std::time::Duration;

/// Seed of all plays.
const SEED: u64 = 12;
const TIME: Policy = Policy::Time {
    stay: Duration::from_millis(20),
};

fn repeated(speeds: &[f64], count: usize) -> Vec<f64> {
    speeds.iter().copied().cycle().take(count).collect()
}

/// Two data centres with a number of servers each; half of the 24 callers are in each.
fn two_centres(name: &'static str, servers: [usize; 2], demand: fn(usize, f64) -> f64) -> Scenario {
    let [here, there] = servers;
    Scenario {
        servers: repeat_n((0, 1.0), here)
            .chain(repeat_n((1, 1.0), there))
            .collect(),
        callers: (0..24).map(|caller| caller % 2).collect(),
        ..Scenario::new(name, &[], demand)
    }
}

fn scenarios() -> Vec<Scenario> {
    const UNEVEN: [f64; 3] = [0.7, 0.7, 1.6];
    const OTHER: [f64; 3] = [0.6, 1.0, 1.4];
    let even = |count| vec![1.0; count];
    let slow = |name, count, pace| Scenario {
        slow: (0.15, pace),
        ..Scenario::new(name, &even(count), |_, _| 0.65)
    };
    let sized = |name, count, callers| Scenario {
        callers: vec![0; callers],
        seconds: 3.0,
        ..Scenario::new(name, &repeated(&UNEVEN, count), |_, _| 0.65)
    };
    let overloaded = |centre: usize, at: f64| match centre {
        0 if (2.0..7.0).contains(&at) => 0.75,
        0 => 0.25,
        _ => 0.1,
    };
    let moving = |centre: usize, at: f64| match (centre, (2.0..7.0).contains(&at)) {
        (_, false) => 0.35,
        (0, true) => 0.525,
        (_, true) => 0.175,
    };
    let narrowed = Scenario {
        link: 36e6,
        ..two_centres(
            "150 % at one of two, links of 36 Mbit/s",
            [5, 5],
            overloaded,
        )
    };
    let two = [
        two_centres("150 % at one of two for 5 s", [5, 5], overloaded),
        two_centres("1 of 5 servers left at one of two", [1, 5], |_, _| 0.3),
        narrowed,
        two_centres("half of the callers move for 5 s", [6, 6], moving),
        two_centres("no overload, 70 % each", [5, 5], |_, _| 0.35),
    ]
    .map(|scenario| Scenario {
        seconds: 9.0,
        ..scenario
    });
    let knee = Scenario {
        limit: 12,
        ..Scenario::new("even, all slots used, 90 %", &even(6), |_, _| 0.9)
    };
    let mut all = vec![
        Scenario::new("0.7/0.7/1.6, 40 %", &repeated(&UNEVEN, 6), |_, _| 0.4),
        Scenario::new("0.7/0.7/1.6, 65 %", &repeated(&UNEVEN, 6), |_, _| 0.65),
        Scenario::new("0.7/0.7/1.6, 95 %", &repeated(&UNEVEN, 6), |_, _| 0.95),
        Scenario::new("0.6/1.0/1.4, 40 %", &repeated(&OTHER, 6), |_, _| 0.4),
        Scenario::new("0.6/1.0/1.4, 65 %", &repeated(&OTHER, 6), |_, _| 0.65),
        Scenario::new("0.6/1.0/1.4, 95 %", &repeated(&OTHER, 6), |_, _| 0.95),
        Scenario::new("even, 65 %", &even(6), |_, _| 0.65),
        knee,
        slow("slow phases, 6 servers", 6, false),
        slow("slow phases with pace, 6 servers", 6, true),
        slow("slow phases, 39 servers", 39, false),
        slow("slow phases with pace, 39 servers", 39, true),
        sized("0.7/0.7/1.6, 65 %, 5 servers", 5, 12),
        sized("0.7/0.7/1.6, 65 %, 39 servers", 39, 40),
        sized("0.7/0.7/1.6, 65 %, 195 servers", 195, 80),
    ];
    all.extend(two);
    all
}

/// Plays a scenario under a policy and prints its line of the table.
fn measure(scenario: &Scenario, name: &str, policy: Policy) -> Results {
    let results = play(scenario, policy, SEED);
    println!(
        "| {} | {name} | {:.0} | {:.0} | {:.1} | {:.1} |",
        scenario.name,
        results.mean(),
        results.p99(),
        100.0 * results.within(),
        100.0 * results.left(),
    );
    results
}

/// Guards against expected times that send calls to slow servers, crowd the fast ones, or move calls
/// between data centres without need. Prints the table of docs/design/routing.md:
/// `cargo test -p indigospur-routing --test placement table -- --nocapture`.
#[test]
fn table_of_expected_time_against_calls_per_slot() {
    println!("| load | policy | mean ms | p99 ms | within 250 ms % | left % |");
    println!("|---|---|---|---|---|---|");
    for scenario in scenarios() {
        let name = scenario.name;
        let slots = measure(&scenario, "slots", Policy::Slots);
        let time = measure(&scenario, "time", TIME);
        assert!(time.within() > slots.within() - 0.02, "{name}");
        assert!(time.left() < slots.left() + 0.01, "{name}");
        if scenario.slow.1 {
            assert!(time.p99() < 0.85 * slots.p99(), "{name}: slow phases");
            assert!(time.within() > 0.99, "{name}: slow phases");
        } else if name.starts_with("0.") && !name.contains("95 %") {
            assert!(time.mean() < 0.95 * slots.mean(), "{name}: uneven speeds");
        } else if scenario.link.is_finite() {
            assert!(time.mean() < 0.5 * slots.mean(), "{name}: link");
        } else if name.starts_with("no overload") {
            assert!(time.left() < 0.01, "{name}: calls leave without need");
        }
    }
}

/// Guards against calls that go to and fro between the data centres, or stay away after the overload.
#[test]
fn the_share_that_leaves_is_steady_under_overload_and_falls_to_zero_after_it() {
    let all = scenarios();
    let overload = all.iter().find(|each| each.name.starts_with("150 %"));
    let results = play(overload.expect("it is listed"), TIME, SEED);
    let share = |tenths: &[(usize, usize)]| {
        let left: usize = tenths.iter().map(|tenth| tenth.0).sum();
        let calls: usize = tenths.iter().map(|tenth| tenth.1).sum();
        left as f64 / calls as f64
    };
    // From 3 s to 7 s; a third of the calls of the overloaded data centre must leave.
    let shares: Vec<f64> = results.by_tenth[30..70].chunks(5).map(share).collect();
    let all_steady = shares.iter().all(|share| (0.25..0.40).contains(share));
    assert!(all_steady, "{shares:?}");
    let after = share(&results.by_tenth[80..]);
    assert!(after < 0.01, "{after}");
}
