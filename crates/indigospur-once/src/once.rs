//! State of one daemon that runs each key at most once: as the home of some keys and as an executor
//! of others.

use crate::epochs::{Epochs, History};
use crate::key::{CreationTime, creation_time};
use crate::placement::home_of;
use crate::records::{KeyRecord, KeyState, KeyTable};
use indigospur_protocol::{Answer, Epoch, EpochRecord, HostId, Key, MemberId};
use std::time::{Duration, Instant, SystemTime};

/// Time and size bounds of at-most-once execution.
#[derive(Clone, Copy, Debug)]
pub struct OnceOptions {
    /// How long records of keys are kept; keys created longer ago are refused.
    pub horizon: Duration,
    /// How long an executor accepts dispatches after the start of its last successful read of the
    /// log.
    pub lease: Duration,
    /// Longest time from a dispatch to its deadline; the backend server enforces the deadline.
    pub longest_call: Duration,
    /// Tolerated difference between the wall clocks of callers and daemons.
    pub skew: Duration,
    /// Largest body, in bytes, of an answer that is kept to be repeated.
    pub largest_answer: usize,
}

impl OnceOptions {
    /// Time from the end of an epoch until none of its dispatches can run any more.
    fn epoch_timeout(&self) -> Duration {
        self.lease + self.longest_call + self.skew
    }
}

impl Default for OnceOptions {
    fn default() -> Self {
        OnceOptions {
            horizon: Duration::from_secs(1_800),
            lease: Duration::from_secs(7_200),
            longest_call: Duration::from_secs(600),
            skew: Duration::from_secs(5),
            largest_answer: 16 * 1_024,
        }
    }
}

/// Outcome of a claim at the key's home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is granted; dispatch the call to an executor of this epoch.
    Granted(Epoch),
    /// The key's home is the member on this host.
    NotHome(HostId),
    /// The call ran, and this is its answer.
    Repeat(Answer),
    /// The call ran, but its answer is not kept here.
    Ran,
    /// The call is running.
    Running,
    /// The call may have run; whether it did can't be determined.
    Uncertain,
    /// The key was used with a different request.
    Conflict,
    /// The key was created longer ago than [`OnceOptions::horizon`].
    Expired,
    /// This home doesn't know yet whether the call ran, or may still run, in an earlier epoch;
    /// retry later.
    NotServing,
}

/// Outcome of a dispatch at the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The key was recorded; run the call now.
    Run,
    /// The dispatch was sent in another epoch than the current one, or its sender is not the key's
    /// home.
    Stale,
    /// An earlier dispatch of the key was recorded here.
    AlreadyRecorded,
    /// The log was not read within [`OnceOptions::lease`].
    LeaseExpired,
}

/// Records that a member sends to each member of a new epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// Incarnation of the sending daemon.
    pub from: MemberId,
    /// Epoch that the sender has moved to; it acts in no earlier one any more.
    pub epoch: Epoch,
    /// Records of the keys whose home in this epoch is the receiver.
    pub records: Vec<KeyRecord>,
    /// The latest epoch that each member is known to have moved to.
    pub fences: Vec<(MemberId, Epoch)>,
    /// Epochs in which the sender had the full history of the keys whose home it was.
    pub complete: Vec<Epoch>,
}

#[derive(Clone, Debug)]
enum ClaimState {
    /// Granted by this home; no outcome is known yet.
    Running,
    /// The call may have run.
    Uncertain,
    /// The call ran; holds the answer if it is kept.
    Ran(Option<Answer>),
}

impl ClaimState {
    fn key_state(&self) -> KeyState {
        match self {
            ClaimState::Running | ClaimState::Uncertain => KeyState::Uncertain,
            ClaimState::Ran(_) => KeyState::Ran,
        }
    }
}

/// At-most-once state of one daemon, for the service of its backend server.
///
/// The methods take the current time of the monotonic clock as `now` and of the wall clock as
/// `wall`.
#[derive(Debug)]
pub struct Once {
    me: MemberId,
    options: OnceOptions,
    epochs: Epochs,
    claims: KeyTable<ClaimState>,
    runs: KeyTable<KeyState>,
    /// Start of the last read of the log that succeeded.
    log_read: Option<Instant>,
}

impl Once {
    /// Creates the state of the daemon `me`. `log_read` is the start of its last successful read of
    /// the log, if any.
    pub fn new(log_read: Option<Instant>, me: MemberId, options: OnceOptions) -> Once {
        Once {
            me,
            options,
            epochs: Epochs::default(),
            claims: KeyTable::default(),
            runs: KeyTable::default(),
            log_read,
        }
    }

