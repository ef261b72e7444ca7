//! The state that the parts of the daemon share.

use crate::backend::Backend;
use crate::configuration::{ConfigurationSource, NewestConfiguration};
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::settings::Settings;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_admission::{IngressAdmission, Pressures};
use indigospur_budget::{Ledger, RatioOptions, RequestCounts, RetryRatio};
use indigospur_members::{Exchange, InstanceTracker, Members, Suspects};
use indigospur_once::Once;
use indigospur_protocol::{
    Announcement, EpochRecord, HostId, Incarnation, Key, Kind, Member, Refusal, Reply, RetryAdvice,
    ServiceName, State,
};
use indigospur_publish::Follower;
use indigospur_relay::{HttpService, LinkPool, LogClient};
use indigospur_routing::Router;
use indigospur_rules::{RuleSet, TrafficSplit};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Time for which a caller's request identifier is remembered.
const REQUEST_LIFETIME: Duration = Duration::from_secs(60);
/// Request identifiers remembered.
const MOST_REQUESTS: usize = 65_536;
/// Time to come back where nothing better is known.
const RETRY_AFTER_MILLIS: std::ops::Range<u64> = 500..1_500;

/// What the daemon knows of the fleet.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) members: Members,
    pub(crate) suspects: Suspects,
    pub(crate) exchange: Exchange,
}

/// Calls that wait for the outcome of the same key.
pub(crate) type KeyWaiters = HashMap<Key, Vec<Sender<Reply>>>;

/// The state that the parts of the daemon share. Locks are held for one step only, and where two
/// are held they are taken in the order of the fields.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// Host name; the settings may change, it does not.
    host: HostId,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Where rule sets come from, if not from the log.
    pub(crate) source: Option<Arc<dyn ConfigurationSource>>,
    /// Number of this start by the time of day; members may know this daemon by a higher one.
    pub(crate) incarnation: Incarnation,
    /// Drawn at each start, for names that must not repeat though the time of day goes back.
    nonce: u64,
    pub(crate) metrics: Metrics,
    pub(crate) links: LinkPool,
    pub(crate) log: LogClient,
    /// The port for callers, once it is open.
    pub(crate) callers: OnceLock<HttpService>,
    pub(crate) backend: Mutex<Option<Arc<Backend>>>,
    /// Starts of the backend server, by its announcements.
    pub(crate) starts: Mutex<InstanceTracker>,
    /// Another daemon has told what it knows, or there was time for it.
    pub(crate) heard_fleet: AtomicBool,
    /// Last announcement of the backend server that waits for that.
    pub(crate) pending: Mutex<Option<Announcement>>,
    /// The backend server was found gone and has not announced itself since.
    pub(crate) was_gone: AtomicBool,
    /// Last announcement of the backend server.
    pub(crate) heard: Mutex<Option<Instant>>,
    pub(crate) once: Mutex<Option<Once>>,
    pub(crate) waiters: Mutex<KeyWaiters>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) follower: Mutex<Follower>,
    /// The newest configuration of `source`.
    pub(crate) newest: Mutex<NewestConfiguration>,
    /// Start of the last read of the log that succeeded.
    pub(crate) log_read: Mutex<Option<Instant>>,
    pub(crate) rules: Mutex<Option<Arc<RuleSet>>>,
    /// The settings in force.
    settings: Mutex<Arc<Settings>>,
    /// Draws of the targets of the rules in force.
    pub(crate) traffic_split: Mutex<TrafficSplit>,
    /// Current member list of each service.
    pub(crate) epochs: Mutex<HashMap<ServiceName, EpochRecord>>,
    pub(crate) router: Mutex<Router>,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) seen: Mutex<RequestCounts>,
    /// The room at services, by what their upstreams have told.
    pub(crate) pressures: Mutex<Pressures>,
    /// Admission of callers' requests by the room at the services below.
    pub(crate) entry: Mutex<IngressAdmission>,
    pub(crate) ratios: Mutex<HashMap<ServiceName, RetryRatio>>,
    pub(crate) rng: Mutex<SmallRng>,
    /// Wakes the gossip task before its time.
    pub(crate) news: (Sender<()>, Receiver<()>),
    /// Tells the reader of the source that the source has moved.
    pub(crate) moved: (Sender<()>, Receiver<()>),
    /// When the graceful shutdown began.
    drained: Mutex<Option<Instant>>,
    /// Protected calls under way that outlive their callers.
    pub(crate) open_keys: AtomicUsize,
    next_call: AtomicU64,
    crashes: AtomicU64,
}

