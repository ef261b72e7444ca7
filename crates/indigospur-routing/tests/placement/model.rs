//! Servers, calling daemons and links in virtual time. Each daemon has a router of its own, which
//! learns the load of the servers only from replies.

use crate::scenario::{OBJECTIVE, Results, Scenario, WORK};
use indigospur_protocol::{HostId, Load, Member, Pace, State};
use indigospur_routing::{AttemptResult, Criteria, Policy, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

pub(crate) const SERVICE: &str = "menu";
/// Work of the longest call, as a factor on the mean; the shortest is as far below.
const LONGEST_WORK: f64 = 1.4;
const SLOTS: u32 = 12;
/// Largest number of data centres.
const CENTRES: usize = 4;
/// Utilisation of the slots from which a server is slower, and by what factor.
const KNEE: (f64, f64) = (0.95, 1.3);
/// Factor on the work in a slow phase, and the length of a phase in seconds.
const SLOW: (f64, f64) = (2.5, 0.6);
/// One-way latency within a data centre and between two, in seconds.
const LATENCY: (f64, f64) = (0.000_15, 0.001_2);
/// Size of a response in bits.
const RESPONSE_BITS: f64 = 8.0 * 20_000.0;
/// Weight of the last call in the service time of load reports, as in admission.
const SMOOTHING: f64 = 1.0 / 16.0;
/// Time in which the routers learn the loads, in seconds; left out of the results.
const WARM_UP: f64 = 1.0;

enum Event {
    /// A caller in this data centre makes the next call.
    Call(usize),
    Arrive(usize),
    Finish(usize),
    Reply(usize),
    /// The servers of the first data centre are lost.
    Lose,
}

struct Server {
    data_centre: usize,
    speed: f64,
    running: u32,
    waiting: VecDeque<usize>,
    service_time: Option<f64>,
    /// Mean slowness of the calls in `service_time`.
    slowness: f64,
}

struct Call {
    caller: usize,
    server: usize,
    sent: f64,
    arrived: f64,
    started: f64,
    load: Load,
    refused: bool,
}

struct Model<'a> {
    scenario: &'a Scenario,
    seed: u64,
    start: Instant,
    now: f64,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    /// Events by their number in `events`, so that those of one moment keep their order.
    queued: Vec<Event>,
    servers: Vec<Server>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    /// When each link between two data centres has sent what it was given.
    links: [[f64; CENTRES]; CENTRES],
    results: Results,
}

pub(crate) fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Results {
    let members: Vec<Member> = (0..scenario.servers.len())
        .map(|index| member(index, scenario.servers[index].0))
        .collect();
    let routers = scenario.callers.iter().map(|data_centre| {
        let mut router = Router::new(format!("dc-{data_centre}").into(), "r".into());
        members.iter().for_each(|member| router.update(member));
        router.set_policy(policy);
        router
    });
    let servers = scenario.servers.iter().map(|(data_centre, speed)| Server {
        data_centre: *data_centre,
        speed: *speed,
        running: 0,
        waiting: VecDeque::new(),
        service_time: None,
        slowness: 1.0,
    });
    let mut model = Model {
        scenario,
        seed,
        start: Instant::now(),
        now: 0.0,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        queued: Vec::new(),
        servers: servers.collect(),
        routers: routers.collect(),
        calls: Vec::new(),
        links: [[0.0; CENTRES]; CENTRES],
        results: Results::default(),
    };
    model.run();
    model.results
}

fn member(index: usize, data_centre: usize) -> Member {
    Member {
        host: format!("{index}").into(),
        incarnation: 1,
        revision: 1,
        address: "127.0.0.1:1".into(),
        data_centre: format!("dc-{data_centre}").into(),
        region: "r".into(),
        service: SERVICE.into(),
        slots: SLOTS,
        connections: 100,
        state: State::Ready,
        instance: "".into(),
        started_ms: 0,
        leaving: false,
        rate_limit: None,
    }
}

