//! A fleet in virtual time: every host has a gate and a home, and exchanges reports and grants with the
//! others over a network that delays messages by 1 to 10 ms.

use crate::load::{Entry, Load};
use crate::seen::{Seen, bound};
use indigospur_protocol::HostId;
use indigospur_quota::{Hosts, QuotaGate, QuotaGrant, QuotaHome, QuotaReport, report_interval};
use indigospur_rules::{Quota, Workspace, Workspaces};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

/// Time from a fault until the members lists of the others show it.
const DETECTION_SECONDS: f64 = 5.0;
/// What befalls the fleet.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize, f64),
    /// Cuts a host off from all others.
    Cut(usize),
    /// Splits the hosts into those below the number and the others.
    Split(usize),
    Heal,
    /// Changes the quota of a workspace; each host applies it at a random time within 2.5 s.
    Change(usize, Option<Quota>),
}

enum Event {
    Arrival(usize),
    Repeat(usize, u32),
    Tick(usize, u32),
    Report(usize, usize, QuotaReport),
    Grant(usize, usize, QuotaGrant),
    /// A report was refused by the system of a host whose daemon does not run.
    Failure(usize, usize, u64),
    Fault(Fault),
    /// A host's member list shows the state of the others.
    View(usize),
    Configure(usize, usize, Option<Quota>),
}

struct Host {
    gate: QuotaGate,
    home: QuotaHome,
    workspaces: Workspaces,
    is_alive: bool,
    paused_until: f64,
    group: usize,
    /// Increases with each start; ticks of an earlier process are ignored.
    process: u32,
    view: Hosts,
}