/// Locks a mutex; a panic elsewhere does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Daemon {
    /// A daemon that tells others to reach it at `peers`.
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        source: Option<Arc<dyn ConfigurationSource>>,
        peers: &str,
    ) -> Arc<Daemon> {
        let since = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = since.as_millis() as u64;
        let mut rng = SmallRng::from_os_rng();
        let me = Member {
            host: settings.name.clone(),
            incarnation,
            revision: 1,
            address: peers.into(),
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            service: "".into(),
            slots: 0,
            connections: 0,
            state: State::Waiting,
            instance: "".into(),
            started_ms: 0,
            leaving: false,
        };
        let fleet = Fleet {
            members: Members::new(Instant::now(), me),
            suspects: Suspects::default(),
            exchange: Exchange::default(),
        };
        Arc::new(Daemon {
            dialect,
            source,
            incarnation,
            nonce: rng.random(),
            metrics: Metrics::new(),
            links: LinkPool::default(),
            log: LogClient::new(settings.log_address.clone()),
            callers: OnceLock::new(),
            backend: Mutex::default(),
            starts: Mutex::default(),
            heard_fleet: AtomicBool::new(false),
            pending: Mutex::default(),
            was_gone: AtomicBool::new(false),
            heard: Mutex::default(),
            once: Mutex::default(),
            waiters: Mutex::default(),
            fleet: Mutex::new(fleet),
            follower: Mutex::default(),
            newest: Mutex::default(),
            log_read: Mutex::default(),
            rules: Mutex::default(),
            traffic_split: Mutex::default(),
            epochs: Mutex::default(),
            router: Mutex::new(Router::new(
                settings.data_centre.clone(),
                settings.region.clone(),
            )),
            ledger: Mutex::default(),
            seen: Mutex::new(RequestCounts::new(REQUEST_LIFETIME, MOST_REQUESTS)),
            pressures: Mutex::default(),
            entry: Mutex::new(IngressAdmission::new(incarnation)),
            ratios: Mutex::default(),
            rng: Mutex::new(rng),
            news: bounded(1),
            moved: bounded(1),
            drained: Mutex::default(),
            open_keys: AtomicUsize::new(0),
            next_call: AtomicU64::new(1),
            crashes: AtomicU64::new(0),
            host: settings.name.clone(),
            settings: Mutex::new(Arc::new(settings)),
        })
    }

    pub(crate) fn backend(&self) -> Option<Arc<Backend>> {
        lock(&self.backend).clone()
    }

    pub(crate) fn rules(&self) -> Option<Arc<RuleSet>> {
        lock(&self.rules).clone()
    }

    pub(crate) fn host(&self) -> &HostId {
        &self.host
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        lock(&self.settings).clone()
    }

    /// Puts changed settings in force, but for those that hold from start to stop.
    pub(crate) fn change_settings(&self, changed: Settings) {
        let before = self.settings();
        let settings = Arc::new(changed.keep_fixed(&before));
        *lock(&self.settings) = settings.clone();
        if before.log_address != settings.log_address {
            self.follow_log(&settings.log_address);
        }
        self.update_bounds();
        if let Some(backend) = self.backend() {
            backend.slots.set_options(settings.admission());
        }
    }

    /// Version of the newest configuration, as told to other daemons: the highest accepted offset
    /// of the log plus one, or the version of the configuration's source.
    pub(crate) fn accepted(&self) -> u64 {
        match &self.source {
            Some(_) => lock(&self.newest).version(),
            None => lock(&self.follower).accepted(),
        }
    }

    /// The bucket from which retries of calls to a service are paid.
    pub(crate) fn with_ratio<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryRatio) -> T,
    ) -> T {
        let members = lock(&self.fleet).members.len().max(1) as f64;
        let settings = self.settings();
        let options = RatioOptions {
            percent: settings.retry_percent,
            capacity: (f64::from(settings.fleet_retry_capacity) / members)
                .min(f64::from(settings.retry_capacity))
                .max(1.0),
        };
        let mut ratios = lock(&self.ratios);
        let ratio = ratios
            .entry(service.clone())
            .or_insert_with(|| RetryRatio::new(options));
        ratio.set_options(options);
        act(ratio)
    }

    /// The metrics as text.
    pub(crate) fn scrape(&self) -> Vec<u8> {
        if let Some(backend) = self.backend() {
            self.metrics.record_load(backend.slots.load());
        }
        self.metrics.render()
    }

    /// Puts a rule set in force.
    pub(crate) fn put_in_force(&self, rules: Arc<RuleSet>) {
        *lock(&self.rules) = Some(rules);
        *lock(&self.traffic_split) = TrafficSplit::default();
        self.update_bounds();
    }

    /// The log, or the configuration's source in its place, has moved.
    fn follow_log(&self, address: &Arc<str>) {
        self.log.set_address(address.clone());
        if let Some(source) = &self.source {
            source.set_address(address.clone());
            let _ = self.moved.0.try_send(());
        }
    }

    /// Bounds callers by the rule set and the settings in force, one of which has changed.
    fn update_bounds(&self) {
        let Some(callers) = self.callers.get() else {
            return;
        };
        let rules = lock(&self.rules);
        let asked = rules.as_ref().map(|rules| rules.callers);
        callers.set_bounds(self.settings().caller_bounds(asked.as_ref()));
    }

    /// Whether calls of callers are still taken: while serving, and for a time after the shutdown
    /// has begun, until the callers have noticed.
    pub(crate) fn takes_callers(&self) -> bool {
        let since = *lock(&self.drained);
        since.is_none_or(|since| since.elapsed() < self.settings().effective_shutdown_delay())
    }

    /// Whether calls can be treated: a rule set is in force, or the log is known to hold none.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.rules).is_some()
    }

    pub(crate) fn is_draining(&self) -> bool {
        lock(&self.drained).is_some()
    }

    /// Begins the graceful shutdown: no new work, and everyone is told.
    pub(crate) fn drain(&self) {
        lock(&self.drained).get_or_insert_with(Instant::now);
        log::info!(leave_ms = self.settings().effective_shutdown_delay().as_millis() as u64; "stopping");
        if let Some(callers) = self.callers.get() {
            callers.close_connections();
        }
        if !self.takes_callers() {
            self.drain_slots();
        }
        lock(&self.fleet)
            .members
            .announce(Instant::now(), |me| me.state = State::Draining);
        self.own_state_changed();
    }

    /// Lets nothing more in to the backend server.
    pub(crate) fn drain_slots(&self) {
        if let Some(backend) = self.backend() {
            backend.slots.drain();
        }
    }

    /// Routes by what this daemon says of itself, and tells others at once.
    pub(crate) fn own_state_changed(&self) {
        let me = lock(&self.fleet).members.me().clone();
        lock(&self.router).update(&me);
        self.tell_news();
    }

    /// Wakes the gossip task.
    pub(crate) fn tell_news(&self) {
        let _ = self.news.0.try_send(());
    }

    /// Address of the daemon on a host, if the host is known.
    pub(crate) fn address_of(&self, host: &str) -> Option<Arc<str>> {
        let fleet = lock(&self.fleet);
        fleet.members.get(host).map(|member| member.address.clone())
    }

    /// The refusal `known` for a service that was announced before or that the rules name, else
    /// that it is unknown.
    pub(crate) fn refuse_service(&self, service: &str, known: Refusal) -> Refusal {
        let named = self.rules().is_some_and(|rules| rules.refuse_unmatched);
        if named || lock(&self.router).knows(service) {
            return known;
        }
        Refusal::new(
            Kind::UnknownService,
            format!("no upstream has announced {service}"),
        )
    }

    /// A name for a call that is unique among all daemons.
    pub(crate) fn new_token(&self) -> Arc<str> {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.host, self.nonce).into()
    }

    /// A number for a crash of the backend server, unique over starts of the daemon.
    pub(crate) fn new_crash(&self) -> u64 {
        self.nonce
            .wrapping_add(self.crashes.fetch_add(1, Ordering::Relaxed))
    }

    /// The refusal with a time to come back where the kind calls for one.
    pub(crate) fn advise(&self, refusal: Refusal) -> Refusal {
        if refusal.retry_after.is_some() || refusal.kind.info().advice == RetryAdvice::Never {
            return refusal;
        }
        let millis = lock(&self.rng).random_range(RETRY_AFTER_MILLIS);
        refusal.with_retry_after(Duration::from_millis(millis))
    }
}
