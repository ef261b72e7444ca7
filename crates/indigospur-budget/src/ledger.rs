//! The calls that a backend server runs, with the retry credit that their child calls draw on.

use crate::claim::order_after_calls;
use crate::credit::Credit;
use indigospur_protocol::{Context, RetryOrder, Work};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Identifies a running call; the backend server passes it on with the child calls that it makes.
pub type Token = Arc<str>;

/// One running call.
#[derive(Clone, Debug)]
struct Entry {
    context: Context,
    /// Time at which the caller stops waiting.
    deadline: Instant,
    credit: Credit,
    retried: bool,
    shed_below: bool,
    /// Slot time used by child calls, by service.
    work: Vec<Work>,
}

/// Totals of a call that has ended, over its child calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClosedCall {
    /// Number of retries left of its credit.
    pub retries_left: u32,
    /// Whether a retry was made for a child call.
    pub retried: bool,
    /// Whether a child call was shed for overload.
    pub shed_below: bool,
    /// Slot time used by child calls, by service.
    pub work: Vec<Work>,
}

/// Adds slot times and calls to a total by service; the total has one entry for each service.
pub fn add_work(totals: &mut Vec<Work>, added: &[Work]) {
    for work in added {
        match totals
            .iter_mut()
            .find(|total| total.service == work.service)
        {
            Some(total) => {
                total.time += work.time;
                total.calls = total.calls.saturating_add(work.calls);
            }
            None => totals.push(work.clone()),
        }
    }
}

/// The calls that run at a backend server, by token.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Token, Entry>,
}

impl Ledger {
    /// Adds a call that starts, with the retry credit and the remaining time of its context.
    pub fn open(&mut self, now: Instant, token: Token, context: Context) {
        let credit = Credit::new(context.retries);
        let deadline = now + context.remaining;
        self.entries.insert(
            token,
            Entry {
                context,
                deadline,
                credit,
                retried: false,
                shed_below: false,
                work: Vec::new(),
            },
        );
    }

    /// Context of a child call, without retry credit; `None` if the parent call does not run here
    /// (any more). A child call of a retry is marked as repeated.
    pub fn child_context(&self, now: Instant, token: &str) -> Option<Context> {
        let entry = self.entries.get(token)?;
        let mut context = entry.context.clone();
        context.retries = 0;
        context.depth += 1;
        context.repeated |= context.attempt > 0;
        context.remaining = entry.deadline.saturating_duration_since(now);
        Some(context)
    }

    /// Position of a child call among those that compete for retries: that of a request which makes only
    /// the calls that are left, since it finishes with fewer retries, and its failure wastes more.
    pub fn retry_order(&self, token: &str, context: &Context) -> RetryOrder {
        let entry = self.entries.get(token);
        let calls = entry.map_or(0, |entry| {
            entry.work.iter().map(|work| work.calls).max().unwrap_or(0)
        });
        order_after_calls(context.retry_order, context.rank, calls)
    }

    /// Lends a child call its share of the credit and returns the number of retries; zero if the
    /// parent call does not run here. To be called once the child call is sure to be sent, and
    /// undone by [`Ledger::reclaim`].
    pub fn lend(&mut self, token: &str) -> u32 {
        let entry = self.entries.get_mut(token);
        entry.map_or(0, |entry| entry.credit.lend().left())
    }

    /// Takes back the `left` retries that a child call did not use of those `lent`, and notes
    /// whether a retry was made for it.
    pub fn reclaim(&mut self, token: &str, lent: u32, left: u32, retried: bool) {
        if let Some(entry) = self.entries.get_mut(token) {
            entry.credit.reclaim(Credit::new(lent), left);
            entry.retried |= retried;
        }
    }

    /// Adds the slot time used by a child call.
    pub fn record_work(&mut self, token: &str, work: &[Work]) {
        if let Some(entry) = self.entries.get_mut(token) {
            add_work(&mut entry.work, work);
        }
    }

    /// Whether the call runs here.
    pub fn contains(&self, token: &str) -> bool {
        self.entries.contains_key(token)
    }

    /// Notes that a child call was shed for overload.
    pub fn record_shed_below(&mut self, token: &str) {
        if let Some(entry) = self.entries.get_mut(token) {
            entry.shed_below = true;
        }
    }

    /// Removes a call that has ended; the result is empty if the call does not run here.
    pub fn close(&mut self, token: &str) -> ClosedCall {
        let Some(entry) = self.entries.remove(token) else {
            return ClosedCall::default();
        };
        ClosedCall {
            retries_left: entry.credit.left(),
            retried: entry.retried,
            shed_below: entry.shed_below,
            work: entry.work,
        }
    }
}
