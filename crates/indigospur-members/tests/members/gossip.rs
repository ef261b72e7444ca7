//! Gossip, liveness and suspects.

use crate::fleet::{Fleet, Node, ROUND, has_state, member};
use indigospur_members::{
    AnnouncementOutcome, Exchange, Instance, InstanceTracker, Members, Message, Suspects, Verdict,
};
use indigospur_protocol::{Announcement, Member, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Instant;

#[test]
fn daemons_that_know_one_address_find_each_other() {
    let mut fleet = Fleet::new(60, 1);
    fleet.rounds_until(40, |node| node.members.len() == 60);
}

#[test]
fn a_large_fleet_that_starts_at_once_has_full_member_lists_within_half_a_minute() {
    let mut fleet = Fleet::new(320, 6);
    let rounds = fleet.rounds_until(300, |node| node.members.len() == 320);
    assert!(rounds <= 30, "{rounds} s");
}

/// Each daemon knows one other, as after all were killed at once and restarted one by one.
#[test]
fn a_small_fleet_that_restarts_with_one_known_peer_each_has_full_member_lists_within_seconds() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(16, seed);
        let now = fleet.now;
        for index in 0..16 {
            let mut members = Members::new(now, member(index));
            let peer = fleet.rng.random_range(0..index.max(1));
            members.merge(now, vec![member(peer)]);
            fleet.nodes[index].members = members;
        }
        let rounds = fleet.rounds_until(60, |node| node.members.len() == 16);
        assert!(rounds <= 6, "{rounds} s with seed {seed}");
    }
}

/// All hosts of a fleet lose power at once. Each daemon then knows a few others, and its backend server
/// announces itself within 1.5 s. Guards against calls that crowd on a part of the upstreams for seconds.
#[test]
fn a_fleet_that_restarts_as_a_whole_knows_all_backend_servers_within_three_seconds() {
    const SIZE: usize = 85;
    for seed in 0..10 {
        let mut fleet = Fleet::new(SIZE, seed);
        let now = fleet.now;
        for index in 0..SIZE {
            let waiting = Member {
                state: State::Waiting,
                ..member(index)
            };
            let mut members = Members::new(now, waiting);
            for _ in 0..4 {
                let peer = Member {
                    state: State::Waiting,
                    ..member(fleet.rng.random_range(0..SIZE))
                };
                members.merge(now, vec![peer]);
            }
            fleet.nodes[index].members = members;
        }
        for quarter in 0..12 {
            for index in (0..SIZE).filter(|index| index % 6 == quarter) {
                let at = fleet.now;
                let members = &mut fleet.nodes[index].members;
                members.announce(at, |me| me.state = State::Ready);
                // A change of its own has a daemon gossip at once.
                fleet.exchange(index);
            }
            fleet.quarter_round();
        }
        let is_ready = |member: &&Member| member.state == State::Ready;
        let known = |node: &Node| node.members.all().filter(is_ready).count();
        let fewest = fleet.nodes.iter().map(known).min();
        assert!(fewest >= Some(SIZE - 1), "{fewest:?} with seed {seed}");
    }
}

#[test]
fn all_daemons_know_within_seconds_that_a_host_is_draining() {
    let mut fleet = Fleet::new(60, 2);
    fleet.rounds_until(60, |node| node.members.len() == 60);
    let now = fleet.now;
    fleet.nodes[7]
        .members
        .announce(now, |me| me.state = State::Draining);
    let rounds = fleet.rounds_until(20, |node| has_state(node, "host-007", State::Draining));
    assert!(rounds <= 10, "{rounds} s");
}

#[test]
fn a_dead_host_is_declared_down_and_its_restart_is_ready_everywhere() {
    let mut fleet = Fleet::new(40, 3);
    fleet.rounds_until(60, |node| node.members.len() == 40);
    fleet.nodes[9].up = false;
    fleet.rounds_until(60, |node| has_state(node, "host-009", State::Down));
    let restarted = Member {
        incarnation: 2,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, restarted);
    let seed = member(0);
    fleet.nodes[9].members.merge(fleet.now, vec![seed]);
    fleet.nodes[9].up = true;
    fleet.rounds_until(60, |node| has_state(node, "host-009", State::Ready));
}

