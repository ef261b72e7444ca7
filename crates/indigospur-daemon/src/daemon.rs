//! The shared state of the daemon.

use crate::backend::Backend;
use crate::configuration::{ConfigurationSource, NewestConfiguration};
use crate::contact::LastContact;
use crate::control::DepartureRecord;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::placement;
use crate::quotas::Quotas;
use crate::retry_budget::record_shedding;
use crate::settings::Settings;
use crate::start_waits::StartWaits;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_admission::{IngressAdmission, Pressures, ResponseTimes, retry_after};
use indigospur_budget::{Ledger, RequestCounts, RetryRatio, SenderId, Transmissions};
use indigospur_members::{Exchange, InstanceTracker, Members, NamedLimit, Suspects};
use indigospur_once::Once;
use indigospur_protocol::{
    EpochRecord, HostId, Incarnation, Key, Kind, Member, Refusal, Reply, RetryAdvice, ServiceName,
    State,
};
use indigospur_publish::Follower;
use indigospur_relay::{BodyMemory, HttpService, LinkPool, LogClient};
use indigospur_routing::{Discovery, Router};
use indigospur_rules::{DEFAULT_DEADLINE, RuleSet, TrafficSplit};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Time for which a caller's request identifier is remembered, to recognise requests sent again.
const REQUEST_ID_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of request identifiers that are remembered.
const MAX_REQUEST_IDS: usize = 65_536;

/// The fleet as this daemon knows it by gossip.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) members: Members,
    pub(crate) suspects: Suspects,
    pub(crate) exchange: Exchange,
}

/// Calls that wait for the outcome of a running call with the same key.
pub(crate) type KeyWaiters = HashMap<Key, Vec<Sender<Reply>>>;

/// The shared state of the daemon. Locks are held for one short step only; where two are held, they
/// are taken in the order of the fields.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// Name of this host; fixed from start to stop even if the settings change.
    host: HostId,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Source of rule sets in place of the log, if any.
    pub(crate) source: Option<Arc<dyn ConfigurationSource>>,
    /// Start of the daemon, in milliseconds since the Unix epoch. Members may know this daemon by a
    /// higher incarnation.
    pub(crate) incarnation: Incarnation,
    /// Random number drawn at each start; makes tokens unique even if the clock is set back.
    pub(crate) nonce: u64,
    pub(crate) metrics: Metrics,
    /// Memory for the bodies of messages from and to callers, daemons and the backend server.
    pub(crate) body_memory: Arc<BodyMemory>,
    pub(crate) links: LinkPool,
    pub(crate) log: LogClient,
    /// The HTTP service for callers, once it is started.
    pub(crate) callers: OnceLock<HttpService>,
    pub(crate) backend: Mutex<Option<Arc<Backend>>>,
    /// Processes of the backend server, past and present, known from its announcements.
    pub(crate) instances: Mutex<InstanceTracker>,
    /// Rate limit that the backend server named last, to this daemon or to the one before it on this
    /// host.
    pub(crate) named_limit: Mutex<Option<NamedLimit>>,
    pub(crate) start_waits: StartWaits,
    /// Departures of the backend server at the source; not used without one.
    pub(crate) departures: DepartureRecord,
    /// The backend server was found down and has not announced itself since.
    pub(crate) backend_lost: AtomicBool,
    /// When the last announcement of the backend server was accepted.
    pub(crate) last_announced: Mutex<Option<Instant>>,
    /// State of at-most-once execution; `None` if it is switched off, and before the backend server
    /// has announced itself.
    pub(crate) once: Mutex<Option<Once>>,
    pub(crate) waiters: Mutex<KeyWaiters>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) quotas: Quotas,
    pub(crate) follower: Mutex<Follower>,
    /// The newest configuration accepted from `source`.
    pub(crate) newest: Mutex<NewestConfiguration>,
    /// Start of the last read of the log that succeeded.
    pub(crate) last_log_read: Mutex<Option<Instant>>,
    /// Last contact with another daemon, the log or the source.
    pub(crate) last_contact: Mutex<LastContact>,
    pub(crate) rules: Mutex<Option<Arc<RuleSet>>>,
    /// The settings in force.
    settings: Mutex<Arc<Settings>>,
    /// State of the weighted choice among the target services of the rules in force.
    pub(crate) traffic_split: Mutex<TrafficSplit>,
    /// Current epoch of each service: the members that may be homes or executors of keys.
    pub(crate) epochs: Mutex<HashMap<ServiceName, EpochRecord>>,
    pub(crate) router: Mutex<Router>,
    pub(crate) discovery: Discovery,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) request_counts: Mutex<RequestCounts>,
    /// Load of services as reported by their upstreams.
    pub(crate) pressures: Mutex<Pressures>,
    /// Admission of callers' requests by the load of the services that they need.
    pub(crate) ingress: Mutex<IngressAdmission>,
    /// Response times of callers' requests by rule, or by service without one.
    pub(crate) response_times: Mutex<ResponseTimes>,
    /// Response times of the backend server of this host, by service.
    pub(crate) backend_times: Mutex<ResponseTimes>,
    pub(crate) retry_ratios: Mutex<HashMap<ServiceName, RetryRatio>>,
    pub(crate) rng: Mutex<SmallRng>,
    /// Wakes the gossip task before its next round is due.
    pub(crate) gossip_wake: (Sender<()>, Receiver<()>),
    /// Signals the reader of the source that its address has changed.
    pub(crate) source_address_changed: (Sender<()>, Receiver<()>),
    /// Whether this daemon follows the source closely for the whole fleet.
    pub(crate) watches_source: AtomicBool,
    /// Signals the reader of the source that this daemon has begun to do so.
    pub(crate) became_watcher: (Sender<()>, Receiver<()>),
    /// When the graceful shutdown began.
    pub(crate) draining_since: Mutex<Option<Instant>>,
    /// Running calls with a key, which continue when their callers disconnect.
    pub(crate) running_keys: AtomicUsize,
    /// Transmissions of calls from other daemons.
    pub(crate) transmissions: Mutex<Transmissions>,
    next_token: AtomicU64,
    next_crash: AtomicU64,
}

