//! A backend server that names a limit on its rate of calls gets no more of them, in simulated time.

use indigospur_admission::{
    Admission, Arrival, Completion, Effect, LimitPolicy, Options, Ticket, Verdict,
};
use indigospur_protocol::{Kind, Rate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time from the first naming of a limit by which it must be kept.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(now: Instant, class: u8) -> Arrival {
    Arrival {
        class,
        rank: 0,
        customer: "c".into(),
        share: 1,
        deadline: now + millis(1_200),
        waits: false,
    }
}

/// Calls that are allowed in a [`WINDOW`] at a limit in calls a second.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

/// A backend server with its admission. Each answer names the limit that the server has as the call
/// ends.
struct Server {
    epoch: Instant,
    admission: Admission,
    service_time: Duration,
    per_second: Option<f64>,
    /// When the present limit was first named, from the epoch.
    named: Option<Duration>,
    arrived: HashMap<Ticket, u8>,
    /// Running calls by their end.
    running: BTreeMap<(Instant, Ticket), Instant>,
    /// Times of all starts, from the epoch, with the class of the call.
    starts: Vec<(Duration, u8)>,
    refusals: Vec<Kind>,
}

impl Server {
    fn new(slots: u32, service_time: Duration) -> Server {
        let epoch = Instant::now();
        let options = Options {
            slots,
            policy: LimitPolicy::Slots,
            target_wait: millis(200),
            preempts: false,
            ..Options::default()
        };
        Server {
            epoch,
            admission: Admission::new(options, epoch),
            service_time,
            per_second: None,
            named: None,
            arrived: HashMap::new(),
            running: BTreeMap::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn start(&mut self, now: Instant, ticket: Ticket) {
        let class = self.arrived[&ticket];
        self.starts.push((now - self.epoch, class));
        self.running.insert((now + self.service_time, ticket), now);
    }

    fn apply(&mut self, now: Instant, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Run(ticket) => self.start(now, ticket),
                Effect::Refuse(_, refused) | Effect::Preempt(_, refused) => {
                    self.refusals.push(refused.kind);
                }
            }
        }
    }

    fn arrive(&mut self, at: Duration, class: u8) {
        self.advance(at);
        let now = self.epoch + at;
        let (verdict, effects) = self.admission.arrive(now, arrival(now, class));
        match verdict {
            Verdict::Run(ticket) => {
                self.arrived.insert(ticket, class);
                self.start(now, ticket);
            }
            Verdict::Wait(ticket) => {
                self.arrived.insert(ticket, class);
            }
            Verdict::Refuse(refused) => self.refusals.push(refused.kind),
        }
        self.apply(now, effects);
    }

    /// Ends calls and wakes the admission until `to`.
    fn advance(&mut self, to: Duration) {
        let to = self.epoch + to;
        let mut now = self.epoch;
        loop {
            let end = self.running.first_key_value().map(|(key, _)| *key);
            let tick = self.admission.next_tick(now);
            let next_end = end.map(|(at, _)| at);
            let Some(at) = next_end
                .into_iter()
                .chain(tick)
                .min()
                .filter(|at| *at <= to)
            else {
                return;
            };
            now = at.max(now);
            match end.filter(|(end, _)| *end == at) {
                Some((_, ticket)) => self.finish(now, ticket),
                None => {
                    let effects = self.admission.tick(now);
                    self.apply(now, effects);
                    let next = self.admission.next_tick(now);
                    assert!(
                        next.is_none_or(|next| next > now),
                        "it is woken for nothing"
                    );
                }
            }
        }
    }

    fn finish(&mut self, now: Instant, ticket: Ticket) {
        let Some(started) = self.running.remove(&(now, ticket)) else {
            return;
        };
        self.named.get_or_insert(now - self.epoch);
        let rate = self.per_second.and_then(Rate::per_second);
        let effects = self.admission.observe_rate_limit(now, started, rate);
        self.apply(now, effects);
        let effects = self.admission.finish(now, ticket, Completion::Answered);
        self.apply(now, effects);
    }

    /// Most starts in a [`WINDOW`] that begins in this span.
    fn most_starts(&self, from: Duration, to: Duration) -> usize {
        let times: Vec<Duration> = self.starts.iter().map(|(at, _)| *at).collect();
        let begins = times.iter().filter(|at| (from..to).contains(at));
        let in_window = |begin: &Duration| {
            let window = *begin..*begin + WINDOW;
            times.iter().filter(|at| window.contains(at)).count()
        };
        begins.map(in_window).max().unwrap_or_default()
    }
}

/// The load of the recorded day: 20 to 30 calls a second at a server with 66 slots, which names a
/// limit of 7.6 a second from 8 s on, and none from 20 s on.
#[test]
fn a_limit_is_kept_while_it_is_named_and_no_longer() {
    let mut server = Server::new(66, millis(160));
    for number in 0..750_u64 {
        let at = millis(number * 40);
        let limited = (millis(8_000)..millis(20_000)).contains(&at);
        server.per_second = limited.then_some(7.6);
        server.arrive(at, 1);
    }
    let limited = server.most_starts(millis(11_000), millis(16_000));
    assert!(limited <= allowed(7.6), "{limited}");
    assert!(limited >= 28, "{limited}: the limit is used");
    assert!(server.most_starts(millis(2_000), millis(4_000)) >= 99);
    assert!(server.most_starts(millis(22_000), millis(25_000)) >= 99);
    let kinds = server.refusals.iter();
    assert!(!server.refusals.is_empty());
    assert!(kinds.clone().all(|kind| *kind == Kind::RateLimited));
}

#[test]
fn a_raised_limit_applies_from_the_answer_that_names_it() {
    let mut server = Server::new(66, millis(20));
    let mut raised = None;
    for number in 0..600_u64 {
        let at = millis(number * 20);
        if at == millis(8_000) {
            (server.per_second, server.named) = (Some(20.0), None);
        } else if at < millis(8_000) {
            server.per_second = Some(0.5);
        } else {
            raised = raised.or(server.named);
        }
        server.arrive(at, 1);
    }
    let raised = raised.expect("an answer names the raised limit");
    let second = raised..raised + millis(1_000);
    let starts = server
        .starts
        .iter()
        .filter(|start| second.contains(&start.0));
    assert!(starts.count() >= 18);
}

#[test]
fn calls_of_higher_priority_start_first_under_a_limit() {
    let mut server = Server::new(66, millis(50));
    server.per_second = Some(10.0);
    for number in 0..400_u64 {
        server.arrive(millis(number * 25), if number % 4 == 0 { 0 } else { 2 });
    }
    let count = |class: u8| {
        let later = |start: &&(Duration, u8)| start.0 > millis(1_000) && start.1 == class;
        server.starts.iter().filter(later).count()
    };
    // Nine seconds of ten calls a second of the high class, as many as the limit allows.
    let (high, low) = (count(0), count(2));
    assert!(high >= 85, "{high} and {low}");
    assert!(low <= 5, "{high} and {low}");
}

#[test]
fn an_answer_without_a_limit_counts_only_if_its_call_started_after_the_limit_was_named() {
    let now = Instant::now();
    let mut admission = Admission::new(Options::default(), now);
    let rate = Rate::per_second(2.0);
    admission.observe_rate_limit(now + millis(100), now, rate);
    admission.observe_rate_limit(now + millis(110), now + millis(50), None);
    assert_eq!(admission.rate_limit(), rate, "it may have been made before");
    admission.observe_rate_limit(now + millis(300), now + millis(200), None);
    assert_eq!(admission.rate_limit(), None);
}

#[test]
fn the_reported_limit_is_the_concurrency_that_the_rate_sustains() {
    let mut server = Server::new(66, millis(500));
    server.per_second = Some(4.0);
    for number in 0..40_u64 {
        server.arrive(millis(number * 100), 1);
    }
    let load = server.admission.load(server.epoch + millis(4_000));
    assert_eq!(load.limit, 2);
}

/// A limit, in tenths of a call a second, and the milliseconds for which it is named.
fn phases() -> impl Strategy<Value = Vec<(Option<u64>, u64)>> {
    let limit = prop_oneof![Just(None), (0..400_u64).prop_map(Some)];
    prop::collection::vec((limit, 8_000..12_000_u64), 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(20), ..ProptestConfig::default() })]

    #[test]
    fn any_series_of_limits_is_kept_under_any_load(
        phases in phases(),
        slots in 1..80_u32,
        service_millis in 1..800_u64,
        gaps in prop::collection::vec(0..60_u64, 50),
    ) {
        let mut server = Server::new(slots, millis(service_millis));
        let mut gaps = gaps.into_iter().cycle();
        let mut at = 0;
        for (limit, length) in phases {
            let end = at + length;
            server.per_second = limit.map(|tenths| tenths as f64 / 10.0);
            server.named = None;
            while at < end {
                server.arrive(millis(at), (at % 3) as u8);
                at += gaps.next().unwrap_or(1).max(1);
            }
            server.advance(millis(end));
            let (Some(limit), Some(named)) = (server.per_second, server.named) else {
                continue;
            };
            let last_begin = millis(end).saturating_sub(WINDOW);
            let most = server.most_starts(named + STABILITY_WINDOW, last_begin);
            prop_assert!(most <= allowed(limit), "{most} starts at a limit of {limit}");
        }
    }
}
