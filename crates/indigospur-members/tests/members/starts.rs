//! Starts of daemons and of backend servers that the time of day does not order.

use crate::fleet::{Fleet, member, sees};
use indigospur_members::Members;
use indigospur_protocol::{Member, State};

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
    let now = std::time::Instant::now();
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
    assert!(members.me().order() >= last.order());
}
