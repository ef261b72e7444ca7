//! The credits of the calls that a backend server runs, from which its own calls draw.

use crate::credit::Credit;
use indigospur_protocol::{Context, Work};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Names a running call; the backend server repeats it on its own calls.
pub type Token = Arc<str>;

/// One running call.
#[derive(Clone, Debug)]
struct Entry {
    context: Context,
    /// When the caller gives up.
    deadline: Instant,
    credit: Credit,
    retried: bool,
    shed_below: bool,
    /// Slot time that calls below took, by service.
    work: Vec<Work>,
}

/// What is left of a call that has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Closed {
    /// Retry credit left.
    pub left: u32,
    /// A retry was made for a call below.
    pub retried: bool,
    /// A call below was shed for overload.
    pub shed_below: bool,
    /// Slot time that calls below took, by service.
    pub work: Vec<Work>,
}

/// Adds slot time to what is known by service.
pub fn add_work(known: &mut Vec<Work>, more: &[Work]) {
    for work in more {
        match known.iter_mut().find(|known| known.service == work.service) {
            Some(known) => known.time += work.time,
            None => known.push(work.clone()),
        }
    }
}

/// The calls that run at the backend server.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Token, Entry>,
}

impl Ledger {
    /// Adds a call that starts, with the credit of its context.
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

    /// The context of a call below, without retry credit; `None` if the call above does not run here
    /// (any more).
    pub fn below(&self, now: Instant, token: &str) -> Option<Context> {
        let entry = self.entries.get(token)?;
        let mut context = entry.context.clone();
        context.retries = 0;
        context.depth += 1;
        context.repeated |= context.attempt > 0;
        context.remaining = entry.deadline.saturating_duration_since(now);
        Some(context)
    }

    /// Lends a call below, which will be sent, its share of the credit; it comes back by
    /// [`Ledger::give_back`].
    pub fn lend(&mut self, token: &str) -> u32 {
        let entry = self.entries.get_mut(token);
        entry.map_or(0, |entry| entry.credit.lend().left())
    }

    /// Takes back what a call below has left, and whether a retry was made for it.
    pub fn give_back(&mut self, token: &str, lent: u32, left: u32, retried: bool) {
        if let Some(entry) = self.entries.get_mut(token) {
            entry.credit.give_back(Credit::new(lent), left);
            entry.retried |= retried;
        }
    }

    /// Adds the slot time that a call below took.
    pub fn worked(&mut self, token: &str, work: &[Work]) {
        if let Some(entry) = self.entries.get_mut(token) {
            add_work(&mut entry.work, work);
        }
    }

    /// Whether the call runs here.
    pub fn knows(&self, token: &str) -> bool {
        self.entries.contains_key(token)
    }

    /// Notes that a call below was shed for overload.
    pub fn shed_below(&mut self, token: &str) {
        if let Some(entry) = self.entries.get_mut(token) {
            entry.shed_below = true;
        }
    }

    /// Ends a call; what is left of it.
    pub fn close(&mut self, token: &str) -> Closed {
        let Some(entry) = self.entries.remove(token) else {
            return Closed::default();
        };
        Closed {
            left: entry.credit.left(),
            retried: entry.retried,
            shed_below: entry.shed_below,
            work: entry.work,
        }
    }
}
