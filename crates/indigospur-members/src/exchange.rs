//! What two daemons tell each other in a gossip round, within a bound of bytes.

use crate::members::Members;
use crate::starts::Start;
use crate::suspects::Suspects;
use indigospur_protocol::{Crash, HostId, Member, WireError, wire::peer};
use std::time::{Duration, Instant};

/// Members told of in one message.
const MOST_NEWS: usize = 12;
/// Shortest time between two whole member lists that a daemon asks for, for each member: whole lists
/// then take at most some 4 KB a second, whatever the size of the fleet.
const WHOLE_PAUSE_PER_MEMBER: Duration = Duration::from_millis(25);
/// Bounds of that time. In a large fleet the longest one is kept while changes are still told one by
/// one, which takes fewer bytes.
const SHORTEST_WHOLE_PAUSE: Duration = Duration::from_millis(400);
const LONGEST_WHOLE_PAUSE: Duration = Duration::from_secs(10);
/// The same while more is to be told than fits into a few messages, as after a start of the fleet.
const WHOLE_PAUSE_IN_BACKLOG: Duration = Duration::from_secs(2);
/// Members of a fleet in which whole lists are exchanged also while changes are told.
const SMALL_FLEET: usize = 128;
/// Changes still to be told that count as a backlog.
const BACKLOG: usize = 2 * MOST_NEWS;

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: HostId,
    /// Highest log offset the sender has accepted a record at, plus one.
    pub accepted: u64,
    /// Digest of the sender's member list.
    pub digest: u64,
    /// Members the sender tells of.
    pub members: Vec<Member>,
    /// Crashes the sender tells of.
    pub crashes: Vec<Crash>,
    /// Asks for the receiver's whole member list.
    pub whole: bool,
    /// `members` is the sender's whole list.
    pub full: bool,
    /// Start of the backend server that left last on the receiver's host, as the sender knows.
    pub departed: Option<Start>,
}

impl From<Message> for peer::GossipMessage {
    fn from(message: Message) -> Self {
        let departed = message.departed.as_ref();
        peer::GossipMessage {
            from: message.from.to_string(),
            accepted: message.accepted,
            members_digest: message.digest,
            members: message.members.iter().map(Into::into).collect(),
            suspects: message.crashes.iter().map(Into::into).collect(),
            whole: message.whole,
            full: message.full,
            departed: departed.map_or_else(String::new, |start| start.instance.to_string()),
            departed_born: departed.map_or(0, |start| start.born),
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
            crashes: wire.suspects.into_iter().map(Into::into).collect(),
            whole: wire.whole,
            full: wire.full,
            departed: (!wire.departed.is_empty())
                .then(|| Start::new(&wire.departed, wire.departed_born)),
        })
    }
}

/// When a daemon last asked for a whole member list.
#[derive(Debug, Default)]
pub struct Exchange {
    asked: Option<Instant>,
}

impl Exchange {
    /// Takes a message in; returns the members that changed.
    pub fn take(
        &self,
        now: Instant,
        members: &mut Members,
        suspects: &mut Suspects,
        heard: &Message,
    ) -> Vec<Member> {
        suspects.learn_all(&heard.crashes);
        members.reached(&heard.from);
        if heard.full {
            members.merge_whole(now, heard.members.clone())
        } else {
            members.merge(now, heard.members.clone())
        }
    }

    /// The message that opens a round.
    pub fn open(
        &mut self,
        members: &mut Members,
        suspects: &mut Suspects,
        accepted: u64,
    ) -> Message {
        Message {
            from: members.me().host.clone(),
            accepted,
            digest: members.digest(),
            members: members.take_news(MOST_NEWS),
            crashes: suspects.take_news(),
            whole: members.is_empty(),
            full: false,
            departed: None,
        }
    }

    /// The answer to a message, after it was taken in.
    pub fn answer(
        &mut self,
        now: Instant,
        members: &mut Members,
        suspects: &mut Suspects,
        accepted: u64,
        heard: &Message,
    ) -> Message {
        let mut answer = self.open(members, suspects, accepted);
        answer.whole = self.wants_whole(now, members, heard);
        answer.departed = members.departed(&heard.from).cloned();
        if heard.whole {
            answer.members = members.all().cloned().collect();
            answer.full = true;
        }
        answer
    }

    /// Whether the other side's whole list should be asked for: the lists differ though neither
    /// side has anything new to tell, or there is too much to tell of it change by change.
    pub fn wants_whole(&mut self, now: Instant, members: &Members, heard: &Message) -> bool {
        let differs = heard.digest != members.digest() && !heard.full;
        let settled = members.untold() == 0 && heard.members.is_empty();
        let backlog = members.untold() >= BACKLOG;
        let small = members.len() <= SMALL_FLEET;
        let by_size = WHOLE_PAUSE_PER_MEMBER * u32::try_from(members.len()).unwrap_or(u32::MAX);
        let by_size = by_size.clamp(SHORTEST_WHOLE_PAUSE, LONGEST_WHOLE_PAUSE);
        let pause = if backlog {
            by_size.min(WHOLE_PAUSE_IN_BACKLOG)
        } else {
            by_size
        };
        let recent = |at: Instant| now.saturating_duration_since(at) < pause;
        if !differs || !(settled || backlog || small) || self.asked.is_some_and(recent) {
            return false;
        }
        self.asked = Some(now);
        true
    }
}