impl Model<'_> {
    fn run(&mut self) {
        for data_centre in 0..CENTRES {
            if self.scenario.callers.contains(&data_centre) {
                self.schedule(0.0, Event::Call(data_centre));
            }
        }
        if let Some(at) = self.scenario.lost {
            self.schedule(at, Event::Lose);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e9;
            match self.queued[number] {
                Event::Call(data_centre) => self.call(data_centre),
                Event::Arrive(call) => self.arrive(call),
                Event::Finish(call) => self.finish(call),
                Event::Reply(call) => self.reply(call),
                Event::Lose => self.lose(),
            }
        }
        self.results.times.sort_by(f64::total_cmp);
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        let at = ((self.now + delay) * 1e9) as u64;
        self.events.push(Reverse((at, self.queued.len())));
        self.queued.push(event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    /// Sends a call from a random daemon of the data centre, and schedules the next one.
    fn call(&mut self, data_centre: usize) {
        if self.now > self.scenario.seconds {
            return;
        }
        let rate = (self.scenario.demand)(data_centre, self.now) * self.scenario.capacity();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1.0);
        self.schedule(gap, Event::Call(data_centre));
        let callers = &self.scenario.callers;
        let own: Vec<usize> = (0..callers.len())
            .filter(|caller| callers[*caller] == data_centre)
            .collect();
        let caller = own[self.rng.random_range(0..own.len())];
        let now = self.instant();
        let criteria = Criteria {
            service: SERVICE,
            avoid: &[],
            remaining: Some(Duration::from_secs_f64(OBJECTIVE)),
        };
        let chosen = self.routers[caller].choose(now, &mut self.rng, criteria);
        let chosen = chosen.expect("an upstream is ready");
        let server: usize = chosen.host.parse().expect("hosts are numbered");
        let leaves = self.servers[server].data_centre != data_centre;
        self.count(leaves);
        self.calls.push(Call {
            caller,
            server,
            sent: self.now,
            arrived: 0.0,
            started: 0.0,
            load: Load::default(),
            refused: false,
        });
        self.schedule(latency(leaves), Event::Arrive(self.calls.len() - 1));
    }

    fn count(&mut self, leaves: bool) {
        let tenth = (self.now * 10.0) as usize;
        self.results.by_tenth.resize(tenth + 1, (0, 0));
        self.results.by_tenth[tenth].0 += usize::from(leaves);
        self.results.by_tenth[tenth].1 += 1;
        let step = (self.now * 20.0) as usize;
        if step >= self.results.shares.len() {
            let share = self.mean_share();
            self.results.shares.resize(step + 1, share);
        }
        if self.now >= WARM_UP {
            self.results.calls += 1;
            self.results.left += usize::from(leaves);
        }
    }

    /// Mean over the daemons of the first data centre of the share of the calls that leaves.
    fn mean_share(&self) -> f64 {
        let daemons = self.routers.iter().zip(&self.scenario.callers);
        let own: Vec<f64> = daemons
            .filter(|(_, data_centre)| **data_centre == 0)
            .map(|(router, _)| router.leaving_shares().map(|(_, share)| share).sum())
            .collect();
        own.iter().sum::<f64>() / own.len() as f64
    }

    /// Tells all daemons that the servers of the first data centre are down. Calls there still end.
    fn lose(&mut self) {
        for (index, (data_centre, _)) in self.scenario.servers.iter().enumerate() {
            if *data_centre == 0 {
                let down = Member {
                    revision: 2,
                    state: State::Down,
                    ..member(index, 0)
                };
                self.routers
                    .iter_mut()
                    .for_each(|router| router.update(&down));
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        self.calls[call].arrived = self.now;
        let limit = self.scenario.limit;
        let server = &mut self.servers[self.calls[call].server];
        let service_time = server.service_time.unwrap_or(WORK);
        let wait = service_time * server.waiting.len() as f64 / f64::from(limit);
        let elapsed = self.now - self.calls[call].sent;
        if server.running < limit {
            self.begin(call);
        } else if elapsed + wait + LONGEST_WORK * service_time < OBJECTIVE {
            server.waiting.push_back(call);
        } else {
            self.calls[call].refused = true;
            self.send_reply(call);
        }
    }

    fn begin(&mut self, call: usize) {
        self.calls[call].started = self.now;
        let index = self.calls[call].server;
        let slowness = self.slowness(index);
        let server = &mut self.servers[index];
        server.running += 1;
        let full = f64::from(server.running) >= KNEE.0 * f64::from(SLOTS);
        let knee = if full { KNEE.1 } else { 1.0 };
        let work = WORK * self.rng.random_range(2.0 - LONGEST_WORK..LONGEST_WORK);
        let took = work * slowness * knee / server.speed;
        self.schedule(took, Event::Finish(call));
    }

    /// Factor on the work at a server; slow phases begin at other times at each server.
    fn slowness(&self, server: usize) -> f64 {
        let offset = server as f64 * 0.618;
        let phase = (self.now / SLOW.1 + offset) as u64;
        let seed = self.seed ^ ((server as u64) << 32) ^ phase;
        let is_slow = SmallRng::seed_from_u64(seed).random_bool(self.scenario.slow.0);
        if is_slow { SLOW.0 } else { 1.0 }
    }

    fn finish(&mut self, call: usize) {
        let took = self.now - self.calls[call].started;
        let slowness = self.slowness(self.calls[call].server);
        let server = &mut self.servers[self.calls[call].server];
        server.running -= 1;
        server.slowness += SMOOTHING * (slowness - server.slowness);
        let mean = server.service_time.unwrap_or(took);
        server.service_time = Some(mean + SMOOTHING * (took - mean));
        if let Some(next) = server.waiting.pop_front() {
            self.begin(next);
        }
        self.send_reply(call);
    }

    fn send_reply(&mut self, call: usize) {
        let Call { server, caller, .. } = self.calls[call];
        self.calls[call].load = Load {
            residence: Duration::from_secs_f64(self.now - self.calls[call].arrived),
            ..self.load(server)
        };
        let from = self.servers[server].data_centre;
        let to = self.scenario.callers[caller];
        let mut delay = latency(from != to);
        if from != to {
            let free = self.links[from][to].max(self.now) + RESPONSE_BITS / self.scenario.link;
            self.links[from][to] = free;
            delay += free - self.now;
        }
        self.schedule(delay, Event::Reply(call));
    }

    fn load(&self, index: usize) -> Load {
        let server = &self.servers[index];
        Load {
            in_flight: server.running,
            limit: self.scenario.limit,
            queued: server.waiting.len() as u32,
            service_time: Duration::from_secs_f64(server.service_time.unwrap_or_default()),
            incarnation: 1,
            pace: match self.scenario.slow.1 {
                true => Pace::from_factor(self.slowness(index) / server.slowness),
                false => Pace::USUAL,
            },
            paced: true,
            residence: Duration::ZERO,
        }
    }

    fn reply(&mut self, call: usize) {
        let now = self.instant();
        let call = &self.calls[call];
        let host: HostId = format!("{}", call.server).into();
        let router = &mut self.routers[call.caller];
        let took = Duration::from_secs_f64(self.now - call.sent);
        router.record_reply_time(now, SERVICE, &host, took, call.load);
        router.finish(now, SERVICE, &host, AttemptResult::Replied, Some(call.load));
        if !call.refused && call.sent >= WARM_UP {
            self.results.times.push(self.now - call.sent);
        }
    }
}

fn latency(leaves: bool) -> f64 {
    if leaves { LATENCY.1 } else { LATENCY.0 }
}
