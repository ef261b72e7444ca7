//! The epochs of a service that are not closed yet, who has moved past them, and who has told what
//! it knew.

use crate::placement::{executor_candidates, home_of};
use indigospur_protocol::{Epoch, EpochRecord, MemberId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

/// One epoch.
#[derive(Clone, Debug)]
struct Known {
    record: EpochRecord,
    /// When its successor was first seen, by both clocks; `None` for the current epoch.
    replaced: Option<(Instant, SystemTime)>,
}

/// What stands between a new home and a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Settled {
    /// Nothing: all that was known of the key has been told here.
    Known,
    /// No one can run the key for an old home any more, but someone who may have run it until this
    /// time has not told here what it knew.
    LostBefore(SystemTime),
    /// An old home or its executors may still run it.
    Open,
}

/// The epochs of a service that are not closed yet.
#[derive(Debug, Default)]
pub(crate) struct Epochs {
    known: BTreeMap<Epoch, Known>,
    /// Starts of daemons that are proven to have ended, by a later start of the host or an
    /// operator's word, and when that was learnt.
    gone: BTreeMap<MemberId, SystemTime>,
    /// Epoch each member has moved to, and when that was learnt; it acts in no earlier one any more.
    fences: BTreeMap<MemberId, (Epoch, SystemTime)>,
    /// Epochs in which each member has told this daemon what it knew of the keys that were then at
    /// home here.
    told: BTreeMap<MemberId, BTreeSet<Epoch>>,
    /// Epochs in which each member, this one too, knew all of earlier ones about the keys that were
    /// then at home there. What such a member tells stands for all that went before.
    complete: BTreeMap<MemberId, BTreeSet<Epoch>>,
}

impl Epochs {
    /// The current epoch.
    pub(crate) fn current(&self) -> Option<&EpochRecord> {
        self.known.values().next_back().map(|known| &known.record)
    }

    /// Number of the current epoch; zero before the first.
    pub(crate) fn number(&self) -> Epoch {
        self.current().map_or(0, |record| record.number)
    }

    /// Moves to a later epoch; false if it is not later.
    pub(crate) fn apply(&mut self, now: Instant, wall: SystemTime, record: EpochRecord) -> bool {
        if record.number <= self.number() {
            return false;
        }
        if let Some(known) = self.known.values_mut().next_back() {
            known.replaced = Some((now, wall));
        }
        let (number, declared) = (record.number, record.dead_members.clone());
        self.known.insert(
            number,
            Known {
                record,
                replaced: None,
            },
        );
        for member in declared.into_iter().chain(self.started_again()) {
            self.gone.entry(member).or_insert(wall);
        }
        true
    }

    /// Starts of daemons that a later start of the same host has ended.
    fn started_again(&self) -> Vec<MemberId> {
        let mut latest = HashMap::new();
        for member in self.members() {
            let incarnation = latest.entry(&member.host).or_insert(0);
            *incarnation = member.incarnation.max(*incarnation);
        }
        let ended = |member: &&MemberId| member.incarnation < latest[&member.host];
        self.members().filter(ended).cloned().collect()
    }

