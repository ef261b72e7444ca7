//! Refusals on arrival over a whole fleet, in virtual time: a deep service is asked for nearly twice its
//! slots, and every daemon decides by itself, with reports that differ in age and in the upstreams
//! behind them. Guards against callers of one daemon that are refused far more often than those of
//! another, and against urgent requests that are served less often than others of their workspace.

use indigospur_admission::{IngressAdmission, IngressRequest, Pressures};
use indigospur_protocol::{Class, Pressure, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MILLI: Duration = Duration::from_millis(1);
const SERVICE: &str = "accounts";
/// Slot time of a chain of four calls at the service, one after the other. A request has one or two such
/// chains, side by side.
const CHAIN: Duration = Duration::from_millis(160);
/// Demand of the load as a multiple of the capacity of the service.
const OVERLOAD: f64 = 1.7;
/// Requests a second at a daemon with the usual number of callers.
const DAEMON_RATE: f64 = 40.0;
/// Time from the admission of a request to its first call.
const DELAY_MILLIS: u64 = 200;
/// Largest deviation of the level that a daemon sees from the true one: its reports come through other
/// callers, which hear more of some upstreams than of others.
const LEVEL_BIAS: f64 = 0.05;
/// Level from which the service refuses calls.
const FULL_LEVEL: f64 = 4.0;
/// Replies that a daemon gets from others in a second.
const REPLIES: f64 = 60.0;
const BURST_MILLIS: u64 = 12_000;
/// Time that the daemons have to adapt before shares are compared.
const SETTLE_MILLIS: u64 = 2_000;

/// A kind of request. The class of the workspaces is the same for all.
#[derive(Clone, Copy)]
struct RequestKind {
    rule: &'static str,
    rule_class: Class,
    /// Part of the requests.
    part: f64,
    /// Chains of calls to the service.
    chains: u32,
}

const KINDS: [RequestKind; 3] = [
    RequestKind {
        rule: "signatures",
        rule_class: 0,
        part: 0.485,
        chains: 2,
    },
    RequestKind {
        rule: "quotes",
        rule_class: 2,
        part: 0.417,
        chains: 1,
    },
    RequestKind {
        rule: "views",
        rule_class: 2,
        part: 0.098,
        chains: 1,
    },
];

struct Daemon {
    ingress: IngressAdmission,
    pressures: Pressures,
    /// Requests a second.
    rate: f64,
    level_bias: f64,
    report_millis: usize,
    asked: [u32; KINDS.len()],
    refused: [u32; KINDS.len()],
}

impl Daemon {
    fn refused_share(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
        sum(&self.refused) / sum(&self.asked).max(1.0)
    }
}

struct Fleet {
    now: Instant,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    /// Percentage of the daemons whose replies carry what they refuse, and that follow others.
    reporting_percent: usize,
    capacity: f64,
    /// Slot time of the calls that run or wait, in seconds.
    backlog: f64,
    /// Slot time that reaches the service in the next milliseconds.
    arriving: VecDeque<f64>,
    /// Levels of the last milliseconds, the latest first.
    levels: VecDeque<f64>,
}

impl Fleet {
    /// A fleet of `size` daemons. A tenth of them has five times as many callers as the others.
    fn new(seed: u64, size: usize, reporting_percent: usize) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemons: Vec<Daemon> = (0..size)
            .map(|index| {
                let mut ingress = IngressAdmission::new(index as u64);
                for kind in &KINDS {
                    let work = Work {
                        service: SERVICE.into(),
                        time: CHAIN * kind.chains,
                        calls: 4 * kind.chains,
                    };
                    ingress.record_work(&kind.rule.into(), &[work]);
                }
                Daemon {
                    ingress,
                    pressures: Pressures::default(),
                    rate: if index % 10 == 0 { 5.0 } else { 1.0 } * DAEMON_RATE,
                    level_bias: rng.random_range(-LEVEL_BIAS..LEVEL_BIAS),
                    report_millis: rng.random_range(10..60),
                    asked: [0; KINDS.len()],
                    refused: [0; KINDS.len()],
                }
            })
            .collect();
        let rate: f64 = daemons.iter().map(|daemon| daemon.rate).sum();
        let per_request: f64 = KINDS.iter().map(|kind| kind.part * cost(kind)).sum();
        Fleet {
            now: Instant::now(),
            rng,
            daemons,
            reporting_percent,
            capacity: rate * per_request / OVERLOAD,
            backlog: 0.0,
            arriving: VecDeque::from(vec![0.0; DELAY_MILLIS as usize]),
            levels: VecDeque::from(vec![0.0; 100]),
        }
    }

    /// Plays the burst and returns the mean level after the time to adapt, and the mean share of the slots
    /// that are in use.
    fn run(&mut self) -> (f64, f64) {
        let mut level_sum = 0.0;
        let mut used_sum = 0.0;
        for millis in 0..BURST_MILLIS {
            self.now += MILLI;
            self.serve();
            if millis == SETTLE_MILLIS {
                for daemon in &mut self.daemons {
                    daemon.asked = Default::default();
                    daemon.refused = Default::default();
                }
            }
            if millis >= SETTLE_MILLIS {
                level_sum += self.levels[0];
                used_sum += self.levels[0].min(1.0);
            }
            let admitted = (0..self.daemons.len()).map(|index| self.play_daemon(index));
            let admitted: Vec<f64> = admitted.collect();
            self.arriving.push_back(admitted.iter().sum());
        }
        let millis = (BURST_MILLIS - SETTLE_MILLIS) as f64;
        (level_sum / millis, used_sum / millis)
    }

    /// Runs the service for a millisecond.
    fn serve(&mut self) {
        self.backlog += self.arriving.pop_front().unwrap_or_default();
        let running = (self.backlog / CHAIN.as_secs_f64()).min(self.capacity);
        self.backlog -= running * MILLI.as_secs_f64();
        let full = FULL_LEVEL * self.capacity * CHAIN.as_secs_f64();
        self.backlog = self.backlog.clamp(0.0, full);
        let level = self.backlog / (self.capacity * CHAIN.as_secs_f64());
        self.levels.push_front(level);
        self.levels.pop_back();
    }

    /// Plays a millisecond of one daemon. Returns the slot time of the requests that it admits.
    fn play_daemon(&mut self, index: usize) -> f64 {
        let count = self.daemons.len();
        let daemon = &mut self.daemons[index];
        let level = self.levels[daemon.report_millis] * (1.0 + daemon.level_bias);
        let report = Pressure {
            service: SERVICE.into(),
            occupied: (level * 1_000.0) as u32,
            capacity: 1_000,
            age: MILLI * daemon.report_millis as u32,
            refused: None,
            cutoff: None,
            attempts: 0,
            shedding: None,
        };
        if self.rng.random_bool(REPLIES / 1_000.0) {
            let mut reports = [report.clone()];
            let other = self.rng.random_range(0..count);
            if self.is_reporting(index) && self.is_reporting(other) {
                self.daemons[other].ingress.report(self.now, &mut reports);
                self.daemons[index].ingress.merge(self.now, &reports);
            }
        }
        let daemon = &mut self.daemons[index];
        daemon.pressures.merge(self.now, &[report]);
        if !self.rng.random_bool(daemon.rate / 1_000.0) {
            return 0.0;
        }
        let mut point = self.rng.random_range(0.0..1.0);
        let drawn = KINDS.iter().position(|kind| {
            point -= kind.part;
            point < 0.0
        });
        let kind = drawn.unwrap_or(0);
        let rule: Arc<str> = KINDS[kind].rule.into();
        let request = IngressRequest {
            rule: &rule,
            class: 1,
            rule_class: KINDS[kind].rule_class,
            rank: 1,
            remaining: Duration::from_secs(5),
            idempotent: false,
        };
        daemon.asked[kind] += 1;
        match daemon.ingress.admit(self.now, request, &daemon.pressures) {
            Ok(()) => cost(&KINDS[kind]),
            Err(_) => {
                daemon.refused[kind] += 1;
                0.0
            }
        }
    }

    fn is_reporting(&self, index: usize) -> bool {
        index * 37 % 100 < self.reporting_percent
    }

    /// Difference between the refused shares of two halves of the daemons: those that see the lower
    /// levels and those that see the higher ones.
    fn spread(&self) -> f64 {
        let mean = |is_high: bool| {
            let half = self
                .daemons
                .iter()
                .filter(|daemon| (daemon.level_bias > 0.0) == is_high);
            let shares: Vec<f64> = half.map(Daemon::refused_share).collect();
            shares.iter().sum::<f64>() / shares.len().max(1) as f64
        };
        (mean(true) - mean(false)).abs()
    }

    /// Share of the requests of a kind that are admitted.
    fn admitted_share(&self, kind: usize) -> f64 {
        let sum = |counts: fn(&Daemon) -> &[u32; KINDS.len()]| {
            let counts = self.daemons.iter().map(|daemon| counts(daemon)[kind]);
            f64::from(counts.sum::<u32>())
        };
        1.0 - sum(|daemon| &daemon.refused) / sum(|daemon| &daemon.asked)
    }
}

