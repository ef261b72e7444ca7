//! The calls of a request to the deep service: sending, refusals and answers.

use crate::kinds::Policy;
use crate::model::{
    CALL_DEADLINE, Event, FREE_SHEDS, HOP_MICROS, SERVICE, Simulation, UPSTREAMS, WINDOW_SHEDS,
    WORK,
};
use indigospur_budget::{
    FailedAttempt, RetryClaim, RetryOptions, RetryStatus, decide_retry, order_after_calls,
};
use indigospur_protocol::{Kind, Refusal};
use rand::Rng;

impl Simulation {
    pub(crate) fn start_call(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let lent = state.credit.lend();
        let progress = &mut state.branches[branch];
        progress.credit = lent;
        progress.free_sheds = if self.policy < Policy::Order {
            FREE_SHEDS
        } else {
            WINDOW_SHEDS
        };
        progress.deadline = now + CALL_DEADLINE;
        progress.tried.clear();
        let ratio = &mut self.daemons[progress.daemon].ratio;
        ratio.earn(now, state.order);
        self.send(request, branch, false);
    }

    fn send(&mut self, request: usize, branch: usize, is_repeat: bool) {
        let progress = &mut self.requests[request].branches[branch];
        if self.policy >= Policy::Order && progress.tried.len() == UPSTREAMS {
            progress.tried.clear();
        }
        let untried: Vec<usize> = (0..UPSTREAMS)
            .filter(|upstream| !progress.tried.contains(upstream))
            .collect();
        progress
            .tried
            .push(untried[self.rng.random_range(0..untried.len())]);
        self.outcome.arrivals.count(self.micros / 1_000, is_repeat);
        let sheds =
            self.fault.contains(&(self.micros / 1_000)) && self.rng.random_bool(self.refused_share);
        let hops = self.micros + 2 * HOP_MICROS;
        if sheds {
            self.schedule(hops, Event::Shed(request, branch));
        } else {
            let work = WORK.mul_f64(self.rng.random_range(0.5..1.5));
            let at = hops + work.as_micros() as u64;
            self.schedule(at, Event::Answered(request, branch));
        }
    }

    pub(crate) fn handle_shed(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let kind = self.kinds[state.kind];
        let progress = &mut state.branches[branch];
        let daemon = progress.daemon;
        let fleet = (self.policy >= Policy::Ingress).then(|| {
            let pressures = &self.daemons[daemon].pressures;
            RetryStatus {
                refused: pressures.refused(now, SERVICE),
                cutoff: pressures.cutoff(now, SERVICE),
                attempts: 0.0,
            }
        });
        let refusal = Refusal::new(Kind::BackendShed, "");
        let made = kind.calls - progress.calls_left;
        let options = RetryOptions {
            idempotent: true,
            remaining: progress.deadline.saturating_duration_since(now),
            expected: WORK,
            free_failovers: 0,
            free_sheds: progress.free_sheds,
            claim: RetryClaim {
                class: kind.class,
                order: order_after_calls(state.order, state.rank, made),
                fleet,
            },
        };
        let failed_attempt = FailedAttempt {
            refusal: &refusal,
            retried: false,
        };
        let ratio = &mut self.daemons[daemon].ratio;
        ratio.record(now, true);
        let decision = decide_retry(now, options, failed_attempt, &mut progress.credit, ratio);
        progress.free_sheds = progress.free_sheds.saturating_sub(1);
        let has_untried = self.policy >= Policy::Order || progress.tried.len() < UPSTREAMS;
        self.observe(daemon);
        if decision.is_ok() && has_untried {
            self.send(request, branch, true);
        } else {
            self.fail(request, branch);
        }
    }

    pub(crate) fn handle_answer(&mut self, request: usize, branch: usize) {
        let now = self.now();
        let state = &mut self.requests[request];
        let progress = &mut state.branches[branch];
        let daemon = progress.daemon;
        self.daemons[daemon].ratio.record(now, false);
        if now > progress.deadline {
            self.fail(request, branch);
            return;
        }
        let unused = std::mem::take(&mut progress.credit);
        progress.calls_left -= 1;
        state.ran += 1;
        state.credit.reclaim(unused, unused.left());
        let has_failed = state.failed;
        let has_next = progress.calls_left > 0;
        let is_finished = state.branches.iter().all(|branch| branch.calls_left == 0);
        self.observe(daemon);
        if has_failed {
            self.tally(request, |tally| tally.wasted += 1);
        } else if has_next {
            self.start_call(request, branch);
        } else if is_finished {
            self.reply(request, daemon);
            self.tally(request, |tally| tally.finished += 1);
        }
    }

    /// A request fails with its first failed call, and all calls that ran for it are wasted.
    fn fail(&mut self, request: usize, branch: usize) {
        let daemon = self.requests[request].branches[branch].daemon;
        if std::mem::replace(&mut self.requests[request].failed, true) {
            return;
        }
        self.reply(request, daemon);
        let state = &self.requests[request];
        let ran = state.ran;
        let resends = self.kinds[state.kind].resends && state.attempt == 0;
        self.tally(request, |tally| tally.wasted += ran);
        if resends {
            let again = self.request_again(request, true);
            self.schedule(self.micros + HOP_MICROS, Event::Arrive(again));
        } else {
            self.tally(request, |tally| tally.failed += 1);
        }
    }

    /// The ingress daemon learns what the daemon that made the calls knows.
    fn reply(&mut self, request: usize, daemon: usize) {
        let now = self.now();
        let reports = self.daemons[daemon].pressures.reports(now);
        let ingress = &mut self.daemons[self.requests[request].ingress];
        ingress.pressures.merge(now, &reports);
    }
}
