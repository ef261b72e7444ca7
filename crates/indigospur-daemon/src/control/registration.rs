//! Keeps this daemon registered at the configuration source and joins the fleet by way of the daemons
//! that are registered there.

use crate::configuration::ConfigurationSource;
use crate::control::gossip;
use crate::control::source_reader::{Backoff, with_timeout};
use crate::daemon::{Daemon, lock};
use crate::start_waits;
use async_std::channel::{Receiver, Sender, bounded};
use indigospur_members::{Contact, Joining};
use indigospur_protocol::Era;
use indigospur_relay::runtime;
use rand::Rng;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Records of a kind that the whole fleet writes a second after the source was restored.
const RENEWALS_PER_SECOND: u32 = 200;

#[derive(Debug, Default)]
struct State {
    /// Latest era of the source.
    latest: Era,
    /// Era in which the source last confirmed the registration; it is lost if that is not the
    /// latest one.
    registered: Option<Era>,
    /// Last list of contacts that was not used yet, with `registered` at the time of its request.
    contacts: Option<(Option<Era>, Vec<Contact>)>,
    /// Number of changes of the source's address; answers from an earlier address count for nothing.
    address_changes: u64,
}

impl State {
    fn is_registered(&self) -> bool {
        self.registered.is_some_and(|era| era >= self.latest)
    }
}

/// A random part of the time in which the whole fleet may renew its records at the source.
pub(crate) fn renewal_delay(daemon: &Daemon) -> Duration {
    let members = u32::try_from(lock(&daemon.fleet).members.len()).unwrap_or(u32::MAX);
    let whole = Duration::from_secs(1) * members / RENEWALS_PER_SECOND;
    whole.mul_f64(lock(&daemon.rng).random())
}

/// Registration of this daemon at a source.
#[derive(Debug)]
pub(crate) struct Registration {
    daemon: Arc<Daemon>,
    source: Arc<dyn ConfigurationSource>,
    state: Mutex<State>,
    /// Signals that the registration is lost.
    lost: (Sender<()>, Receiver<()>),
}

impl Registration {
    pub(crate) fn new(
        daemon: Arc<Daemon>,
        source: Arc<dyn ConfigurationSource>,
    ) -> Arc<Registration> {
        Arc::new(Registration {
            daemon,
            source,
            state: Mutex::default(),
            lost: bounded(1),
        })
    }

    /// Registers this daemon, and again whenever the registration is lost.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let mut joining = self.register_and_join().await;
            while lock(&self.state).is_registered() {
                if joining.needs_review(Instant::now()) {
                    let lost = self.lost.1.recv();
                    let _ = runtime::timeout(Joining::REVIEW_INTERVAL, lost).await;
                    joining.review(&lock(&self.daemon.fleet).members);
                    self.ask(&mut joining).await;
                } else {
                    let _ = self.lost.1.recv().await;
                }
            }
            log::info!(
                "this daemon is no longer registered at the configuration source; it registers again"
            );
            runtime::sleep(renewal_delay(&self.daemon)).await;
        }
    }

    /// Takes note of the era of an answer of the source at its present address.
    pub(crate) fn observe_era(&self, era: Era) {
        let mut state = lock(&self.state);
        state.latest = state.latest.max(era);
        if !state.is_registered() {
            let _ = self.lost.0.try_send(());
        }
    }

    /// Forgets the registration, as the address of the source has changed.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        *state = State {
            address_changes: state.address_changes + 1,
            ..State::default()
        };
        let _ = self.lost.0.try_send(());
    }

    /// Registers this daemon and joins the fleet by way of registered daemons, until it is
    /// registered, has asked the others, and either knows another member or is the only one registered.
    /// Returns the contacts that it has left to other members.
    ///
    /// A daemon registers before it reads the contacts, so that of two that register at the same
    /// time at least one finds the other. While it can't register it reads the contacts until it
    /// knows another member, and reads them once more after it has registered.
    async fn register_and_join(self: &Arc<Self>) -> Joining {
        let mut backoff = Backoff::default();
        loop {
            if !lock(&self.state).is_registered() {
                self.register().await;
            }
            let registered = lock(&self.state).is_registered();
            let alone = lock(&self.daemon.fleet).members.is_empty();
            if registered || alone {
                self.read_contacts().await;
            }
            let contacts = lock(&self.state).contacts.take();
            if let Some((read_as, contacts)) = contacts {
                let others = self.others(contacts);
                let is_only_one = others.is_empty();
                if is_only_one {
                    start_waits::end_fleet_wait(&self.daemon);
                }
                let mut joining =
                    Joining::new(Instant::now(), others, &mut *lock(&self.daemon.rng));
                self.ask(&mut joining).await;
                if self.is_registered_as(read_as) {
                    self.daemon.start_waits.record_contacts_asked();
                    if is_only_one || !lock(&self.daemon.fleet).members.is_empty() {
                        return joining;
                    }
                }
            }
            backoff.wait(&self.daemon).await;
        }
    }

    /// Whether this daemon is registered and has been since it was registered in the era `read_as`.
    fn is_registered_as(&self, read_as: Option<Era>) -> bool {
        let state = lock(&self.state);
        state.is_registered() && state.registered == read_as
    }

    async fn register(self: &Arc<Self>) {
        let own = Contact {
            host: self.daemon.host().clone(),
            address: lock(&self.daemon.fleet).members.me().address.clone(),
        };
        let (registration, address_changes) = (self.clone(), lock(&self.state).address_changes);
        let call = self.source.register(own);
        let attempt = with_timeout(Duration::ZERO, call, move |era| {
            let mut state = lock(&registration.state);
            if state.address_changes == address_changes {
                state.registered = state.registered.max(Some(era));
                state.latest = state.latest.max(era);
            }
        });
        if let Err(error) = attempt.await {
            log::debug!(error:display; "this daemon could not be registered at the configuration source; trying again");
        }
    }

    /// Reads the contacts of the registered daemons.
    async fn read_contacts(self: &Arc<Self>) {
        let (read_as, address_changes) = {
            let state = lock(&self.state);
            (state.registered, state.address_changes)
        };
        let registration = self.clone();
        let read = with_timeout(Duration::ZERO, self.source.contacts(), move |contacts| {
            let mut state = lock(&registration.state);
            if state.address_changes == address_changes {
                state.contacts = Some((read_as, contacts));
            }
        });
        if let Err(error) = read.await {
            log::debug!(error:display; "the registered daemons could not be read from the configuration source; trying again");
        }
    }

    /// Contacts of other daemons.
    fn others(&self, contacts: Vec<Contact>) -> Vec<Contact> {
        let others = contacts.into_iter();
        others
            .filter(|contact| contact.host != *self.daemon.host())
            .collect()
    }

    /// Asks registered daemons that are not known yet for the member list, until none is left that falls to
    /// this daemon.
    async fn ask(&self, joining: &mut Joining) {
        let daemon = &self.daemon;
        loop {
            let batch = joining.next_batch(&lock(&daemon.fleet).members);
            let Some(batch) = batch else {
                return;
            };
            let attempts: Vec<_> = batch
                .into_iter()
                .filter_map(|contact| gossip::join_via(daemon, contact.address))
                .collect();
            let finished = async {
                for attempt in attempts {
                    attempt.await;
                }
            };
            runtime::timeout(Joining::BATCH_TIMEOUT, finished).await;
        }
    }
}