#[test]
fn occasional_failed_exchanges_get_no_host_declared_down() {
    let mut fleet = Fleet::new(100, 7);
    fleet.rounds_until(60, |node| node.members.len() == 100);
    fleet.failure_rate = 0.05;
    for _ in 0..200 {
        fleet.round();
        let down = |node: &Node| node.members.all().any(|member| member.state == State::Down);
        assert!(!fleet.nodes.iter().any(down));
    }
}

/// Host 0 completes no exchange that it opens itself, as its rounds go to a dead address.
#[test]
fn a_host_that_only_replies_to_exchanges_is_updated_too() {
    let mut fleet = Fleet::new(2, 8);
    fleet.rounds_until(60, |node| node.members.len() == 2);
    let restarted = Member {
        incarnation: 2,
        ..member(1)
    };
    fleet.nodes[1].members = Members::new(fleet.now, restarted);
    fleet.nodes[1].members.merge(fleet.now, vec![member(0)]);
    for Node {
        members,
        suspects,
        exchange,
        ..
    } in &mut fleet.nodes
    {
        while !exchange
            .open(fleet.now, members, suspects, 0)
            .members
            .is_empty()
        {}
    }
    for _ in 0..30 {
        fleet.now += ROUND;
        fleet.exchange(1);
    }
    let known = fleet.nodes[0]
        .members
        .get("host-001")
        .map(|member| member.incarnation);
    assert_eq!(known, Some(2));
}

#[test]
fn a_host_that_is_wrongly_declared_down_refutes_it() {
    let now = Instant::now();
    let mut members = Members::new(now, member(1));
    let false_update = Member {
        state: State::Down,
        ..member(1)
    };
    members.merge(now, vec![false_update.clone()]);
    assert!(members.me().recency() > false_update.recency());
    assert_eq!(members.me().state, State::Ready);
}

#[test]
fn both_sides_of_a_healed_partition_rejoin() {
    let mut fleet = Fleet::new(30, 4);
    fleet.rounds_until(60, |node| node.members.len() == 30);
    fleet.partition = Some(15);
    for _ in 0..120 {
        fleet.round();
    }
    assert!(
        fleet.nodes[0]
            .members
            .all()
            .filter(|member| member.state == State::Down)
            .count()
            == 15
    );
    fleet.partition = None;
    let all_ready = |node: &Node| {
        node.members
            .all()
            .all(|member| member.state == State::Ready)
    };
    fleet.rounds_until(120, all_ready);
}

#[test]
fn an_idle_fleet_sends_little_gossip() {
    let mut fleet = Fleet::new(100, 5);
    fleet.rounds_until(60, |node| node.members.len() == 100);
    for _ in 0..120 {
        fleet.round();
    }
    fleet.nodes.iter_mut().for_each(|node| node.bytes = 0);
    for _ in 0..60 {
        fleet.round();
    }
    let total: usize = fleet.nodes.iter().map(|node| node.bytes).sum();
    let bytes_per_second = total / 100 / 60;
    assert!(bytes_per_second < 5_000, "{bytes_per_second}");
}

