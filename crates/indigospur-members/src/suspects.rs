//! Detection of requests that crash backend servers.
//!
//! When a backend server is lost, each request that it was running becomes a suspect. A suspect
//! then runs only on hosts that run no other suspect, so a second crash identifies a single
//! request, and requests that ran beside it during the first crash are not blamed again. A suspect
//! that a backend server answers is cleared.

use indigospur_protocol::{Crash, HostId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Crashes after which a request is refused for good.
const CRASHES_UNTIL_REFUSED: usize = 3;
const MAX_CRASHES_PER_REQUEST: usize = 8;
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

/// Crashes of backend servers that ran one request.
#[derive(Debug, Default)]
struct CrashHistory {
    /// Crashes that are attributed to the request, by host and number.
    crashes: BTreeSet<(HostId, u64)>,
    /// In at least one of the crashes, this request is the only possible cause.
    sole_suspect: bool,
    /// Earlier crashes that are no longer attributed to the request, as it was answered since.
    cleared: BTreeSet<(HostId, u64)>,
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
    /// Crashes to gossip, with the number of messages that are still to carry each.
    queue: VecDeque<(Crash, u32)>,
}

impl Suspects {
    /// Whether the request is refused for good, after repeated crashes of which at least one has no
    /// other possible cause.
    pub fn is_poisonous(&self, fingerprint: u64) -> bool {
        let is_poisonous = |history: &CrashHistory| {
            history.sole_suspect && history.crashes.len() >= CRASHES_UNTIL_REFUSED
        };
        self.histories.get(&fingerprint).is_some_and(is_poisonous)
    }

    /// The crashes that are attributed to a request; none if it is no suspect.
    pub fn crashes_of(&self, fingerprint: u64) -> Vec<Crash> {
        let Some(history) = self.histories.get(&fingerprint) else {
            return Vec::new();
        };
        let crashes = history.crashes.iter().map(|(host, number)| Crash {
            fingerprint,
            host: host.clone(),
            number: *number,
            sole_suspect: history.sole_suspect,
        });
        crashes.collect()
    }

    /// Checks whether a request may run on this host, and if so counts it as running until
    /// [`Suspects::finish`] is called.
    pub fn try_start(&mut self, fingerprint: u64) -> Verdict {
        if self.is_poisonous(fingerprint) {
            return Verdict::Poisonous;
        }
        if self.is_suspect(fingerprint) && self.running.keys().any(|f| self.is_suspect(*f)) {
            return Verdict::OtherHost;
        }
        *self.running.entry(fingerprint).or_default() += 1;
        Verdict::Run
    }

    /// Clears a request that the backend server on this host has answered.
    pub fn clear(&mut self, fingerprint: u64) {
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return;
        };
        history.sole_suspect = false;
        history.cleared.append(&mut history.crashes);
        while history.cleared.len() > MAX_CRASHES_PER_REQUEST {
            history.cleared.pop_first();
        }
        self.queue
            .retain(|(crash, _)| crash.fingerprint != fingerprint);
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
    pub fn record_crash(&mut self, host: &HostId, number: u64, unsent: Option<u64>) {
        let was_sent = |(fingerprint, count): (&u64, &u32)| {
            let only_unsent = Some(*fingerprint) == unsent && *count == 1;
            (!only_unsent).then_some(*fingerprint)
        };
        let running: Vec<u64> = self.running.iter().filter_map(was_sent).collect();
        let blamed = self.requests_to_blame(running);
        let sole_suspect = blamed.len() == 1;
        for fingerprint in blamed {
            self.insert(Crash {
                fingerprint,
                host: host.clone(),
                number,
                sole_suspect,
            });
        }
    }

    fn is_suspect(&self, fingerprint: u64) -> bool {
        let history = self.histories.get(&fingerprint);
        history.is_some_and(|history| !history.crashes.is_empty())
    }

    /// The requests to blame among those that were running: the suspects if there are any, else
    /// all.
    fn requests_to_blame(&self, running: Vec<u64>) -> Vec<u64> {
        let suspects = running.iter().copied().filter(|f| self.is_suspect(*f));
        let suspects: Vec<u64> = suspects.collect();
        if suspects.is_empty() {
            running
        } else {
            suspects
        }
    }

    /// Merges crashes received from other daemons.
    pub fn merge(&mut self, crashes: &[Crash]) {
        for crash in crashes {
            self.insert(crash.clone());
        }
    }

    /// Records a crash and queues it for gossip; returns false if it is known or was cleared.
    pub fn insert(&mut self, crash: Crash) -> bool {
        if !self.histories.contains_key(&crash.fingerprint) {
            self.order.push_back(crash.fingerprint);
            self.drop_oldest();
        }
        let history = self.histories.entry(crash.fingerprint).or_default();
        let id = (crash.host.clone(), crash.number);
        if history.cleared.contains(&id) {
            return false;
        }
        let is_newly_sole = crash.sole_suspect && !history.sole_suspect;
        history.sole_suspect |= crash.sole_suspect;
        let is_new = history.crashes.len() < MAX_CRASHES_PER_REQUEST && history.crashes.insert(id);
        if is_new || is_newly_sole {
            self.queue.push_front((crash, TRANSMISSIONS_PER_CRASH));
        }
        is_new || is_newly_sole
    }

    /// Takes the crashes to gossip in one message.
    pub(crate) fn take_updates(&mut self) -> Vec<Crash> {
        let count = self.queue.len().min(MAX_CRASHES_PER_MESSAGE);
        let mut taken = Vec::with_capacity(count);
        for (crash, remaining) in self.queue.drain(..count).collect::<Vec<_>>() {
            taken.push(crash.clone());
            if remaining > 1 {
                self.queue.push_back((crash, remaining - 1));
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
