//! Fleets of daemons that find each other by way of registered daemons, many of which are gone.

use crate::fleet::{Fleet, Node, member};
use indigospur_members::{Contact, Joining};
use indigospur_protocol::Member;
use rand::Rng;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);
/// Time from the last disruption after which there must be one fleet.
const RECOVERY: Duration = Duration::from_secs(15);
/// Delay after which a daemon that did not find another one reads the contacts again.
const BACKOFF: Duration = Duration::from_millis(600);
/// Start of the names of hosts that are gone.
const GONE_PREFIX: &str = "gone-";

/// Daemons that join by way of contacts while they gossip.
struct Site {
    fleet: Fleet,
    contacts: Vec<Contact>,
    joins: Vec<Join>,
    /// Time until which the contacts can't be read, by the daemons with an index that is a multiple of
    /// the number.
    outage: Option<(Instant, usize)>,
}

/// How far a daemon has come with the contacts.
struct Join {
    /// `None` until the contacts have been read.
    joining: Option<Joining>,
    /// Time of the next step; `None` once the daemon has joined.
    next: Option<Instant>,
}

impl Join {
    fn starting_at(next: Instant) -> Join {
        Join {
            joining: None,
            next: Some(next),
        }
    }
}

fn gone_contact(index: usize) -> Contact {
    Contact {
        host: format!("{GONE_PREFIX}{index:04}").into(),
        address: format!("127.0.0.2:{index}").into(),
    }
}

fn host_index(host: &str) -> usize {
    let number = host
        .strip_prefix("host-")
        .and_then(|rest| rest.parse().ok());
    number.expect("the name of a living host ends in its number")
}

fn living_contact(index: usize) -> Contact {
    let member = member(index);
    Contact {
        host: member.host,
        address: member.address,
    }
}

impl Site {
    /// A site of `size` daemons that start at the same time, with `gone` registered ones that do not
    /// answer.
    fn start(size: usize, gone: usize, seed: u64) -> Site {
        let mut site = Site {
            fleet: Fleet::new(0, seed),
            contacts: (0..gone).map(gone_contact).collect(),
            joins: Vec::new(),
            outage: None,
        };
        site.add(size);
        site
    }

    /// Starts `count` further daemons.
    fn add(&mut self, count: usize) {
        let first = self.fleet.nodes.len();
        for index in first..first + count {
            self.contacts.push(living_contact(index));
            self.fleet.nodes.push(Node::new(self.fleet.now, index));
            let at = self.fleet.now + self.start_delay();
            self.joins.push(Join::starting_at(at));
        }
    }

    /// Kills all daemons and starts them again.
    fn restart_all(&mut self) {
        for index in 0..self.fleet.nodes.len() {
            self.fleet.nodes[index] = Node::new(self.fleet.now, index);
            let at = self.fleet.now + self.start_delay();
            self.joins[index] = Join::starting_at(at);
        }
    }

    fn start_delay(&mut self) -> Duration {
        Duration::from_millis(self.fleet.rng.random_range(0..100))
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.now += STEP;
            for index in 0..self.fleet.nodes.len() {
                self.gossip(index);
                self.join(index);
            }
        }
    }

    fn gossip(&mut self, index: usize) {
        let node = &mut self.fleet.nodes[index];
        if !node.up {
            return;
        }
        node.members.tick(self.fleet.now);
        let rounds = match node.exchange.is_starting(self.fleet.now) {
            true => 0.2,
            false => 0.05,
        };
        if self.fleet.rng.random_bool(rounds) {
            self.fleet.exchange(index);
        }
    }

    fn join(&mut self, index: usize) {
        let now = self.fleet.now;
        let join = &mut self.joins[index];
        if !self.fleet.nodes[index].up || join.next.is_none_or(|next| next > now) {
            return;
        }
        let is_away = |(until, step): (Instant, usize)| now < until && index.is_multiple_of(step);
        if join.joining.is_none() && self.outage.is_some_and(is_away) {
            join.next = Some(now + BACKOFF);
            return;
        }
        let joining = join.joining.take();
        let mut joining = joining.unwrap_or_else(|| self.read_contacts(index));
        joining.review(&self.fleet.nodes[index].members);
        self.joins[index] = self.ask(index, joining);
    }

    fn read_contacts(&mut self, index: usize) -> Joining {
        let members = &self.fleet.nodes[index].members;
        let is_other = |contact: &&Contact| contact.host != members.me().host;
        let others = self.contacts.iter().filter(is_other).cloned().collect();
        Joining::new(self.fleet.now, others, &mut self.fleet.rng)
    }

    /// Asks the next contacts. One that is gone holds up the next batch.
    fn ask(&mut self, index: usize, mut joining: Joining) -> Join {
        let now = self.fleet.now;
        while let Some(batch) = joining.next_batch(&self.fleet.nodes[index].members) {
            let mut all_answered = true;
            for contact in batch {
                let is_gone = contact.host.starts_with(GONE_PREFIX);
                if is_gone || !self.fleet.can_reach(index, host_index(&contact.host)) {
                    all_answered = false;
                } else {
                    let peer = member(host_index(&contact.host));
                    self.fleet.exchange_with(index, &peer);
                }
            }
            if !all_answered {
                return Join {
                    joining: Some(joining),
                    next: Some(now + Joining::BATCH_TIMEOUT),
                };
            }
        }
        if self.fleet.nodes[index].members.is_empty() {
            return Join::starting_at(now + BACKOFF);
        }
        let needs_review = joining.needs_review(now);
        Join {
            next: needs_review.then_some(now + Joining::REVIEW_INTERVAL),
            joining: needs_review.then_some(joining),
        }
    }

    /// Sizes of the groups of daemons that know of each other, directly or by way of others.
    fn groups(&self) -> Vec<usize> {
        let nodes = &self.fleet.nodes;
        let mut parents: Vec<usize> = (0..nodes.len()).collect();
        let root = |parents: &[usize], mut index: usize| {
            while parents[index] != index {
                index = parents[index];
            }
            index
        };
        for (index, node) in nodes.iter().enumerate() {
            let is_up = |member: &&Member| nodes[host_index(&member.host)].up;
            for member in node.members.all().filter(is_up) {
                let [one, other] = [index, host_index(&member.host)].map(|at| root(&parents, at));
                parents[one.max(other)] = one.min(other);
            }
        }
        let mut sizes = vec![0; nodes.len()];
        for index in (0..nodes.len()).filter(|index| nodes[*index].up) {
            sizes[root(&parents, index)] += 1;
        }
        sizes.retain(|size| *size > 0);
        sizes
    }

    fn assert_one_fleet(&self, case: &str) {
        let groups = self.groups();
        assert_eq!(groups.len(), 1, "{case}: fleets of {groups:?} daemons");
    }
}

