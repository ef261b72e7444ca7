//! The customers' side of the simulation: new requests, resends, time-outs and their counts.

use super::{
    Event, NETWORK_DELAY, REQUEST_TIMEOUT, RETRIES_PER_HOP, Request, RequestId, SMALL_CUSTOMERS,
    Simulation, exponential,
};
use crate::overload::measure::Count;
use crate::overload::policy::Policy;
use crate::overload::scenario::{LARGEST_SHARE, PROTECTED_SHARE};
use indigospur_budget::Credit;
use indigospur_rules::{Action, Treatment};
use rand::Rng;
use std::time::Duration;

impl Simulation<'_> {
    /// Makes a new request and schedules the next one. Arrivals are a Poisson process at the
    /// offered rate of the current phase, independent of completions (open loop).
    pub(super) fn new_request(&mut self) {
        let load = if self.in_trigger() {
            self.scenario.surge
        } else {
            self.scenario.steady
        };
        let rate = load * self.scenario.capacity();
        let interarrival = exponential(&mut self.rng, 1.0 / rate);
        self.schedule(self.now + interarrival, Event::NewRequest);
        let small_load = self.scenario.steady * (1.0 - LARGEST_SHARE);
        let is_small = self.rng.random_bool((small_load / load).min(1.0));
        let customer = if is_small {
            self.rng.random_range(1..=SMALL_CUSTOMERS)
        } else {
            0
        };
        let protected = self.rng.random_bool(PROTECTED_SHARE);
        let treatment = Treatment::new(&Action::default(), 1, true);
        let id = self.requests.len();
        let rank = treatment.rank(&self.customers[customer], &id.to_string().as_str().into());
        let phase = self.phase();
        let resends = self.scenario.resends;
        let entry = Request {
            customer,
            protected,
            rank,
            arrived: self.now,
            phase,
            resends,
            pending: true,
            root_call: None,
            work: Duration::ZERO,
            completed: false,
        };
        self.requests.push(entry);
        self.schedule(self.now + REQUEST_TIMEOUT, Event::Timeout(id));
        self.send(id);
    }

    /// Sends a request to the outermost service.
    pub(super) fn send(&mut self, request: RequestId) {
        if !self.requests[request].pending {
            return;
        }
        // Retry credit is issued once for each request; a resent request gets none.
        let is_first = self.requests[request].resends == self.scenario.resends;
        let initial_credit = if is_first { 3 } else { 0 };
        let retries = if self.policy == Policy::StaticRetries {
            RETRIES_PER_HOP
        } else {
            0
        };
        self.stats.first_attempts += 1;
        self.retry_ratios[0].earn(self.now, 0);
        self.start_attempt(
            request,
            0,
            None,
            Credit::new(initial_credit),
            Vec::new(),
            retries,
        );
    }

    pub(super) fn complete_request(&mut self, request: RequestId) {
        let elapsed = self.now - self.start;
        let entry = &mut self.requests[request];
        if !entry.pending {
            return;
        }
        entry.pending = false;
        entry.completed = true;
        let (phase, customer, protected) = (entry.phase, entry.customer, entry.protected);
        let latency_us = (self.now - entry.arrived).as_micros() as u64;
        self.stats.record_completion(elapsed);
        let count_completed = |count: &mut Count| {
            count.ended += 1;
            count.completed += 1;
        };
        if protected {
            count_completed(&mut self.stats.protected[phase]);
        }
        if customer > 0 {
            count_completed(&mut self.stats.small[phase]);
            let _ = self.stats.small_latencies[phase].record(latency_us);
        }
    }

    /// Handles the failure of a request at the outermost service: the caller resends it if it has
    /// resends left.
    pub(super) fn fail_request(&mut self, request: RequestId) {
        let entry = &mut self.requests[request];
        if !entry.pending {
            return;
        }
        if entry.resends > 0 {
            entry.resends -= 1;
            self.schedule(self.now + NETWORK_DELAY, Event::Resend(request));
            return;
        }
        self.close_failed(request);
    }

    /// Ends a request that failed or timed out.
    fn close_failed(&mut self, request: RequestId) {
        let entry = &mut self.requests[request];
        entry.pending = false;
        let (phase, customer, protected) = (entry.phase, entry.customer, entry.protected);
        if protected {
            self.stats.protected[phase].ended += 1;
        }
        if customer > 0 {
            self.stats.small[phase].ended += 1;
        }
    }

    /// Ends a request whose deadline has passed. Only the managed policies cancel its calls; under
    /// the others they stay queued or running.
    pub(super) fn time_out(&mut self, request: RequestId) {
        if !self.requests[request].pending {
            return;
        }
        self.close_failed(request);
        let root_call = self.requests[request].root_call;
        if let (Policy::Managed(_), Some(root_call)) = (self.policy, root_call) {
            self.cancel(root_call);
        }
    }

    /// Sums the service time spent on requests that failed or timed out.
    pub(super) fn sum_wasted_work(&mut self) {
        let failed = self
            .requests
            .iter()
            .filter(|entry| !entry.completed && !entry.pending);
        self.stats.wasted = failed.map(|entry| entry.work).sum();
    }
}
