//! The queue of calls that wait for a slot: by class, and within a class by weighted fair queueing.
//! An index by deadline finds the calls that become urgent or expire.

use crate::effect::{Arrival, Ticket};
use crate::fair_queue::FairQueue;
use indigospur_protocol::{Class, Customer};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The calls that wait for a slot.
///
/// A class with a smaller number has the higher priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Class, FairQueue>,
    calls: HashMap<Ticket, Arrival>,
    deadlines: BTreeMap<Class, BTreeSet<(Instant, Ticket)>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Arrival> {
        self.calls.get(&ticket)
    }

    pub(crate) fn push(&mut self, ticket: Ticket, arrival: Arrival) {
        let fair_queue = self.classes.entry(arrival.class).or_default();
        fair_queue.push(&arrival.customer, arrival.share, arrival.rank, ticket);
        self.deadlines
            .entry(arrival.class)
            .or_default()
            .insert((arrival.deadline, ticket));
        self.calls.insert(ticket, arrival);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Arrival> {
        let arrival = self.calls.remove(&ticket)?;
        if let Some(deadlines) = self.deadlines.get_mut(&arrival.class) {
            deadlines.remove(&(arrival.deadline, ticket));
        }
        if let Some(fair_queue) = self.classes.get_mut(&arrival.class) {
            fair_queue.remove(&arrival.customer, ticket);
        }
        Some(arrival)
    }

    /// Removes the next call to run: of the highest-priority class, by weighted fair queueing.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, Arrival)> {
        let ticket = self.classes.values().find_map(FairQueue::next)?;
        self.remove(ticket).map(|arrival| (ticket, arrival))
    }

    /// The call to shed first, from the lowest-priority class.
    pub(crate) fn shed_candidate(&self) -> Option<Ticket> {
        self.classes
            .values()
            .rev()
            .find_map(FairQueue::shed_candidate)
    }

    /// The lowest-priority class with queued calls.
    pub(crate) fn lowest_class(&self) -> Option<Class> {
        self.classes
            .iter()
            .rev()
            .find(|(_, fair_queue)| fair_queue.len() > 0)
            .map(|(class, _)| *class)
    }

    /// The call with the earliest deadline of each class, highest priority first.
    pub(crate) fn earliest_deadlines(&self) -> impl Iterator<Item = (Class, Instant, Ticket)> {
        let first = |(class, deadlines): (&Class, &BTreeSet<(Instant, Ticket)>)| {
            deadlines
                .first()
                .map(|(deadline, ticket)| (*class, *deadline, *ticket))
        };
        self.deadlines.iter().filter_map(first)
    }

    /// Queued calls of lower priority than `class`.
    pub(crate) fn lower_priority(&self, class: Class) -> Vec<Ticket> {
        let lower = self.deadlines.iter().filter(|(other, _)| **other > class);
        lower
            .flat_map(|(_, calls)| calls.iter().map(|(_, ticket)| *ticket))
            .collect()
    }

    /// Number of queued calls of `class` and of classes with higher priority.
    pub(crate) fn count_ahead(&self, class: Class) -> usize {
        self.classes
            .range(..=class)
            .map(|(_, fair_queue)| fair_queue.len())
            .sum()
    }

    /// Charges the customer for the expected service time of a call that starts.
    pub(crate) fn charge(&mut self, arrival: &Arrival, work: Duration) {
        let fair_queue = self.classes.entry(arrival.class).or_default();
        fair_queue.charge(&arrival.customer, arrival.share, work);
    }

    /// Replaces an earlier charge by the service time actually used.
    pub(crate) fn correct(
        &mut self,
        class: Class,
        customer: &Customer,
        weight: u32,
        charged: Duration,
        actual: Duration,
    ) {
        if let Some(fair_queue) = self.classes.get_mut(&class) {
            fair_queue.correct(customer, weight, charged, actual);
        }
    }
}
