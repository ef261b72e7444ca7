//! The then-part of a rule, and how a call is treated.

use indigospur_protocol::{Class, Customer, Rank, RequestId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Deadline of a call that no rule gives one, and whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Retry credit minted for a customer's request that no rule gives any.
const DEFAULT_RETRIES: u32 = 3;
/// Share of each customer, relative to the others.
const DEFAULT_SHARE: u32 = 1;
/// Bits of a rank that come from the request; the bits above come from the shed order.
const HASH_BITS: u32 = 24;

/// Where a call stands in the shed order of its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShedOrder {
    /// Shed after the others of the class.
    Last,
    /// Shed in an order that is the same at every service.
    #[default]
    Usual,
    /// Shed before the others of the class.
    First,
}

/// A service that takes a share of a rule's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share against the other targets of the rule.
    pub weight: u32,
}

/// The then-part of a rule. `None` leaves the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Action {
    /// Class.
    pub class: Option<Class>,
    /// Longest time the call may take.
    pub deadline: Option<Duration>,
    /// Retry credit minted for a customer's request.
    pub retries: Option<u32>,
    /// Upstreams at which one call may run.
    pub attempts: Option<u32>,
    /// Place in the shed order of the class.
    pub shed: Option<ShedOrder>,
    /// Weight of the customer against the others of the class.
    pub share: Option<u32>,
    /// The call may run more than once.
    pub idempotent: Option<bool>,
    /// The call runs at most once per idempotency key.
    pub once: Option<bool>,
    /// The call waits in the queue until its deadline rather than be refused early.
    pub waits: Option<bool>,
    /// Services that take the calls, each by its weight; empty for the one the caller names.
    pub targets: Arc<[Target]>,
    /// Time within which an answer is worth most.
    pub objective: Option<Duration>,
}

/// How a call is treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Treatment {
    /// Class; zero is shed last.
    pub class: Class,
    /// Longest time the call may take.
    pub deadline: Duration,
    /// Retry credit minted for a customer's request.
    pub retries: u32,
    /// Upstreams at which one call may run, whatever credit is left; at least one.
    pub attempts: u32,
    /// Place in the shed order of the class.
    pub shed: ShedOrder,
    /// Weight of the customer against the others of the class; at least one.
    pub share: u32,
    /// The call may run more than once.
    pub idempotent: bool,
    /// The call runs at most once per idempotency key; never together with `idempotent`.
    pub once: bool,
    /// The call waits in the queue until its deadline rather than be refused early.
    pub waits: bool,
    /// Services that take the calls, each by its weight; empty for the one the caller names.
    pub targets: Arc<[Target]>,
    /// Time within which an answer is worth most; at most the deadline.
    pub objective: Duration,
}

impl Treatment {
    /// The treatment by `action` of a call whose method is idempotent or not by HTTP.
    pub fn new(action: &Action, class: Class, idempotent: bool) -> Treatment {
        let once = action.once.unwrap_or(false);
        let deadline = action.deadline.unwrap_or(DEFAULT_DEADLINE);
        Treatment {
            class: action.class.unwrap_or(class),
            deadline,
            retries: action.retries.unwrap_or(DEFAULT_RETRIES),
            attempts: action.attempts.unwrap_or(u32::MAX).max(1),
            shed: action.shed.unwrap_or_default(),
            share: action.share.unwrap_or(DEFAULT_SHARE),
            idempotent: action.idempotent.unwrap_or(idempotent) && !once,
            once,
            waits: action.waits.unwrap_or(false),
            targets: action.targets.clone(),
            objective: action.objective.unwrap_or(deadline).min(deadline),
        }
    }

    /// The target of one call, by a number drawn evenly from 0 to 1; `None` if there is none.
    pub fn target(&self, drawn: f64) -> Option<&ServiceName> {
        let weights = self.targets.iter().map(|target| f64::from(target.weight));
        let mut left = drawn * weights.sum::<f64>();
        for target in self.targets.iter() {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }

    /// The shed rank of a customer's request, the same at every service of the chain.
    pub fn rank(&self, customer: &Customer, request: &RequestId) -> Rank {
        let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
        let hash = xxh3_64_with_seed(request.as_bytes(), seed);
        let low = (hash >> (u64::BITS - HASH_BITS)) as u32;
        let high = match self.shed {
            ShedOrder::Last => 0,
            ShedOrder::Usual => 1,
            ShedOrder::First => 2,
        };
        (high << HASH_BITS) | low
    }
}
