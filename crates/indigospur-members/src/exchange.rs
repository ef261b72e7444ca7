//! Gossip messages between two daemons, bounded in size.

use crate::instances::{Instance, NamedLimit};
use crate::members::Members;
use crate::suspects::Suspects;
use indigospur_protocol::{
    Crash, HostId, Member, Rate, WireError, crashes_from_wire, crashes_to_wire, wire::peer,
};
use std::time::{Duration, Instant};

const MAX_MEMBERS_PER_MESSAGE: usize = 12;
/// Minimum interval between requests of a daemon for a full member list, per member of the fleet.
/// Limits the full lists to some 4 KB per second whatever the size of the fleet.
const FULL_LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);
/// Time after its start in which a daemon requests full lists more often. After a start of the whole
/// fleet, calls crowd on the few upstreams that are known until the lists are full.
const STARTUP: Duration = Duration::from_secs(4);
/// Divisor of the interval between requests for full lists in that time, and its bounds.
const STARTUP_DIVISOR: u32 = 8;
const MIN_STARTUP_INTERVAL: Duration = Duration::from_millis(200);
const MAX_STARTUP_INTERVAL: Duration = Duration::from_secs(2);
/// Bounds of the interval at other times. The upper bound, which a large fleet reaches, leaves updates
/// time to spread one by one, which takes fewer bytes than full lists.
const MIN_FULL_LIST_INTERVAL: Duration = Duration::from_millis(400);
const MAX_FULL_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Upper bound of the interval while more updates are queued than fit into a few messages, as after
/// a start of the fleet.
const BACKLOG_FULL_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Largest fleet, in members, that exchanges full lists also while updates are queued.
const SMALL_FLEET_MEMBERS: usize = 128;
/// Queued updates that count as a backlog.
const BACKLOG_UPDATES: usize = 2 * MAX_MEMBERS_PER_MESSAGE;

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Host of the sender.
    pub from: HostId,
    /// Highest log offset at which the sender has accepted a record, plus one.
    pub accepted: u64,
    /// Digest of the sender's member list, see [`Members::digest`].
    pub digest: u64,
    /// Members with recent updates, or the sender's full list if `full` is set.
    pub members: Vec<Member>,
    /// Recent crashes of backend servers.
    pub crashes: Vec<Crash>,
    /// Whether the sender requests the receiver's full member list.
    pub whole: bool,
    /// Whether `members` is the sender's full list.
    pub full: bool,
    /// Instance of the backend server that left the receiver's host last, as known to the sender.
    pub departed: Option<Instance>,
    /// Rate limit in force at the backend server on the receiver's host, as known to the sender.
    pub limit: Option<NamedLimit>,
}

impl From<Message> for peer::GossipMessage {
    fn from(message: Message) -> Self {
        let departed = message.departed.as_ref();
        let limited = message.limit.as_ref().map(|limit| &limit.instance);
        peer::GossipMessage {
            from: message.from.to_string(),
            accepted: message.accepted,
            members_digest: message.digest,
            members: message.members.iter().map(Into::into).collect(),
            suspects: crashes_to_wire(&message.crashes, false),
            cleared: crashes_to_wire(&message.crashes, true),
            whole: message.whole,
            full: message.full,
            departed: departed.map_or_else(String::new, |instance| instance.name.to_string()),
            departed_born: departed.map_or(0, |instance| instance.started_ms),
            limited: limited.map_or_else(String::new, |instance| instance.name.to_string()),
            limited_born: limited.map_or(0, |instance| instance.started_ms),
            rate_limit: message.limit.as_ref().map(|limit| limit.rate.millihertz()),
        }
    }
}

impl TryFrom<peer::GossipMessage> for Message {
    type Error = WireError;

