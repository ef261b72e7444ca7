//! Detection of requests that crash backend servers.
//!
//! When a backend server is lost, each request that it was running becomes a suspect. A suspect
//! then runs only on hosts that run no other suspect, so a second crash identifies a single
//! request, and requests that ran beside it during the first crash are not blamed again.
//!
//! An answer shows that a request runs without a crash. It clears the crashes that are known by then,
//! on all hosts, as gossip carries the clearing too; and for a while more crashes are needed to refuse
//! the request.
//!
//! A backend server may also go down by itself, again and again. It shows that by going down while the
//! request is not running there, at one age however long the request has been running, or at the same
//! time as others; then its crashes are cleared. If the request was running most of the time, nothing is
//! shown yet: the request is held until the backend server had the time to go down without it, and then
//! runs on trial, one at a time and on one host. A refused request runs on trial less and less often.

use crate::answers::RecentAnswers;
use crate::crash_history::{CrashHistory, Standing};
use indigospur_protocol::{Crash, CrashTiming, HostId};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

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
    /// The request may run on trial.
    Trial,
    /// The request is to be tried on one host first; it may come back shortly.
    Held,
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

/// Equal requests that run on this host.
#[derive(Debug)]
struct Running {
    count: u32,
    /// Since when one of them at least has been running.
    since: Instant,
}

/// Suspects known to one daemon, and the requests that run on its host.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Crash histories by fingerprint, which identifies equal requests.
    histories: HashMap<u64, CrashHistory>,
    /// Fingerprints of the histories, the oldest first.
    order: VecDeque<u64>,
    /// Running calls by fingerprint.
    running: HashMap<u64, Running>,
    /// When the backend server of this host was started, as far as known; `None` while it is down.
    up_since: Option<Instant>,
    /// Suspects that the present backend server was sent and did not answer. It may be still at work on
    /// them.
    unanswered: HashSet<u64>,
    /// Requests that were answered lately.
    answers: RecentAnswers,
    queue: VecDeque<PendingCrash>,
}

impl Suspects {
    /// Whether the request is refused except for trial runs, after repeated crashes of which at least
    /// one has no other possible cause.
    pub fn is_poisonous(&self, now: Instant, fingerprint: u64) -> bool {
        self.standing(now, fingerprint) == Standing::Refused
    }

    /// Whether the request may only run on trial.
    pub fn needs_trial(&self, now: Instant, fingerprint: u64) -> bool {
        self.standing(now, fingerprint) != Standing::Free
    }

    fn standing(&self, now: Instant, fingerprint: u64) -> Standing {
        let answered = self.answers.contains(now, fingerprint);
        let history = self.histories.get(&fingerprint);
        history.map_or(Standing::Free, |history| history.standing(now, answered))
    }

    /// The known crashes of a request, also those that are cleared; none if it is no suspect.
    pub fn crashes_of(&self, now: Instant, fingerprint: u64) -> Vec<Crash> {
        let Some(history) = self.histories.get(&fingerprint) else {
            return Vec::new();
        };
        let answered = self.answers.age(now, fingerprint);
        let with_answer = |crash| Crash { answered, ..crash };
        let crashes = history.crashes(now, fingerprint).into_iter();
        crashes.map(with_answer).collect()
    }

