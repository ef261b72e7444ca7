//! The site, its rounds and the report.

use crate::callers::{self, HostEntry, Shared, lock};
use crate::checks::{Breach, check};
use crate::faults::{Fault, LogTrouble, Scheduled, draw};
use crate::hosts::HostState;
use crate::look::watch_version;
use crate::observed::Use;
use crate::options::SoakOptions;
use crate::report::{Report, summarize};
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
/// Time that a call takes at a backend server, so that faults meet calls that run.
const WORK_MILLIS: u64 = 25;
/// Rule sets differ in the name of the last rule.
const RULES: &str = "[[rule]]\nname = \"signatures\"\nwhen = { service = \"contracts\", method = \"POST\" }\n\
                     then = { class = \"protected\", at-most-once = true, deadline = \"5s\" }\n";
/// Time in which a published rule set is in force, and in which the site calms down.
const RECOVERY: Duration = Duration::from_secs(13);
/// Time in which all daemons notice that a backend server leaves.
const NOTICE: Duration = Duration::from_millis(2_000);
/// Time for which a backend server that has left is watched.
const WATCH: Duration = Duration::from_millis(700);
/// Requests in a row that must be served for the site to count as calm.
const STREAK: usize = 30;
/// Time between two looks at the versions, and at a condition.
pub(crate) const LOOK: Duration = Duration::from_millis(100);

/// A running soak.
#[derive(Debug)]
pub struct Soak {
    pub(crate) site: Site,
    /// The wires of each host, by its place.
    pub(crate) wires: Vec<HostProxies>,
    /// What was done to each host, by its place.
    pub(crate) hosts: Vec<HostState>,
    pub(crate) log_troubles: Vec<LogTrouble>,
    /// Only planned work is done in this round.
    pub(crate) planned_only: bool,
    pub(crate) shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    seed: u64,
    seconds: u64,
    published: u32,
    pub(crate) events: Vec<String>,
    /// Folder of the daemons' logs, and whether it stays whatever is found.
    logs: (PathBuf, bool),
}

/// A step of a round.
pub(crate) enum Step {
    Begin(Scheduled),
    /// Everyone should have noticed by now that the backend server of a host leaves.
    Noticed(usize),
    End(Scheduled),
    /// The daemon of a host starts again, once it can.
    Return(usize),
}