/// Guards against daemons that form several fleets for good, each with a home of its own for every quota.
fn assert_joins_after_starts(size: usize, gone: usize, seed: u64) {
    let mut site = Site::start(size, gone, seed);
    site.run(RECOVERY);
    site.assert_one_fleet(&format!("{size} started, {gone} gone, seed {seed}"));
    site.restart_all();
    site.run(RECOVERY / 5);
    site.restart_all();
    site.run(RECOVERY);
    site.assert_one_fleet(&format!("{size} killed twice, {gone} gone, seed {seed}"));
}

/// Guards against daemons that are added beside the fleet and never find it.
fn assert_joins_when_added(gone: usize) {
    for seed in 1..=10 {
        let mut site = Site::start(16, 0, seed);
        site.run(RECOVERY);
        site.contacts.extend((0..gone).map(gone_contact));
        site.add(5);
        site.run(RECOVERY);
        site.assert_one_fleet(&format!("5 added to 16, {gone} gone, seed {seed}"));
    }
}

#[test]
fn daemons_that_start_together_form_one_fleet() {
    for (size, gone) in [(16, 0), (85, 0), (195, 0), (640, 0)] {
        assert_joins_after_starts(size, gone, 1);
    }
}

#[test]
fn daemons_that_start_together_where_registered_ones_are_gone_form_one_fleet() {
    for (size, gone) in [
        (16, 50),
        (16, 200),
        (16, 2_000),
        (85, 200),
        (85, 2_000),
        (195, 2_000),
    ] {
        for seed in 1..=3 {
            assert_joins_after_starts(size, gone, seed);
        }
    }
}

#[test]
fn daemons_that_start_together_where_registered_ones_are_gone_form_one_fleet_of_640() {
    assert_joins_after_starts(640, 2_000, 1);
}

#[test]
fn daemons_that_are_added_together_join_the_fleet() {
    assert_joins_when_added(0);
}

#[test]
fn daemons_that_are_added_together_where_registered_ones_are_gone_join_the_fleet() {
    for gone in [50, 200, 2_000] {
        assert_joins_when_added(gone);
    }
}

#[test]
fn a_fleet_whose_halves_were_cut_for_a_minute_is_one_again() {
    for size in [16, 85] {
        let mut site = Site::start(size, 0, 1);
        site.run(RECOVERY);
        site.assert_one_fleet(&format!("{size} started"));
        site.fleet.partition = Some(size / 2);
        site.run(Duration::from_secs(60));
        site.fleet.partition = None;
        site.run(RECOVERY);
        site.assert_one_fleet(&format!("{size} cut in halves"));
    }
}

/// Guards against daemons that found some others while the store was away and stop looking for the rest.
#[test]
fn daemons_form_one_fleet_once_the_store_is_back() {
    for (size, gone) in [(16, 200), (85, 200)] {
        for turned_away in [1, 2, 3] {
            for seed in 1..=5 {
                let mut site = Site::start(size, gone, seed);
                let outage = Duration::from_secs(8);
                site.outage = Some((site.fleet.now + outage, turned_away));
                site.run(outage + RECOVERY);
                site.assert_one_fleet(&format!(
                    "{size}, store away for each {turned_away}, seed {seed}"
                ));
            }
        }
    }
}

/// Guards against a registered daemon that falls to members that end before they have asked it.
#[test]
fn daemons_form_one_fleet_although_most_end_while_they_join() {
    const SIZE: usize = 16;
    for delay in [450, 900].map(Duration::from_millis) {
        for seed in 1..=100 {
            let mut site = Site::start(SIZE, 2_000, seed);
            site.run(delay);
            for index in (0..SIZE).filter(|index| index % 4 != 0) {
                site.fleet.nodes[index].up = false;
            }
            site.run(RECOVERY);
            site.assert_one_fleet(&format!("all but four ended after {delay:?}, seed {seed}"));
        }
    }
}