    /// The host on which the request may run on trial, if it may not run otherwise. `hosts` are those of
    /// its service that take calls now.
    pub fn trial_host<'a>(
        &self,
        now: Instant,
        fingerprint: u64,
        hosts: &'a [HostId],
    ) -> Option<&'a HostId> {
        let history = self.histories.get(&fingerprint)?;
        match self.standing(now, fingerprint) {
            Standing::Free => None,
            standing => history.trial_host(now, standing, hosts),
        }
    }

    /// Checks whether a request may run on `host`, which is this one, and if so counts it as running
    /// until [`Suspects::finish`] is called. `hosts` are those of its service that take calls now; they
    /// are only used for a request that needs a trial.
    pub fn try_start(
        &mut self,
        now: Instant,
        host: &HostId,
        fingerprint: u64,
        hosts: &[HostId],
    ) -> Verdict {
        let standing = self.standing(now, fingerprint);
        let is_trial = standing != Standing::Free;
        if is_trial && !self.allows_trial(now, standing, host, fingerprint, hosts) {
            return match standing {
                Standing::Refused => Verdict::Poisonous,
                _ => Verdict::Held,
            };
        }
        let runs_suspect = || self.running.keys().any(|f| self.is_suspect(now, *f));
        if self.is_suspect(now, fingerprint) && runs_suspect() {
            return Verdict::OtherHost;
        }
        if let Some(history) = self.histories.get_mut(&fingerprint).filter(|_| is_trial) {
            history.begin_trial();
        }
        let idle = Running {
            count: 0,
            since: now,
        };
        self.running.entry(fingerprint).or_insert(idle).count += 1;
        if is_trial {
            Verdict::Trial
        } else {
            Verdict::Run
        }
    }

    fn allows_trial(
        &self,
        now: Instant,
        standing: Standing,
        host: &HostId,
        fingerprint: u64,
        hosts: &[HostId],
    ) -> bool {
        let is_chosen = self.trial_host(now, fingerprint, hosts) == Some(host);
        let (Some(history), Some(up_since)) = (self.histories.get(&fingerprint), self.up_since)
        else {
            return false;
        };
        let uptime = now.saturating_duration_since(up_since);
        is_chosen && history.allows_trial(now, standing, host, uptime)
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
        let Some(running) = self.running.get_mut(&fingerprint) else {
            return;
        };
        running.count -= 1;
        if running.count == 0 {
            self.running.remove(&fingerprint);
        }
        if let Some(history) = self.histories.get_mut(&fingerprint) {
            history.end_trial();
            if history.has_attributed() {
                self.unanswered.insert(fingerprint);
            }
        }
    }

    /// Records that a new process of the backend server on this host was announced. If the one before is
    /// not known to have ended, it went down without any call that noticed. Returns the number of crashes
    /// that this cleared.
    pub fn record_start(&mut self, now: Instant, host: &HostId) -> usize {
        let mut cleared = 0;
        if let Some(elapsed) = self.end_run(now) {
            let running = self.running.keys().copied().collect();
            // It was down for an unknown part of that time.
            cleared = self.clear_not_running(now, host, elapsed / 2, &running);
        }
        self.up_since = Some(now);
        self.unanswered.clear();
        cleared
    }

    /// Records that the backend server on this host leaves as planned.
    pub fn record_departure(&mut self) {
        self.up_since = None;
    }

    /// Records that the present process of the backend server was announced again, also after it was to
    /// leave.
    pub fn record_announcement(&mut self, now: Instant) {
        self.up_since.get_or_insert(now);
    }

    /// Ends the present run of the backend server; returns how long it was up, if that is known.
    fn end_run(&mut self, now: Instant) -> Option<Duration> {
        let up_since = self.up_since.take()?;
        Some(now.saturating_duration_since(up_since))
    }

    /// Clears crashes of requests that were not running when the backend server went down after `uptime`.
    /// Returns their number.
    fn clear_not_running(
        &mut self,
        now: Instant,
        host: &HostId,
        uptime: Duration,
        running: &HashSet<u64>,
    ) -> usize {
        let mut cleared = Vec::new();
        for (fingerprint, history) in &mut self.histories {
            if !running.contains(fingerprint) && !self.unanswered.contains(fingerprint) {
                cleared.extend(history.clear_comparable(now, *fingerprint, host, uptime));
            }
        }
        cleared.iter().for_each(|crash| self.enqueue(crash));
        cleared.len()
    }

    /// Records a crash of the backend server on this host, and attributes it to the requests that
    /// it was running.
    ///
    /// `number` identifies the crash among those of the host, also over restarts of the daemon.
    /// `unsent` is a request that was not yet sent when the crash was detected; it is not blamed.
    /// Returns the number of earlier crashes that were cleared, as the backend server went down by itself.
    pub fn record_crash(
        &mut self,
        now: Instant,
        host: &HostId,
        number: u64,
        unsent: Option<u64>,
    ) -> usize {
        let was_sent = |(fingerprint, running): (&u64, &Running)| {
            let only_unsent = Some(*fingerprint) == unsent && running.count == 1;
            (!only_unsent).then_some(*fingerprint)
        };
        let running: HashSet<u64> = self.running.iter().filter_map(was_sent).collect();
        let uptime = self.end_run(now);
        let cleared = uptime.map_or(0, |uptime| {
            self.clear_not_running(now, host, uptime, &running)
        });
        let (blamed, others) = self.requests_to_blame(now, running.into_iter().collect());
        let is_sole = blamed.len() == 1;
        let blamed = blamed.into_iter().map(|fingerprint| (fingerprint, is_sole));
        let others = others.into_iter().map(|fingerprint| (fingerprint, false));
        for (fingerprint, sole_suspect) in blamed.chain(others).collect::<Vec<_>>() {
            let history = self.histories.get_mut(&fingerprint);
            let crash = Crash {
                on_trial: history.is_some_and(CrashHistory::end_trial),
                timing: uptime.and_then(|uptime| self.timing(now, fingerprint, uptime)),
                ..Crash::new(fingerprint, host, number, sole_suspect)
            };
            self.insert(now, crash);
        }
        cleared
    }

    /// How long the request had been running when the backend server went down after `uptime`.
    fn timing(&self, now: Instant, fingerprint: u64, uptime: Duration) -> Option<CrashTiming> {
        let running = self.running.get(&fingerprint)?;
        Some(CrashTiming {
            uptime,
            exposure: now.saturating_duration_since(running.since),
        })
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

    /// Records a crash and queues it for gossip; returns false if nothing in it is new. A crash before the
    /// last known answer to the request is cleared.
    pub fn insert(&mut self, now: Instant, mut crash: Crash) -> bool {
        if let Some(answered_at) = crash.answered.and_then(|age| now.checked_sub(age)) {
            self.record_answer(now, crash.fingerprint, answered_at);
        }
        let answered = self.answers.age(now, crash.fingerprint);
        crash.cleared |= answered.is_some_and(|answered| answered < crash.age);
        if !self.histories.contains_key(&crash.fingerprint) {
            self.order.push_back(crash.fingerprint);
            self.drop_oldest();
        }
        let history = self.histories.entry(crash.fingerprint).or_default();
        let is_new = history.insert(now, &crash);
        if is_new {
            let id = (crash.host.clone(), crash.number);
            let independent = history.clear_independent(now, crash.fingerprint, &id);
            self.enqueue(&crash);
            independent.iter().for_each(|crash| self.enqueue(crash));
        }
        is_new
    }

    /// Records an answer that another daemon knows of.
    fn record_answer(&mut self, now: Instant, fingerprint: u64, answered_at: Instant) {
        if !self.answers.insert_earlier(now, fingerprint, answered_at) {
            return;
        }
        let history = self.histories.get_mut(&fingerprint);
        let cleared = history.map(|history| history.clear_before(now, fingerprint, answered_at));
        cleared
            .iter()
            .flatten()
            .for_each(|crash| self.enqueue(crash));
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
            let answered = self.answers.age(now, pending.fingerprint);
            taken.push(Crash { answered, ..crash });
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