    fn try_from(wire: peer::GossipMessage) -> Result<Self, WireError> {
        let members: Result<Vec<Member>, WireError> =
            wire.members.into_iter().map(TryInto::try_into).collect();
        Ok(Message {
            from: wire.from.into(),
            accepted: wire.accepted,
            digest: wire.members_digest,
            members: members?,
            crashes: crashes_from_wire(wire.suspects, wire.cleared),
            whole: wire.whole,
            full: wire.full,
            departed: (!wire.departed.is_empty())
                .then(|| Instance::new(&wire.departed, wire.departed_born)),
            limit: wire.rate_limit.map(|rate| NamedLimit {
                instance: Instance::new(&wire.limited, wire.limited_born),
                rate: Rate::from_millihertz(rate),
            }),
        })
    }
}

/// Gossip state of a daemon, which limits its requests for full member lists.
#[derive(Debug)]
pub struct Exchange {
    started: Instant,
    /// Time of the latest request for a full list.
    last_request: Option<Instant>,
}

impl Exchange {
    /// Creates the state of a daemon that starts at `now`.
    pub fn new(now: Instant) -> Exchange {
        Exchange {
            started: now,
            last_request: None,
        }
    }

    /// Whether the daemon started a moment ago, and should gossip more often.
    pub fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < STARTUP
    }

    /// Shortest time between two requests for a full list.
    fn request_interval(&self, now: Instant, members: usize, has_backlog: bool) -> Duration {
        let by_size = FULL_LIST_INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX);
        if self.is_starting(now) {
            return (by_size / STARTUP_DIVISOR).clamp(MIN_STARTUP_INTERVAL, MAX_STARTUP_INTERVAL);
        }
        let by_size = by_size.clamp(MIN_FULL_LIST_INTERVAL, MAX_FULL_LIST_INTERVAL);
        if has_backlog {
            by_size.min(BACKLOG_FULL_LIST_INTERVAL)
        } else {
            by_size
        }
    }

    /// Merges a received message; returns the members that changed.
    pub fn merge(
        &self,
        now: Instant,
        members: &mut Members,
        suspects: &mut Suspects,
        message: &Message,
    ) -> Vec<Member> {
        suspects.merge(now, &message.crashes);
        members.record_success(&message.from);
        if message.full {
            members.merge_full(now, message.members.clone())
        } else {
            members.merge(now, message.members.clone())
        }
    }

    /// Builds the message that opens a gossip round.
    pub fn open(
        &mut self,
        now: Instant,
        members: &mut Members,
        suspects: &mut Suspects,
        accepted: u64,
    ) -> Message {
        Message {
            from: members.me().host.clone(),
            accepted,
            digest: members.digest(),
            members: members.take_updates(MAX_MEMBERS_PER_MESSAGE),
            crashes: suspects.take_updates(now),
            whole: members.is_empty(),
            full: false,
            departed: None,
            limit: None,
        }
    }

    /// Builds the reply to a message that was merged before.
    pub fn answer(
        &mut self,
        now: Instant,
        members: &mut Members,
        suspects: &mut Suspects,
        accepted: u64,
        message: &Message,
    ) -> Message {
        let mut answer = self.open(now, members, suspects, accepted);
        answer.whole = self.needs_full_list(now, members, message);
        answer.departed = members.departed(&message.from).cloned();
        answer.limit = members.named_limit(&message.from).cloned();
        if message.whole {
            answer.members = members.all().cloned().collect();
            answer.full = true;
        }
        answer
    }

    /// Whether to request the full list of the sender of `message`: the message is not itself a
    /// full list, the lists differ, and either neither side has updates to send, or this side has a
    /// backlog of updates, or the fleet is small. If so, the next request is held back for an
    /// interval.
    pub fn needs_full_list(&mut self, now: Instant, members: &Members, message: &Message) -> bool {
        let lists_differ = message.digest != members.digest() && !message.full;
        let is_quiet = members.pending_updates() == 0 && message.members.is_empty();
        let backlog = members.pending_updates() >= BACKLOG_UPDATES;
        let small = members.len() <= SMALL_FLEET_MEMBERS;
        let interval = self.request_interval(now, members.len(), backlog);
        let recent = |requested: Instant| now.saturating_duration_since(requested) < interval;
        if !lists_differ || !(is_quiet || backlog || small) || self.last_request.is_some_and(recent)
        {
            return false;
        }
        self.last_request = Some(now);
        true
    }
}
