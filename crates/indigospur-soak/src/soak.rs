//! Course of a soak: start of the site, rounds of faults, recovery and the report.

use crate::callers::{self, HostEntry, Shared, lock};
use crate::checks::{Breach, check};
use crate::faults::{Fault, LogFault, ScheduledFault, draw_faults};
use crate::hosts::HostState;
use crate::monitor::watch_version;
use crate::observations::ConnectionUse;
use crate::options::SoakOptions;
use crate::report::{Report, count_outcomes};
use indigospur_test_support::{HostProxies, Node, ServicePlan, Site, SitePlan, ready_members};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CALLERS: usize = 12;
/// Time that a call takes at a backend server, so that faults find calls running.
const WORK_MILLIS: u64 = 25;
/// Rules of every published rule set; a last rule with a varying name makes the sets differ.
const RULES: &str = "[[rule]]\nname = \"signatures\"\nwhen = { service = \"contracts\", method = \"POST\" }\n\
                     then = { class = \"protected\", at-most-once = true, deadline = \"5s\" }\n";
/// Time after the last fault of a round by which the site must have recovered, with the newest rule
/// set in force everywhere.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(13);
/// Time by which all daemons must have noticed that a backend server leaves.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_000);
/// Time after that for which the backend server must begin no run.
const DRAIN_WATCH: Duration = Duration::from_millis(700);
/// Time for which a backend server names a limit on its rate of calls: longer than the stability
/// window and the span in which calls are counted.
const RATE_LIMIT_WATCH: Duration = Duration::from_millis(7_500);
/// Number of consecutive requests that must be served for the site to count as recovered.
const SERVED_STREAK: usize = 30;
/// Interval between two polls of a daemon's status or of a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running soak: the processes of the site, the callers and the state of all faults.
#[derive(Debug)]
pub struct Soak {
    pub(crate) site: Site,
    /// Proxies on the connections of each host, by the host's index.
    pub(crate) proxies: Vec<HostProxies>,
    /// State of each host, by its index.
    pub(crate) hosts: Vec<HostState>,
    /// Faults of the platform's log in progress.
    pub(crate) log_faults: Vec<LogFault>,
    /// Whether all faults of this round are planned work.
    pub(crate) planned_only: bool,
    pub(crate) shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    seed: u64,
    seconds: u64,
    /// Number of rule sets published so far.
    published: u32,
    /// Lines of the report: begins and ends of faults, and outcomes of publishing.
    pub(crate) events: Vec<String>,
    /// Folder of the daemons' logs, and whether it is kept also if no check fails.
    logs: (PathBuf, bool),
}

/// A step of a round; hosts are given by their index.
pub(crate) enum Step {
    Begin(ScheduledFault),
    /// All daemons must have noticed by now that the backend server of a host leaves.
    DrainNoticed(usize),
    End(ScheduledFault),
    /// The daemon of a host is restarted, as soon as that is possible.
    Restart(usize),
}