/// Locks a mutex, ignoring poisoning: a panic in one task does not spread to others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Daemon {
    /// Creates a daemon that advertises `peers` as its address for other daemons.
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
            rate_limit: None,
        };
        let nonce = rng.random();
        let fleet = Fleet {
            members: Members::new(Instant::now(), me),
            suspects: Suspects::default(),
            exchange: Exchange::new(Instant::now()),
        };
        let mut router = Router::new(settings.data_centre.clone(), settings.region.clone());
        router.set_policy(settings.placement);
        let body_memory = Arc::new(BodyMemory::new(settings.body_memory()));
        let instances = match source {
            Some(_) => InstanceTracker::with_unread_history(Instant::now()),
            None => InstanceTracker::default(),
        };
        Arc::new(Daemon {
            dialect,
            start_waits: StartWaits::new(source.is_some()),
            source,
            incarnation,
            nonce,
            metrics: Metrics::new(),
            links: LinkPool::new(nonce, body_memory.clone()),
            body_memory,
            log: LogClient::new(settings.log_address.clone()),
            callers: OnceLock::new(),
            backend: Mutex::default(),
            instances: Mutex::new(instances),
            named_limit: Mutex::default(),
            departures: DepartureRecord::default(),
            backend_lost: AtomicBool::new(false),
            last_announced: Mutex::default(),
            once: Mutex::default(),
            waiters: Mutex::default(),
            fleet: Mutex::new(fleet),
            quotas: Quotas::new(Instant::now(), settings.name.clone(), incarnation),
            follower: Mutex::default(),
            newest: Mutex::default(),
            last_log_read: Mutex::default(),
            last_contact: Mutex::default(),
            rules: Mutex::default(),
            traffic_split: Mutex::default(),
            epochs: Mutex::default(),
            router: Mutex::new(router),
            discovery: Discovery::new(Instant::now()),
            ledger: Mutex::default(),
            request_counts: Mutex::new(RequestCounts::new(REQUEST_ID_LIFETIME, MAX_REQUEST_IDS)),
            pressures: Mutex::default(),
            ingress: Mutex::new(IngressAdmission::new(incarnation)),
            response_times: Mutex::default(),
            backend_times: Mutex::default(),
            retry_ratios: Mutex::default(),
            rng: Mutex::new(rng),
            gossip_wake: bounded(1),
            source_address_changed: bounded(1),
            watches_source: AtomicBool::new(false),
            became_watcher: bounded(1),
            draining_since: Mutex::default(),
            running_keys: AtomicUsize::new(0),
            transmissions: Mutex::default(),
            next_token: AtomicU64::new(1),
            next_crash: AtomicU64::new(0),
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

    /// Puts changed settings in force, except those that are fixed from start to stop.
    pub(crate) fn change_settings(&self, changed: Settings) {
        let before = self.settings();
        let settings = Arc::new(changed.keep_fixed(&before));
        *lock(&self.settings) = settings.clone();
        if before.log_address != settings.log_address {
            self.set_log_address(&settings.log_address);
        }
        self.body_memory.set_limit(settings.body_memory());
        lock(&self.router).set_policy(settings.placement);
        self.update_caller_bounds();
        if let Some(backend) = self.backend() {
            backend.slots.set_options(settings.admission());
        }
    }

    /// Version of the newest configuration, as advertised in gossip: the highest accepted offset of
    /// the log plus one, or the version of the newest configuration of the source.
    pub(crate) fn accepted_version(&self) -> u64 {
        match &self.source {
            Some(_) => lock(&self.newest).version(),
            None => lock(&self.follower).accepted(),
        }
    }

    /// Updates the load gauges and renders all metrics as text.
    pub(crate) fn scrape(&self) -> Vec<u8> {
        if let Some(backend) = self.backend() {
            self.metrics.record_load(backend.slots.load());
        }
        placement::record_shares(self);
        record_shedding(self);
        self.metrics.render()
    }

    /// Puts a rule set in force.
    pub(crate) fn apply_rules(&self, rules: Arc<RuleSet>) {
        *lock(&self.rules) = Some(rules);
        *lock(&self.traffic_split) = TrafficSplit::default();
        self.update_caller_bounds();
    }

    /// Redirects the log client, and the source that replaces the log, to a new address.
    fn set_log_address(&self, address: &Arc<str>) {
        self.log.set_address(address.clone());
        if let Some(source) = &self.source {
            source.set_address(address.clone());
            let _ = self.source_address_changed.0.try_send(());
        }
    }

    /// Applies the bounds on callers that follow from the rule set and the settings in force.
    fn update_caller_bounds(&self) {
        let Some(callers) = self.callers.get() else {
            return;
        };
        let rules = lock(&self.rules);
        let rule_bounds = rules.as_ref().map(|rules| rules.callers);
        callers.set_bounds(self.settings().caller_bounds(rule_bounds.as_ref()));
    }

    /// Whether callers should send calls: a rule set is in force, which is the empty one if the log
    /// holds none, and no shutdown has begun.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.rules).is_some()
    }

    pub(crate) fn is_draining(&self) -> bool {
        lock(&self.draining_since).is_some()
    }

    /// Begins the graceful shutdown: asks callers to close their connections, announces the
    /// state to the fleet, and refuses calls of callers after the shutdown delay.
    pub(crate) fn drain(&self) {
        lock(&self.draining_since).get_or_insert_with(Instant::now);
        log::info!(
            leave_ms = self.settings().effective_shutdown_delay().as_millis() as u64;
            "stopping"
        );
        if let Some(callers) = self.callers.get() {
            callers.close_connections();
        }
        if !self.accepts_callers() {
            self.drain_slots();
        }
        lock(&self.fleet)
            .members
            .announce(Instant::now(), |me| me.state = State::Draining);
        self.publish_own_state();
    }

    /// Admits no more calls to the backend server.
    pub(crate) fn drain_slots(&self) {
        if let Some(backend) = self.backend() {
            backend.slots.drain();
        }
    }

    /// Admits no more calls to the backend server, which leaves. Calls that were admitted are sent to it
    /// within half of the time for which it goes on.
    pub(crate) fn leave_slots(&self) {
        if let Some(backend) = self.backend() {
            let timeout = self.settings().backend_drain / 2;
            backend.slots.leave(timeout);
            backend.pool.stop_sending_at(Instant::now() + timeout);
        }
    }

    /// Applies a changed state of this host to its own router and gossips it at once.
    pub(crate) fn publish_own_state(&self) {
        let me = lock(&self.fleet).members.me().clone();
        lock(&self.router).update(&me);
        self.wake_gossip();
    }

    /// Wakes the gossip task for an immediate round.
    pub(crate) fn wake_gossip(&self) {
        let _ = self.gossip_wake.0.try_send(());
    }

    /// Address of the daemon on a host, if the host is known.
    pub(crate) fn address_of(&self, host: &str) -> Option<Arc<str>> {
        let fleet = lock(&self.fleet);
        fleet.members.get(host).map(|member| member.address.clone())
    }

    /// Returns `refusal` for a service that was announced before or that a rule must have named, as
    /// rules that refuse unmatched calls leave no other; else a refusal of kind `UnknownService`.
    pub(crate) fn refuse_for_service(&self, service: &str, refusal: Refusal) -> Refusal {
        let refuse_unmatched = self.rules().is_some_and(|rules| rules.refuse_unmatched);
        if refuse_unmatched || lock(&self.router).knows(service) {
            return refusal;
        }
        Refusal::new(
            Kind::UnknownService,
            format!("no upstream has announced {service}"),
        )
    }

    /// A new token for a call or a log record, unique among all daemons.
    pub(crate) fn new_token(&self) -> Arc<str> {
        let number = self.next_token.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.host, self.nonce).into()
    }

    /// Identifies this process to other daemons; drawn at its start.
    pub(crate) fn process(&self) -> SenderId {
        self.nonce
    }

    /// A new identifier for a crash of the backend server, different after each start of the
    /// daemon.
    pub(crate) fn new_crash_id(&self) -> u64 {
        self.nonce
            .wrapping_add(self.next_crash.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds the time after which the caller should come back, unless the refusal's kind advises against
    /// that. A queue that has room sooner than the caller could come back says nothing about the rest of
    /// the chain, so the later time counts; quotas and ingress admission know the time themselves.
    /// `remaining` is the time until the caller stops waiting; `None` if it does not say.
    pub(crate) fn with_retry_advice(
        &self,
        refusal: Refusal,
        remaining: Option<Duration>,
    ) -> Refusal {
        let is_known = matches!(refusal.kind, Kind::OverQuota | Kind::OverloadedBelow)
            && refusal.retry_after.is_some();
        if is_known || refusal.kind.info().advice == RetryAdvice::Never {
            return refusal;
        }
        let earliest = refusal.retry_after.unwrap_or_default();
        let remaining = remaining.unwrap_or(DEFAULT_DEADLINE);
        let jitter = lock(&self.rng).random::<f64>();
        let time = retry_after(remaining, Duration::ZERO, jitter);
        refusal.with_retry_after(time.max(earliest))
    }
}
