//! A site of hosts whose backend servers go down by themselves and by requests, in virtual time.

use indigospur_members::{Suspects, Verdict};
use indigospur_protocol::{Crash, HostId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(10);
/// Time from a crash until gossip has told another host of it, one host in each interval.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
const HOP: Duration = Duration::from_millis(5);
/// Time for which a backend server that has just started takes twice as long.
const COLD: Duration = Duration::from_millis(3_000);
/// Hosts that a request is sent to at most.
const MAX_ATTEMPTS: usize = 2;
/// Time for which a backend server that was crashed by a request is down.
const DOWN: Duration = Duration::from_millis(2_500);
/// Time after the last fault from which on requests should be served again.
pub(crate) const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

pub(crate) const POPULAR: u64 = 1;
pub(crate) const CRASHER: u64 = 2;
/// Fingerprints from here on are sent once.
const FIRST_UNIQUE: u64 = 1_000;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call at a host.
#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: u64,
    entry: usize,
    ends_at: Duration,
    sent_at: Duration,
}

struct Host {
    name: HostId,
    suspects: Suspects,
    up: bool,
    up_at: Duration,
    /// Calls take twice as long until then.
    cold_until: Duration,
    crashes: u64,
    running: Vec<Running>,
}

/// Requests with one fingerprint, or each with its own.
#[derive(Clone, Copy, Debug)]
struct Callers {
    fingerprint: u64,
    pause: Duration,
    work: Duration,
    from: Duration,
}

/// Backend servers of some hosts that are down for a time.
#[derive(Clone, Debug)]
struct Outage {
    hosts: Range<usize>,
    at: Duration,
    length: Duration,
}

/// What one fingerprint met.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sent: usize,
    pub(crate) served: usize,
}

pub(crate) struct Site {
    start: Instant,
    now: Duration,
    hosts: Vec<Host>,
    rng: SmallRng,
    callers: Vec<Callers>,
    outages: Vec<Outage>,
    sound_after: Option<Duration>,
    /// Until when requests with [`CRASHER`] run well.
    pub(crate) crashes_from: Duration,
    /// Popular requests sent after `steady_from`, and how many were served.
    pub(crate) steady: Outcome,
    pub(crate) steady_from: Duration,
    unique: u64,
    /// When requests with [`CRASHER`] reached a backend server that they crashed.
    pub(crate) arrivals: Vec<Duration>,
    /// Time from the start of such a request to the crash.
    pub(crate) crash_delay: Duration,
    /// When such requests crashed a backend server.
    pub(crate) crashes: Vec<Duration>,
}

impl Site {
    pub(crate) fn new(size: usize, seed: u64) -> Site {
        let start = Instant::now();
        let host = |index: usize| Host {
            name: format!("host-{index:03}").into(),
            suspects: Suspects::default(),
            up: false,
            up_at: Duration::ZERO,
            cold_until: Duration::ZERO,
            crashes: 0,
            running: Vec::new(),
        };
        Site {
            start,
            now: Duration::ZERO,
            hosts: (0..size).map(host).collect(),
            rng: SmallRng::seed_from_u64(seed),
            callers: Vec::new(),
            outages: Vec::new(),
            sound_after: None,
            crashes_from: Duration::ZERO,
            steady: Outcome::default(),
            steady_from: Duration::ZERO,
            unique: FIRST_UNIQUE,
            arrivals: Vec::new(),
            crash_delay: Duration::ZERO,
            crashes: Vec::new(),
        }
    }

    pub(crate) fn popular(mut self, pause: u64, work: u64, from: u64) -> Site {
        self.callers.push(Callers {
            fingerprint: POPULAR,
            pause: ms(pause),
            work: ms(work),
            from: ms(from),
        });
        self
    }

    pub(crate) fn unique(mut self, pause: u64, work: u64) -> Site {
        self.callers.push(Callers {
            fingerprint: FIRST_UNIQUE,
            pause: ms(pause),
            work: ms(work),
            from: Duration::ZERO,
        });
        self
    }

    pub(crate) fn crasher(mut self, pause: u64, from: u64) -> Site {
        self.callers.push(Callers {
            fingerprint: CRASHER,
            pause: ms(pause),
            work: ms(20) + self.crash_delay,
            from: ms(from),
        });
        self
    }

    /// Hosts whose backend servers go down and up by turns.
    pub(crate) fn flapping(self, hosts: Range<usize>, from: u64, times: u64) -> Site {
        self.flapping_every(1_400, hosts, from, times)
    }

