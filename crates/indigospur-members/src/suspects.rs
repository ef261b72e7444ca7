//! Requests that take backend servers down.
//!
//! When a backend server goes away, each call it ran is a suspect. A suspect then runs only where
//! no other suspect runs, so a second crash points at one request, and the innocent ones that ran
//! beside it the first time are never blamed again. One that a backend server survives is cleared.

use indigospur_protocol::{Crash, HostId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Backend servers that a request may take down before it is refused for good.
const CRASHES_TO_CONDEMN: usize = 3;
/// Crashes remembered for one request.
const MOST_CRASHES: usize = 8;
/// Suspects remembered; the oldest is forgotten first.
const MOST_SUSPECTS: usize = 1_024;
/// Gossip rounds in which a crash is told of.
const TELLINGS: u32 = 30;
/// Crashes told of in one message.
const MOST_NEWS: usize = 8;

/// Whether a request may run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Run,
    /// Another suspect runs here; try another host.
    Elsewhere,
    /// It took down too many backend servers.
    Condemned,
}

/// What speaks against one request.
#[derive(Debug, Default)]
struct Evidence {
    /// Crashes by host and number.
    crashes: BTreeSet<(HostId, u64)>,
    /// At least one of the crashes can have no other cause.
    alone: bool,
    /// Earlier crashes that had another cause, as the request was served since.
    cleared: BTreeSet<(HostId, u64)>,
}

/// The suspects that one daemon knows of.
#[derive(Debug, Default)]
pub struct Suspects {
    evidence: HashMap<u64, Evidence>,
    order: VecDeque<u64>,
    /// Calls that run here, by fingerprint.
    running: HashMap<u64, u32>,
    news: VecDeque<(Crash, u32)>,
}

impl Suspects {
    /// Whether the request was condemned.
    pub fn is_condemned(&self, fingerprint: u64) -> bool {
        let condemns = |e: &Evidence| e.alone && e.crashes.len() >= CRASHES_TO_CONDEMN;
        self.evidence.get(&fingerprint).is_some_and(condemns)
    }

    /// The crashes that are laid to a request.
    pub fn of(&self, fingerprint: u64) -> Vec<Crash> {
        let Some(evidence) = self.evidence.get(&fingerprint) else {
            return Vec::new();
        };
        let crashes = evidence.crashes.iter().map(|(host, number)| Crash {
            fingerprint,
            host: host.clone(),
            number: *number,
            sole_suspect: evidence.alone,
        });
        crashes.collect()
    }

    /// Asks to run a request here; [`Suspects::finish`] follows if it may.
    pub fn start(&mut self, fingerprint: u64) -> Verdict {
        if self.is_condemned(fingerprint) {
            return Verdict::Condemned;
        }
        if self.is_suspect(fingerprint) && self.running.keys().any(|f| self.is_suspect(*f)) {
            return Verdict::Elsewhere;
        }
        *self.running.entry(fingerprint).or_default() += 1;
        Verdict::Run
    }

    /// The backend server beside this daemon has served a request: it was not to blame.
    pub fn survived(&mut self, fingerprint: u64) {
        let Some(evidence) = self.evidence.get_mut(&fingerprint) else {
            return;
        };
        evidence.alone = false;
        evidence.cleared.append(&mut evidence.crashes);
        while evidence.cleared.len() > MOST_CRASHES {
            evidence.cleared.pop_first();
        }
        self.news
            .retain(|(crash, _)| crash.fingerprint != fingerprint);
    }

    /// A request no longer runs here.
    pub fn finish(&mut self, fingerprint: u64) {
        let Some(count) = self.running.get_mut(&fingerprint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running.remove(&fingerprint);
        }
    }

    /// The backend server beside this daemon went away with all it ran.
    ///
    /// `number` tells the crashes of one host apart, also over starts of the daemon. `unsent` is a
    /// request that was about to be sent when the loss was found: it is not to blame.
    pub fn crashed(&mut self, host: &HostId, number: u64, unsent: Option<u64>) {
        let sent = |(fingerprint, count): (&u64, &u32)| {
            let only_unsent = Some(*fingerprint) == unsent && *count == 1;
            (!only_unsent).then_some(*fingerprint)
        };
        let running: Vec<u64> = self.running.iter().filter_map(sent).collect();
        let blamed = self.blame(running);
        let alone = blamed.len() == 1;
        for fingerprint in blamed {
            self.learn(Crash {
                fingerprint,
                host: host.clone(),
                number,
                sole_suspect: alone,
            });
        }
    }

    fn is_suspect(&self, fingerprint: u64) -> bool {
        let evidence = self.evidence.get(&fingerprint);
        evidence.is_some_and(|evidence| !evidence.crashes.is_empty())
    }

    /// The calls to blame: the suspects among them if there are any, else all.
    fn blame(&self, running: Vec<u64>) -> Vec<u64> {
        let known = running.iter().copied().filter(|f| self.is_suspect(*f));
        let known: Vec<u64> = known.collect();
        if known.is_empty() { running } else { known }
    }

    /// Takes in crashes that others tell of.
    pub fn learn_all(&mut self, crashes: &[Crash]) {
        for crash in crashes {
            self.learn(crash.clone());
        }
    }

    /// Takes in a crash; false if it was known.
    pub fn learn(&mut self, crash: Crash) -> bool {
        if !self.evidence.contains_key(&crash.fingerprint) {
            self.order.push_back(crash.fingerprint);
            self.forget();
        }
        let evidence = self.evidence.entry(crash.fingerprint).or_default();
        let place = (crash.host.clone(), crash.number);
        if evidence.cleared.contains(&place) {
            return false;
        }
        let clearer = crash.sole_suspect && !evidence.alone;
        evidence.alone |= crash.sole_suspect;
        let another = evidence.crashes.len() < MOST_CRASHES && evidence.crashes.insert(place);
        if another || clearer {
            self.news.push_front((crash, TELLINGS));
        }
        another || clearer
    }

    /// Takes the crashes to tell of in one message.
    pub(crate) fn take_news(&mut self) -> Vec<Crash> {
        let count = self.news.len().min(MOST_NEWS);
        let mut told = Vec::with_capacity(count);
        for (crash, left) in self.news.drain(..count).collect::<Vec<_>>() {
            told.push(crash.clone());
            if left > 1 {
                self.news.push_back((crash, left - 1));
            }
        }
        told
    }

    fn forget(&mut self) {
        while self.order.len() > MOST_SUSPECTS {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.evidence.remove(&oldest);
        }
    }
}