impl Soak {
    /// Starts the site and the callers.
    ///
    /// # Errors
    /// A process can't be started.
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
        let mut wires = Vec::new();
        for index in 0..hosts {
            let behind = HostProxies::start();
            let plan = &plans[index % plans.len()];
            site.add_proxied_host(&behind, &format!("{}-{index}", plan.name), plan)?;
            wires.push(behind);
        }
        site.wait_until_ready();
        let entries = site.nodes.iter().map(|node| entry(node, 0)).collect();
        let shared = Shared::new(entries);
        let mut threads = callers::start(&shared, CALLERS, options.seed);
        for place in 0..hosts {
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || watch_version(&shared, place)));
        }
        Ok(Soak {
            site,
            wires,
            hosts: (0..hosts).map(|_| HostState::default()).collect(),
            log_troubles: Vec::new(),
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

    /// Plays rounds until the time is over or a check fails.
    pub fn run(mut self) -> Report {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let hosts = self.site.nodes.len();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let drawn = std::iter::from_fn(|| (Instant::now() < end).then(|| draw(&mut rng, hosts)));
        self.play_rounds(drawn)
    }

    /// Plays rounds that are given, or those up to the first in which a check fails.
    pub fn replay(mut self, rounds: &[Vec<Scheduled>]) -> Report {
        self.play_rounds(rounds.iter().cloned())
    }

    fn play_rounds(&mut self, all: impl Iterator<Item = Vec<Scheduled>>) -> Report {
        let mut rounds = 0;
        let mut breaches = Vec::new();
        for faults in all {
            rounds += 1;
            self.play(&faults);
            self.calm_down();
            breaches = check(&lock(&self.shared.observed));
            if !breaches.is_empty() {
                break;
            }
        }
        self.report(rounds, breaches)
    }

    fn report(&mut self, rounds: usize, breaches: Vec<Breach>) -> Report {
        self.shared.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let (logs, stay) = self.logs.clone();
        let stay = stay || !breaches.is_empty();
        if !stay {
            let _ = std::fs::remove_dir_all(&logs);
        }
        let observed = lock(&self.shared.observed);
        let asked = observed.asked.iter();
        let served = asked.clone().filter(|asked| asked.status == 200);
        let kept = asked.clone().filter(|asked| asked.connection == Use::Kept);
        let calm = asked.filter(|asked| observed.is_calm(asked));
        Report {
            breaches,
            events: self.events.clone(),
            asked: (observed.asked.len(), served.count()),
            judged: (kept.count(), calm.count()),
            rounds,
            last: summarize(&observed.asked),
            logs: stay.then_some(logs),
        }
    }

    fn play(&mut self, faults: &[Scheduled]) {
        self.planned_only = faults.iter().all(|scheduled| scheduled.fault.is_planned());
        for host in &mut self.hosts {
            host.disturbed = false;
        }
        let begun = Instant::now();
        let from = self.shared.now();
        let begins = faults
            .iter()
            .map(|scheduled| (scheduled.at, Step::Begin(*scheduled)));
        let mut steps: Vec<(Duration, Step)> = begins.collect();
        while let Some((at, step)) = take_next(&mut steps) {
            std::thread::sleep(at.saturating_sub(begun.elapsed()));
            match step {
                Step::Begin(scheduled) => {
                    self.begin(scheduled);
                    // A step before this one may have taken long: what follows counts from now.
                    steps.extend(follow(scheduled, begun.elapsed()));
                }
                Step::Noticed(place) => {
                    self.count_leaver(place, true);
                }
                Step::End(scheduled) => {
                    let next = self.end(scheduled);
                    steps.extend(next.map(|next| (begun.elapsed(), next)));
                }
                Step::Return(place) => {
                    if !self.bring_back(place) {
                        steps.push((begun.elapsed() + LOOK, Step::Return(place)));
                    }
                }
            }
            self.find_ended();
        }
        if self.planned_only {
            let span = (from, self.shared.now());
            lock(&self.shared.observed).planned.push(span);
        }
    }

    pub(crate) fn note(&mut self, what: &str, scheduled: Scheduled) {
        let name = &self.site.nodes[scheduled.host].name;
        let at = self.shared.now().as_secs_f64();
        let line = format!("{at:8.3} {what} {:?} at {name}", scheduled.fault);
        self.events.push(line);
    }

    /// Publishes a rule set. While the log fails the outcome may be unknown, which is no finding.
    pub(crate) fn publish(&mut self) {
        self.published += 1;
        let rules = format!("{RULES}[[rule]]\nname = \"rule set {}\"\n", self.published);
        let outcome = self.site.publish(&rules);
        self.events.push(match outcome {
            Ok((text, _)) => format!("         {}", text.lines().next().unwrap_or_default()),
            Err(error) => format!("         the tool does not start: {error}"),
        });
    }

    /// Waits until all know each other and the newest rule set, and callers are served again.
    fn calm_down(&mut self) {
        let end = Instant::now() + RECOVERY;
        let calm = loop {
            if self.has_settled() && self.is_serving() && self.settings_in_force() {
                break true;
            }
            if self.find_ended() {
                // Whether the others calm down without it shows nothing.
                break true;
            }
            if Instant::now() > end {
                break false;
            }
            std::thread::sleep(LOOK);
        };
        if !calm {
            let known = self.site.nodes.iter().map(|node| node.status().to_string());
            let known: Vec<String> = known.collect();
            let late = self.hosts.iter().zip(&self.site.nodes);
            let late = late.filter(|(host, _)| host.unsure);
            let late: Vec<&str> = late.map(|(_, node)| node.name.as_str()).collect();
            let finding = format!(
                "not calm in {RECOVERY:?}, settings not in force at {late:?}:\n{}",
                known.join("\n")
            );
            lock(&self.shared.observed).findings.push(finding);
        }
        for place in 0..self.site.nodes.len() {
            self.collect(place);
        }
    }

    fn has_settled(&self) -> bool {
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

    fn is_serving(&self) -> bool {
        let observed = lock(&self.shared.observed);
        let stayed = observed
            .asked
            .iter()
            .rev()
            .filter(|asked| asked.connection.stays());
        let last = stayed.take(STREAK);
        last.filter(|asked| asked.status == 200).count() == STREAK
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

/// The step that is due first.
fn take_next(steps: &mut Vec<(Duration, Step)>) -> Option<(Duration, Step)> {
    let times = steps.iter().map(|(at, _)| *at).enumerate();
    let (index, _) = times.min_by_key(|(_, at)| *at)?;
    Some(steps.swap_remove(index))
}

/// The steps that follow a fault that has begun.
fn follow(scheduled: Scheduled, begun: Duration) -> Vec<(Duration, Step)> {
    if scheduled.fault == Fault::Leave {
        let noticed = begun + NOTICE;
        vec![
            (noticed, Step::Noticed(scheduled.host)),
            (noticed + WATCH, Step::End(scheduled)),
        ]
    } else {
        vec![(begun + scheduled.length, Step::End(scheduled))]
    }
}

pub(crate) fn entry(node: &Node, start: u32) -> HostEntry {
    HostEntry {
        name: node.name.clone(),
        calls: node.caller_address(),
        admin: node.admin_address(),
        start,
    }
}
