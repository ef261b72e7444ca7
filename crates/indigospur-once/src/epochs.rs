//! The epochs of a service that are not closed yet, with the members that have moved past them and
//! those that have handed over their records.

use crate::placement::{executor_candidates, home_of};
use indigospur_protocol::{Epoch, EpochRecord, MemberId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Debug)]
struct EpochEntry {
    record: EpochRecord,
    /// When the next epoch was first seen, by the monotonic and the wall clock; `None` for the
    /// current epoch.
    superseded: Option<(Instant, SystemTime)>,
}

/// What the current home knows of a key's history in earlier epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum History {
    /// For each earlier epoch, the key's home or all of its executors have handed over.
    Complete,
    /// No member can run the key for an earlier home any more, but one that may have run it until
    /// this time has not handed over its records.
    LostBefore(SystemTime),
    /// An executor of an earlier epoch may still run the key, or has yet to hand over.
    Pending,
}

/// Membership of the epochs that are not closed yet, and the progress of their hand-overs.
#[derive(Debug, Default)]
pub(crate) struct Epochs {
    entries: BTreeMap<Epoch, EpochEntry>,
    /// Daemon incarnations known to have ended, by a later incarnation on the same host or by an
    /// operator's declaration, with the time when that was learnt.
    ended: BTreeMap<MemberId, SystemTime>,
    /// Epoch that each member has moved to, with the time when that was learnt. The member acts in
    /// no earlier epoch any more.
    fences: BTreeMap<MemberId, (Epoch, SystemTime)>,
    /// Epochs in which each member has handed over to this daemon. A hand-over brings the records
    /// of the keys whose home this daemon is in that epoch.
    hand_overs: BTreeMap<MemberId, BTreeSet<Epoch>>,
    /// Epochs in which each member, including this one, had the full history of the keys whose home
    /// it was. A hand-over of such a member covers all earlier epochs of these keys.
    complete: BTreeMap<MemberId, BTreeSet<Epoch>>,
}

impl Epochs {
    pub(crate) fn current(&self) -> Option<&EpochRecord> {
        self.entries.values().next_back().map(|entry| &entry.record)
    }

    /// Number of the current epoch, or zero before the first.
    pub(crate) fn number(&self) -> Epoch {
        self.current().map_or(0, |record| record.number)
    }

    /// Moves to a later epoch; returns false if `record` is not later than the current one.
    pub(crate) fn apply(&mut self, now: Instant, wall: SystemTime, record: EpochRecord) -> bool {
        if record.number <= self.number() {
            return false;
        }
        if let Some(entry) = self.entries.values_mut().next_back() {
            entry.superseded = Some((now, wall));
        }
        let (number, declared) = (record.number, record.dead_members.clone());
        self.entries.insert(
            number,
            EpochEntry {
                record,
                superseded: None,
            },
        );
        for member in declared.into_iter().chain(self.ended_incarnations()) {
            self.ended.entry(member).or_insert(wall);
        }
        true
    }

    /// Incarnations that have ended, as a later one of the same host is a member.
    fn ended_incarnations(&self) -> Vec<MemberId> {
        let mut latest = HashMap::new();
        for member in self.members() {
            let incarnation = latest.entry(&member.host).or_insert(0);
            *incarnation = member.incarnation.max(*incarnation);
        }
        let has_ended = |member: &&MemberId| member.incarnation < latest[&member.host];
        self.members().filter(has_ended).cloned().collect()
    }