/// Sends the culprit and innocent requests to random hosts until the culprit is refused for good.
#[test]
fn the_request_that_crashes_backend_servers_is_refused_and_innocent_ones_are_not() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts: Vec<Suspects> = (0..6).map(|_| Suspects::default()).collect();
        let (culprit, mut crashes) = (666, 0);
        while !hosts[0].is_poisonous(Instant::now(), culprit) {
            let at = rng.random_range(0..hosts.len());
            let concurrent: Vec<u64> = (0..5).map(|_| rng.random_range(0..20)).collect();
            let started: Vec<u64> = concurrent
                .into_iter()
                .filter(|f| {
                    hosts[at].try_start(Instant::now(), &format!("host-{at}").into(), *f, &[])
                        == Verdict::Run
                })
                .collect();
            let runs =
                hosts[at].try_start(Instant::now(), &format!("host-{at}").into(), culprit, &[])
                    == Verdict::Run;
            if runs {
                crashes += 1;
                hosts[at].record_crash(Instant::now(), &format!("host-{at}").into(), crashes, None);
                hosts[at].finish(culprit);
            }
            started.into_iter().for_each(|f| hosts[at].finish(f));
            gossip_crashes(&mut hosts, at);
            assert!(crashes <= 6, "seed {seed}");
        }
        assert!(
            (0..20).all(|innocent| !hosts[0].is_poisonous(Instant::now(), innocent)),
            "seed {seed}"
        );
    }
}

fn gossip_crashes(hosts: &mut [Suspects], from: usize) {
    let now = Instant::now();
    let mut members = Members::new(now, member(from));
    let message = Exchange::new(now).open(now, &mut members, &mut hosts[from], 0);
    for suspects in hosts.iter_mut() {
        for crash in &message.crashes {
            suspects.insert(now, crash.clone());
        }
    }
}

/// The loss of a backend server is detected by a request that could not be sent to it.
#[test]
fn a_request_that_detects_the_loss_of_a_backend_server_is_not_blamed_for_it() {
    let mut suspects = Suspects::default();
    let host = "host-1".into();
    for crash in 0..5 {
        assert_eq!(
            suspects.try_start(Instant::now(), &host, 7, &[]),
            Verdict::Run
        );
        suspects.record_crash(Instant::now(), &host, crash, Some(7));
        suspects.finish(7);
    }
    assert!(suspects.crashes_of(Instant::now(), 7).is_empty());
    suspects.try_start(Instant::now(), &host, 7, &[]);
    suspects.record_crash(Instant::now(), &host, 9, None);
    assert_eq!(suspects.crashes_of(Instant::now(), 7).len(), 1);
}

/// The restarted daemon receives the instance that left its host in a gossip reply.
#[test]
fn a_restarted_daemon_learns_which_instance_left_its_host() {
    let now = Instant::now();
    let mut fleet = Fleet::new(2, 9);
    let leaving = Member {
        revision: 2,
        state: State::Draining,
        instance: "i-1".into(),
        leaving: true,
        ..member(1)
    };
    fleet.nodes[0].members.merge(now, vec![leaving]);
    let restarted = Member {
        incarnation: 2,
        ..member(1)
    };
    fleet.nodes[1].members = Members::new(now, restarted);
    let node = &mut fleet.nodes[1];
    let request = node
        .exchange
        .open(fleet.now, &mut node.members, &mut node.suspects, 0);
    let answer = fleet.receive(0, &request);
    let wire = indigospur_protocol::wire::peer::GossipMessage::from(answer);
    let answer = Message::try_from(wire).expect("the message is valid");
    let departed = answer.departed.expect("one has left");
    assert_eq!(departed, Instance::new("i-1", 0));
    let mut tracker = InstanceTracker::default();
    assert!(!tracker.mark_left(now, &departed));
    let late = Announcement {
        service: "quoting".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        connections: 1,
        state: State::Ready,
        instance: "i-1".into(),
        started_ms: 0,
        sequence: 9,
        cold_ms: 0,
    };
    assert_eq!(
        tracker.record_announcement(now, &late),
        AnnouncementOutcome::Stale
    );
}

/// During the partition no daemon knows another one that is up.
#[test]
fn isolated_daemons_rejoin_within_seconds_of_the_end_of_a_partition() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(2, seed);
        fleet.rounds_until(60, |node| node.members.len() == 2);
        fleet.partition = Some(1);
        let alone = |node: &Node| node.members.all().any(|member| member.state == State::Down);
        fleet.rounds_until(60, alone);
        fleet.partition = None;
        let rounds = fleet.rounds_until(60, |node| !alone(node));
        assert!(rounds <= 3, "{rounds} s with seed {seed}");
    }
}
