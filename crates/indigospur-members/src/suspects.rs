//! Detection of requests that crash backend servers.
//!
//! When a backend server is lost, each request that it was running becomes a suspect. A suspect
//! then runs only on hosts that run no other suspect, so a second crash identifies a single
//! request, and requests that ran beside it during the first crash are not blamed again.
//!
//! An answer shows that a request runs without a crash. It clears the crashes that are known by then,
//! on all hosts, as gossip carries the clearing too; and for a while more crashes are needed to refuse
//! the request. A refused request runs again on trial, on one host and less and less often.

use crate::answers::RecentAnswers;
use crate::crash_history::CrashHistory;
use indigospur_protocol::{Crash, HostId};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Suspects kept; the oldest is dropped first.
const MAX_SUSPECTS: usize = 1_024;
/// Number of gossip messages that carry a crash.
const TRANSMISSIONS_PER_CRASH: u32 = 30;
const MAX_CRASHES_PER_MESSAGE: usize = 8;

/// Whether a request may run on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run.
    Run,
    /// The request is a suspect and this host already runs one; try another host.
    OtherHost,
    /// The request has crashed too many backend servers and is refused.
    Poisonous,
}

/// A crash to gossip.
#[derive(Debug)]
struct PendingCrash {
    fingerprint: u64,
    host: HostId,
    number: u64,
    /// Messages that are still to carry it.
    transmissions: u32,
}

impl PendingCrash {
    fn is(&self, crash: &Crash) -> bool {
        self.fingerprint == crash.fingerprint
            && self.number == crash.number
            && self.host == crash.host
    }
}

/// Suspects known to one daemon, and the requests that run on its host.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Crash histories by fingerprint, which identifies equal requests.
    histories: HashMap<u64, CrashHistory>,
    /// Fingerprints of the histories, the oldest first.
    order: VecDeque<u64>,
    /// Number of running calls by fingerprint.
    running: HashMap<u64, u32>,
    /// Requests that were answered lately.
    answers: RecentAnswers,
    queue: VecDeque<PendingCrash>,
}

impl Suspects {
    /// Whether the request is refused except for trial runs, after repeated crashes of which at least
    /// one has no other possible cause.
    pub fn is_poisonous(&self, now: Instant, fingerprint: u64) -> bool {
        let answered = self.answers.contains(now, fingerprint);
        let history = self.histories.get(&fingerprint);
        history.is_some_and(|history| history.is_poisonous(now, answered))
    }

    /// The known crashes of a request, also those that are cleared; none if it is no suspect.
    pub fn crashes_of(&self, now: Instant, fingerprint: u64) -> Vec<Crash> {
        let history = self.histories.get(&fingerprint);
        history.map_or_else(Vec::new, |history| history.crashes(now, fingerprint))
    }

    /// Checks whether a request may run on `host`, which is this one, and if so counts it as running
    /// until [`Suspects::finish`] is called.
    pub fn try_start(&mut self, now: Instant, host: &HostId, fingerprint: u64) -> Verdict {
        let is_trial = self.is_poisonous(now, fingerprint);
        let allows_trial = |history: &CrashHistory| history.allows_trial(now, host);
        if is_trial && !self.histories.get(&fingerprint).is_some_and(allows_trial) {
            return Verdict::Poisonous;
        }
        let runs_suspect = || self.running.keys().any(|f| self.is_suspect(now, *f));
        if self.is_suspect(now, fingerprint) && runs_suspect() {
            return Verdict::OtherHost;
        }
        if let Some(history) = self.histories.get_mut(&fingerprint).filter(|_| is_trial) {
            history.begin_trial(now);
        }
        *self.running.entry(fingerprint).or_default() += 1;
        Verdict::Run
    }

