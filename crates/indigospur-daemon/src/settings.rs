//! Settings in TOML, checked as a whole before the daemon starts.

use indigospur_admission::{LimitPolicy, Options};
use indigospur_document::{Document, Problems, Reader};
use indigospur_relay::Bounds;
use indigospur_rules::CallerLimits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Largest body that the messages between daemons can carry, in bytes.
const LARGEST_BODY: u64 = 4 * 1_024 * 1_024;
/// Largest head of a caller's request that no rule set bounds, in bytes.
const LARGEST_HEAD: usize = 8 * 1_024;
/// The same while no rule set is known, in bytes.
const LARGEST_UNRULED_HEAD: usize = 64 * 1_024;
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host name, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Address for callers.
    pub calls: Arc<str>,
    /// Address for other daemons.
    pub peers: Arc<str>,
    /// Address told to other daemons, where it differs from the one listened on.
    pub advertise: Option<Arc<str>>,
    /// Address for the backend server's announcements and for operators.
    pub admin: Arc<str>,
    /// Address of the platform's log.
    pub log: Arc<str>,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Shortest time between two reads of the log.
    pub poll: Duration,
    /// Addresses of other daemons to start from.
    pub seeds: Vec<Arc<str>>,
    /// Largest body of a call, in bytes.
    pub body: u64,
    /// Most connections of callers.
    pub connections: usize,
    /// Time in which the daemon stops, whatever is in flight.
    pub shutdown: Duration,
    /// Longest time a call should wait for a slot.
    pub target_wait: Duration,
    /// Time for which idempotency keys are remembered.
    pub key_horizon: Duration,
    /// Time after the last read of the log during which protected calls are run.
    pub key_lease: Duration,
    /// Calls can be run at most once; without it the daemon takes no part in that.
    pub at_most_once: bool,
    /// Time for which a stopping daemon still takes calls of callers.
    pub leave: Duration,
    /// Running calls are cancelled for more important ones.
    pub preempts: bool,
    /// Of a class, calls inside chains go before requests that begin.
    pub chains_first: bool,
    /// A backend server gets fewer calls when a service below it sheds.
    pub yields_below: bool,
    /// How the limit of a backend server follows what its calls show.
    pub limit: LimitPolicy,
    /// Time in which a backend server that starts cold gets all its slots.
    pub ramp: Duration,
    /// Share of the backend server's slots that is used, in percent.
    pub fill: u32,
    /// Retries that a hundred first attempts allow, in calls to one service.
    pub retry_percent: u32,
    /// Retries that one daemon can save up, in calls to one service.
    pub retries_saved: u32,
    /// Retries that all daemons together can save up, in calls to one service.
    pub fleet_retries: u32,
}

