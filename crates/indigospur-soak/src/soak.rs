//! The site, its rounds and the report.

use crate::callers::{self, HostEntry, Shared, lock};
use crate::checks::check;
use crate::faults::{Fault, Scheduled, draw};
use crate::observed::{Leave, Seen};
use crate::options::SoakOptions;
use crate::report::{Report, summarize};
use indigospur_test_support::{
    Node, ServicePlan, Site, SitePlan, Wire, post, ready_members, status_of,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CALLERS: u64 = 12;
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
const LOOK: Duration = Duration::from_millis(100);

/// A running soak.
#[derive(Debug)]
pub struct Soak {
    site: Site,
    /// The wire through which the others reach each host, by its place.
    wires: Vec<Wire>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    rng: SmallRng,
    seconds: u64,
    published: u32,
    events: Vec<String>,
}

/// A step of a round.
enum Step {
    Begin(Scheduled),
    /// A leave that everyone should have noticed by now.
    Noticed(Scheduled),
    End(Scheduled),
}

impl Soak {
    /// Starts the site and the callers.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(options: &SoakOptions) -> io::Result<Soak> {
        let mut site = Site::start(&SitePlan {
            rules: RULES.to_owned(),
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
            let wire = Wire::start();
            let plan = &plans[index % plans.len()];
            site.add_behind(&wire, &format!("{}-{index}", plan.name), plan)?;
            wires.push(wire);
        }
        site.settle();
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
            shared,
            threads,
            rng: SmallRng::seed_from_u64(options.seed),
            seconds: options.seconds,
            published: 0,
            events: vec![format!("seed {}, {hosts} hosts", options.seed)],
        })
    }

    /// Plays rounds until the time is over or a check fails.
    pub fn run(mut self) -> Report {
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let mut rounds = 0;
        let mut breaches = Vec::new();
        while breaches.is_empty() && Instant::now() < end {
            rounds += 1;
            let faults = draw(&mut self.rng, self.site.nodes.len());
            self.play(&faults);
            self.calm_down();
            breaches = check(&lock(&self.shared.observed));
        }
        self.shared.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let observed = lock(&self.shared.observed);
        let served = observed.asked.iter().filter(|asked| asked.status == 200);
        Report {
            breaches,
            events: self.events.clone(),
            asked: (observed.asked.len(), served.count()),
            rounds,
            last: summarize(&observed.asked),
        }
    }

    fn play(&mut self, faults: &[Scheduled]) {
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
                Step::Noticed(scheduled) => self.count_leaver(scheduled, true),
                Step::End(scheduled) => self.end(scheduled),
            }
        }
        if faults.iter().all(|scheduled| scheduled.fault.is_planned()) {
            let span = (from, self.shared.now());
            lock(&self.shared.observed).planned.push(span);
        }
    }

    fn note(&mut self, what: &str, scheduled: Scheduled) {
        let name = &self.site.nodes[scheduled.host].name;
        let at = self.shared.now().as_secs_f64();
        let line = format!("{at:8.3} {what} {:?} at {name}", scheduled.fault);
        self.events.push(line);
    }

    fn begin(&mut self, scheduled: Scheduled) {
        self.note("begin", scheduled);
        let wire = &self.wires[scheduled.host];
        match scheduled.fault {
            Fault::KillDaemon => self.site.nodes[scheduled.host].daemon.kill(),
            Fault::FreezeDaemon => self.site.nodes[scheduled.host].daemon.signal("STOP"),
            Fault::StopDaemon => self.site.nodes[scheduled.host].daemon.signal("TERM"),
            Fault::KillBackend => {
                self.collect(scheduled.host);
                self.site.nodes[scheduled.host].backend.kill();
            }
            Fault::FreezeBackend => self.site.nodes[scheduled.host].backend.signal("STOP"),
            Fault::Leave => {
                let address = self.site.nodes[scheduled.host].backend.address("address");
                post(&address, "/stand-in/drain", "");
            }
            Fault::Silence => {
                wire.silence();
            }
            Fault::Cut => wire.cut(),
            Fault::Reset => wire.reset(),
            Fault::LogDown => self.site.set_log_mode("{\"down\":true}"),
            Fault::LogSlow => self.site.set_log_mode("{\"delay-ms\":700}"),
            Fault::LogLosesAnswers => self.site.set_log_mode("{\"lose-answers\":true}"),
            Fault::Publish => self.publish(),
        }
    }

    fn end(&mut self, scheduled: Scheduled) {
        self.note("end", scheduled);
        match scheduled.fault {
            Fault::KillDaemon => self.restart(scheduled.host),
            Fault::StopDaemon => {
                self.site.nodes[scheduled.host].daemon.wait();
                self.restart(scheduled.host);
            }
            Fault::FreezeDaemon => self.site.nodes[scheduled.host].daemon.signal("CONT"),
            Fault::FreezeBackend => self.site.nodes[scheduled.host].backend.signal("CONT"),
            Fault::KillBackend => self.restart_backend(scheduled.host),
            Fault::Leave => {
                self.count_leaver(scheduled, false);
                self.restart_backend(scheduled.host);
            }
            Fault::Cut => self.wires[scheduled.host].heal(),
            Fault::LogDown | Fault::LogSlow | Fault::LogLosesAnswers => {
                self.site.set_log_mode("{}");
            }
            Fault::Silence | Fault::Reset | Fault::Publish => {}
        }
    }

    /// Starts daemon and backend server of a host anew.
    fn restart(&mut self, place: usize) {
        self.collect(place);
        let node = &mut self.site.nodes[place];
        if let Err(error) = node.restart() {
            return self.found_dead(place, &error);
        }
        self.wires[place].set_target(&node.daemon.address("peers"));
        let mut hosts = lock(&self.shared.hosts);
        hosts[place] = entry(node, hosts[place].start + 1);
    }

    fn restart_backend(&mut self, place: usize) {
        self.collect(place);
        if let Err(error) = self.site.nodes[place].restart_backend() {
            self.found_dead(place, &error);
        }
    }

    fn found_dead(&self, place: usize, error: &io::Error) {
        let name = &self.site.nodes[place].name;
        let finding = format!("{name} does not start again: {error}");
        lock(&self.shared.observed).findings.push(finding);
    }

    /// Publishes a rule set. While the log fails the outcome may be unknown, which is no finding.
    fn publish(&mut self) {
        self.published += 1;
        let rules = format!("{RULES}[[rule]]\nname = \"rule set {}\"\n", self.published);
        let outcome = self.site.publish(&rules);
        self.events.push(match outcome {
            Ok((text, _)) => format!("         {}", text.lines().next().unwrap_or_default()),
            Err(error) => format!("         the tool does not start: {error}"),
        });
    }

    /// Takes over what a backend server has run so far.
    fn collect(&self, place: usize) -> usize {
        let node = &self.site.nodes[place];
        let journal = node.journal();
        let count = journal.len();
        let runs = journal.iter().filter_map(read_number).collect();
        if count > 0 {
            // Each start of a backend server has a process number of its own.
            let key = (node.name.clone(), node.backend.id());
            lock(&self.shared.observed).journals.insert(key, runs);
        }
        count
    }

    fn count_leaver(&mut self, scheduled: Scheduled, noticed: bool) {
        let runs = self.collect(scheduled.host);
        let host = self.site.nodes[scheduled.host].name.clone();
        let mut observed = lock(&self.shared.observed);
        if noticed {
            observed.leaves.push(Leave {
                host,
                noticed: runs,
                later: runs,
            });
        } else if let Some(leave) = observed.leaves.iter_mut().rfind(|leave| leave.host == host) {
            leave.later = runs;
        }
    }

    /// Waits until all know each other and the newest rule set, and callers are served again.
    fn calm_down(&mut self) {
        let end = Instant::now() + RECOVERY;
        let calm = loop {
            if self.has_settled() && self.is_serving() {
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
            let finding = format!("not calm in {RECOVERY:?}:\n{}", known.join("\n"));
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
        let last = observed.asked.iter().rev().take(STREAK);
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
            (noticed, Step::Noticed(scheduled)),
            (noticed + WATCH, Step::End(scheduled)),
        ]
    } else {
        vec![(begun + scheduled.length, Step::End(scheduled))]
    }
}

fn entry(node: &Node, start: u32) -> HostEntry {
    HostEntry {
        name: node.name.clone(),
        calls: node.calls(),
        admin: node.admin(),
        start,
    }
}

/// The number of the request that was run; `None` for the calls of other backend servers.
fn read_number(run: &serde_json::Value) -> Option<u64> {
    let call = run["call"].as_str()?;
    call.split("?n=").nth(1)?.parse().ok()
}

/// Looks at the version that a daemon has, until the soak ends.
fn watch_version(shared: &Shared, place: usize) {
    while !shared.ended.load(Ordering::Relaxed) {
        let host = lock(&shared.hosts)[place].clone();
        let status = status_of(&host.admin);
        if let Some(version) = status["rules-version"].as_u64() {
            lock(&shared.observed).seen.push(Seen {
                host: host.name,
                start: host.start,
                version,
            });
        }
        std::thread::sleep(LOOK);
    }
}