pub(crate) struct Fleet {
    base: Instant,
    time: f64,
    rng: SmallRng,
    hosts: Vec<Host>,
    indexes: HashMap<HostId, usize>,
    loads: Vec<Load>,
    entry: Entry,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    /// Times that callers repeat a refused request, at the time that the refusal names.
    pub(crate) repeats: u32,
    pub(crate) seen: Vec<Seen>,
    /// Reports sent, and the counts in them.
    pub(crate) reports: u64,
    pub(crate) counts: u64,
    /// Limits in grants.
    pub(crate) limits: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, hosts: usize, entry: Entry, loads: Vec<Load>) -> Fleet {
        let base = Instant::now();
        let mut fleet = Fleet {
            base,
            time: 0.0,
            rng: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            indexes: (0..hosts).map(|index| (name(index), index)).collect(),
            seen: vec![Seen::default(); loads.len()],
            loads,
            entry,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            repeats: 2,
            reports: 0,
            counts: 0,
            limits: 0,
        };
        let names: Vec<HostId> = (0..hosts).map(name).collect();
        let mut workspaces = Workspaces::default();
        for load in &fleet.loads {
            workspaces.insert(workspace(&load.name, Some(load.quota)), []);
        }
        for index in 0..hosts {
            fleet.hosts.push(Host {
                gate: QuotaGate::new(base, name(index), 1),
                home: QuotaHome::default(),
                workspaces: workspaces.clone(),
                is_alive: true,
                paused_until: 0.0,
                group: 0,
                process: 1,
                view: Hosts::new(names.clone(), hosts),
            });
            let at = fleet.rng.random_range(0.0..0.25);
            fleet.schedule(at, Event::Tick(index, 1));
        }
        for index in 0..fleet.loads.len() {
            fleet.schedule_arrival(index);
        }
        fleet
    }

    pub(crate) fn fault(&mut self, at: f64, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse(((at * 1e6) as u64, self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    fn schedule_arrival(&mut self, load: usize) {
        // Thinned arrivals of the peak rate.
        let random: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let at = self.time - random.ln() / self.loads[load].peak;
        self.schedule(at, Event::Arrival(load));
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.time)
    }

    /// Plays until a time in seconds.
    pub(crate) fn play(&mut self, until: f64) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at as f64 / 1e6 > until {
                break;
            }
            self.events.pop();
            self.time = at as f64 / 1e6;
            if let Some(event) = self.pending.remove(&number) {
                self.handle(event);
            }
        }
        self.time = until;
    }

    /// Index of the host that is home to the workspace of a load in the view of the first host that
    /// is live.
    pub(crate) fn home_of(&self, load: usize) -> usize {
        let host = self.hosts.iter().find(|host| host.is_alive);
        let home =
            host.and_then(|host| indigospur_quota::home_of(&self.loads[load].name, &host.view));
        let index = home.and_then(|home| self.indexes.get(&home).copied());
        index.unwrap_or_default()
    }

    /// Number of workspaces with state at any home.
    pub(crate) fn home_state(&self) -> usize {
        self.hosts.iter().map(|host| host.home.len()).sum()
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.hosts[to].is_alive && self.hosts[from].group == self.hosts[to].group
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(load) => {
                self.schedule_arrival(load);
                let keep = self.rng.random::<f64>() * self.loads[load].peak;
                if keep < (self.loads[load].demand)(self.time) {
                    self.arrive(load, 0);
                }
            }
            Event::Repeat(load, repeats) => self.arrive(load, repeats),
            Event::Tick(host, process) => self.tick(host, process),
            Event::Report(from, to, report) => self.receive(from, to, report),
            Event::Grant(from, to, grant) => {
                let resumes = self.hosts[to].paused_until;
                if resumes > self.time {
                    return self.schedule(resumes, Event::Grant(from, to, grant));
                }
                if self.can_reach(from, to) {
                    let now = self.now();
                    self.hosts[to].gate.apply(now, &name(from), grant);
                }
            }
            Event::Failure(from, to, sequence) => {
                let now = self.now();
                self.hosts[from].gate.fail(now, &name(to), sequence);
            }
            Event::Fault(fault) => self.befall(fault),
            Event::View(host) => self.update_view(host),
            Event::Configure(host, load, quota) => {
                let mut workspaces = Workspaces::default();
                for (index, load_) in self.loads.iter().enumerate() {
                    let before = self.hosts[host].workspaces.get(&load_.name);
                    let before = before.and_then(|workspace| workspace.quota);
                    let quota = if index == load { quota } else { before };
                    workspaces.insert(workspace(&load_.name, quota), []);
                }
                self.hosts[host].workspaces = workspaces;
            }
        }
    }

    fn arrive(&mut self, load: usize, repeats: u32) {
        let random = self.rng.random::<f64>();
        let host = (self.entry)(self.time, random, self.hosts.len()).min(self.hosts.len() - 1);
        let now = self.now();
        let time = self.time;
        let entered = &mut self.hosts[host];
        if !entered.is_alive || entered.paused_until > time {
            return;
        }
        let workspace = entered.workspaces.get(&self.loads[load].name).cloned();
        let Some(workspace) = workspace else { return };
        match entered.gate.admit(now, &workspace) {
            Ok(()) => self.seen[load].admitted.push(time),
            Err(refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(300));
                self.seen[load]
                    .shares
                    .extend(refusal.share.map(|share| (time, share)));
                if repeats < self.repeats {
                    let at = time + refusal.retry_after.as_secs_f64();
                    self.schedule(at, Event::Repeat(load, repeats + 1));
                } else {
                    self.seen[load].refused.push(time);
                }
            }
        }
    }

    fn tick(&mut self, host: usize, process: u32) {
        let now = self.now();
        let sender = &mut self.hosts[host];
        if !sender.is_alive || sender.process != process {
            return;
        }
        if sender.paused_until > self.time {
            let resumes = sender.paused_until;
            return self.schedule(resumes, Event::Tick(host, process));
        }
        let interval = report_interval(&sender.view).as_secs_f64();
        for (home, report) in sender.gate.reports(now, &sender.view.clone()) {
            self.reports += 1;
            self.counts += report.counts.len() as u64;
            let Some(to) = self.indexes.get(&home).copied() else {
                continue;
            };
            let delay = self.rng.random_range(0.001..0.010);
            let delay = if to == host { 0.0 } else { delay };
            self.schedule(self.time + delay, Event::Report(host, to, report));
        }
        self.schedule(self.time + interval, Event::Tick(host, process));
    }

    fn receive(&mut self, from: usize, to: usize, report: QuotaReport) {
        if !self.can_reach(from, to) {
            if self.hosts[from].group == self.hosts[to].group {
                let at = self.time + 0.002;
                self.schedule(at, Event::Failure(from, to, report.sequence));
            }
            return;
        }
        let resumes = self.hosts[to].paused_until;
        if resumes > self.time {
            return self.schedule(resumes, Event::Report(from, to, report));
        }
        let now = self.now();
        let home = &mut self.hosts[to];
        let grant = home.home.report(now, report, &home.workspaces, &home.view);
        self.limits += grant.limits.len() as u64;
        let delay = match from == to {
            true => 0.0,
            false => self.rng.random_range(0.001..0.010),
        };
        self.schedule(self.time + delay, Event::Grant(to, from, grant));
    }

    fn befall(&mut self, fault: Fault) {
        let now = self.now();
        let mut is_seen_by_all = true;
        match fault {
            Fault::Kill(host) => self.hosts[host].is_alive = false,
            Fault::Start(index) => {
                let names: Vec<HostId> = (0..self.hosts.len()).map(name).collect();
                let known = names.len();
                let host = &mut self.hosts[index];
                host.process += 1;
                host.is_alive = true;
                host.gate = QuotaGate::new(now, name(index), u64::from(host.process));
                host.home = QuotaHome::default();
                host.view = Hosts::new(names, known);
                let process = host.process;
                self.schedule(self.time, Event::Tick(index, process));
            }
            Fault::Pause(host, seconds) => {
                self.hosts[host].paused_until = self.time + seconds;
                is_seen_by_all = seconds > DETECTION_SECONDS;
            }
            Fault::Cut(host) => self.hosts[host].group = host + 1,
            Fault::Split(first) => {
                for host in &mut self.hosts[first..] {
                    host.group = 1;
                }
            }
            Fault::Heal => self.hosts.iter_mut().for_each(|host| host.group = 0),
            Fault::Change(load, quota) => {
                is_seen_by_all = false;
                for host in 0..self.hosts.len() {
                    let at = self.time + self.rng.random_range(0.0..2.5);
                    self.schedule(at, Event::Configure(host, load, quota));
                }
            }
        }
        if is_seen_by_all {
            for host in 0..self.hosts.len() {
                let at = self.time + DETECTION_SECONDS + self.rng.random_range(0.0..1.0);
                self.schedule(at, Event::View(host));
            }
        }
    }

    fn update_view(&mut self, host: usize) {
        let time = self.time;
        let is_up = |index: &usize| {
            let other = &self.hosts[*index];
            other.is_alive && other.paused_until <= time && self.can_reach(host, *index)
        };
        let live = (0..self.hosts.len()).filter(is_up).map(name).collect();
        self.hosts[host].view = Hosts::new(live, self.hosts.len());
    }

    /// Fails unless every workspace stayed within the bound in all windows.
    pub(crate) fn check_bound(&self, case: &str) {
        for (load, seen) in self.loads.iter().zip(&self.seen) {
            let most = seen.most_in_window(0.0, f64::MAX) as f64;
            let bound = bound(load.quota);
            assert!(
                most <= bound,
                "{case}: {} admitted {most} in 5 s, bound {bound}",
                load.name
            );
        }
    }

    /// The largest part of the bound that any workspace used, with its name.
    pub(crate) fn most_used(&self) -> (f64, &str) {
        let used = self.loads.iter().zip(&self.seen).map(|(load, seen)| {
            let most = seen.most_in_window(0.0, f64::MAX) as f64;
            (most / bound(load.quota), &*load.name)
        });
        used.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, ""))
    }
}

pub(crate) fn name(host: usize) -> HostId {
    format!("host-{host}").into()
}

pub(crate) fn workspace(name: &str, quota: Option<Quota>) -> Workspace {
    Workspace {
        name: name.into(),
        class: None,
        quota,
    }
}
