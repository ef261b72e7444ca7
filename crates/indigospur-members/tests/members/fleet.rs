//! A fleet of daemons over a fake network under virtual time.

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
    }
}

pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) suspects: Suspects,
    pub(crate) exchange: Exchange,
    pub(crate) up: bool,
    pub(crate) bytes: usize,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) rng: SmallRng,
    /// Hosts under this number can't reach the others.
    pub(crate) cut: Option<usize>,
    /// Share of the exchanges that fail.
    pub(crate) loss: f64,
}

fn size(message: &Message) -> usize {
    48 + message.members.len() * 90 + message.crashes.len() * 20
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let node = |index| {
            let mut members = Members::new(now, member(index));
            members.merge(now, vec![member(0)]);
            Node {
                members,
                suspects: Suspects::default(),
                exchange: Exchange::default(),
                up: true,
                bytes: 0,
            }
        };
        let nodes = (0..size).map(node).collect();
        Fleet {
            nodes,
            now,
            rng: SmallRng::seed_from_u64(seed),
            cut: None,
            loss: 0.0,
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

    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |index| self.cut.is_some_and(|cut| index < cut);
        self.nodes[to].up && side(from) == side(to)
    }

    pub(crate) fn exchange(&mut self, from: usize) {
        let Some(peer) = self.nodes[from].members.choose_peer(&mut self.rng) else {
            return;
        };
        let to: usize = peer.host[5..]
            .parse()
            .expect("the host name ends in its number");
        let lost = self.rng.random_bool(self.loss);
        if lost || !self.reaches(from, to) {
            self.nodes[from].members.missed(self.now, &peer.host);
            return;
        }
        let node = &mut self.nodes[from];
        node.members.reached(&peer.host);
        let message = node.exchange.open(&mut node.members, &mut node.suspects, 0);
        let answer = self.receive(to, &message);
        self.take(from, &answer);
        let whole = self.wants_whole(from, &answer);
        if whole || answer.whole {
            let node = &mut self.nodes[from];
            let mut message = node.exchange.open(&mut node.members, &mut node.suspects, 0);
            message.whole = whole;
            if answer.whole {
                message.members = node.members.all().cloned().collect();
                message.full = true;
            }
            let answer = self.receive(to, &message);
            self.take(from, &answer);
        }
    }

    pub(crate) fn receive(&mut self, to: usize, message: &Message) -> Message {
        self.take(to, message);
        let node = &mut self.nodes[to];
        let answer =
            node.exchange
                .answer(self.now, &mut node.members, &mut node.suspects, 0, message);
        node.bytes += size(message) + size(&answer);
        answer
    }

    fn wants_whole(&mut self, at: usize, message: &Message) -> bool {
        let node = &mut self.nodes[at];
        node.exchange.wants_whole(self.now, &node.members, message)
    }

    fn take(&mut self, at: usize, message: &Message) {
        let node = &mut self.nodes[at];
        node.exchange
            .take(self.now, &mut node.members, &mut node.suspects, message);
    }

    pub(crate) fn rounds_until(&mut self, most: u32, done: impl Fn(&Node) -> bool) -> u32 {
        for round in 0..most {
            if self.nodes.iter().filter(|node| node.up).all(&done) {
                return round;
            }
            self.round();
        }
        panic!("not within {most} rounds");
    }
}

pub(crate) fn sees(node: &Node, host: &str, state: State) -> bool {
    node.members
        .get(host)
        .is_some_and(|member| member.state == state)
}
