//! A fleet of daemons on a simulated network, under virtual time.

use indigospur_members::{Exchange, Members, Message, Suspects};
use indigospur_protocol::{Member, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

pub(crate) const ROUND: Duration = Duration::from_secs(1);

pub(crate) fn member(index: usize) -> Member {
    Member {
        host: format!("host-{index:03}").into(),
        incarnation: 1,
        revision: 1,
        address: format!("127.0.0.1:{index}").into(),
        data_centre: "lisboa-a".into(),
        region: "lisbon".into(),
        service: "quoting".into(),
        slots: 10,
        connections: 100,
        state: State::Ready,
        instance: "".into(),
        started_ms: 0,
        leaving: false,
        rate_limit: None,
    }
}

pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) suspects: Suspects,
    pub(crate) exchange: Exchange,
    pub(crate) up: bool,
    /// Estimated size of the messages that the node received and of its replies.
    pub(crate) bytes: usize,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) rng: SmallRng,
    /// Hosts with an index below this one and the other hosts can't reach each other.
    pub(crate) partition: Option<usize>,
    /// Fraction of exchanges that fail.
    pub(crate) failure_rate: f64,
}

impl Node {
    /// Creates a daemon that knows no other.
    pub(crate) fn new(now: Instant, index: usize) -> Node {
        Node {
            members: Members::new(now, member(index)),
            suspects: Suspects::default(),
            exchange: Exchange::new(now),
            up: true,
            bytes: 0,
        }
    }
}

/// Estimated size of an encoded message in bytes.
fn wire_size(message: &Message) -> usize {
    48 + message.members.len() * 90 + message.crashes.len() * 20
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let node = |index| {
            let mut node = Node::new(now, index);
            node.members.merge(now, vec![member(0)]);
            node
        };
        let nodes = (0..size).map(node).collect();
        Fleet {
            nodes,
            now,
            rng: SmallRng::seed_from_u64(seed),
            partition: None,
            failure_rate: 0.0,
        }
    }

    pub(crate) fn round(&mut self) {
        self.now += ROUND;
        for from in 0..self.nodes.len() {
            if self.nodes[from].up {
                self.nodes[from].members.tick(self.now);
                self.exchange(from);
            }
        }
    }

    /// Advances by a quarter of a round: daemons that started a moment ago exchange each time, the others
    /// once a round.
    pub(crate) fn quarter_round(&mut self) {
        self.now += ROUND / 4;
        for from in 0..self.nodes.len() {
            let node = &mut self.nodes[from];
            let is_due = node.exchange.is_starting(self.now) || self.rng.random_bool(0.25);
            if node.up && is_due {
                node.members.tick(self.now);
                self.exchange(from);
            }
        }
    }

    pub(crate) fn can_reach(&self, from: usize, to: usize) -> bool {
        let side = |index| self.partition.is_some_and(|partition| index < partition);
        self.nodes[to].up && side(from) == side(to)
    }

    pub(crate) fn exchange(&mut self, from: usize) {
        let Some(peer) = self.nodes[from].members.choose_peer(&mut self.rng) else {
            return;
        };
        self.exchange_with(from, &peer);
    }

    pub(crate) fn exchange_with(&mut self, from: usize, peer: &Member) {
        let to: usize = peer.host[5..]
            .parse()
            .expect("the host name ends in its number");
        let lost = self.rng.random_bool(self.failure_rate);
        if lost || !self.can_reach(from, to) {
            self.nodes[from]
                .members
                .record_failure(self.now, &peer.host);
            return;
        }
        let node = &mut self.nodes[from];
        node.members.record_success(&peer.host);
        let message = node
            .exchange
            .open(self.now, &mut node.members, &mut node.suspects, 0);
        let answer = self.receive(to, &message);
        self.merge(from, &answer);
        let whole = self.needs_full_list(from, &answer);
        if whole || answer.whole {
            let node = &mut self.nodes[from];
            let mut message =
                node.exchange
                    .open(self.now, &mut node.members, &mut node.suspects, 0);
            message.whole = whole;
            if answer.whole {
                message.members = node.members.all().cloned().collect();
                message.full = true;
            }
            let answer = self.receive(to, &message);
            self.merge(from, &answer);
        }
    }

    pub(crate) fn receive(&mut self, to: usize, message: &Message) -> Message {
        self.merge(to, message);
        let node = &mut self.nodes[to];
        let answer =
            node.exchange
                .answer(self.now, &mut node.members, &mut node.suspects, 0, message);
        node.bytes += wire_size(message) + wire_size(&answer);
        answer
    }

    fn needs_full_list(&mut self, at: usize, message: &Message) -> bool {
        let node = &mut self.nodes[at];
        node.exchange
            .needs_full_list(self.now, &node.members, message)
    }

    fn merge(&mut self, at: usize, message: &Message) {
        let node = &mut self.nodes[at];
        node.exchange
            .merge(self.now, &mut node.members, &mut node.suspects, message);
    }

    pub(crate) fn rounds_until(&mut self, limit: u32, done: impl Fn(&Node) -> bool) -> u32 {
        for round in 0..limit {
            if self.nodes.iter().filter(|node| node.up).all(&done) {
                return round;
            }
            self.round();
        }
        panic!("not within {limit} rounds");
    }
}

pub(crate) fn has_state(node: &Node, host: &str, state: State) -> bool {
    node.members
        .get(host)
        .is_some_and(|member| member.state == state)
}
