//! The daemon's settings, read from TOML. All problems of a settings file are reported together.

use indigospur_admission::{LimitPolicy, Options};
use indigospur_document::{Document, Problems, Reader};
use indigospur_relay::Bounds;
use indigospur_routing::Policy;
use indigospur_rules::CallerLimits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Largest request body that a message between daemons can carry.
const MAX_BODY_BYTES: u64 = 12 * 1_024 * 1_024;
/// Largest head of a caller's request if the rule set gives no bound.
const DEFAULT_HEAD_BYTES: usize = 8 * 1_024;
/// Largest head of a caller's request while no rule set is in force.
const HEAD_BYTES_WITHOUT_RULES: usize = 64 * 1_024;
/// Part of the host's memory that bodies may use. A body that is passed on is held up to four times at
/// once: as received, as a message, encoded, and in the buffers of its connection.
const BODY_MEMORY_DIVISOR: usize = 8;
const MIB: usize = 1_024 * 1_024;
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Settings of a daemon. The key in the settings file is in parentheses.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host name, unique in the fleet (`host.name`).
    pub name: Arc<str>,
    /// Data centre of the host (`host.data-centre`).
    pub data_centre: Arc<str>,
    /// Region of the data centre (`host.region`).
    pub region: Arc<str>,
    /// Listening address for callers (`listen.calls`).
    pub caller_address: Arc<str>,
    /// Listening address for other daemons (`listen.peers`).
    pub peer_address: Arc<str>,
    /// Address that other daemons are to use, if not the bound one (`listen.advertise`).
    pub advertised_address: Option<Arc<str>>,
    /// Listening address for announcements of the backend server and for operators
    /// (`listen.admin`).
    pub admin_address: Arc<str>,
    /// Address of the platform's log, or of the configuration source that replaces it
    /// (`log.address`).
    pub log_address: Arc<str>,
    /// Time for which the log keeps records (`log.retention`).
    pub log_retention: Duration,
    /// Mean time between two reads of the log; longer in a large fleet (`log.poll`).
    pub poll_interval: Duration,
    /// Addresses of daemons to ask for the member list while no other member is known
    /// (`peers.seeds`).
    pub seeds: Vec<Arc<str>>,
    /// Largest request body of a call, in bytes (`limits.body`).
    pub max_body_bytes: u64,
    /// Memory of the host that the daemon may use, in bytes (`limits.memory`, in MiB).
    pub memory_bytes: usize,
    /// Maximum number of open connections of callers (`limits.connections`).
    pub max_connections: usize,
    /// Time for which a stopping daemon waits for calls in flight (`limits.shutdown`).
    pub shutdown_timeout: Duration,
    /// Longest time for which a call should wait for a slot (`limits.target-wait`).
    pub target_wait: Duration,
    /// Time for which idempotency keys are kept (`keys.horizon`).
    pub key_horizon: Duration,
    /// Time after the last successful read of the log for which calls with an idempotency key may
    /// run (`keys.lease`).
    pub key_lease: Duration,
    /// Whether the daemon takes part in at-most-once execution of calls with an idempotency key
    /// (`keys.at-most-once`).
    pub at_most_once: bool,
    /// Time for which a stopping daemon still takes calls of callers (`limits.leave`); see
    /// [`Settings::effective_shutdown_delay`].
    pub shutdown_delay: Duration,
    /// Time for which a backend server goes on taking calls once it has said that it leaves
    /// (`limits.drain`).
    pub backend_drain: Duration,
    /// Whether running calls are cancelled for more important ones (`limits.preempt`).
    pub preempts: bool,
    /// Whether, within a priority class, calls made while serving another call go before requests
    /// that enter the fleet (`limits.chains-first`).
    pub chains_first: bool,
    /// Whether a backend server gets fewer calls while a service that it calls sheds load
    /// (`limits.yield-below`).
    pub yields_below: bool,
    /// How the concurrency limit of the backend server is set (`limits.policy`).
    pub limit_policy: LimitPolicy,
    /// Time over which the limit of a cold backend server rises to all its slots (`limits.ramp`).
    pub ramp: Duration,
    /// Share of the backend server's slots that is used, in percent (`limits.fill`).
    pub usable_percent: u32,
    /// Retries allowed for a hundred first attempts to one service (`retries.percent`).
    pub retry_percent: u32,
    /// Maximum number of unused retries to one service that one daemon accumulates
    /// (`retries.saved`).
    pub retry_capacity: u32,
    /// Maximum number of unused retries to one service that all daemons together accumulate
    /// (`retries.fleet`).
    pub fleet_retry_capacity: u32,
    /// How the upstream for a call is chosen (`routing.policy`), and the time that leaving the data
    /// centre must save (`routing.stay`).
    pub placement: Policy,
    /// Length of the window in which retries are bounded (`retries.window`); `None` if they are bounded
    /// by what a daemon accumulates.
    pub retry_window: Option<Duration>,
}