    /// The members of all epochs that are not closed.
    fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.known.values().flat_map(|known| &known.record.members)
    }

    /// Notes that a member has moved to an epoch.
    pub(crate) fn fence(&mut self, wall: SystemTime, member: &MemberId, epoch: Epoch) {
        let fence = self.fences.entry(member.clone()).or_insert((0, wall));
        if epoch > fence.0 {
            *fence = (epoch, wall);
        }
    }

    /// Notes that a member has told this daemon what it knew, in an epoch it has moved to.
    pub(crate) fn told(&mut self, wall: SystemTime, member: &MemberId, epoch: Epoch) {
        self.fence(wall, member, epoch);
        self.told.entry(member.clone()).or_default().insert(epoch);
    }

    /// Notes epochs in which a member knew all of earlier ones.
    pub(crate) fn complete(&mut self, member: &MemberId, epochs: impl IntoIterator<Item = Epoch>) {
        let complete = self.complete.entry(member.clone()).or_default();
        complete.extend(epochs);
    }

    /// Notes whether `me` knows all of earlier epochs, for the keys at home here in the current one.
    pub(crate) fn note_complete(&mut self, me: &MemberId) {
        let number = self.number();
        if number > 0 && !self.is_complete(me, number) && self.knows_all(me) {
            self.complete(me, [number]);
        }
    }

    /// Epochs in which the member is known to have known all of earlier ones.
    pub(crate) fn complete_epochs(&self, member: &MemberId) -> Vec<Epoch> {
        let complete = self.complete.get(member).into_iter().flatten();
        complete.copied().collect()
    }

    fn is_complete(&self, member: &MemberId, epoch: Epoch) -> bool {
        self.complete
            .get(member)
            .is_some_and(|epochs| epochs.contains(&epoch))
    }

    /// Whether `me`, as a home of the current epoch, has been told all of earlier ones in it.
    fn knows_all(&self, me: &MemberId) -> bool {
        let current = self.number();
        let told = |member: &MemberId| {
            let epochs = self.told.get(member);
            member == me || epochs.is_some_and(|epochs| epochs.contains(&current))
        };
        for (number, known) in self.known.range(..current).rev() {
            let members = &known.record.members;
            let missing = members.iter().filter(|member| !told(member)).count();
            let all_complete = || members.iter().all(|m| self.is_complete(m, *number));
            if missing == 0 && all_complete() {
                return true;
            }
            // Of a key whose home alone is missing, all executors have told.
            if missing > usize::from(members.len() > 1) {
                return false;
            }
        }
        true
    }

    /// The epoch each member has moved to.
    pub(crate) fn fences(&self) -> impl Iterator<Item = (&MemberId, Epoch)> {
        self.fences
            .iter()
            .map(|(member, (epoch, _))| (member, *epoch))
    }

    /// What stands between `me`, the current home, and a key.
    pub(crate) fn settled(
        &self,
        now: Instant,
        me: &MemberId,
        key: &str,
        lapse: Duration,
    ) -> Settled {
        let mut lost: Option<SystemTime> = None;
        let current = self.number();
        for known in self.known.range(..current).rev().map(|(_, known)| known) {
            match self.settled_in(known, now, me, key, lapse) {
                Settled::Known => {}
                Settled::LostBefore(time) => lost = lost.max(Some(time)),
                Settled::Open => return Settled::Open,
            }
            if self.stands_for_earlier(known, me, key) {
                break;
            }
        }
        lost.map_or(Settled::Known, Settled::LostBefore)
    }

    /// The same for one epoch that was replaced.
    fn settled_in(
        &self,
        known: &Known,
        now: Instant,
        me: &MemberId,
        key: &str,
        lapse: Duration,
    ) -> Settled {
        let Some((seen, wall)) = known.replaced else {
            return Settled::Open;
        };
        let Some(home) = home_of(&known.record, key) else {
            return Settled::Known;
        };
        let number = known.record.number;
        let told = |member: &MemberId| member == me || self.has_told(member, number, me, key);
        if told(home) {
            return Settled::Known;
        }
        let executors = executor_candidates(&known.record, key);
        if executors.iter().all(|member| told(member)) {
            return Settled::Known;
        }
        let lapsed = now.saturating_duration_since(seen) > lapse;
        let lapsed = lapsed.then_some(wall + lapse);
        let missing = executors.into_iter().filter(|member| !told(member));
        let ends =
            missing.map(|member| lapsed.into_iter().chain(self.end_of(member, number)).min());
        let last = ends
            .into_iter()
            .try_fold(wall, |last, end| Some(last.max(end?)));
        last.map_or(Settled::Open, Settled::LostBefore)
    }

    /// When it was learnt that the member runs nothing of `epoch` any more and tells nothing either.
    fn end_of(&self, member: &MemberId, epoch: Epoch) -> Option<SystemTime> {
        let fence = self.fences.get(member).filter(|(fence, _)| *fence > epoch);
        let left = fence.filter(|_| !self.is_current(member));
        let left = left.map(|(_, learnt)| *learnt);
        left.into_iter().chain(self.gone.get(member).copied()).min()
    }

    /// Whether the key's home of this epoch knew all of earlier ones, and has told it here.
    fn stands_for_earlier(&self, known: &Known, me: &MemberId, key: &str) -> bool {
        let number = known.record.number;
        home_of(&known.record, key).is_some_and(|home| {
            let told = home == me || self.has_told(home, number, me, key);
            told && self.is_complete(home, number)
        })
    }

    /// Whether the member has told this daemon what it knew of the key when it left `epoch`.
    ///
    /// What it told counts only if the key was at home here then; else it was told to another.
    fn has_told(&self, member: &MemberId, epoch: Epoch, me: &MemberId, key: &str) -> bool {
        let Some(told) = self.told.get(member) else {
            return false;
        };
        let at_home = |number: &Epoch| {
            let known = self.known.get(number);
            known.and_then(|known| home_of(&known.record, key)) == Some(me)
        };
        told.range(epoch + 1..).any(at_home)
    }

    /// Whether the member is one of the current epoch, and so will still tell what it knew.
    fn is_current(&self, member: &MemberId) -> bool {
        self.current()
            .is_some_and(|record| record.members.contains(member))
    }

    /// Closes epochs replaced longer ago than `age`.
    pub(crate) fn close(&mut self, now: Instant, age: Duration) {
        let live = |known: &Known| {
            known
                .replaced
                .is_none_or(|(seen, _)| now.saturating_duration_since(seen) <= age)
        };
        let count = self.known.len();
        self.known.retain(|_, known| live(known));
        if self.known.len() == count {
            return;
        }
        let Some(first) = self.known.keys().next().copied() else {
            return;
        };
        let listed: HashSet<MemberId> = self.members().cloned().collect();
        self.gone.retain(|member, _| listed.contains(member));
        self.fences.retain(|_, (epoch, _)| *epoch >= first);
        for epochs in [&mut self.told, &mut self.complete] {
            epochs.retain(|_, epochs| {
                epochs.retain(|epoch| *epoch >= first);
                !epochs.is_empty()
            });
        }
    }
}
