//! The load of a day on which one deep service is the whole capacity of the graph: two kinds of
//! request, each with four calls in a row to a service of three unequal upstreams, a burst beyond
//! its slots, and callers that come back once. In virtual time.

use indigospur_admission::{
    Admission, Arrival, Asking, Effect, Entry, Finish, LimitPolicy, Options, Pressures, Ticket,
    Verdict,
};
use indigospur_protocol::{Class, Pressure, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MILLI: Duration = Duration::from_millis(1);
const TIGHT: &str = "accounts";
/// Daemons at which requests arrive.
const ENTRIES: usize = 15;
/// Calls of one request to the tight service.
const CALLS: u32 = 4;
const CALL_WORK: f64 = 55.0;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
const SLOTS: u32 = 39;
/// Age of what the entries know of the tight service.
const NEWS_AGE: usize = 100;
const BURST: std::ops::Range<u64> = 3_000..18_000;
const END: u64 = 24_000;

/// A kind of request.
struct Kind {
    rule: &'static str,
    class: Class,
    /// Requests a second, all entries together.
    rate: f64,
    worth: f64,
    objective: Duration,
    timeout: Duration,
}

const KINDS: [Kind; 2] = [
    Kind {
        rule: "quotes",
        class: 2,
        rate: 236.0,
        worth: 1.0,
        objective: Duration::from_millis(1_500),
        timeout: Duration::from_millis(1_200),
    },
    Kind {
        rule: "signatures",
        class: 0,
        rate: 91.0,
        worth: 3.0,
        objective: Duration::from_millis(2_000),
        timeout: Duration::from_millis(1_500),
    },
];

struct Request {
    kind: usize,
    entry: usize,
    first: Instant,
    deadline: Instant,
    calls_left: u32,
    returned: bool,
    /// Slot time it has taken so far.
    used: Duration,
}

struct Station {
    admission: Admission,
    speed: f64,
    calls: HashMap<Ticket, usize>,
    running: BTreeMap<(Instant, Ticket), Duration>,
}

#[derive(Debug, Default)]
struct Outcome {
    earned: f64,
    owed: f64,
    served: [u32; 2],
    asked: [u32; 2],
    used: Duration,
    wasted: Duration,
}

struct World {
    now: Instant,
    rng: SmallRng,
    stations: Vec<Station>,
    entries: Vec<Entry>,
    controlled: bool,
    /// Class at the stations of a call inside a request's chain.
    class: fn(Class) -> Class,
    /// Stations that are gone from the start of the burst on.
    lost: usize,
    told: Pressures,
    news: VecDeque<Pressure>,
    requests: Vec<Request>,
    /// Requests that come back, by the time they do.
    returning: BTreeMap<(Instant, usize), (usize, usize, Instant)>,
    outcome: Outcome,
}

impl World {
    fn new(seed: u64, controlled: bool) -> World {
        let class = |class| Arrival::chain_class(class, true);
        let now = Instant::now();
        let options = Options {
            policy: LimitPolicy::Aimd,
            slots: SLOTS,
            preempts: false,
            fill: 92,
            ..Options::default()
        };
        let station = |speed| Station {
            admission: Admission::new(options, now),
            speed,
            calls: HashMap::new(),
            running: BTreeMap::new(),
        };
        let mut entries: Vec<Entry> = (0..ENTRIES as u64).map(Entry::new).collect();
        for entry in &mut entries {
            for kind in &KINDS {
                let work = Work {
                    service: TIGHT.into(),
                    time: Duration::from_millis(220),
                };
                entry.learn(&kind.rule.into(), &[work]);
            }
        }
        World {
            now,
            rng: SmallRng::seed_from_u64(seed),
            stations: SPEEDS.map(station).into(),
            entries,
            controlled,
            class,
            lost: 0,
            told: Pressures::default(),
            news: VecDeque::new(),
            requests: Vec::new(),
            returning: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(self, burst: f64) -> Outcome {
        self.run_after(burst, |_| {})
    }

    /// Plays the load with a change at the start of the burst.
    fn run_after(mut self, burst: f64, change: impl Fn(&mut World)) -> Outcome {
        for milli in 0..END {
            if milli == BURST.start {
                change(&mut self);
            }
            self.now += MILLI;
            self.tell();
            let factor = if BURST.contains(&milli) { burst } else { 0.6 };
            for (kind, asked) in KINDS.iter().enumerate() {
                if self.rng.random_bool(asked.rate * factor / 1_000.0) {
                    self.outcome.owed += asked.worth;
                    self.outcome.asked[kind] += 1;
                    let entry = self.rng.random_range(0..ENTRIES);
                    self.arrive(kind, entry, self.now, false);
                }
            }
            while let Some((key, (kind, entry, first))) = self.returning.pop_first() {
                if key.0 > self.now {
                    self.returning.insert(key, (kind, entry, first));
                    break;
                }
                self.arrive(kind, entry, first, true);
            }
            self.work();
        }
        self.outcome
    }

    /// Stations that take calls: the slow ones are lost last.
    fn usable(&self) -> std::ops::Range<usize> {
        0..self.stations.len() - self.lost
    }

    /// Tells the entries what the tight service was like some time ago.
    fn tell(&mut self) {
        let loads = self
            .usable()
            .map(|i| self.stations[i].admission.load(self.now));
        let (occupied, capacity) = loads.fold((0, 0), |(occupied, capacity), load| {
            (
                occupied + load.in_flight + load.queued,
                capacity + load.limit,
            )
        });
        self.news.push_back(Pressure {
            service: TIGHT.into(),
            occupied,
            capacity,
            age: MILLI * NEWS_AGE as u32,
        });
        if self.news.len() > NEWS_AGE {
            let told = self.news.pop_front();
            self.told.hear(self.now, told.as_slice());
        }
    }

    fn arrive(&mut self, kind: usize, entry: usize, first: Instant, returned: bool) {
        let Kind {
            rule,
            class,
            objective,
            timeout,
            ..
        } = KINDS[kind];
        let rule: Arc<str> = rule.into();
        let asking = Asking {
            rule: &rule,
            class,
            objective,
        };
        if self.controlled
            && let Err(shed) = self.entries[entry].admit(self.now, asking, &self.told)
        {
            if !returned {
                let key = (self.now + shed.retry_after, self.requests.len());
                self.returning.insert(key, (kind, entry, first));
                self.requests.push(Request {
                    kind,
                    entry,
                    first,
                    deadline: self.now,
                    calls_left: 0,
                    returned,
                    used: Duration::ZERO,
                });
            }
            return;
        }
        self.requests.push(Request {
            kind,
            entry,
            first,
            deadline: self.now + timeout,
            calls_left: CALLS,
            returned,
            used: Duration::ZERO,
        });
        self.call(self.requests.len() - 1);
    }

    /// The next call of a request, at the station with the least calls over its limit.
    fn call(&mut self, request: usize) {
        let score = |station: &Station| {
            let load = station.admission.load(self.now);
            u64::from(load.in_flight + load.queued) * 1_000 / u64::from(load.limit)
        };
        let best = self
            .usable()
            .min_by_key(|index| score(&self.stations[*index]));
        let index = best.expect("there are stations");
        let asked = &self.requests[request];
        let arrival = Arrival {
            class: (self.class)(KINDS[asked.kind].class),
            rank: 0,
            customer: "anonymous".into(),
            share: 1,
            deadline: asked.deadline.min(self.now + Duration::from_millis(700)),
            waits: false,
        };
        let (verdict, effects) = self.stations[index].admission.arrive(self.now, arrival);
        match verdict {
            Verdict::Run(ticket) => {
                self.stations[index].calls.insert(ticket, request);
                self.start(index, ticket);
            }
            Verdict::Wait(ticket) => {
                self.stations[index].calls.insert(ticket, request);
            }
            Verdict::Refuse(_) => self.fail(request),
        }
        self.apply(index, effects);
    }

    fn start(&mut self, index: usize, ticket: Ticket) {
        let work = CALL_WORK * self.stations[index].speed * self.rng.random_range(0.5..1.5);
        let work = Duration::from_secs_f64(work / 1_000.0);
        self.stations[index]
            .running
            .insert((self.now + work, ticket), work);
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(ticket) => self.start(index, ticket),
                Effect::Refuse(ticket, _) | Effect::Preempt(ticket, _) => {
                    if let Some(request) = self.stations[index].calls.remove(&ticket) {
                        self.fail(request);
                    }
                }
            }
        }
    }

    fn work(&mut self) {
        for index in 0..self.stations.len() {
            while let Some((&(at, ticket), &work)) = self.stations[index].running.first_key_value()
            {
                if at > self.now {
                    break;
                }
                self.stations[index].running.pop_first();
                let finished =
                    self.stations[index]
                        .admission
                        .finish(self.now, ticket, Finish::Answered);
                let request = self.stations[index].calls.remove(&ticket);
                self.apply(index, finished);
                if let Some(request) = request {
                    self.outcome.used += work;
                    self.advance(request, work);
                }
            }
            let effects = self.stations[index].admission.tick(self.now);
            self.apply(index, effects);
        }
    }

    fn advance(&mut self, request: usize, work: Duration) {
        let now = self.now;
        let asked = &mut self.requests[request];
        asked.used += work;
        asked.calls_left = asked.calls_left.saturating_sub(1);
        if now > asked.deadline {
            self.fail(request);
        } else if asked.calls_left > 0 {
            self.call(request);
        } else {
            let kind = &KINDS[asked.kind];
            let in_time = now.saturating_duration_since(asked.first) <= kind.objective;
            self.outcome.earned += kind.worth * if in_time { 1.0 } else { 0.3 };
            self.outcome.served[asked.kind] += 1;
        }
    }

    /// A request whose call is refused is lost with all the work done for it. Its caller tries once
    /// more.
    fn fail(&mut self, request: usize) {
        let asked = &self.requests[request];
        self.outcome.wasted += asked.used;
        if !asked.returned {
            let key = (self.now + Duration::from_millis(300), request);
            let value = (asked.kind, asked.entry, asked.first);
            self.returning.insert(key, value);
        }
    }
}

/// Share of the urgent kind that is served when two of three stations leave at the usual demand.
fn urgent_share_after_loss(class: fn(Class) -> Class) -> f64 {
    const SEEDS: u64 = 5;
    let shares = (0..SEEDS).map(|seed| {
        let mut world = World::new(seed, true);
        world.class = class;
        let outcome = world.run_after(2.4, |world| world.lost = 2);
        f64::from(outcome.served[1]) / f64::from(outcome.asked[1])
    });
    shares.sum::<f64>() / SEEDS as f64
}

fn mean(burst: f64, controlled: bool) -> (f64, f64, Outcome) {
    const SEEDS: u64 = 3;
    let mut earned = 0.0;
    let mut wasted = 0.0;
    let mut last = Outcome::default();
    for seed in 0..SEEDS {
        last = World::new(seed, controlled).run(burst);
        earned += last.earned / last.owed;
        wasted += last.wasted.as_secs_f64() / last.used.as_secs_f64();
    }
    (earned / SEEDS as f64, wasted / SEEDS as f64, last)
}

#[test]
fn refusing_at_the_entry_what_a_deep_service_lacks_earns_more_and_wastes_little() {
    for burst in [2.0, 2.5] {
        let (without, wasted_without, _) = mean(burst, false);
        let (with, wasted, _) = mean(burst, true);
        assert!(with > without + 0.1, "{burst}: {with:.3} {without:.3}");
        assert!(wasted < 0.03, "{burst}: {wasted:.3} {wasted_without:.3}");
    }
}

#[test]
fn the_urgent_kind_is_not_served_less_often_than_the_other() {
    for burst in [2.0, 2.5] {
        let (_, _, last) = mean(burst, true);
        let share = |kind: usize| f64::from(last.served[kind]) / f64::from(last.asked[kind]);
        assert!(share(1) >= share(0) - 0.02, "{burst}: {last:?}");
        assert!(share(1) > 0.9, "{burst}: {last:?}");
    }
}

/// Until the entries have found the new level the queue of the tight service is full.
#[test]
fn while_the_entries_adapt_to_a_loss_the_calls_of_urgent_requests_go_first() {
    let equal = urgent_share_after_loss(|_| 0);
    let ordered = urgent_share_after_loss(|class| Arrival::chain_class(class, true));
    assert!(ordered > equal + 0.1, "{ordered:.3} {equal:.3}");
    assert!(ordered > 0.8, "{ordered:.3} {equal:.3}");
}

#[test]
fn a_load_within_the_slots_is_let_in_whole() {
    let (earned, _, _) = mean(1.0, true);
    assert!(earned > 0.98, "{earned:.3}");
}

/// A daemon that has just started hears of a full service before it knows which rules need it.
#[test]
fn a_rule_whose_cost_is_not_known_yet_is_held_back_by_a_full_service_and_let_in_without_one() {
    let mut now = Instant::now();
    let asking = |rule| Asking {
        rule,
        class: 2,
        objective: Duration::from_secs(1),
    };
    let pressure = |occupied| Pressure {
        service: TIGHT.into(),
        occupied,
        capacity: 36,
        age: Duration::ZERO,
    };
    let rule: Arc<str> = "quotes".into();
    let let_in = |occupied, now: &mut Instant| {
        let mut entry = Entry::new(1);
        let mut told = Pressures::default();
        let admit = |_| {
            *now += 10 * MILLI;
            told.hear(*now, &[pressure(occupied)]);
            entry.admit(*now, asking(&rule), &told).is_ok()
        };
        (0..400).map(admit).filter(|admitted| *admitted).count()
    };
    assert!(let_in(140, &mut now) < 200);
    assert_eq!(let_in(20, &mut now), 400);
}