impl Soak {
    /// Starts the site and the callers.
    ///
    /// # Errors
    /// The folder for logs can't be created, or a process can't be started.
    pub fn start(options: &SoakOptions) -> io::Result<Soak> {
        let logs = options.logs.clone().unwrap_or_else(|| {
            let name = format!("indigospur-soak-{}-{}", options.seed, std::process::id());
            std::env::temp_dir().join(name)
        });
        std::fs::create_dir_all(&logs)?;
        let mut site = Site::start(&SitePlan {
            rules: RULES.to_owned(),
            logs: Some(logs.clone()),
            ..SitePlan::default()
        })?;
        let hosts = (options.processes / 2).max(8);
        let plan = |name, calls: &[&str]| ServicePlan {
            work_ms: WORK_MILLIS,
            ..ServicePlan::new(name, 0, calls)
        };
        let plans = [
            plan("quoting", &["accounts/rates"]),
            plan("contracts", &[]),
            plan("accounts", &[]),
        ];
        let mut proxies = Vec::new();
        for index in 0..hosts {
            let host_proxies = HostProxies::start();
            let plan = &plans[index % plans.len()];
            site.add_proxied_host(&host_proxies, &format!("{}-{index}", plan.name), plan)?;
            proxies.push(host_proxies);
        }
        site.wait_until_ready();
        let entries = site.nodes.iter().map(|node| host_entry(node, 0)).collect();
        let shared = Shared::new(entries);
        let mut threads = callers::start(&shared, CALLERS, options.seed);
        for index in 0..hosts {
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || watch_version(&shared, index)));
        }
        Ok(Soak {
            site,
            proxies,
            hosts: (0..hosts).map(|_| HostState::default()).collect(),
            log_faults: Vec::new(),
            planned_only: false,
            shared,
            threads,
            seed: options.seed,
            seconds: options.seconds,
            published: 0,
            events: vec![format!("seed {}, {hosts} hosts", options.seed)],
            logs: (logs, options.logs.is_some()),
        })
    }

    /// Plays rounds of random faults until the configured time is over or a check fails.
    pub fn run(mut self) -> Report {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let hosts = self.site.nodes.len();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let drawn =
            std::iter::from_fn(|| (Instant::now() < end).then(|| draw_faults(&mut rng, hosts)));
        self.play_rounds(drawn)
    }

    /// Plays the given rounds, up to the first in which a check fails.
    ///
    /// # Panics
    /// A fault has a host index that the site does not have.
    pub fn replay(mut self, rounds: &[Vec<ScheduledFault>]) -> Report {
        self.play_rounds(rounds.iter().cloned())
    }

    fn play_rounds(
        &mut self,
        faults_by_round: impl Iterator<Item = Vec<ScheduledFault>>,
    ) -> Report {
        let mut rounds = 0;
        let mut breaches = Vec::new();
        for faults in faults_by_round {
            rounds += 1;
            self.play_round(&faults);
            self.await_recovery();
            breaches = check(&lock(&self.shared.observations));
            if !breaches.is_empty() {
                break;
            }
        }
        self.report(rounds, breaches)
    }

    fn report(&mut self, rounds: usize, breaches: Vec<Breach>) -> Report {
        self.shared.finished.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let (logs, keep) = self.logs.clone();
        let keep = keep || !breaches.is_empty();
        if !keep {
            let _ = std::fs::remove_dir_all(&logs);
        }
        let observations = lock(&self.shared.observations);
        let requests = observations.requests.iter();
        let served = requests.clone().filter(|record| record.status == 200);
        let reused = requests
            .clone()
            .filter(|record| record.connection == ConnectionUse::Reused);
        let pipelined = requests.clone().filter(|record| record.pipelined);
        let unread = requests
            .clone()
            .filter(|record| record.connection == ConnectionUse::Unread);
        let planned = requests.filter(|record| observations.is_planned_only(record));
        Report {
            breaches,
            events: self.events.clone(),
            requests: (observations.requests.len(), served.count()),
            coverage: (reused.count(), planned.count()),
            pipelined: (pipelined.count(), unread.count()),
            rounds,
            last_outcomes: count_outcomes(&observations.requests),
            logs: keep.then_some(logs),
        }
    }

    fn play_round(&mut self, faults: &[ScheduledFault]) {
        self.planned_only = faults.iter().all(|scheduled| scheduled.fault.is_planned());
        for host in &mut self.hosts {
            host.unplanned_fault = false;
        }
        let round_start = Instant::now();
        let from = self.shared.elapsed();
        let begins = faults
            .iter()
            .map(|scheduled| (scheduled.at, Step::Begin(*scheduled)));
        let mut steps: Vec<(Duration, Step)> = begins.collect();
        while let Some((at, step)) = take_next(&mut steps) {
            std::thread::sleep(at.saturating_sub(round_start.elapsed()));
            match step {
                Step::Begin(scheduled) => {
                    self.begin(scheduled);
                    // An earlier step may have delayed this one, so the following steps are timed
                    // from now rather than from the scheduled begin.
                    steps.extend(following_steps(scheduled, round_start.elapsed()));
                }
                Step::DrainNoticed(index) => {
                    self.record_drain(index, true);
                }
                Step::End(scheduled) => {
                    let next = self.end(scheduled);
                    steps.extend(next.map(|next| (round_start.elapsed(), next)));
                }
                Step::Restart(index) => {
                    if !self.try_restart(index) {
                        steps.push((round_start.elapsed() + POLL_INTERVAL, Step::Restart(index)));
                    }
                }
            }
            self.record_exits();
        }
        if self.planned_only {
            let span = (from, self.shared.elapsed());
            lock(&self.shared.observations).planned.push(span);
        }
    }

    pub(crate) fn record_event(&mut self, phase: &str, scheduled: ScheduledFault) {
        let name = &self.site.nodes[scheduled.host].name;
        let at = self.shared.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {phase} {:?} at {name}", scheduled.fault);
        self.events.push(line);
    }

    /// Publishes a new rule set. While the log fails the outcome may be unknown, which is no
    /// breach.
    pub(crate) fn publish(&mut self) {
        self.published += 1;
        let rules = format!("{RULES}[[rule]]\nname = \"rule set {}\"\n", self.published);
        let outcome = self.site.publish(&rules);
        self.events.push(match outcome {
            Ok((text, _)) => format!("         {}", text.lines().next().unwrap_or_default()),
            Err(error) => format!("         cannot start the publish command: {error}"),
        });
    }

    /// Waits until all daemons know each other and the newest rule set, apply their settings files
    /// and serve the callers; records a finding if that takes longer than `RECOVERY_TIMEOUT`.
    fn await_recovery(&mut self) {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let recovered = loop {
            if self.has_converged() && self.is_serving() && self.settings_applied() {
                break true;
            }
            if self.record_exits() {
                // The exit is a breach already; whether the others recover without it is not
                // judged.
                break true;
            }
            if Instant::now() > end {
                break false;
            }
            std::thread::sleep(POLL_INTERVAL);
        };
        if !recovered {
            let statuses = self.site.nodes.iter().map(|node| node.status().to_string());
            let statuses: Vec<String> = statuses.collect();
            let pending = self.hosts.iter().zip(&self.site.nodes);
            let pending = pending.filter(|(host, _)| host.settings_pending);
            let pending: Vec<&str> = pending.map(|(_, node)| node.name.as_str()).collect();
            let finding = format!(
                "the site did not recover within {RECOVERY_TIMEOUT:?}; settings files not applied at hosts {pending:?}; statuses of the daemons:\n{}",
                statuses.join("\n")
            );
            lock(&self.shared.observations).findings.push(finding);
        }
        for index in 0..self.site.nodes.len() {
            self.collect_journal(index);
        }
    }

    /// Whether all daemons have the same rule set and count all daemons as ready members.
    fn has_converged(&self) -> bool {
        let all = self.site.nodes.len();
        let statuses: Vec<_> = self.site.nodes.iter().map(Node::status).collect();
        let versions = statuses
            .iter()
            .map(|status| status["rules-version"].as_u64());
        let newest = versions.clone().max().flatten();
        versions
            .clone()
            .all(|version| version.is_some() && version == newest)
            && statuses.iter().all(|status| ready_members(status) == all)
    }

    /// Whether the last `SERVED_STREAK` requests whose callers awaited an answer were served.
    fn is_serving(&self) -> bool {
        let observations = lock(&self.shared.observations);
        let awaited = observations
            .requests
            .iter()
            .rev()
            .filter(|record| record.connection.awaits_answer());
        let last = awaited.take(SERVED_STREAK);
        last.filter(|record| record.status == 200).count() == SERVED_STREAK
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        self.shared.finished.store(true, Ordering::Relaxed);
    }
}

