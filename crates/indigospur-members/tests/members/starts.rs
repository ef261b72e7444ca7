//! Starts of daemons and of backend servers that the time of day does not order.

use crate::fleet::{Fleet, member, sees};
use indigospur_members::{Heard, Members, Message, Start, Starts};
use indigospur_protocol::wire::peer::GossipMessage;
use indigospur_protocol::{Announcement, Member, State};
use std::time::{Duration, Instant};

fn announced(instance: &str, born: u64, state: State, sequence: u64) -> Announcement {
    Announcement {
        service: "quoting".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        connections: 1,
        state,
        instance: instance.into(),
        started_ms: born,
        sequence,
        cold_ms: 0,
    }
}

fn ready(instance: &str, born: u64, sequence: u64) -> Announcement {
    announced(instance, born, State::Ready, sequence)
}

fn draining(instance: &str, born: u64, sequence: u64) -> Announcement {
    announced(instance, born, State::Draining, sequence)
}

/// The number of a start comes from the time of day, which may have been set back.
#[test]
fn a_daemon_that_starts_with_a_lower_number_than_before_is_known_as_it_is_now() {
    let mut fleet = Fleet::new(20, 11);
    let before = Member {
        incarnation: 10_000,
        revision: 7,
        ..member(5)
    };
    fleet.nodes[5].members = Members::new(fleet.now, before);
    fleet.nodes[5].members.merge(fleet.now, vec![member(0)]);
    fleet.rounds_until(60, |node| {
        let known = node.members.get("host-005");
        node.members.len() == 20 && known.is_some_and(|member| member.incarnation == 10_000)
    });
    let restarted = Member {
        incarnation: 8_000,
        state: State::Waiting,
        address: "127.0.0.1:99".into(),
        ..member(5)
    };
    fleet.nodes[5].members = Members::new(fleet.now, restarted);
    fleet.nodes[5].members.merge(fleet.now, vec![member(0)]);
    let rounds = fleet.rounds_until(20, |node| sees(node, "host-005", State::Waiting));
    assert!(rounds <= 10, "{rounds} s");
    let now = fleet.now;
    fleet.nodes[5]
        .members
        .announce(now, |me| me.state = State::Draining);
    fleet.rounds_until(20, |node| sees(node, "host-005", State::Draining));
    let address = |node: &crate::fleet::Node| {
        let known = node.members.get("host-005");
        known.is_some_and(|member| &*member.address == "127.0.0.1:99")
    };
    assert!(fleet.nodes.iter().all(address));
}

/// A host that was down when its daemon started anew is asked only now and then.
#[test]
fn a_daemon_that_was_down_and_starts_with_a_lower_number_comes_back() {
    let mut fleet = Fleet::new(20, 12);
    let before = Member {
        incarnation: 10_000,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, before);
    fleet.nodes[9].members.merge(fleet.now, vec![member(0)]);
    fleet.rounds_until(60, |node| node.members.len() == 20);
    fleet.nodes[9].up = false;
    fleet.rounds_until(60, |node| sees(node, "host-009", State::Down));
    let restarted = Member {
        incarnation: 9_999,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, restarted);
    fleet.nodes[9].members.merge(fleet.now, vec![member(0)]);
    fleet.nodes[9].up = true;
    fleet.rounds_until(20, |node| sees(node, "host-009", State::Ready));
}

#[test]
fn a_daemon_that_hears_of_its_earlier_start_does_not_give_its_number_up() {
    let now = Instant::now();
    let me = Member {
        incarnation: 10_000,
        ..member(1)
    };
    let mut members = Members::new(now, me);
    assert!(members.merge(now, vec![member(1)]).is_empty());
    assert_eq!(members.me().incarnation, 10_000);
    let last = Member {
        incarnation: u64::MAX,
        ..member(1)
    };
    members.merge(now, vec![last.clone()]);
    assert!(members.me().recency() >= last.recency());
}

#[test]
fn a_start_is_not_taken_for_an_earlier_one_of_its_name_that_left() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 100, 8)), Heard::New);
    assert_eq!(starts.hear(now, &draining("i-1", 100, 9)), Heard::Leaving);
    assert_eq!(starts.hear(now, &ready("i-1", 200, 1)), Heard::New);
    // Others tell again and again what has left, and the first start says late that it leaves.
    assert!(!starts.leave(now, &Start::new("i-1", 100)));
    assert_eq!(starts.hear(now, &draining("i-1", 100, 10)), Heard::Stale);
    assert_eq!(starts.hear(now, &ready("i-1", 100, 11)), Heard::Stale);
    assert_eq!(starts.hear(now, &ready("i-1", 200, 2)), Heard::Known);
    assert!(starts.leave(now, &Start::new("i-1", 200)));
    assert!(!starts.leave(now, &Start::new("i-1", 200)));
    assert_eq!(starts.hear(now, &ready("i-1", 200, 3)), Heard::Stale);
}