fn cost(kind: &RequestKind) -> f64 {
    (CHAIN * kind.chains).as_secs_f64()
}

/// Without reports on what others refuse, each daemon's integral term follows its own deviation of the
/// level.
#[test]
fn callers_of_all_daemons_are_refused_alike() {
    for size in [16, 85, 195, 640] {
        let mut apart = Fleet::new(1, size, 0);
        apart.run();
        let mut together = Fleet::new(1, size, 100);
        let (level, used) = together.run();
        let (apart, together) = (apart.spread(), together.spread());
        println!(
            "{size} daemons: spread {apart:.3} alone, {together:.3} with reports, level {level:.3}, slots used {used:.3}"
        );
        assert!(together < 0.05, "{size}: {together:.3}");
        assert!(apart > 0.05, "{size}: {apart:.3}");
    }
}

/// Guards against a queue that is longer than the set point of the level says.
#[test]
fn the_mean_level_stays_within_five_percent_of_its_set_point() {
    const SET_POINT: f64 = 1.05;
    for size in [16, 85] {
        let (level, _) = Fleet::new(1, size, 100).run();
        assert!((level / SET_POINT - 1.0).abs() < 0.05, "{size}: {level:.3}");
    }
}

/// While hosts are replaced, daemons of the build before neither report nor follow. Guards against the
/// others following few reports away from the level.
#[test]
fn the_service_stays_in_use_while_a_part_of_the_fleet_reports() {
    let mut earlier = Fleet::new(1, 85, 0);
    let (_, used_before) = earlier.run();
    for percent in [10, 50, 90] {
        let mut mixed = Fleet::new(1, 85, percent);
        let (level, used) = mixed.run();
        println!("{percent} % report: level {level:.3}, slots used {used:.3}");
        assert!(used > used_before - 0.02, "{percent}: {used:.3}");
        assert!(level < FULL_LEVEL / 2.0, "{percent}: {level:.3}");
    }
}

/// All workspaces have one class, which takes precedence over those of the rules: the rules order the
/// requests in it. The less urgent kinds keep a part.
#[test]
fn urgent_requests_of_a_workspace_are_refused_after_the_others() {
    let mut fleet = Fleet::new(1, 85, 100);
    fleet.run();
    let [signatures, quotes, views] = [0, 1, 2].map(|kind| fleet.admitted_share(kind));
    println!("admitted: signatures {signatures:.3}, quotes {quotes:.3}, views {views:.3}");
    assert!(signatures > quotes + 0.1 && signatures > views + 0.1);
    assert!(quotes > 0.3 * signatures && views > 0.3 * signatures);
}
