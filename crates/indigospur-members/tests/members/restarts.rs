//! Restarts of daemons and of backend servers whose start times are unknown or out of order.

use crate::fleet::{Fleet, has_state, member};
use indigospur_members::{
    AnnouncementOutcome, Instance, InstanceTracker, Members, Message, NamedLimit,
};
use indigospur_protocol::wire::peer::GossipMessage;
use indigospur_protocol::{Announcement, Member, Rate, State};
use std::time::{Duration, Instant};

fn announced(instance: &str, started_ms: u64, state: State, sequence: u64) -> Announcement {
    Announcement {
        service: "quoting".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        connections: 1,
        state,
        instance: instance.into(),
        started_ms,
        sequence,
        cold_ms: 0,
    }
}

fn ready(instance: &str, started_ms: u64, sequence: u64) -> Announcement {
    announced(instance, started_ms, State::Ready, sequence)
}

fn draining(instance: &str, started_ms: u64, sequence: u64) -> Announcement {
    announced(instance, started_ms, State::Draining, sequence)
}

/// The incarnation comes from the wall clock, which may have been set back.
#[test]
fn a_daemon_that_restarts_with_a_lower_incarnation_replaces_its_earlier_entry() {
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
    let rounds = fleet.rounds_until(20, |node| has_state(node, "host-005", State::Waiting));
    assert!(rounds <= 10, "{rounds} s");
    let now = fleet.now;
    fleet.nodes[5]
        .members
        .announce(now, |me| me.state = State::Draining);
    fleet.rounds_until(20, |node| has_state(node, "host-005", State::Draining));
    let address = |node: &crate::fleet::Node| {
        let known = node.members.get("host-005");
        known.is_some_and(|member| &*member.address == "127.0.0.1:99")
    };
    assert!(fleet.nodes.iter().all(address));
}

/// Only a few gossip rounds go to hosts that are down.
#[test]
fn a_down_daemon_that_restarts_with_a_lower_incarnation_is_ready_again() {
    let mut fleet = Fleet::new(20, 12);
    let before = Member {
        incarnation: 10_000,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, before);
    fleet.nodes[9].members.merge(fleet.now, vec![member(0)]);
    fleet.rounds_until(60, |node| node.members.len() == 20);
    fleet.nodes[9].up = false;
    fleet.rounds_until(60, |node| has_state(node, "host-009", State::Down));
    let restarted = Member {
        incarnation: 9_999,
        ..member(9)
    };
    fleet.nodes[9].members = Members::new(fleet.now, restarted);
    fleet.nodes[9].members.merge(fleet.now, vec![member(0)]);
    fleet.nodes[9].up = true;
    fleet.rounds_until(20, |node| has_state(node, "host-009", State::Ready));
}

#[test]
fn a_daemon_that_receives_its_earlier_incarnation_keeps_the_current_one() {
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
fn an_instance_is_not_taken_for_an_earlier_one_of_its_name_that_left() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 8)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now, &draining("i-1", 100, 9)),
        AnnouncementOutcome::Leaving
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 200, 1)),
        AnnouncementOutcome::New
    );
    // Gossip repeats that the first instance has left, and its own announcements arrive late.
    assert!(!tracker.mark_left(now, &Instance::new("i-1", 100)));
    assert_eq!(
        tracker.record_announcement(now, &draining("i-1", 100, 10)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 11)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 200, 2)),
        AnnouncementOutcome::Known
    );
    assert!(tracker.mark_left(now, &Instance::new("i-1", 200)));
    assert!(!tracker.mark_left(now, &Instance::new("i-1", 200)));
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 200, 3)),
        AnnouncementOutcome::Stale
    );
}

#[test]
fn an_instance_that_leaves_without_a_start_time_is_the_current_one() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 1)),
        AnnouncementOutcome::New
    );
    assert!(!tracker.mark_left(now, &Instance::new("i-0", 0)));
    assert!(tracker.mark_left(now, &Instance::new("i-1", 0)));
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 2)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 200, 1)),
        AnnouncementOutcome::New
    );
}

