//! One daemon's part in running each key at most once: home of some keys, executor of others.

use crate::epochs::{Epochs, Settled};
use crate::key::{KeyAge, age_of};
use crate::placement::home_of;
use crate::records::{Fate, KeyRecord, Records};
use indigospur_protocol::{Answer, Epoch, EpochRecord, HostId, Key, MemberId};
use std::time::{Duration, Instant, SystemTime};

/// Settings of at-most-once execution.
#[derive(Clone, Copy, Debug)]
pub struct OnceOptions {
    /// Time for which keys are remembered; an older key is refused.
    pub horizon: Duration,
    /// Time after the last read of the log during which a daemon acts on what it read.
    pub lease: Duration,
    /// Longest time from a dispatch to its deadline, which the backend server keeps.
    pub longest_call: Duration,
    /// Difference allowed between the clocks of callers and daemons.
    pub skew: Duration,
    /// Largest answer body kept to be repeated, in bytes.
    pub largest_answer: usize,
}

impl OnceOptions {
    /// Time after which nothing of a replaced epoch can run any more.
    fn lapse(&self) -> Duration {
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

/// What the home says to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The claim is granted: dispatch to an executor of this epoch.
    Granted(Epoch),
    /// Another member is the key's home.
    Elsewhere(HostId),
    /// The key ran; this is its answer.
    Repeat(Answer),
    /// The key ran; its answer is not kept here.
    Ran,
    /// The key runs now.
    Running,
    /// The key may have run, and its fate can't be known.
    Uncertain,
    /// The key stands for another request.
    Conflict,
    /// The key is older than keys are remembered.
    Expired,
    /// The home can't tell yet what an earlier home has done.
    NotServing,
}

/// What the executor says to a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// The key is recorded: run it now.
    Run,
    /// The sender's epoch is not the current one, or it is not the key's home.
    Stale,
    /// The key was run here before.
    Again,
    /// The log was not read for longer than the lease.
    Lapsed,
}

/// What a member tells a member of its new epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// Sender.
    pub from: MemberId,
    /// Epoch the sender has moved to.
    pub epoch: Epoch,
    /// Keys whose home the receiver now is.
    pub records: Vec<KeyRecord>,
    /// Epochs that members are known to have moved to.
    pub fences: Vec<(MemberId, Epoch)>,
    /// Epochs in which the sender knew all of earlier ones about the keys that were at home there.
    pub complete: Vec<Epoch>,
}

/// State of a claim at the home.
#[derive(Clone, Debug)]
enum Claimed {
    /// Granted here and not ended.
    Running,
    /// May have run.
    Uncertain,
    /// Ran; the answer where it is kept.
    Ran(Option<Answer>),
}

impl Claimed {
    fn fate(&self) -> Fate {
        match self {
            Claimed::Running | Claimed::Uncertain => Fate::Uncertain,
            Claimed::Ran(_) => Fate::Ran,
        }
    }
}

/// One daemon's part for the service of its backend server.
#[derive(Debug)]
pub struct Once {
    me: MemberId,
    options: OnceOptions,
    epochs: Epochs,
    claims: Records<Claimed>,
    runs: Records<Fate>,
    /// Start of the last read of the log that succeeded.
    log_read: Option<Instant>,
}

impl Once {
    /// The part of the daemon `me`, which has last read the log at `log_read`.
    pub fn new(log_read: Option<Instant>, me: MemberId, options: OnceOptions) -> Once {
        Once {
            me,
            options,
            epochs: Epochs::default(),
            claims: Records::default(),
            runs: Records::default(),
            log_read,
        }
    }

    /// The start of the daemon whose part it is.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// The current epoch.
    pub fn current(&self) -> Option<&EpochRecord> {
        self.epochs.current()
    }