    /// Clears a request that a backend server has answered, on this host or another.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) {
        self.answers.insert(now, fingerprint);
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return;
        };
        let cleared = history.clear(now, fingerprint);
        if history.is_empty() {
            self.histories.remove(&fingerprint);
            self.order.retain(|f| *f != fingerprint);
        }
        cleared.iter().for_each(|crash| self.enqueue(crash));
    }

    /// Records that a running request has ended.
    pub fn finish(&mut self, fingerprint: u64) {
        let Some(count) = self.running.get_mut(&fingerprint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running.remove(&fingerprint);
        }
    }

    /// Records a crash of the backend server on this host, and attributes it to the requests that
    /// it was running.
    ///
    /// `number` identifies the crash among those of the host, also over restarts of the daemon.
    /// `unsent` is a request that was not yet sent when the crash was detected; it is not blamed.
    pub fn record_crash(&mut self, now: Instant, host: &HostId, number: u64, unsent: Option<u64>) {
        let was_sent = |(fingerprint, count): (&u64, &u32)| {
            let only_unsent = Some(*fingerprint) == unsent && *count == 1;
            (!only_unsent).then_some(*fingerprint)
        };
        let running: Vec<u64> = self.running.iter().filter_map(was_sent).collect();
        let (blamed, others) = self.requests_to_blame(now, running);
        let is_sole = blamed.len() == 1;
        let blamed = blamed.into_iter().map(|fingerprint| (fingerprint, is_sole));
        let others = others.into_iter().map(|fingerprint| (fingerprint, false));
        for (fingerprint, sole_suspect) in blamed.chain(others).collect::<Vec<_>>() {
            self.insert(now, Crash::new(fingerprint, host, number, sole_suspect));
        }
    }

    /// A request that was answered lately counts as a suspect only after as many crashes as make
    /// another one refused.
    fn is_suspect(&self, now: Instant, fingerprint: u64) -> bool {
        let history = self.histories.get(&fingerprint);
        let answered = || self.answers.contains(now, fingerprint);
        history.is_some_and(|history| history.is_suspect(now, answered()))
    }

    /// The requests among those that were running that can have caused the crash, and others that are
    /// blamed beside them: the suspects if there are any, else those that were not answered lately, with
    /// the answered ones as the others.
    fn requests_to_blame(&self, now: Instant, running: Vec<u64>) -> (Vec<u64>, Vec<u64>) {
        let is_suspect = |fingerprint: &u64| self.is_suspect(now, *fingerprint);
        let (suspects, running): (Vec<u64>, Vec<u64>) = running.into_iter().partition(is_suspect);
        if !suspects.is_empty() {
            return (suspects, Vec::new());
        }
        let is_answered = |fingerprint: &u64| self.answers.contains(now, *fingerprint);
        let (answered, unknown): (Vec<u64>, Vec<u64>) = running.into_iter().partition(is_answered);
        if unknown.is_empty() {
            (answered, Vec::new())
        } else {
            (unknown, answered)
        }
    }

    /// Merges crashes received from other daemons.
    pub fn merge(&mut self, now: Instant, crashes: &[Crash]) {
        for crash in crashes {
            self.insert(now, crash.clone());
        }
    }

    /// Records a crash and queues it for gossip; returns false if nothing in it is new.
    pub fn insert(&mut self, now: Instant, crash: Crash) -> bool {
        if !self.histories.contains_key(&crash.fingerprint) {
            self.order.push_back(crash.fingerprint);
            self.drop_oldest();
        }
        let history = self.histories.entry(crash.fingerprint).or_default();
        let is_new = history.insert(now, &crash);
        if is_new {
            self.enqueue(&crash);
        }
        is_new
    }

    fn enqueue(&mut self, crash: &Crash) {
        self.queue.retain(|pending| !pending.is(crash));
        self.queue.push_front(PendingCrash {
            fingerprint: crash.fingerprint,
            host: crash.host.clone(),
            number: crash.number,
            transmissions: TRANSMISSIONS_PER_CRASH,
        });
    }

    /// Takes the crashes to gossip in one message.
    pub(crate) fn take_updates(&mut self, now: Instant) -> Vec<Crash> {
        let count = self.queue.len().min(MAX_CRASHES_PER_MESSAGE);
        let mut taken = Vec::with_capacity(count);
        for mut pending in self.queue.drain(..count).collect::<Vec<_>>() {
            let history = self.histories.get(&pending.fingerprint);
            let crash = history.and_then(|history| {
                history.crash(now, pending.fingerprint, &pending.host, pending.number)
            });
            let Some(crash) = crash else { continue };
            taken.push(crash);
            pending.transmissions -= 1;
            if pending.transmissions > 0 {
                self.queue.push_back(pending);
            }
        }
        taken
    }

    fn drop_oldest(&mut self) {
        while self.order.len() > MAX_SUSPECTS {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.histories.remove(&oldest);
        }
    }
}