#[test]
fn a_later_instance_that_leaves_without_having_been_ready_replaces_the_current_one() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 1)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now, &draining("i-1", 200, 3)),
        AnnouncementOutcome::Leaving
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 200, 2)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 100, 2)),
        AnnouncementOutcome::Stale
    );
}

/// As after a restart of the daemon, which then knows only the name of the instance that left.
#[test]
fn a_name_that_left_without_a_start_time_can_be_reused_later() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert!(!tracker.mark_left(now, &Instance::new("i-1", 0)));
    let soon = now + Duration::from_secs(10);
    assert_eq!(
        tracker.record_announcement(soon, &ready("i-1", 100, 5)),
        AnnouncementOutcome::Stale
    );
    assert!(!tracker.mark_left(soon, &Instance::new("i-1", 0)));
    let later = now + Duration::from_secs(60);
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 0, 6)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 200, 1)),
        AnnouncementOutcome::New
    );
}

#[test]
fn a_restarted_daemon_learns_the_start_time_of_the_instance_that_left() {
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
    let request = node
        .exchange
        .open(fleet.now, &mut node.members, &mut node.suspects, 0);
    let wire = GossipMessage::from(fleet.receive(0, &request));
    let answer = Message::try_from(wire).expect("the message is valid");
    assert_eq!(answer.departed, Some(Instance::new("i-1", 100)));
}

#[test]
fn a_restarted_daemon_learns_the_rate_limit_of_its_backend_server() {
    let mut fleet = Fleet::new(2, 13);
    let limited = |revision, rate_limit| Member {
        revision,
        instance: "i-1".into(),
        started_ms: 100,
        rate_limit,
        ..member(1)
    };
    let rate = Rate::per_second(7.6).expect("it is valid");
    let answer = |fleet: &mut Fleet| {
        let node = &mut fleet.nodes[1];
        let request = node
            .exchange
            .open(fleet.now, &mut node.members, &mut node.suspects, 0);
        let wire = GossipMessage::from(fleet.receive(0, &request));
        Message::try_from(wire).expect("the message is valid").limit
    };
    let members = &mut fleet.nodes[0].members;
    members.merge(fleet.now, vec![limited(2, Some(rate))]);
    let restarted = Member {
        incarnation: member(1).incarnation + 1,
        service: "".into(),
        ..member(1)
    };
    members.merge(fleet.now, vec![restarted.clone()]);
    let instance = Instance::new("i-1", 100);
    assert_eq!(answer(&mut fleet), Some(NamedLimit { instance, rate }));
    let lifted = Member {
        incarnation: restarted.incarnation,
        ..limited(3, None)
    };
    fleet.nodes[0].members.merge(fleet.now, vec![lifted]);
    assert_eq!(answer(&mut fleet), None);
}

/// A backend server announces itself every 1.5 s; its clock was set back before it was restarted.
#[test]
fn an_instance_whose_clock_was_set_back_replaces_one_that_stopped_announcing() {
    let now = Instant::now();
    let interval = Duration::from_millis(1_500);
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 10_000, 1)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now + interval, &ready("i-1", 10_000, 2)),
        AnnouncementOutcome::Known
    );
    let mut outcomes = Vec::new();
    for sequence in 1..6 {
        outcomes.push(tracker.record_announcement(
            now + interval * (sequence + 1),
            &ready("i-1", 8_000, sequence.into()),
        ));
    }
    assert_eq!(outcomes[0], AnnouncementOutcome::Stale);
    assert!(outcomes.contains(&AnnouncementOutcome::New), "{outcomes:?}");
    assert_eq!(outcomes.last(), Some(&AnnouncementOutcome::Known));
    // The instance with the later start time wins, whichever is the current one.
    let later = now + interval * 7;
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 12_000, 1)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 8_000, 9)),
        AnnouncementOutcome::Stale
    );
}