#[test]
fn a_start_that_leaves_without_saying_when_it_began_is_the_present_one() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 100, 1)), Heard::New);
    assert!(!starts.leave(now, &Start::new("i-0", 0)));
    assert!(starts.leave(now, &Start::new("i-1", 0)));
    assert_eq!(starts.hear(now, &ready("i-1", 100, 2)), Heard::Stale);
    assert_eq!(starts.hear(now, &ready("i-1", 200, 1)), Heard::New);
}

#[test]
fn a_later_start_that_was_never_heard_ready_leaves_in_place_of_the_present_one() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 100, 1)), Heard::New);
    assert_eq!(starts.hear(now, &draining("i-1", 200, 3)), Heard::Leaving);
    assert_eq!(starts.hear(now, &ready("i-1", 200, 2)), Heard::Stale);
    assert_eq!(starts.hear(now, &ready("i-1", 100, 2)), Heard::Stale);
}

/// As after a restart of the daemon, when it was told that an instance left and nothing else.
#[test]
fn a_name_that_left_at_an_unknown_start_is_free_again_for_a_later_one() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert!(!starts.leave(now, &Start::new("i-1", 0)));
    let soon = now + Duration::from_secs(10);
    assert_eq!(starts.hear(soon, &ready("i-1", 100, 5)), Heard::Stale);
    assert!(!starts.leave(soon, &Start::new("i-1", 0)));
    let later = now + Duration::from_secs(60);
    assert_eq!(starts.hear(later, &ready("i-1", 0, 6)), Heard::Stale);
    assert_eq!(starts.hear(later, &ready("i-1", 200, 1)), Heard::New);
}

#[test]
fn a_daemon_that_starts_anew_is_told_which_start_of_an_instance_has_left() {
    let mut fleet = Fleet::new(2, 13);
    let leaving = Member {
        revision: 2,
        state: State::Draining,
        instance: "i-1".into(),
        started_ms: 100,
        leaving: true,
        ..member(1)
    };
    fleet.nodes[0].members.merge(fleet.now, vec![leaving]);
    let node = &mut fleet.nodes[1];
    let asked = node.exchange.open(&mut node.members, &mut node.suspects, 0);
    let wire = GossipMessage::from(fleet.receive(0, &asked));
    let answer = Message::try_from(wire).expect("it is whole");
    assert_eq!(answer.departed, Some(Start::new("i-1", 100)));
}

/// Announcements every 1.5 s of a backend server whose clock was set back before it started again.
#[test]
fn a_start_whose_clock_was_set_back_replaces_one_that_has_fallen_silent() {
    let now = Instant::now();
    let beat = Duration::from_millis(1_500);
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 10_000, 1)), Heard::New);
    assert_eq!(
        starts.hear(now + beat, &ready("i-1", 10_000, 2)),
        Heard::Known
    );
    let mut heard = Vec::new();
    for number in 1..6 {
        heard.push(starts.hear(
            now + beat * (number + 1),
            &ready("i-1", 8_000, number.into()),
        ));
    }
    assert_eq!(heard[0], Heard::Stale);
    assert!(heard.contains(&Heard::New), "{heard:?}");
    assert_eq!(heard.last(), Some(&Heard::Known));
    // The later birth is the higher number, whichever is the present one.
    let later = now + beat * 7;
    assert_eq!(starts.hear(later, &ready("i-1", 12_000, 1)), Heard::New);
    assert_eq!(starts.hear(later, &ready("i-1", 8_000, 9)), Heard::Stale);
}

#[test]
fn a_late_announcement_of_a_start_that_was_replaced_does_not_bring_it_back() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 0, 7)), Heard::New);
    assert_eq!(starts.hear(now, &ready("i-2", 0, 1)), Heard::New);
    assert_eq!(starts.hear(now, &ready("i-1", 0, 8)), Heard::Stale);
    assert_eq!(starts.hear(now, &ready("i-2", 0, 2)), Heard::Known);
    // It was the other way round: the one that was late was taken for the new one.
    let later = now + Duration::from_secs(4);
    assert_eq!(starts.hear(later, &ready("i-1", 0, 9)), Heard::New);
}

#[test]
fn a_start_that_counts_anew_is_heard_once_the_count_before_has_fallen_silent() {
    let now = Instant::now();
    let mut starts = Starts::default();
    assert_eq!(starts.hear(now, &ready("i-1", 0, 50)), Heard::New);
    assert_eq!(starts.hear(now, &ready("i-1", 0, 1)), Heard::Stale);
    let later = now + Duration::from_secs(4);
    assert_eq!(starts.hear(later, &ready("i-1", 0, 3)), Heard::Known);
    assert_eq!(starts.hear(later, &ready("i-1", 0, 4)), Heard::Known);
}
