//! Random simulation of daemons, log and network, which checks that each key runs at most once.

use crate::support::{OPTIONS, epoch, id, index_of, new_key};
use indigospur_once::{ClaimOutcome, HandOver, Once, RecordOutcome, executor_candidates, home_of};
use indigospur_protocol::{EpochRecord, HostId, Key};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Debug)]
enum Message {
    Dispatch { from: usize, epoch: u64, key: Key },
    HandOver(HandOver),
}

/// A dispatch that was recorded but not yet sent to the backend server.
#[derive(Clone, Debug)]
struct Pending {
    at: usize,
    incarnation: u64,
    key: Key,
    /// Time after which the backend server refuses the call.
    deadline: Instant,
}

/// Daemons, log and network of one service.
struct Simulation {
    rng: SmallRng,
    now: Instant,
    wall: SystemTime,
    log: Vec<EpochRecord>,
    log_available: bool,
    nodes: Vec<Option<Once>>,
    incarnations: Vec<u64>,
    paused: Vec<bool>,
    partitioned: Vec<bool>,
    in_flight: Vec<(usize, Message)>,
    pending: Vec<Pending>,
    keys: Vec<Key>,
    runs: HashMap<Key, u32>,
    claims: BTreeMap<&'static str, u32>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = rng.random_range(1..6);
        let (now, wall) = (
            Instant::now(),
            SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
        );
        let keys = Vec::new();
        let mut simulation = Simulation {
            rng,
            now,
            wall,
            log: Vec::new(),
            log_available: true,
            nodes: Vec::new(),
            incarnations: vec![0; size],
            paused: vec![false; size],
            partitioned: vec![false; size],
            in_flight: Vec::new(),
            pending: Vec::new(),
            keys,
            runs: HashMap::new(),
            claims: BTreeMap::new(),
        };
        simulation.nodes = (0..size).map(|_| None).collect();
        (0..size).for_each(|index| simulation.start(index));
        simulation.append();
        simulation
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    fn is_active(&self, index: usize) -> bool {
        self.nodes[index].is_some() && !self.paused[index]
    }

    fn start(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let mut once = Once::new(Some(self.now), id(index, self.incarnations[index]), OPTIONS);
        self.log.iter().for_each(|record| {
            once.apply(self.now, self.wall, record.clone());
        });
        self.nodes[index] = Some(once);
        self.paused[index] = false;
    }

    /// Appends an epoch with the members that seem alive, which may include dead or unreachable
    /// ones.
    fn append(&mut self) {
        let mut members = Vec::new();
        for index in 0..self.nodes.len() {
            let alive = self.is_active(index) && !self.partitioned[index];
            if alive || self.rng.random_bool(0.1) {
                members.push(id(index, self.incarnations[index]));
            }
        }
        let number = self.log.len() as u64 + 1;
        if self.log_available && !members.is_empty() {
            self.log.push(epoch(number, &members));
        }
    }

    fn read_log(&mut self, index: usize) {
        if !self.log_available || !self.is_active(index) || self.partitioned[index] {
            return;
        }
        let (now, wall) = (self.now, self.wall);
        let Some(once) = self.nodes[index].as_mut() else {
            return;
        };
        self.log.iter().for_each(|record| {
            once.apply(now, wall, record.clone());
        });
        once.renew_lease(now);
        once.tick(now);
    }

    fn hand_over(&mut self, index: usize) {
        if !self.is_active(index) {
            return;
        }
        let Some(once) = self.nodes[index].as_ref() else {
            return;
        };
        let hosts: Vec<HostId> = once
            .current()
            .into_iter()
            .flat_map(|record| &record.members)
            .map(|m| m.host.clone())
            .collect();
        let sent: Vec<(usize, Message)> = hosts
            .iter()
            .filter_map(|host| {
                let hand_over = once.hand_over(self.now, host)?;
                Some((index_of(host), Message::HandOver(hand_over)))
            })
            .collect();
        self.send(index, sent);
    }

    fn send(&mut self, from: usize, messages: Vec<(usize, Message)>) {
        let lost = |simulation: &mut Simulation, to: usize| {
            simulation.partitioned[from] != simulation.partitioned[to]
                || simulation.rng.random_bool(0.1)
        };
        for (to, message) in messages {
            if !lost(self, to) {
                self.in_flight.push((to, message));
            }
        }
    }

