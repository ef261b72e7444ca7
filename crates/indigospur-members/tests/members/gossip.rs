//! Gossip, liveness and suspects.

use crate::fleet::{Fleet, Node, ROUND, member, sees};
use indigospur_members::{Exchange, Heard, Members, Message, Start, Starts, Suspects, Verdict};
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
fn a_large_fleet_that_starts_all_at_once_knows_itself_within_half_a_minute() {
    let mut fleet = Fleet::new(320, 6);
    let rounds = fleet.rounds_until(300, |node| node.members.len() == 320);
    assert!(rounds <= 30, "{rounds} s");
}

/// Each daemon has met one other, as when all were killed at once and come back one by one.
#[test]
fn a_small_fleet_that_comes_back_with_scattered_contacts_knows_itself_within_seconds() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(16, seed);
        let now = fleet.now;
        for index in 0..16 {
            let mut members = Members::new(now, member(index));
            let met = fleet.rng.random_range(0..index.max(1));
            members.merge(now, vec![member(met)]);
            fleet.nodes[index].members = members;
        }
        let rounds = fleet.rounds_until(60, |node| node.members.len() == 16);
        assert!(rounds <= 6, "{rounds} s with seed {seed}");
    }
}

#[test]
fn a_host_that_leaves_is_known_everywhere_within_seconds() {
    let mut fleet = Fleet::new(60, 2);
    fleet.rounds_until(60, |node| node.members.len() == 60);
    let now = fleet.now;
    fleet.nodes[7]
        .members
        .announce(now, |me| me.state = State::Draining);
    let rounds = fleet.rounds_until(20, |node| sees(node, "host-007", State::Draining));
    assert!(rounds <= 10, "{rounds} s");
}

#[test]
fn a_host_that_dies_is_declared_down_and_a_new_start_replaces_it() {
    let mut fleet = Fleet::new(40, 3);
    fleet.rounds_until(60, |node| node.members.len() == 40);
    fleet.nodes[9].up = false;
    fleet.rounds_until(60, |node| sees(node, "host-009", State::Down));
    let restarted = Member {
        incarnation: 2,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, restarted);
    let seed = member(0);
    fleet.nodes[9].members.merge(fleet.now, vec![seed]);
    fleet.nodes[9].up = true;
    fleet.rounds_until(60, |node| sees(node, "host-009", State::Ready));
}

#[test]
fn exchanges_that_fail_now_and_then_bring_no_host_down() {
    let mut fleet = Fleet::new(100, 7);
    fleet.rounds_until(60, |node| node.members.len() == 100);
    fleet.loss = 0.05;
    for _ in 0..200 {
        fleet.round();
        let down = |node: &Node| node.members.all().any(|member| member.state == State::Down);
        assert!(!fleet.nodes.iter().any(down));
    }
}

/// The host that never opens an exchange itself, since its rounds go to a dead address.
#[test]
fn a_host_that_is_only_ever_asked_catches_up_too() {
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
        while !exchange.open(members, suspects, 0).members.is_empty() {}
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
fn a_host_that_is_wrongly_called_down_contradicts() {
    let now = Instant::now();
    let mut members = Members::new(now, member(1));
    let slander = Member {
        state: State::Down,
        ..member(1)
    };
    members.merge(now, vec![slander.clone()]);
    assert!(members.me().recency() > slander.recency());
    assert_eq!(members.me().state, State::Ready);
}

#[test]
fn two_sides_of_a_healed_cut_find_each_other_again() {
    let mut fleet = Fleet::new(30, 4);
    fleet.rounds_until(60, |node| node.members.len() == 30);
    fleet.cut = Some(15);
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
    fleet.cut = None;
    let all_ready = |node: &Node| {
        node.members
            .all()
            .all(|member| member.state == State::Ready)
    };
    fleet.rounds_until(120, all_ready);
}

#[test]
fn a_quiet_fleet_gossips_little() {
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

/// Sends the culprit and innocent requests to hosts at random until the culprit is condemned.
#[test]
fn the_request_that_crashes_backend_servers_is_condemned_and_innocent_ones_are_not() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts: Vec<Suspects> = (0..6).map(|_| Suspects::default()).collect();
        let (culprit, mut crashes) = (666, 0);
        while !hosts[0].is_condemned(culprit) {
            let at = rng.random_range(0..hosts.len());
            let beside: Vec<u64> = (0..5).map(|_| rng.random_range(0..20)).collect();
            let started: Vec<u64> = beside
                .into_iter()
                .filter(|f| hosts[at].start(*f) == Verdict::Run)
                .collect();
            let runs = hosts[at].start(culprit) == Verdict::Run;
            if runs {
                crashes += 1;
                hosts[at].crashed(&format!("host-{at}").into(), crashes, None);
                hosts[at].finish(culprit);
            }
            started.into_iter().for_each(|f| hosts[at].finish(f));
            spread(&mut hosts, at);
            assert!(crashes <= 6, "seed {seed}");
        }
        assert!(
            (0..20).all(|innocent| !hosts[0].is_condemned(innocent)),
            "seed {seed}"
        );
    }
}

fn spread(hosts: &mut [Suspects], from: usize) {
    let now = Instant::now();
    let mut members = Members::new(now, member(from));
    let message = Exchange::default().open(&mut members, &mut hosts[from], 0);
    for suspects in hosts.iter_mut() {
        for crash in &message.crashes {
            suspects.learn(crash.clone());
        }
    }
}

/// The loss of a backend server is found by a request that could not be sent to it.
#[test]
fn a_request_that_finds_a_backend_server_gone_is_not_blamed_for_it() {
    let mut suspects = Suspects::default();
    let host = "host-1".into();
    for crash in 0..5 {
        assert_eq!(suspects.start(7), Verdict::Run);
        suspects.crashed(&host, crash, Some(7));
        suspects.finish(7);
    }
    assert!(suspects.of(7).is_empty());
    suspects.start(7);
    suspects.crashed(&host, 9, None);
    assert_eq!(suspects.of(7).len(), 1);
}

/// A daemon that was restarted asks another what it knows of its backend server.
#[test]
fn a_daemon_that_starts_anew_is_told_which_instance_has_left_beside_it() {
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
    let asked = node.exchange.open(&mut node.members, &mut node.suspects, 0);
    let answer = fleet.receive(0, &asked);
    let wire = indigospur_protocol::wire::peer::GossipMessage::from(answer);
    let answer = Message::try_from(wire).expect("it is whole");
    let departed = answer.departed.expect("one has left");
    assert_eq!(departed, Start::new("i-1", 0));
    let mut starts = Starts::default();
    assert!(!starts.leave(now, &departed));
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
    assert_eq!(starts.hear(now, &late), Heard::Stale);
}

/// Each knows no other that is up.
#[test]
fn daemons_that_all_lost_each_other_meet_again_within_seconds_of_the_cuts_end() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(2, seed);
        fleet.rounds_until(60, |node| node.members.len() == 2);
        fleet.cut = Some(1);
        let alone = |node: &Node| node.members.all().any(|member| member.state == State::Down);
        fleet.rounds_until(60, alone);
        fleet.cut = None;
        let rounds = fleet.rounds_until(60, |node| !alone(node));
        assert!(rounds <= 3, "{rounds} s with seed {seed}");
    }
}
