//! Weighted fair queueing among the customers of one class.

use crate::effect::Ticket;
use indigospur_protocol::{Customer, Rank};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Service time used by a customer divided by its weight, in nanoseconds.
type VirtualTime = u64;
/// Queued calls of a customer divided by its weight, in thousandths.
type Backlog = u64;

/// Accounts kept while the queue is empty; with more, all are dropped.
const MAX_IDLE_ACCOUNTS: usize = 1_024;

/// A customer with queued calls or recent work.
#[derive(Clone, Debug, Default)]
struct Account {
    virtual_time: VirtualTime,
    /// At least one.
    weight: u32,
    /// Queued calls in order of arrival.
    calls: BTreeMap<Ticket, Rank>,
    /// The same calls by rank.
    ranks: BTreeSet<(Rank, Ticket)>,
    /// Keys of this customer in the indexes; `Some` exactly when it has queued calls.
    index_key: Option<(VirtualTime, Backlog)>,
}

impl Account {
    fn backlog(&self) -> Backlog {
        self.calls.len() as u64 * 1_000 / u64::from(self.weight.max(1))
    }
}

/// The queued calls of one class, grouped by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    accounts: HashMap<Customer, Account>,
    by_virtual_time: BTreeSet<(VirtualTime, Customer)>,
    by_backlog: BTreeSet<(Reverse<Backlog>, Customer)>,
    /// Virtual time of the customer served last. A customer whose queue was empty starts from here,
    /// so that idle time earns no credit.
    virtual_time: VirtualTime,
    waiting: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    pub(crate) fn push(&mut self, customer: &Customer, weight: u32, rank: Rank, ticket: Ticket) {
        let floor = self.virtual_time;
        let account = self.accounts.entry(customer.clone()).or_default();
        account.weight = weight.max(1);
        if account.calls.is_empty() {
            account.virtual_time = account.virtual_time.max(floor);
        }
        account.calls.insert(ticket, rank);
        account.ranks.insert((rank, ticket));
        self.waiting += 1;
        self.update_indexes(customer);
    }

    /// The next call to run: the oldest call of the customer with the smallest virtual time.
    pub(crate) fn next(&self) -> Option<Ticket> {
        let (_, customer) = self.by_virtual_time.first()?;
        self.accounts.get(customer)?.calls.keys().next().copied()
    }

    /// The call to shed first: the highest rank of the customer with the largest backlog.
    pub(crate) fn shed_candidate(&self) -> Option<Ticket> {
        let (_, customer) = self.by_backlog.first()?;
        let (_, ticket) = self.accounts.get(customer)?.ranks.last()?;
        Some(*ticket)
    }

    pub(crate) fn remove(&mut self, customer: &Customer, ticket: Ticket) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let Some(rank) = account.calls.remove(&ticket) else {
            return;
        };
        account.ranks.remove(&(rank, ticket));
        self.waiting -= 1;
        self.update_indexes(customer);
    }

    /// Charges a customer for work; the virtual time of the queue follows.
    pub(crate) fn charge(&mut self, customer: &Customer, weight: u32, work: Duration) {
        let floor = self.virtual_time;
        let account = self.accounts.entry(customer.clone()).or_default();
        account.weight = weight.max(1);
        self.virtual_time = floor.max(account.virtual_time);
        account.virtual_time = account
            .virtual_time
            .max(floor)
            .saturating_add(virtual_cost(work, weight));
        self.update_indexes(customer);
        self.evict_idle();
    }

    /// Replaces an earlier charge by the service time actually used.
    pub(crate) fn correct(
        &mut self,
        customer: &Customer,
        weight: u32,
        charged: Duration,
        actual: Duration,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let more = virtual_cost(actual.saturating_sub(charged), weight);
        let less = virtual_cost(charged.saturating_sub(actual), weight);
        account.virtual_time = account
            .virtual_time
            .saturating_add(more)
            .saturating_sub(less);
        self.update_indexes(customer);
    }

    fn update_indexes(&mut self, customer: &Customer) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if let Some((virtual_time, backlog)) = account.index_key.take() {
            self.by_virtual_time
                .remove(&(virtual_time, customer.clone()));
            self.by_backlog
                .remove(&(Reverse(backlog), customer.clone()));
        }
        if account.calls.is_empty() {
            return;
        }
        account.index_key = Some((account.virtual_time, account.backlog()));
        self.by_virtual_time
            .insert((account.virtual_time, customer.clone()));
        self.by_backlog
            .insert((Reverse(account.backlog()), customer.clone()));
    }

    fn evict_idle(&mut self) {
        if self.waiting == 0 && self.accounts.len() > MAX_IDLE_ACCOUNTS {
            self.accounts.clear();
            self.virtual_time = 0;
        }
    }
}

fn virtual_cost(work: Duration, weight: u32) -> u64 {
    u64::try_from(work.as_nanos()).unwrap_or(u64::MAX) / u64::from(weight.max(1))
}