    /// The same with a period, of which they are down for the first half.
    pub(crate) fn flapping_every(
        mut self,
        period: u64,
        hosts: Range<usize>,
        from: u64,
        times: u64,
    ) -> Site {
        for number in 0..times {
            self = self.outage(hosts.clone(), from + period * number, period / 2);
        }
        self
    }

    /// Backend servers that are up for random times of 0.2 to 2.2 s.
    pub(crate) fn flapping_at_random(mut self, hosts: Range<usize>, from: u64, times: u64) -> Site {
        let mut at = from;
        for _ in 0..times {
            self = self.outage(hosts.clone(), at, 700);
            at += 700 + self.rng.random_range(200..2_200);
        }
        self
    }

    pub(crate) fn outage(mut self, hosts: Range<usize>, at: u64, length: u64) -> Site {
        self.outages.push(Outage {
            hosts,
            at: ms(at),
            length: ms(length),
        });
        self
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    pub(crate) fn play(&mut self, length: u64) {
        self.steady_from = self.sound_at() + STABILITY_WINDOW;
        while self.now < ms(length) {
            self.now += TICK;
            self.begin_outages();
            self.crash_backends();
            self.finish_calls();
            for callers in self.callers.clone() {
                let is_due = self.now.as_millis() % callers.pause.as_millis() < TICK.as_millis();
                if is_due && self.now >= callers.from {
                    self.send(callers);
                }
            }
            if self
                .now
                .as_millis()
                .is_multiple_of(GOSSIP_INTERVAL.as_millis())
            {
                self.gossip();
            }
        }
    }

    /// Sets when the site counts as sound, although some backend servers stay away.
    pub(crate) fn sound_after(&mut self, at: Duration) {
        self.sound_after = Some(at);
    }

    /// When the last outage ends.
    pub(crate) fn sound_at(&self) -> Duration {
        if let Some(at) = self.sound_after {
            return at;
        }
        let ends = self.outages.iter().map(|outage| outage.at + outage.length);
        ends.max().unwrap_or_default()
    }

    fn begin_outages(&mut self) {
        for outage in self.outages.clone() {
            let is_due = outage.at <= self.now && self.now < outage.at + TICK;
            if is_due {
                let until = self.now + outage.length;
                outage.hosts.for_each(|host| self.lose(host, until));
            }
        }
        let now = self.instant();
        for host in &mut self.hosts {
            if !host.up && host.up_at <= self.now {
                host.up = true;
                host.cold_until = self.now + COLD;
                host.suspects.record_start(now, &host.name);
            }
        }
    }

    /// The backend server of a host goes down, with all that it runs.
    fn lose(&mut self, index: usize, until: Duration) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        host.up_at = host.up_at.max(until);
        if !std::mem::replace(&mut host.up, false) || host.running.is_empty() {
            return;
        }
        host.crashes += 1;
        let number = host.crashes + index as u64 * 1_000;
        host.suspects.record_crash(now, &host.name, number, None);
        let lost = std::mem::take(&mut host.running);
        for call in &lost {
            host.suspects.finish(call.fingerprint);
        }
        let name = host.name.clone();
        for call in lost {
            let crashes = self.hosts[index].suspects.crashes_of(now, call.fingerprint);
            let own: Vec<Crash> = crashes.into_iter().filter(|c| c.host == name).collect();
            self.hosts[call.entry].suspects.merge(now, &own);
        }
    }