    /// Keys remembered as home and as executor.
    pub fn len(&self) -> usize {
        self.claims.len() + self.runs.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes a read of the log that began at `begun` and succeeded, after its records were applied.
    pub fn log_was_read(&mut self, begun: Instant) {
        self.log_read = self.log_read.max(Some(begun));
    }

    /// Moves to a later epoch; false if it is not later. From here on nothing of an earlier epoch
    /// is dispatched or run.
    pub fn apply(&mut self, now: Instant, wall: SystemTime, record: EpochRecord) -> bool {
        let applied = self.epochs.apply(now, wall, record);
        if applied {
            let (me, number) = (self.me.clone(), self.epochs.number());
            self.epochs.fence(wall, &me, number);
            self.epochs.note_complete(&me);
        }
        applied
    }

    /// What to hand over to a member of the current epoch. Sent again until it is taken.
    pub fn hand_over(&self, now: Instant, to: &HostId) -> Option<HandOver> {
        let current = self.epochs.current()?;
        let moves = |key: &Key| home_of(current, key).is_some_and(|home| home.host == *to);
        let age = |since: Instant| now.saturating_duration_since(since);
        let claims = self.claims.iter().map(|(key, entry)| KeyRecord {
            key: key.clone(),
            digest: entry.digest,
            fate: entry.value.fate(),
            age: age(entry.since),
        });
        let runs = self.runs.iter().map(|(key, entry)| KeyRecord {
            key: key.clone(),
            digest: entry.digest,
            fate: entry.value,
            age: age(entry.since),
        });
        let records = claims
            .chain(runs)
            .filter(|record| moves(&record.key))
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

    /// Takes what another member hands over; false if its epoch is not known here yet.
    pub fn take(&mut self, now: Instant, wall: SystemTime, hand_over: HandOver) -> bool {
        if hand_over.epoch > self.epochs.number() {
            return false;
        }
        for record in hand_over.records {
            self.take_record(now, record);
        }
        for (member, epoch) in &hand_over.fences {
            self.epochs.fence(wall, member, *epoch);
        }
        self.epochs.complete(&hand_over.from, hand_over.complete);
        self.epochs.told(wall, &hand_over.from, hand_over.epoch);
        self.epochs.note_complete(&self.me);
        true
    }

    fn take_record(&mut self, now: Instant, record: KeyRecord) {
        let value = match record.fate {
            Fate::Uncertain => Claimed::Uncertain,
            Fate::Ran => Claimed::Ran(None),
        };
        match self.claims.get_mut(&record.key) {
            Some(entry) => {
                if matches!((&entry.value, record.fate), (Claimed::Uncertain, Fate::Ran)) {
                    entry.value = value;
                }
            }
            None => {
                let since = now.checked_sub(record.age).unwrap_or(now);
                self.claims.insert(since, &record.key, record.digest, value);
            }
        }
    }

    /// A claim of a key arrives at its home.
    pub fn claim(&mut self, now: Instant, wall: SystemTime, key: &Key, digest: u64) -> Claim {
        self.claims
            .forget(now, self.options.horizon + self.options.skew);
        let Some(home) = self.epochs.current().and_then(|epoch| home_of(epoch, key)) else {
            return Claim::NotServing;
        };
        if *home != self.me {
            return Claim::Elsewhere(home.host.clone());
        }
        if let Some(known) = self.known(key, digest) {
            return known;
        }
        let age = age_of(key);
        if self.is_expired(wall, age) {
            return Claim::Expired;
        }
        match self
            .epochs
            .settled(now, &self.me, key, self.options.lapse())
        {
            Settled::Open => return Claim::NotServing,
            Settled::LostBefore(time) if !self.is_made_after(age, time) => return Claim::Uncertain,
            Settled::LostBefore(_) | Settled::Known => {}
        }
        self.claims.insert(now, key, digest, Claimed::Running);
        Claim::Granted(self.epochs.number())
    }

    /// What is remembered of the key, as its home or from when it was an executor for another.
    fn known(&self, key: &str, digest: u64) -> Option<Claim> {
        let Some(entry) = self.claims.get(key) else {
            return self.known_run(key, digest);
        };
        if entry.digest != digest {
            return Some(Claim::Conflict);
        }
        Some(match &entry.value {
            Claimed::Running => Claim::Running,
            Claimed::Uncertain => Claim::Uncertain,
            Claimed::Ran(Some(answer)) => Claim::Repeat(answer.clone()),
            Claimed::Ran(None) => Claim::Ran,
        })
    }

    fn known_run(&self, key: &str, digest: u64) -> Option<Claim> {
        let entry = self.runs.get(key)?;
        Some(match entry.value {
            _ if entry.digest != digest => Claim::Conflict,
            Fate::Uncertain => Claim::Uncertain,
            Fate::Ran => Claim::Ran,
        })
    }

    fn is_expired(&self, wall: SystemTime, age: KeyAge) -> bool {
        let KeyAge::MadeAt(made) = age else {
            return false;
        };
        wall.duration_since(made)
            .is_ok_and(|age| age > self.options.horizon)
    }

    fn is_made_after(&self, age: KeyAge, time: SystemTime) -> bool {
        matches!(age, KeyAge::MadeAt(made) if made > time + self.options.skew)
    }

    /// The executor answered: the key ran.
    pub fn ran(&mut self, key: &str, answer: &Answer) {
        let kept = (answer.body.len() <= self.options.largest_answer).then(|| answer.clone());
        if let Some(entry) = self.claims.get_mut(key) {
            entry.value = Claimed::Ran(kept);
        }
    }

    /// The dispatch ended without an answer, and the key may have run.
    pub fn uncertain(&mut self, key: &str) {
        if let Some(entry) = self.claims.get_mut(key) {
            entry.value = Claimed::Uncertain;
        }
    }

    /// No dispatch was handed to a backend server: the key may be claimed again.
    pub fn release(&mut self, key: &str) {
        let running =
            |entry: &crate::records::Entry<Claimed>| matches!(entry.value, Claimed::Running);
        if self.claims.get(key).is_some_and(running) {
            self.claims.remove(key);
        }
    }

    /// A dispatch arrives at the executor. The caller hands the call to the backend server at once
    /// or calls [`Once::not_run`].
    pub fn record(
        &mut self,
        now: Instant,
        epoch: Epoch,
        home: &str,
        key: &Key,
        digest: u64,
    ) -> Recorded {
        self.runs
            .forget(now, self.options.horizon + self.options.skew);
        let Some(current) = self.epochs.current() else {
            return Recorded::Stale;
        };
        let is_home = home_of(current, key).is_some_and(|member| &*member.host == home);
        if current.number != epoch || !is_home {
            return Recorded::Stale;
        }
        let holds = |read: Instant| now.saturating_duration_since(read) <= self.options.lease;
        if !self.log_read.is_some_and(holds) {
            return Recorded::Lapsed;
        }
        if self.runs.get(key).is_some() {
            return Recorded::Again;
        }
        self.runs.insert(now, key, digest, Fate::Uncertain);
        Recorded::Run
    }

    /// The backend server answered the key.
    pub fn finished(&mut self, key: &str) {
        if let Some(entry) = self.runs.get_mut(key) {
            entry.value = Fate::Ran;
        }
    }

    /// The key was recorded but never handed to the backend server.
    pub fn not_run(&mut self, key: &str) {
        self.runs.remove(key);
    }

    /// Closes epochs that no key within the horizon can depend on.
    pub fn tick(&mut self, now: Instant) {
        self.epochs.close(
            now,
            self.options.horizon + self.options.lease + self.options.skew,
        );
    }
}