#[test]
fn a_late_announcement_of_a_replaced_instance_does_not_restore_it() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 0, 7)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-2", 0, 1)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 0, 8)),
        AnnouncementOutcome::Stale
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-2", 0, 2)),
        AnnouncementOutcome::Known
    );
    // i-1 is the running instance after all, as i-2 has stopped announcing.
    let later = now + Duration::from_secs(4);
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 0, 9)),
        AnnouncementOutcome::New
    );
}

#[test]
fn an_instance_that_restarts_its_sequence_is_accepted_after_the_announcement_timeout() {
    let now = Instant::now();
    let mut tracker = InstanceTracker::default();
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 0, 50)),
        AnnouncementOutcome::New
    );
    assert_eq!(
        tracker.record_announcement(now, &ready("i-1", 0, 1)),
        AnnouncementOutcome::Stale
    );
    let later = now + Duration::from_secs(4);
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 0, 3)),
        AnnouncementOutcome::Known
    );
    assert_eq!(
        tracker.record_announcement(later, &ready("i-1", 0, 4)),
        AnnouncementOutcome::Known
    );
}

/// Guards against a late announcement of an instance that left before all daemons restarted.
#[test]
fn a_single_late_announcement_is_not_believed_while_earlier_departures_are_unknown() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut tracker = InstanceTracker::with_unread_history(start);
    let late = ready("i-1", 0, 40);
    let outcome = tracker.record_announcement(at(4_000), &late);
    assert_eq!(outcome, AnnouncementOutcome::Unconfirmed);
    let repeated = tracker.record_announcement(at(4_100), &late);
    assert_eq!(repeated, AnnouncementOutcome::Unconfirmed);
    let next = tracker.record_announcement(at(5_500), &ready("i-1", 0, 41));
    assert_eq!(next, AnnouncementOutcome::New);
    assert!(tracker.may_have_left(at(8_000)));
    assert!(!tracker.is_unconfirmed(at(8_000)));
    tracker.complete_history();
    assert!(!tracker.may_have_left(at(8_000)));
}

#[test]
fn an_instance_is_used_from_its_first_announcement_when_the_daemon_starts() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut tracker = InstanceTracker::with_unread_history(start);
    let outcome = tracker.record_announcement(at(1_400), &ready("i-1", 0, 40));
    assert_eq!(outcome, AnnouncementOutcome::New);
    assert!(!tracker.is_unconfirmed(at(2_999)));
    assert!(tracker.is_unconfirmed(at(3_000)));
    tracker.set_aside();
    assert!(!tracker.is_unconfirmed(at(3_000)));
    let next = tracker.record_announcement(at(3_100), &ready("i-1", 0, 41));
    assert_eq!(next, AnnouncementOutcome::New);
    assert!(!tracker.is_unconfirmed(at(3_200)));
}

/// An instance in its place, a new one, and one that is announced long after the start of the daemon.
#[test]
fn an_instance_that_cannot_have_left_before_is_used_from_its_first_announcement() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut tracker = InstanceTracker::with_unread_history(start);
    let starting = Announcement {
        cold_ms: 900,
        ..ready("i-2", 0, 1)
    };
    let outcome = tracker.record_announcement(at(4_000), &starting);
    assert_eq!(outcome, AnnouncementOutcome::New);
    assert!(!tracker.is_unconfirmed(at(4_100)));
    let outcome = tracker.record_announcement(at(30_000), &ready("i-3", 0, 1));
    assert_eq!(outcome, AnnouncementOutcome::New);
    assert!(!tracker.may_have_left(at(30_000)));
}

#[test]
fn an_instance_that_is_leaving_is_not_set_aside() {
    let start = Instant::now();
    let mut tracker = InstanceTracker::with_unread_history(start);
    tracker.record_announcement(start, &ready("i-1", 0, 40));
    assert!(tracker.may_have_left(start));
    assert!(tracker.mark_left(start, &Instance::new("i-1", 0)));
    assert!(!tracker.may_have_left(start));
    assert!(!tracker.is_unconfirmed(start + Duration::from_secs(3)));
    assert!(tracker.departed().eq([&Instance::new("i-1", 0)]));
    assert!(tracker.knows("i-1") && !tracker.knows("i-2"));
}
