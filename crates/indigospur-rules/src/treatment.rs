//! The action (`then`) of a rule, and the treatment of a call that results from it.

use indigospur_protocol::{Class, Customer, Rank, RequestId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Deadline of a call for which neither a rule nor the caller sets one.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Retry credit of a customer's request for which no rule sets any.
const DEFAULT_RETRIES: u32 = 3;
/// Weight of a customer for which no rule sets one.
const DEFAULT_SHARE: u32 = 1;
/// Bits of a rank taken from the hash of the request; the bits above hold the shed order.
const HASH_BITS: u32 = 24;

/// When a call is shed relative to the other calls of its class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShedOrder {
    /// Shed after the others of the class.
    Last,
    /// Shed in the order of the request's hash, which is the same at every service.
    #[default]
    Usual,
    /// Shed before the others of the class.
    First,
}

/// A service that receives a part of a rule's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the rule's other targets; at least one.
    pub weight: u32,
}

/// The action (`then`) of a rule. `None` leaves the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Action {
    /// Class assigned to the call; zero is shed last.
    pub class: Option<Class>,
    /// Time limit for the call.
    pub deadline: Option<Duration>,
    /// Retry credit issued for a customer's request.
    pub retries: Option<u32>,
    /// Maximum number of upstreams on which a call may run. An attempt in which it is known not to
    /// have run does not count.
    pub attempts: Option<u32>,
    /// When the call is shed relative to others of its class.
    pub shed: Option<ShedOrder>,
    /// Weight of the customer relative to the others of the class.
    pub share: Option<u32>,
    /// Whether the call may run more than once.
    pub idempotent: Option<bool>,
    /// Whether the call runs at most once per idempotency key.
    pub at_most_once: Option<bool>,
    /// Whether the call stays queued until its deadline instead of being refused early.
    pub waits: Option<bool>,
    /// Services among which calls are split; empty to use the one that the caller names.
    pub targets: Arc<[Target]>,
    /// Whether callers need no key, where the rule set has workspaces.
    pub public: bool,
}

/// How a call is treated: class, deadline, retries and targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Treatment {
    /// Class of the call; zero is shed last.
    pub class: Class,
    /// Class that the rule gives the call. It orders the calls of one class where that of a workspace
    /// takes precedence; else it is the same.
    pub rule_class: Class,
    /// Time limit for the call.
    pub deadline: Duration,
    /// Retry credit issued for a customer's request.
    pub retries: u32,
    /// Maximum number of upstreams on which a call may run, regardless of the retry credit left; at
    /// least one. An attempt in which it is known not to have run does not count.
    pub attempts: u32,
    /// When the call is shed relative to others of its class.
    pub shed: ShedOrder,
    /// Weight of the customer relative to the others of the class; at least one.
    pub share: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call runs at most once per idempotency key; excludes `idempotent`.
    pub at_most_once: bool,
    /// Whether the call stays queued until its deadline instead of being refused early.
    pub waits: bool,
    /// Services among which calls are split; empty to use the one that the caller names.
    pub targets: Arc<[Target]>,
    /// Whether the caller needs no key, where the rule set has workspaces.
    pub public: bool,
}

impl Treatment {
    /// Applies `action` to a call. `class` and `idempotent` apply where it doesn't set them;
    /// `idempotent` says whether HTTP defines the method as idempotent.
    pub fn new(action: &Action, class: Class, idempotent: bool) -> Treatment {
        let at_most_once = action.at_most_once.unwrap_or(false);
        let deadline = action.deadline.unwrap_or(DEFAULT_DEADLINE);
        let class = action.class.unwrap_or(class);
        Treatment {
            class,
            rule_class: class,
            deadline,
            retries: action.retries.unwrap_or(DEFAULT_RETRIES),
            attempts: action.attempts.unwrap_or(u32::MAX).max(1),
            shed: action.shed.unwrap_or_default(),
            share: action.share.unwrap_or(DEFAULT_SHARE),
            idempotent: action.idempotent.unwrap_or(idempotent) && !at_most_once,
            at_most_once,
            waits: action.waits.unwrap_or(false),
            targets: action.targets.clone(),
            public: action.public,
        }
    }

    /// The target at `point` in [0, 1) when the targets divide that interval by weight; `None` if
    /// there are no targets.
    pub fn target(&self, point: f64) -> Option<&ServiceName> {
        let weights = self.targets.iter().map(|target| f64::from(target.weight));
        let mut remaining = point * weights.sum::<f64>();
        for target in self.targets.iter() {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        // Rounding can leave the last target a remainder of zero.
        self.targets.last().map(|target| &target.service)
    }

    /// Shed rank of a customer's request, the same at every service of the chain. Higher ranks are
    /// shed first.
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
