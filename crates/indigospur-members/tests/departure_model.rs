//! Departures of backend servers under every order of heartbeats, calls of the source, gossip, time-outs
//! and restarts.

use indigospur_members::{
    AnnouncementOutcome, DepartureLog, Instance, InstanceTracker, LogCall, StartGate,
};
use indigospur_protocol::{Announcement, State};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Age from which on a daemon is judged.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Ages of a daemon at which its timers act.
const AGES: [Duration; 4] = [
    Duration::ZERO,
    StartGate::MAX_WAIT,
    InstanceTracker::CONFIRMATION_AGE,
    Duration::from_secs(7),
];
/// Time without an announcement after which a daemon looks at its backend server.
const SILENCE: Duration = Duration::from_secs(3);

/// Time of day at the start, and by how much it is set back before each restart.
const CLOCK_MS: u64 = 1_764_800_000_000;
const CLOCK_STEP_MS: u64 = 5_000;

/// Instances that run on the host one after the other, by index.
const NAMES: [&str; 2] = ["i-1", "i-2"];

fn instance(index: usize) -> Instance {
    Instance::new(NAMES[index], 0)
}

fn ready(name: &str, sequence: u64) -> Announcement {
    Announcement {
        service: "quoting".into(),
        address: "127.0.0.1:1".into(),
        slots: 1,
        connections: 1,
        state: State::Ready,
        instance: name.into(),
        started_ms: 0,
        sequence,
        cold_ms: 0,
    }
}

/// How far each kind of event may go in one history.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Instances that serve and leave.
    instances: usize,
    kills: usize,
    reads: usize,
    appends: usize,
    /// Answers of the source that may be too late for the call that waits for them.
    timeouts: usize,
    /// Whether all timers act at once and restarts are of all daemons, to bound the number of histories.
    coarse: bool,
}

/// What the backend server does next. It sends a message again if it is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    Announce(usize),
    Deregister(usize),
    Done,
}

/// A read of the record.
#[derive(Clone, Debug)]
struct Read {
    /// What the source answers, once it has executed the read.
    answer: Option<Vec<Instance>>,
}