impl Settings {
    /// Parses and checks the text of a settings file; `file` is its name in problems.
    ///
    /// # Errors
    /// The settings are invalid; all problems are listed, with their places.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.reader();
        let settings = Settings::read(&root);
        root.finish();
        document.into_problems().into_result(settings)
    }

    /// Reads the settings of a daemon from a document that may hold other tables too. Problems are
    /// collected in the document.
    pub fn read(root: &Reader<'_>) -> Settings {
        read(root)
    }

    /// Returns these settings, with the values that need a restart taken from `started`.
    pub(crate) fn keep_fixed(self, started: &Settings) -> Settings {
        let started = started.clone();
        Settings {
            name: started.name,
            data_centre: started.data_centre,
            region: started.region,
            caller_address: started.caller_address,
            peer_address: started.peer_address,
            advertised_address: started.advertised_address,
            admin_address: started.admin_address,
            log_address: if started.at_most_once {
                started.log_address
            } else {
                self.log_address
            },
            key_horizon: started.key_horizon,
            key_lease: started.key_lease,
            at_most_once: started.at_most_once,
            ..self
        }
    }

    /// Time for which a stopping daemon still takes calls of callers: `shutdown_delay`, but at most
    /// half of `shutdown_timeout`, since the calls that are taken must finish within
    /// `shutdown_timeout` too.
    pub fn effective_shutdown_delay(&self) -> Duration {
        self.shutdown_delay.min(self.shutdown_timeout / 2)
    }

    /// Time that leaving the data centre must save beyond that of the link; `None` if the placement
    /// does not look at times.
    pub(crate) fn stay(&self) -> Option<Duration> {
        self.placement.stay()
    }

    /// Memory for the bodies of all messages together, in bytes.
    pub(crate) fn body_memory(&self) -> usize {
        self.memory_bytes / BODY_MEMORY_DIVISOR
    }

    /// Admission options for a backend server that starts cold.
    pub(crate) fn admission(&self) -> Options {
        Options {
            policy: self.limit_policy,
            ramp: self.ramp,
            target_wait: self.target_wait,
            preempts: self.preempts,
            usable_percent: self.usable_percent,
            ..Options::default()
        }
    }

    /// Bounds on callers: those of the rule set in force, within the daemon's own. Without a rule set
    /// the bound on heads is wide, since callers do not retry a request that was refused as too
    /// large.
    pub(crate) fn caller_bounds(&self, rules: Option<&CallerLimits>) -> Bounds {
        let own = Bounds {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: self.max_body_bytes,
            connections: self.max_connections,
            ..Bounds::default()
        };
        let Some(rules) = rules else {
            return Bounds {
                head_bytes: HEAD_BYTES_WITHOUT_RULES,
                ..own
            };
        };
        let head = rules.head.and_then(|head| usize::try_from(head).ok());
        Bounds {
            head_bytes: head.unwrap_or(own.head_bytes),
            body_bytes: rules.body.unwrap_or(own.body_bytes).min(own.body_bytes),
            connections: own.connections,
            message_timeout: rules.message.unwrap_or(own.message_timeout),
            idle_timeout: rules.idle.unwrap_or(own.idle_timeout),
        }
    }
}