    fn claim(&mut self, index: usize) {
        if !self.is_active(index) {
            return;
        }
        if self.keys.is_empty() || self.rng.random_bool(0.3) {
            let key = if self.rng.random_bool(0.7) {
                new_key(self.wall, &mut self.rng)
            } else {
                format!("plain-{}", self.keys.len()).as_str().into()
            };
            self.keys.push(key);
        }
        let recent = self.keys.len().saturating_sub(8);
        let key = self.keys[self.rng.random_range(recent..self.keys.len())].clone();
        let (now, wall) = (self.now, self.wall);
        let Some(current) = self.nodes[index].as_ref().and_then(Once::current) else {
            return;
        };
        let believed = home_of(current, &key).map_or(index, |home| index_of(&home.host));
        let index = if self.is_active(believed) {
            believed
        } else {
            index
        };
        let Some(once) = self.nodes[index].as_mut() else {
            return;
        };
        let claim = once.claim(now, wall, &key, 1);
        self.count(&claim);
        let ClaimOutcome::Granted(epoch) = claim else {
            return;
        };
        let current = self.nodes[index].as_ref().and_then(Once::current).cloned();
        let candidates = current
            .as_ref()
            .map(|record| executor_candidates(record, &key))
            .unwrap_or_default();
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        let to = index_of(&chosen.host);
        self.send(
            index,
            vec![(
                to,
                Message::Dispatch {
                    from: index,
                    epoch,
                    key: key.clone(),
                },
            )],
        );
        if let Some(once) = self.nodes[index].as_mut() {
            once.mark_uncertain(&key);
        }
    }

    fn count(&mut self, claim: &ClaimOutcome) {
        let name = match claim {
            ClaimOutcome::Granted(_) => "granted",
            ClaimOutcome::NotServing => "not serving",
            ClaimOutcome::Uncertain => "uncertain",
            ClaimOutcome::NotHome(_) => "not home",
            _ => "other",
        };
        *self.claims.entry(name).or_default() += 1;
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.in_flight.len());
        if !self.is_active(self.in_flight[at].0) {
            return;
        }
        let (to, message) = self.in_flight.swap_remove(at);
        let (now, wall) = (self.now, self.wall);
        let Some(once) = self.nodes[to].as_mut() else {
            return;
        };
        match message {
            Message::HandOver(hand_over) => {
                once.apply_hand_over(now, wall, hand_over);
            }
            Message::Dispatch { from, epoch, key } => {
                let home = id(from, 1).host;
                if once.record(now, epoch, &home, &key, 1) == RecordOutcome::Run {
                    let incarnation = self.incarnations[to];
                    let deadline = now + OPTIONS.longest_call;
                    self.pending.push(Pending {
                        at: to,
                        incarnation,
                        key,
                        deadline,
                    });
                }
            }
        }
    }

    /// Sends a recorded dispatch to the backend server, unless its daemon was restarted since or
    /// the deadline has passed.
    fn run_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.pending.len());
        if !self.is_active(self.pending[at].at) {
            return;
        }
        let Pending {
            at,
            incarnation,
            key,
            deadline,
        } = self.pending.swap_remove(at);
        if self.incarnations[at] != incarnation || self.now > deadline {
            return;
        }
        *self.runs.entry(key.clone()).or_default() += 1;
        if let Some(once) = self.nodes[at].as_mut() {
            once.finish_run(&key);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(500);
        self.wall += Duration::from_millis(500);
        let index = self.random_node();
        match self.rng.random_range(0..100) {
            0..2 => {
                self.nodes[index] = None;
            }
            2..6 => {
                if self.nodes[index].is_none() {
                    self.start(index)
                }
            }
            6..8 => self.paused[index] = true,
            8..14 => self.paused[index] = false,
            14..16 => self.partitioned[index] = true,
            16..22 => self.partitioned[index] = false,
            22 => self.log_available = !self.log_available,
            23..26 => self.append(),
            26..40 => self.read_log(index),
            40..55 => self.hand_over(index),
            55..70 => self.claim(index),
            70..85 => self.deliver(),
            _ => self.run_pending(),
        }
    }

    fn max_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or_default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_under_random_failures(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        for step in 0..600 {
            simulation.step();
            prop_assert!(simulation.max_runs() <= 1, "step {}", step);
        }
    }
}