/// A write of the record, which the source may execute at any time, also after the end of its daemon.
#[derive(Clone, Debug)]
struct Append {
    /// Number of kills before it was sent.
    process: usize,
    instances: Vec<Instance>,
    generation: u64,
    state: AppendState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendState {
    Sent,
    Executed,
    Refused,
    Answered,
}

/// A daemon process.
#[derive(Clone, Debug)]
struct Process {
    instances: InstanceTracker,
    log: DepartureLog,
    gate: StartGate,
    started: Instant,
    /// Index of the last of [`AGES`] that it has reached.
    age: usize,
    /// Instance that gets requests.
    in_use: Option<Instance>,
    last_announced: Option<Instant>,
    /// Whether the task that keeps the record waits for an answer.
    calling: bool,
    reads: Vec<Read>,
    /// Departures that have been told and wait for the record.
    waiting: Vec<usize>,
}

impl Process {
    fn new(now: Instant) -> Process {
        Process {
            instances: InstanceTracker::with_unread_history(now),
            log: DepartureLog::default(),
            gate: StartGate::default(),
            started: now,
            age: 0,
            in_use: None,
            last_announced: None,
            calling: false,
            reads: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn announce(&mut self, now: Instant, announcement: &Announcement) {
        if self.gate.hold_back(announcement) {
            return;
        }
        let outcome = self.instances.record_announcement(now, announcement);
        if matches!(
            outcome,
            AnnouncementOutcome::New | AnnouncementOutcome::Known
        ) {
            self.last_announced = Some(now);
            self.in_use = Some(Instance::new(&announcement.instance, 0));
        }
    }

    fn mark_left(&mut self, now: Instant, left: &Instance) {
        if self.instances.mark_left(now, left) {
            self.in_use = None;
        }
    }

    fn open_gate(&mut self, now: Instant) {
        if let Some(announcement) = self.gate.release() {
            self.announce(now, &announcement);
        }
    }

    fn set_aside(&mut self) {
        self.instances.set_aside();
        self.in_use = None;
    }

    /// Lets the timers act at the next of [`AGES`].
    fn grow_older(&mut self, now: Instant) {
        self.age += 1;
        match self.age {
            1 => {
                self.gate.time_out();
                self.open_gate(now);
            }
            2 if self.in_use.is_some() && self.instances.is_unconfirmed(now) => self.set_aside(),
            _ => {}
        }
        let is_silent = self.last_announced.is_some_and(|at| now - at > SILENCE);
        if is_silent && self.in_use.is_some() && self.instances.may_have_left(now) {
            self.set_aside();
        }
    }

    fn read_answered(&mut self, now: Instant, recorded: Vec<Instance>) {
        for left in &recorded {
            self.mark_left(now, left);
        }
        self.log
            .record_read(self.log.address_changes(), 0, recorded);
        self.instances.complete_history();
        self.gate.record_departures();
        self.open_gate(now);
    }
}

/// A host with its daemon and its backend server, the source, and the memory of another daemon.
#[derive(Clone, Debug)]
struct World {
    limits: Limits,
    now: Instant,
    process: Process,
    kills: usize,
    timeouts: usize,
    reads: usize,
    /// What the source holds for the host, and the highest generation of a write.
    record: Vec<Instance>,
    generation: u64,
    appends: Vec<Append>,
    /// Instance that left last, as another daemon remembers it.
    told: Option<Instance>,
    script: Script,
    /// Heartbeats that were sent before the departure of their instance and have not arrived yet.
    late: Vec<usize>,
    acknowledged: Vec<usize>,
}

/// An event.
#[derive(Clone, Copy, Debug)]
enum Step {
    Message,
    LateHeartbeat(usize),
    Call,
    ExecuteRead(usize),
    AnswerRead(usize),
    ExecuteAppend(usize),
    AnswerAppend(usize),
    CallTimesOut,
    AcknowledgementTimesOut,
    Gossip,
    /// The other daemon reads the records.
    OtherReads,
    GrowOlder,
    KillOne,
    KillAll,
}

impl World {
    fn new(now: Instant, limits: Limits) -> World {
        World {
            limits,
            now,
            process: Process::new(now),
            kills: 0,
            timeouts: 0,
            reads: 0,
            record: Vec::new(),
            generation: 0,
            appends: Vec::new(),
            told: None,
            script: Script::Announce(0),
            late: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    /// All events that may come next.
    fn steps(&self) -> Vec<Step> {
        let process = &self.process;
        let mut steps = Vec::new();
        if self.script != Script::Done && process.waiting.is_empty() {
            steps.push(Step::Message);
        }
        steps.extend((0..self.late.len()).map(Step::LateHeartbeat));
        let recordable = DepartureLog::recordable(&process.instances);
        let can_call = match process.log.next_call(&recordable) {
            LogCall::Read => self.reads < self.limits.reads,
            LogCall::Write => self.appends.len() < self.limits.appends,
            LogCall::Nothing => false,
        };
        if can_call && !process.calling {
            steps.push(Step::Call);
        }
        for (index, read) in process.reads.iter().enumerate() {
            steps.push(match read.answer {
                Some(_) => Step::AnswerRead(index),
                None => Step::ExecuteRead(index),
            });
        }
        for (index, append) in self.appends.iter().enumerate() {
            match append.state {
                AppendState::Sent => steps.push(Step::ExecuteAppend(index)),
                AppendState::Executed | AppendState::Refused if append.process == self.kills => {
                    steps.push(Step::AnswerAppend(index));
                }
                _ => {}
            }
        }
        if process.calling && self.timeouts < self.limits.timeouts {
            steps.push(Step::CallTimesOut);
        }
        if !process.waiting.is_empty() {
            steps.push(Step::AcknowledgementTimesOut);
        }
        steps.push(Step::Gossip);
        if self.told.is_none() && !self.record.is_empty() {
            steps.push(Step::OtherReads);
        }
        if process.age + 1 < AGES.len() {
            steps.push(Step::GrowOlder);
        }
        if self.kills < self.limits.kills {
            steps.push(Step::KillAll);
        }
        if self.kills < self.limits.kills && !self.limits.coarse {
            steps.push(Step::KillOne);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Message => self.deliver_message(),
            Step::LateHeartbeat(index) => {
                let late = self.late.remove(index);
                self.process.announce(now, &ready(NAMES[late], 2));
            }
            Step::Call => self.call(),
            Step::ExecuteRead(index) => {
                self.process.reads[index].answer = Some(self.record.clone());
            }
            Step::AnswerRead(index) => {
                let read = self.process.reads.remove(index);
                self.process
                    .read_answered(now, read.answer.unwrap_or_default());
                self.process.calling = false;
            }
            Step::ExecuteAppend(index) => {
                let append = &mut self.appends[index];
                // A source refuses a write below the highest generation that it has seen.
                if append.generation < self.generation {
                    append.state = AppendState::Refused;
                } else {
                    append.state = AppendState::Executed;
                    self.generation = append.generation;
                    self.record = append.instances.clone();
                }
            }
            Step::AnswerAppend(index) => self.answer_append(index),
            Step::CallTimesOut => {
                self.timeouts += 1;
                self.process.calling = false;
                if !self.process.log.is_read() {
                    self.process.gate.record_departures();
                    self.process.open_gate(now);
                }
            }
            Step::AcknowledgementTimesOut => self.process.waiting.clear(),
            Step::Gossip => {
                self.process.gate.record_fleet_answer();
                self.process.open_gate(now);
                if let Some(told) = self.told.clone() {
                    self.process.mark_left(now, &told);
                }
            }
            Step::OtherReads => self.told = self.record.last().cloned(),
            Step::GrowOlder => {
                let last = AGES.len() - 1;
                let next = if self.limits.coarse {
                    last
                } else {
                    self.process.age + 1
                };
                while self.process.age < next {
                    self.now = self.process.started + AGES[self.process.age + 1];
                    self.process.grow_older(self.now);
                }
            }
            Step::KillOne => self.restart(),
            Step::KillAll => {
                self.told = None;
                self.restart();
            }
        }
        self.acknowledge();
    }

    fn restart(&mut self) {
        self.kills += 1;
        self.process = Process::new(self.now);
    }

    fn deliver_message(&mut self) {
        let now = self.now;
        match self.script {
            Script::Announce(index) => {
                self.process.announce(now, &ready(NAMES[index], 1));
                self.late.push(index);
                self.script = Script::Deregister(index);
            }
            Script::Deregister(index) => {
                let left = instance(index);
                self.process.mark_left(now, &left);
                self.told = Some(left);
                self.process.waiting.push(index);
            }
            Script::Done => {}
        }
    }

    fn call(&mut self) {
        let recordable = DepartureLog::recordable(&self.process.instances);
        self.process.calling = true;
        match self.process.log.next_call(&recordable) {
            LogCall::Read => {
                self.reads += 1;
                self.process.reads.push(Read { answer: None });
            }
            LogCall::Write => {
                // Each restart finds the clock set back.
                let clock_ms = CLOCK_MS - self.kills as u64 * CLOCK_STEP_MS;
                self.appends.push(Append {
                    process: self.kills,
                    instances: recordable,
                    generation: self.process.log.begin_write(clock_ms),
                    state: AppendState::Sent,
                });
            }
            LogCall::Nothing => self.process.calling = false,
        }
    }

    fn answer_append(&mut self, index: usize) {
        let append = &mut self.appends[index];
        let log = &mut self.process.log;
        // A refusal that comes late is not waited for.
        if append.state == AppendState::Executed {
            log.record_write(log.address_changes(), 0, append.instances.clone());
        } else if self.process.calling {
            log.record_outdated_write();
        }
        append.state = AppendState::Answered;
        self.process.calling = false;
    }

    /// Acknowledges the departures that wait, if they are recorded.
    fn acknowledge(&mut self) {
        let recordable = DepartureLog::recordable(&self.process.instances);
        if !self.process.log.holds(&recordable) {
            return;
        }
        for index in std::mem::take(&mut self.process.waiting) {
            self.acknowledged.push(index);
            let next = index + 1;
            self.script = if next < self.limits.instances {
                Script::Announce(next)
            } else {
                Script::Done
            };
        }
    }

    /// Whether an instance gets requests although its departure was acknowledged.
    fn is_broken(&self) -> bool {
        let is_judged = AGES[self.process.age] >= STABILITY_WINDOW;
        let left = |index: &usize| self.process.in_use == Some(instance(*index));
        is_judged && self.acknowledged.iter().any(left)
    }

    /// Whether an instance that has just started gets requests after two heartbeats.
    fn serves_next(&self) -> bool {
        let mut process = self.process.clone();
        process.gate.time_out();
        for sequence in 1..=2 {
            process.announce(self.now, &ready("i-9", sequence));
        }
        process
            .in_use
            .is_some_and(|instance| &*instance.name == "i-9")
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Plays all histories within `limits`; panics with one in which an acknowledged departure does not hold.
fn explore(limits: Limits) {
    let mut seen = HashSet::new();
    let mut open = vec![(World::new(Instant::now(), limits), Vec::new())];
    while let Some((world, history)) = open.pop() {
        assert!(!world.is_broken(), "{history:?}");
        assert!(world.serves_next(), "the next instance, {history:?}");
        for step in world.steps() {
            let mut next = world.clone();
            next.take(step);
            if seen.insert(next.digest()) {
                let mut history: Vec<Step> = history.clone();
                history.push(step);
                open.push((next, history));
            }
        }
    }
    println!("{} states", seen.len());
}

/// Guards against an acknowledged departure that some order of events undoes.
#[test]
fn an_acknowledged_departure_holds_under_every_order_of_events() {
    explore(Limits {
        instances: 1,
        kills: 1,
        reads: 2,
        appends: 2,
        timeouts: 1,
        coarse: false,
    });
}

#[test]
#[ignore = "a minute and a half; run by hand"]
fn an_acknowledged_departure_holds_under_every_order_of_events_with_two_restarts() {
    explore(Limits {
        instances: 1,
        kills: 2,
        reads: 3,
        appends: 2,
        timeouts: 1,
        coarse: false,
    });
}

/// Guards against a write of the record that the source executes late, in place of a later one.
#[test]
fn an_acknowledged_departure_holds_although_writes_are_executed_late() {
    explore(Limits {
        instances: 2,
        kills: 1,
        reads: 2,
        appends: 3,
        timeouts: 1,
        coarse: true,
    });
}