/// Removes and returns the step that is due first.
fn take_next(steps: &mut Vec<(Duration, Step)>) -> Option<(Duration, Step)> {
    let times = steps.iter().map(|(at, _)| *at).enumerate();
    let (index, _) = times.min_by_key(|(_, at)| *at)?;
    Some(steps.swap_remove(index))
}

/// The steps that follow the begin of a fault; times count from the start of the round.
fn following_steps(scheduled: ScheduledFault, begun: Duration) -> Vec<(Duration, Step)> {
    if let Fault::LimitRate(_) = scheduled.fault {
        vec![(begun + RATE_LIMIT_WATCH, Step::End(scheduled))]
    } else if matches!(scheduled.fault, Fault::DrainBackend | Fault::LeaveInAnswers) {
        let noticed = begun + DRAIN_NOTICE;
        vec![
            (noticed, Step::DrainNoticed(scheduled.host)),
            (noticed + DRAIN_WATCH, Step::End(scheduled)),
        ]
    } else {
        vec![(begun + scheduled.duration, Step::End(scheduled))]
    }
}

pub(crate) fn host_entry(node: &Node, restarts: u32) -> HostEntry {
    HostEntry {
        name: node.name.clone(),
        caller_address: node.caller_address(),
        admin_address: node.admin_address(),
        restarts,
    }
}