impl Settings {
    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Every problem found, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.reader();
        let settings = Settings::read(&root);
        root.finish();
        document.into_problems().into_result(settings)
    }

    /// Takes the settings of a daemon out of a document that may hold more.
    pub fn read(root: &Reader<'_>) -> Settings {
        read(root)
    }

    /// These settings, with what holds from start to stop as it was at the start.
    pub(crate) fn keep_fixed(self, started: &Settings) -> Settings {
        let started = started.clone();
        Settings {
            name: started.name,
            data_centre: started.data_centre,
            region: started.region,
            calls: started.calls,
            peers: started.peers,
            advertise: started.advertise,
            admin: started.admin,
            log: if started.at_most_once {
                started.log
            } else {
                self.log
            },
            key_horizon: started.key_horizon,
            key_lease: started.key_lease,
            at_most_once: started.at_most_once,
            ..self
        }
    }

    /// Time for which a stopping daemon still takes calls of callers: what runs then must end within
    /// the time of the stop too.
    pub fn leave_time(&self) -> Duration {
        self.leave.min(self.shutdown / 2)
    }

    /// The admission to a backend server that starts cold.
    pub(crate) fn admission(&self) -> Options {
        Options {
            policy: self.limit,
            ramp: self.ramp,
            target_wait: self.target_wait,
            preempts: self.preempts,
            usable_percent: self.fill,
            ..Options::default()
        }
    }

    /// The bounds on callers: those of the rule set, within the daemon's own. While none is known
    /// heads are bounded widely: a caller that is told of a bound does not come back.
    pub(crate) fn caller_bounds(&self, asked: Option<&CallerLimits>) -> Bounds {
        let own = Bounds {
            head_bytes: LARGEST_HEAD,
            body_bytes: self.body,
            connections: self.connections,
            ..Bounds::default()
        };
        let Some(asked) = asked else {
            return Bounds {
                head_bytes: LARGEST_UNRULED_HEAD,
                ..own
            };
        };
        let head = asked.head.and_then(|head| usize::try_from(head).ok());
        Bounds {
            head_bytes: head.unwrap_or(own.head_bytes),
            body_bytes: asked.body.unwrap_or(own.body_bytes).min(own.body_bytes),
            connections: own.connections,
            message_timeout: asked.message.unwrap_or(own.message_timeout),
            idle_timeout: asked.idle.unwrap_or(own.idle_timeout),
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
    let settings = Settings {
        name: host.required_string("name"),
        data_centre: host.required_string("data-centre"),
        region: host.required_string("region"),
        calls: address(&listen, "calls"),
        peers: address(&listen, "peers"),
        advertise: advertise(&listen),
        admin: address(&listen, "admin"),
        log: address(&log, "address"),
        retention: duration(&log, "retention", SECOND..=DAY * 365, DAY),
        poll: duration(&log, "poll", SECOND / 10..=SECOND * 60, SECOND),
        seeds: seeds(&peers),
        body: limits
            .integer("body", 1_024..=LARGEST_BODY)
            .unwrap_or(1_024 * 1_024),
        connections: limits.integer("connections", 1..=65_536).unwrap_or(4_096) as usize,
        shutdown: duration(&limits, "shutdown", SECOND..=SECOND * 3_600, SECOND * 30),
        target_wait: duration(
            &limits,
            "target-wait",
            SECOND / 100..=SECOND * 60,
            SECOND / 2,
        ),
        key_horizon: duration(&keys, "horizon", SECOND * 10..=DAY, SECOND * 1_800),
        key_lease: duration(&keys, "lease", SECOND * 10..=DAY, SECOND * 7_200),
        at_most_once: keys.boolean("at-most-once").unwrap_or(true),
        leave: duration(
            &limits,
            "leave",
            Duration::ZERO..=SECOND * 600,
            Duration::ZERO,
        ),
        preempts: limits.boolean("preempt").unwrap_or(true),
        chains_first: limits.boolean("chains-first").unwrap_or(false),
        yields_below: limits.boolean("yield-below").unwrap_or(true),
        limit: limit(&limits),
        ramp: duration(&limits, "ramp", Duration::ZERO..=SECOND * 600, SECOND * 10),
        fill: small(limits.integer("fill", 10..=100)).unwrap_or(100),
        retry_percent: small(retries.integer("percent", 0..=100)).unwrap_or(10),
        retries_saved: small(retries.integer("saved", 1..=100_000)).unwrap_or(10),
        fleet_retries: small(retries.integer("fleet", 1..=1_000_000)).unwrap_or(100_000),
    };
    for table in [host, listen, log, peers, limits, keys, retries] {
        table.finish();
    }
    settings
}

fn address(reader: &Reader<'_>, key: &str) -> Arc<str> {
    let text = reader.required_string(key);
    check_address(reader, key, &text);
    text
}

fn advertise(listen: &Reader<'_>) -> Option<Arc<str>> {
    let text = listen.string("advertise")?;
    check_address(listen, "advertise", &text);
    Some(text)
}

fn seeds(reader: &Reader<'_>) -> Vec<Arc<str>> {
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
            "an IP number and a port, such as \"10.0.0.1:7000\"",
        );
    }
}

fn duration(
    reader: &Reader<'_>,
    key: &str,
    range: std::ops::RangeInclusive<Duration>,
    default: Duration,
) -> Duration {
    reader.duration(key, range).unwrap_or(default)
}

fn limit(limits: &Reader<'_>) -> LimitPolicy {
    match limits.string("policy").as_deref() {
        None | Some("aimd") => LimitPolicy::Aimd,
        Some("slots") => LimitPolicy::Slots,
        Some(other) => {
            let found = format!("\"{other}\" is not allowed");
            limits.reject("policy", found, "aimd or slots");
            LimitPolicy::Aimd
        }
    }
}

fn small(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}