    /// Incarnation of the daemon that owns this state.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// The latest epoch applied; `None` before the first.
    pub fn current(&self) -> Option<&EpochRecord> {
        self.epochs.current()
    }

    /// Number of records kept as home and as executor; a key with both counts twice.
    pub fn len(&self) -> usize {
        self.claims.len() + self.runs.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Renews the lease after a successful read of the log that began at `started`. To be called
    /// after the records read were applied.
    pub fn renew_lease(&mut self, started: Instant) {
        self.log_read = self.log_read.max(Some(started));
    }

    /// Moves to a later epoch; returns false if `record` is not later than the current one. Nothing
    /// of an earlier epoch is dispatched or run after that.
    pub fn apply(&mut self, now: Instant, wall: SystemTime, record: EpochRecord) -> bool {
        let applied = self.epochs.apply(now, wall, record);
        if applied {
            let (me, number) = (self.me.clone(), self.epochs.number());
            self.epochs.fence(wall, &me, number);
            self.epochs.update_complete(&me);
        }
        applied
    }

    /// Builds the hand-over for the member on host `to`; `None` before the first epoch. The caller
    /// sends it repeatedly until the member accepts it.
    pub fn hand_over(&self, now: Instant, to: &HostId) -> Option<HandOver> {
        let current = self.epochs.current()?;
        let is_home = |key: &Key| home_of(current, key).is_some_and(|home| home.host == *to);
        let age = |since: Instant| now.saturating_duration_since(since);
        let claims = self.claims.iter().map(|(key, entry)| KeyRecord {
            key: key.clone(),
            digest: entry.digest,
            state: entry.value.key_state(),
            age: age(entry.recorded),
        });
        let runs = self.runs.iter().map(|(key, entry)| KeyRecord {
            key: key.clone(),
            digest: entry.digest,
            state: entry.value,
            age: age(entry.recorded),
        });
        let records = claims
            .chain(runs)
            .filter(|record| is_home(&record.key))
            .collect();
        let fences = self
            .epochs
            .fences()
            .map(|(member, epoch)| (member.clone(), epoch))
            .collect();
        Some(HandOver {
            from: self.me.clone(),
            epoch: current.number,
            records,
            fences,
            complete: self.epochs.complete_epochs(&self.me),
        })
    }

    /// Merges a hand-over of another member; returns false, with nothing merged, if its epoch is
    /// not known here yet.
    pub fn apply_hand_over(&mut self, now: Instant, wall: SystemTime, hand_over: HandOver) -> bool {
        if hand_over.epoch > self.epochs.number() {
            return false;
        }
        for record in hand_over.records {
            self.merge_record(now, record);
        }
        for (member, epoch) in &hand_over.fences {
            self.epochs.fence(wall, member, *epoch);
        }
        self.epochs
            .mark_complete(&hand_over.from, hand_over.complete);
        self.epochs
            .record_hand_over(wall, &hand_over.from, hand_over.epoch);
        self.epochs.update_complete(&self.me);
        true
    }

    fn merge_record(&mut self, now: Instant, record: KeyRecord) {
        let value = match record.state {
            KeyState::Uncertain => ClaimState::Uncertain,
            KeyState::Ran => ClaimState::Ran(None),
        };
        match self.claims.get_mut(&record.key) {
            Some(entry) => {
                if matches!(
                    (&entry.value, record.state),
                    (ClaimState::Uncertain, KeyState::Ran)
                ) {
                    entry.value = value;
                }
            }
            None => {
                let recorded = now.checked_sub(record.age).unwrap_or(now);
                self.claims
                    .insert(recorded, &record.key, record.digest, value);
            }
        }
    }

    /// Claims `key` for a request with this digest. To be called on the key's home.
    pub fn claim(
        &mut self,
        now: Instant,
        wall: SystemTime,
        key: &Key,
        digest: u64,
    ) -> ClaimOutcome {
        self.claims
            .expire(now, self.options.horizon + self.options.skew);
        let Some(home) = self.epochs.current().and_then(|epoch| home_of(epoch, key)) else {
            return ClaimOutcome::NotServing;
        };
        if *home != self.me {
            return ClaimOutcome::NotHome(home.host.clone());
        }
        if let Some(outcome) = self.recorded_claim(key, digest) {
            return outcome;
        }
        let created = creation_time(key);
        if self.is_expired(wall, created) {
            return ClaimOutcome::Expired;
        }
        match self
            .epochs
            .history(now, &self.me, key, self.options.epoch_timeout())
        {
            History::Pending => return ClaimOutcome::NotServing,
            History::LostBefore(time) if !self.is_created_after(created, time) => {
                return ClaimOutcome::Uncertain;
            }
            History::LostBefore(_) | History::Complete => {}
        }
        self.claims.insert(now, key, digest, ClaimState::Running);
        ClaimOutcome::Granted(self.epochs.number())
    }

    /// Outcome that follows from the records kept here, as home or as an executor for another home.
    fn recorded_claim(&self, key: &str, digest: u64) -> Option<ClaimOutcome> {
        let Some(entry) = self.claims.get(key) else {
            return self.recorded_run(key, digest);
        };
        if entry.digest != digest {
            return Some(ClaimOutcome::Conflict);
        }
        Some(match &entry.value {
            ClaimState::Running => ClaimOutcome::Running,
            ClaimState::Uncertain => ClaimOutcome::Uncertain,
            ClaimState::Ran(Some(answer)) => ClaimOutcome::Repeat(answer.clone()),
            ClaimState::Ran(None) => ClaimOutcome::Ran,
        })
    }

    fn recorded_run(&self, key: &str, digest: u64) -> Option<ClaimOutcome> {
        let entry = self.runs.get(key)?;
        Some(match entry.value {
            _ if entry.digest != digest => ClaimOutcome::Conflict,
            KeyState::Uncertain => ClaimOutcome::Uncertain,
            KeyState::Ran => ClaimOutcome::Ran,
        })
    }

    fn is_expired(&self, wall: SystemTime, created: CreationTime) -> bool {
        let CreationTime::At(time) = created else {
            return false;
        };
        wall.duration_since(time)
            .is_ok_and(|age| age > self.options.horizon)
    }

    fn is_created_after(&self, created: CreationTime, time: SystemTime) -> bool {
        matches!(created, CreationTime::At(at) if at > time + self.options.skew)
    }

    /// Records at the home that the call ran and was answered.
    pub fn mark_ran(&mut self, key: &str, answer: &Answer) {
        let stored = (answer.body.len() <= self.options.largest_answer).then(|| answer.clone());
        if let Some(entry) = self.claims.get_mut(key) {
            entry.value = ClaimState::Ran(stored);
        }
    }

    /// Records at the home that the dispatch ended without an answer and the call may have run.
    pub fn mark_uncertain(&mut self, key: &str) {
        if let Some(entry) = self.claims.get_mut(key) {
            entry.value = ClaimState::Uncertain;
        }
    }

    /// Drops a running claim at the home whose call was not sent to a backend server, so that the
    /// key can be claimed again.
    pub fn release(&mut self, key: &str) {
        let running =
            |entry: &crate::records::Entry<ClaimState>| matches!(entry.value, ClaimState::Running);
        if self.claims.get(key).is_some_and(running) {
            self.claims.remove(key);
        }
    }

    /// Records a dispatch at the executor. On [`RecordOutcome::Run`] the caller sends the call to
    /// the backend server at once or calls [`Once::cancel_run`]. `home` is the host of the sender.
    pub fn record(
        &mut self,
        now: Instant,
        epoch: Epoch,
        home: &str,
        key: &Key,
        digest: u64,
    ) -> RecordOutcome {
        self.runs
            .expire(now, self.options.horizon + self.options.skew);
        let Some(current) = self.epochs.current() else {
            return RecordOutcome::Stale;
        };
        let is_home = home_of(current, key).is_some_and(|member| &*member.host == home);
        if current.number != epoch || !is_home {
            return RecordOutcome::Stale;
        }
        let is_held = |read: Instant| now.saturating_duration_since(read) <= self.options.lease;
        if !self.log_read.is_some_and(is_held) {
            return RecordOutcome::LeaseExpired;
        }
        if self.runs.get(key).is_some() {
            return RecordOutcome::AlreadyRecorded;
        }
        self.runs.insert(now, key, digest, KeyState::Uncertain);
        RecordOutcome::Run
    }

    /// Records at the executor that the backend server answered the call.
    pub fn finish_run(&mut self, key: &str) {
        if let Some(entry) = self.runs.get_mut(key) {
            entry.value = KeyState::Ran;
        }
    }

    /// Drops the executor's record of a call that was not sent to the backend server.
    pub fn cancel_run(&mut self, key: &str) {
        self.runs.remove(key);
    }

    /// Closes epochs that no key within the horizon can depend on. To be called periodically.
    pub fn tick(&mut self, now: Instant) {
        self.epochs.close(
            now,
            self.options.horizon + self.options.lease + self.options.skew,
        );
    }
}