    /// The members of all epochs, with repetitions.
    fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.entries
            .values()
            .flat_map(|entry| &entry.record.members)
    }

    /// Records that a member has moved to an epoch.
    pub(crate) fn fence(&mut self, wall: SystemTime, member: &MemberId, epoch: Epoch) {
        let fence = self.fences.entry(member.clone()).or_insert((0, wall));
        if epoch > fence.0 {
            *fence = (epoch, wall);
        }
    }

    /// Records that a member has handed over to this daemon in an epoch that the member has moved
    /// to.
    pub(crate) fn record_hand_over(&mut self, wall: SystemTime, member: &MemberId, epoch: Epoch) {
        self.fence(wall, member, epoch);
        self.hand_overs
            .entry(member.clone())
            .or_default()
            .insert(epoch);
    }

    /// Records epochs in which a member had the full history of its keys.
    pub(crate) fn mark_complete(
        &mut self,
        member: &MemberId,
        epochs: impl IntoIterator<Item = Epoch>,
    ) {
        let complete = self.complete.entry(member.clone()).or_default();
        complete.extend(epochs);
    }

    /// Marks the current epoch complete for `me` once the history of its keys is full.
    pub(crate) fn update_complete(&mut self, me: &MemberId) {
        let number = self.number();
        if number > 0 && !self.is_complete(me, number) && self.has_full_history(me) {
            self.mark_complete(me, [number]);
        }
    }

    /// Epochs in which the member is known to have had the full history of its keys.
    pub(crate) fn complete_epochs(&self, member: &MemberId) -> Vec<Epoch> {
        let complete = self.complete.get(member).into_iter().flatten();
        complete.copied().collect()
    }

    fn is_complete(&self, member: &MemberId, epoch: Epoch) -> bool {
        self.complete
            .get(member)
            .is_some_and(|epochs| epochs.contains(&epoch))
    }

    /// Whether the hand-overs received in the current epoch give `me` the full history of the keys
    /// whose home it is.
    fn has_full_history(&self, me: &MemberId) -> bool {
        let current = self.number();
        let handed_over = |member: &MemberId| {
            let epochs = self.hand_overs.get(member);
            member == me || epochs.is_some_and(|epochs| epochs.contains(&current))
        };
        for (number, entry) in self.entries.range(..current).rev() {
            let members = &entry.record.members;
            let missing = members.iter().filter(|member| !handed_over(member)).count();
            let all_complete = || members.iter().all(|m| self.is_complete(m, *number));
            if missing == 0 && all_complete() {
                return true;
            }
            // If one member is missing, then for keys of which it was the home all executors have
            // handed over, and for all other keys the home has.
            if missing > usize::from(members.len() > 1) {
                return false;
            }
        }
        true
    }

    pub(crate) fn fences(&self) -> impl Iterator<Item = (&MemberId, Epoch)> {
        self.fences
            .iter()
            .map(|(member, (epoch, _))| (member, *epoch))
    }

    /// The history of a key whose current home is `me`. No dispatch of an epoch can run later than
    /// `epoch_timeout` after the end of the epoch.
    pub(crate) fn history(
        &self,
        now: Instant,
        me: &MemberId,
        key: &str,
        epoch_timeout: Duration,
    ) -> History {
        let mut lost: Option<SystemTime> = None;
        let current = self.number();
        for entry in self.entries.range(..current).rev().map(|(_, entry)| entry) {
            match self.history_in(entry, now, me, key, epoch_timeout) {
                History::Complete => {}
                History::LostBefore(time) => lost = lost.max(Some(time)),
                History::Pending => return History::Pending,
            }
            if self.covers_earlier(entry, me, key) {
                break;
            }
        }
        lost.map_or(History::Complete, History::LostBefore)
    }

    /// The history of a key in one earlier epoch.
    fn history_in(
        &self,
        entry: &EpochEntry,
        now: Instant,
        me: &MemberId,
        key: &str,
        epoch_timeout: Duration,
    ) -> History {
        let Some((seen, wall)) = entry.superseded else {
            return History::Pending;
        };
        let Some(home) = home_of(&entry.record, key) else {
            return History::Complete;
        };
        let number = entry.record.number;
        let handed_over =
            |member: &MemberId| member == me || self.has_handed_over(member, number, me, key);
        if handed_over(home) {
            return History::Complete;
        }
        let executors = executor_candidates(&entry.record, key);
        if executors.iter().all(|member| handed_over(member)) {
            return History::Complete;
        }
        let timed_out = now.saturating_duration_since(seen) > epoch_timeout;
        let timed_out = timed_out.then_some(wall + epoch_timeout);
        let missing = executors.into_iter().filter(|member| !handed_over(member));
        let ends = missing.map(|member| {
            timed_out
                .into_iter()
                .chain(self.ended_at(member, number))
                .min()
        });
        let last = ends
            .into_iter()
            .try_fold(wall, |last, end| Some(last.max(end?)));
        last.map_or(History::Pending, History::LostBefore)
    }

    /// When it was learnt that the member runs nothing of `epoch` any more and will not hand over.
    fn ended_at(&self, member: &MemberId, epoch: Epoch) -> Option<SystemTime> {
        let fence = self.fences.get(member).filter(|(fence, _)| *fence > epoch);
        let left = fence.filter(|_| !self.is_current(member));
        let left = left.map(|(_, learnt)| *learnt);
        left.into_iter()
            .chain(self.ended.get(member).copied())
            .min()
    }

    /// Whether the key's home in this epoch had the full history and has handed it over to `me`.
    fn covers_earlier(&self, entry: &EpochEntry, me: &MemberId, key: &str) -> bool {
        let number = entry.record.number;
        home_of(&entry.record, key).is_some_and(|home| {
            let handed_over = home == me || self.has_handed_over(home, number, me, key);
            handed_over && self.is_complete(home, number)
        })
    }

    /// Whether the member has handed over its records of the key to `me` after `epoch`.
    ///
    /// A hand-over counts only if `me` was the key's home in the epoch of the hand-over; otherwise
    /// the records of the key went to another member.
    fn has_handed_over(&self, member: &MemberId, epoch: Epoch, me: &MemberId, key: &str) -> bool {
        let Some(epochs) = self.hand_overs.get(member) else {
            return false;
        };
        let is_home = |number: &Epoch| {
            let entry = self.entries.get(number);
            entry.and_then(|entry| home_of(&entry.record, key)) == Some(me)
        };
        epochs.range(epoch + 1..).any(is_home)
    }

    /// Whether the member belongs to the current epoch, and so can still hand over.
    fn is_current(&self, member: &MemberId) -> bool {
        self.current()
            .is_some_and(|record| record.members.contains(member))
    }

    /// Drops epochs that were superseded longer ago than `age`, and what refers only to them.
    pub(crate) fn close(&mut self, now: Instant, age: Duration) {
        let live = |entry: &EpochEntry| {
            entry
                .superseded
                .is_none_or(|(seen, _)| now.saturating_duration_since(seen) <= age)
        };
        let count = self.entries.len();
        self.entries.retain(|_, entry| live(entry));
        if self.entries.len() == count {
            return;
        }
        let Some(first) = self.entries.keys().next().copied() else {
            return;
        };
        let listed: HashSet<MemberId> = self.members().cloned().collect();
        self.ended.retain(|member, _| listed.contains(member));
        self.fences.retain(|_, (epoch, _)| *epoch >= first);
        for epochs in [&mut self.hand_overs, &mut self.complete] {
            epochs.retain(|_, epochs| {
                epochs.retain(|epoch| *epoch >= first);
                !epochs.is_empty()
            });
        }
    }
}
