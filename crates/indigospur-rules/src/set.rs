//! A checked rule set and the decision for a call.

use crate::condition::{Condition, Subject};
use crate::pattern::Pattern;
use crate::treatment::{Action, Treatment};
use indigospur_protocol::Class;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// One when-then rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name, unique in the rule set.
    pub name: Arc<str>,
    /// When it applies.
    pub when: Condition,
    /// What it does.
    pub then: Action,
}

/// Bounds on what callers send and how long they take. `None` leaves the daemon's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerBounds {
    /// Largest head, in bytes.
    pub head: Option<u64>,
    /// Largest body, in bytes.
    pub body: Option<u64>,
    /// Time in which a request must arrive once it has begun.
    pub message: Option<Duration>,
    /// Time for which a connection may stay idle.
    pub idle: Option<Duration>,
}

/// What a rule set is made of.
#[derive(Clone, Debug)]
pub struct RuleParts {
    /// Class names in shed order; the first is shed last. Never empty.
    pub classes: Vec<Arc<str>>,
    /// Class of a call that no rule gives one. Always an index into `classes`.
    pub default: Class,
    /// The rules in order.
    pub rules: Vec<Rule>,
    /// A call that no rule matches is refused.
    pub closed: bool,
    /// Bounds on callers.
    pub callers: CallerBounds,
}

/// A checked rule set.
#[derive(Clone, Debug)]
pub struct RuleSet {
    /// Class names in shed order; the first is shed last. Never empty.
    pub classes: Vec<Arc<str>>,
    /// Class of a call that no rule gives one. Always an index into `classes`.
    pub default: Class,
    /// The rules in order.
    pub rules: Vec<Rule>,
    /// A call that no rule matches is refused.
    pub closed: bool,
    /// Bounds on callers.
    pub callers: CallerBounds,
    /// Indexes of the rules that can match a host name, in order.
    by_host: HashMap<Arc<str>, Vec<usize>>,
    /// Indexes of the rules that can match a service on any other host, in order.
    by_service: HashMap<Arc<str>, Vec<usize>>,
    /// Indexes of the rules that can match any other call, in order.
    elsewhere: Vec<usize>,
}

/// How a call is treated and by which rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Index of the rule that matched.
    pub rule: Option<usize>,
    /// The treatment.
    pub treatment: Treatment,
}

/// The texts that any of the rules compares exactly in a part of its condition.
fn named(rules: &[Rule], part: fn(&Condition) -> &[Pattern]) -> BTreeSet<Arc<str>> {
    let patterns = rules.iter().flat_map(|rule| part(&rule.when));
    patterns
        .filter_map(|pattern| pattern.exact().cloned())
        .collect()
}

/// Whether only texts that are compared exactly can match.
fn is_exact(patterns: &[Pattern]) -> bool {
    !patterns.is_empty() && patterns.iter().all(|pattern| pattern.exact().is_some())
}

fn can_match(patterns: &[Pattern], text: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| pattern.matches(text))
}

impl RuleSet {
    /// A rule set of parts that were checked.
    pub fn new(parts: RuleParts) -> RuleSet {
        let RuleParts {
            classes,
            default,
            rules,
            closed,
            callers,
        } = parts;
        let indexes = |fits: &dyn Fn(&Condition) -> bool| -> Vec<usize> {
            let fitting = rules.iter().enumerate();
            fitting
                .filter(|(_, rule)| fits(&rule.when))
                .map(|(index, _)| index)
                .collect()
        };
        let hosts = named(&rules, |when| &when.hosts);
        let by_host = hosts.into_iter().map(|host| {
            let fitting = indexes(&|when| can_match(&when.hosts, &host));
            (host, fitting)
        });
        let by_host = by_host.collect();
        let any_host = |when: &Condition| !is_exact(&when.hosts);
        let services = named(&rules, |when| &when.services);
        let by_service = services.into_iter().map(|service| {
            let fitting = indexes(&|when| any_host(when) && can_match(&when.services, &service));
            (service, fitting)
        });
        let by_service = by_service.collect();
        let elsewhere = indexes(&|when| any_host(when) && !is_exact(&when.services));
        RuleSet {
            classes,
            default,
            closed,
            callers,
            by_host,
            by_service,
            elsewhere,
            rules,
        }
    }

    /// Decides by the first rule that matches.
    ///
    /// A call inside a chain never gets a lesser class than the call above it.
    pub fn decide(&self, subject: &Subject<'_>) -> Decision {
        let by_host = self.by_host.get(subject.host);
        let candidates = by_host
            .or_else(|| self.by_service.get(subject.service))
            .unwrap_or(&self.elsewhere);
        let found = candidates
            .iter()
            .find(|index| self.rules[**index].when.matches(subject));
        let action = found.map_or_else(Action::default, |index| self.rules[*index].then.clone());
        let mut treatment = Treatment::new(&action, self.default, subject.idempotent);
        if let Some(above) = subject.above {
            treatment.class = treatment.class.min(above);
        }
        Decision {
            rule: found.copied(),
            treatment,
        }
    }

    /// The name of a class.
    pub fn class_name(&self, class: Class) -> &str {
        self.classes
            .get(usize::from(class))
            .map_or("?", |name| name)
    }
}