fn read(root: &Reader<'_>) -> Settings {
    let host = root.table("host");
    let listen = root.table("listen");
    let log = root.table("log");
    let peers = root.table("peers");
    let limits = root.table("limits");
    let keys = root.table("keys");
    let retries = root.table("retries");
    let routing = root.table("routing");
    let settings = Settings {
        name: host.required_string("name"),
        data_centre: host.required_string("data-centre"),
        region: host.required_string("region"),
        caller_address: required_address(&listen, "calls"),
        peer_address: required_address(&listen, "peers"),
        advertised_address: advertised_address(&listen),
        admin_address: required_address(&listen, "admin"),
        log_address: required_address(&log, "address"),
        log_retention: duration_or(&log, "retention", SECOND..=DAY * 365, DAY),
        poll_interval: duration_or(&log, "poll", SECOND / 10..=SECOND * 60, SECOND),
        seeds: seed_addresses(&peers),
        max_body_bytes: limits
            .integer("body", 1_024..=MAX_BODY_BYTES)
            .unwrap_or(1_024 * 1_024),
        memory_bytes: limits.integer("memory", 8..=1_048_576).unwrap_or(512) as usize * MIB,
        max_connections: limits.integer("connections", 1..=65_536).unwrap_or(4_096) as usize,
        shutdown_timeout: duration_or(&limits, "shutdown", SECOND..=SECOND * 3_600, SECOND * 30),
        target_wait: duration_or(
            &limits,
            "target-wait",
            SECOND / 100..=SECOND * 60,
            SECOND / 2,
        ),
        key_horizon: duration_or(&keys, "horizon", SECOND * 10..=DAY, SECOND * 1_800),
        key_lease: duration_or(&keys, "lease", SECOND * 10..=DAY, SECOND * 7_200),
        at_most_once: keys.boolean("at-most-once").unwrap_or(true),
        shutdown_delay: duration_or(
            &limits,
            "leave",
            Duration::ZERO..=SECOND * 600,
            Duration::ZERO,
        ),
        backend_drain: duration_or(&limits, "drain", SECOND / 10..=SECOND * 3_600, SECOND * 2),
        preempts: limits.boolean("preempt").unwrap_or(true),
        chains_first: limits.boolean("chains-first").unwrap_or(false),
        yields_below: limits.boolean("yield-below").unwrap_or(true),
        limit_policy: limit_policy(&limits),
        ramp: duration_or(&limits, "ramp", Duration::ZERO..=SECOND * 600, SECOND * 10),
        usable_percent: as_u32(limits.integer("fill", 10..=100)).unwrap_or(100),
        retry_percent: as_u32(retries.integer("percent", 0..=100)).unwrap_or(10),
        retry_capacity: as_u32(retries.integer("saved", 1..=100_000)).unwrap_or(10),
        fleet_retry_capacity: as_u32(retries.integer("fleet", 1..=1_000_000)).unwrap_or(100_000),
        placement: placement(&routing),
        retry_window: retries.duration("window", SECOND..=SECOND * 600),
    };
    for table in [host, listen, log, peers, limits, keys, retries, routing] {
        table.finish();
    }
    settings
}

fn required_address(reader: &Reader<'_>, key: &str) -> Arc<str> {
    let text = reader.required_string(key);
    check_address(reader, key, &text);
    text
}

fn advertised_address(listen: &Reader<'_>) -> Option<Arc<str>> {
    let text = listen.string("advertise")?;
    check_address(listen, "advertise", &text);
    Some(text)
}

fn seed_addresses(reader: &Reader<'_>) -> Vec<Arc<str>> {
    let seeds = reader.strings("seeds");
    seeds
        .iter()
        .for_each(|seed| check_address(reader, "seeds", seed));
    seeds
}

fn check_address(reader: &Reader<'_>, key: &str, text: &str) {
    if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
        reader.reject(
            key,
            format!("\"{text}\" is not allowed"),
            "expected an IP address and a port, such as \"10.0.0.1:7000\"",
        );
    }
}

fn duration_or(
    reader: &Reader<'_>,
    key: &str,
    range: std::ops::RangeInclusive<Duration>,
    default: Duration,
) -> Duration {
    reader.duration(key, range).unwrap_or(default)
}

fn limit_policy(limits: &Reader<'_>) -> LimitPolicy {
    match limits.string("policy").as_deref() {
        None | Some("aimd") => LimitPolicy::Aimd,
        Some("slots") => LimitPolicy::Slots,
        Some(other) => {
            let found = format!("\"{other}\" is not allowed");
            limits.reject("policy", found, "expected aimd or slots");
            LimitPolicy::Aimd
        }
    }
}

fn placement(routing: &Reader<'_>) -> Policy {
    let longest = SECOND * 10;
    let stay = duration_or(routing, "stay", Duration::ZERO..=longest, SECOND / 50);
    match routing.string("policy").as_deref() {
        None | Some("slots") => Policy::Slots,
        Some("time") => Policy::Time { stay },
        Some("paced") => Policy::Paced { stay },
        Some(other) => {
            let found = format!("\"{other}\" is not allowed");
            routing.reject("policy", found, "expected slots, time or paced");
            Policy::Slots
        }
    }
}

fn as_u32(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}