    /// Backend servers go down by the requests that crash them, if these are still running.
    fn crash_backends(&mut self) {
        let crashes_now = |call: &Running| {
            call.fingerprint == CRASHER
                && call.sent_at >= self.crashes_from
                && call.sent_at + self.crash_delay <= self.now
        };
        let crashed: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].running.iter().any(crashes_now))
            .collect();
        for host in crashed {
            self.crashes.push(self.now);
            self.lose(host, self.now + DOWN);
        }
    }

    fn finish_calls(&mut self) {
        let now = self.instant();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let (ended, running): (Vec<Running>, Vec<Running>) = host
                .running
                .iter()
                .partition(|call| call.ends_at <= self.now);
            host.running = running;
            for call in ended {
                let host = &mut self.hosts[index];
                host.suspects.clear(now, call.fingerprint);
                host.suspects.finish(call.fingerprint);
                self.hosts[call.entry].suspects.clear(now, call.fingerprint);
                if call.fingerprint == POPULAR && call.sent_at >= self.steady_from {
                    self.steady.served += 1;
                }
            }
        }
    }

    /// Sends a request from a random host to the better of two others, like the router: the one with
    /// fewer calls.
    fn send(&mut self, callers: Callers) {
        let mut fingerprint = callers.fingerprint;
        if fingerprint == FIRST_UNIQUE {
            self.unique += 1;
            fingerprint = self.unique;
        }
        let is_steady = self.now >= self.steady_from;
        if fingerprint == POPULAR && is_steady {
            self.steady.sent += 1;
        }
        let entry = self.rng.random_range(0..self.hosts.len());
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|i| self.hosts[*i].up)
            .collect();
        if up.is_empty() {
            return;
        }
        let mut tried = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(target) = self.choose(entry, fingerprint, &up, tried) else {
                return;
            };
            if self.offer(callers, fingerprint, entry, target) {
                return;
            }
            tried = Some(target);
        }
    }

    /// Chooses the host on which the request may run on trial if it is refused elsewhere, or else the one
    /// with fewer calls of two random ones, like the router.
    fn choose(
        &mut self,
        entry: usize,
        fingerprint: u64,
        up: &[usize],
        tried: Option<usize>,
    ) -> Option<usize> {
        let now = self.instant();
        let hosts = self.names_for(entry, fingerprint, up);
        let suspects = &self.hosts[entry].suspects;
        if let Some(trial) = suspects.trial_host(now, fingerprint, &hosts) {
            let index = hosts.iter().position(|name| name == trial)?;
            return Some(up[index]).filter(|index| Some(*index) != tried);
        }
        let left: Vec<usize> = up.iter().copied().filter(|i| Some(*i) != tried).collect();
        if left.is_empty() {
            return None;
        }
        let [first, second] = [0, 1].map(|_| left[self.rng.random_range(0..left.len())]);
        let is_better = self.hosts[second].running.len() < self.hosts[first].running.len();
        Some(if is_better { second } else { first })
    }

    /// Sends a request to a host; returns whether it runs there.
    fn offer(&mut self, callers: Callers, fingerprint: u64, entry: usize, target: usize) -> bool {
        let now = self.instant();
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|i| self.hosts[*i].up)
            .collect();
        let known = self.hosts[entry].suspects.crashes_of(now, fingerprint);
        self.hosts[target].suspects.merge(now, &known);
        let names = self.names_for(target, fingerprint, &up);
        let host = &mut self.hosts[target];
        let verdict = host
            .suspects
            .try_start(now, &host.name, fingerprint, &names);
        if !matches!(verdict, Verdict::Run | Verdict::Trial) {
            let crashes = host.suspects.crashes_of(now, fingerprint);
            self.hosts[entry].suspects.merge(now, &crashes);
            return false;
        }
        let is_cold = self.now < host.cold_until;
        let work = callers.work * if is_cold { 2 } else { 1 };
        host.running.push(Running {
            fingerprint,
            entry,
            ends_at: self.now + work + HOP,
            sent_at: self.now,
        });
        if fingerprint == CRASHER && self.now >= self.crashes_from {
            self.arrivals.push(self.now);
        }
        true
    }

    /// Names of the hosts that are up, for a request that needs a trial by what `host` knows.
    fn names_for(&self, host: usize, fingerprint: u64, up: &[usize]) -> Vec<HostId> {
        let suspects = &self.hosts[host].suspects;
        if !suspects.needs_trial(self.instant(), fingerprint) {
            return Vec::new();
        }
        up.iter().map(|i| self.hosts[*i].name.clone()).collect()
    }

    fn gossip(&mut self) {
        let now = self.instant();
        for from in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            for fingerprint in [POPULAR, CRASHER] {
                let crashes = self.hosts[from].suspects.crashes_of(now, fingerprint);
                self.hosts[to].suspects.merge(now, &crashes);
            }
        }
    }

    /// Forgets all that the daemons of some hosts know.
    pub(crate) fn restart_daemons(&mut self, hosts: Range<usize>) {
        let now = self.instant();
        for host in &mut self.hosts[hosts] {
            host.suspects = Suspects::default();
            host.running.clear();
            if host.up {
                host.suspects.record_start(now, &host.name);
            }
        }
    }

    /// Popular requests of the steady state that were refused or lost.
    pub(crate) fn unserved(&self) -> usize {
        let running = self.hosts.iter().flat_map(|host| &host.running);
        let is_steady =
            |call: &&Running| call.fingerprint == POPULAR && call.sent_at >= self.steady_from;
        self.steady.sent - self.steady.served - running.filter(is_steady).count()
    }

    pub(crate) fn served_share(&self) -> f64 {
        self.steady.served as f64 / self.steady.sent.max(1) as f64
    }

    /// Arrivals of the crasher later than the stability window after its third crash.
    pub(crate) fn late_arrivals(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let is_late = |at: &&Duration| **at > *third + STABILITY_WINDOW;
        self.arrivals.iter().filter(is_late).count()
    }
}
