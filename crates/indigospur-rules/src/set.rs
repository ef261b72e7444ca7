//! Validated rule sets, and the decision for a call.

use crate::condition::{CallAttributes, Condition};
use crate::pattern::Pattern;
use crate::treatment::{Action, Treatment};
use crate::workspace::Workspaces;
use indigospur_protocol::Class;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A rule: a condition and the action for the calls that match it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name, unique in the rule set.
    pub name: Arc<str>,
    /// Condition under which it applies.
    pub when: Condition,
    /// Action for calls that match.
    pub then: Action,
}

/// Limits on requests and connections of callers. `None` leaves the daemon's own limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head: Option<u64>,
    /// Maximum size of a request's body, in bytes.
    pub body: Option<u64>,
    /// Time limit for receiving a request, from its first byte.
    pub message: Option<Duration>,
    /// Time after which an idle connection is closed.
    pub idle: Option<Duration>,
}

/// Contents of a rule set, already validated.
#[derive(Clone, Debug)]
pub struct RuleParts {
    /// Names of the classes, from the last to be shed to the first. Never empty.
    pub classes: Vec<Arc<str>>,
    /// Class of calls to which no rule assigns one; a valid index into `classes`.
    pub default_class: Class,
    /// The rules; the first that matches decides.
    pub rules: Vec<Rule>,
    /// Whether calls that match no rule are refused.
    pub refuse_unmatched: bool,
    /// Limits on callers.
    pub callers: CallerLimits,
    /// Workspaces and their keys; empty if callers need no key.
    pub workspaces: Workspaces,
}

/// A validated rule set, indexed by host and service.
#[derive(Clone, Debug)]
pub struct RuleSet {
    /// Names of the classes, from the last to be shed to the first. Never empty.
    pub classes: Vec<Arc<str>>,
    /// Class of calls to which no rule assigns one; a valid index into `classes`.
    pub default_class: Class,
    /// The rules; the first that matches decides.
    pub rules: Vec<Rule>,
    /// Whether calls that match no rule are refused.
    pub refuse_unmatched: bool,
    /// Limits on callers.
    pub callers: CallerLimits,
    /// Workspaces and their keys; empty if callers need no key.
    pub workspaces: Workspaces,
    /// Indexes of the rules that can match each host name that a rule gives exactly, in order.
    by_host: HashMap<Arc<str>, Vec<usize>>,
    /// Indexes of the rules that can match each service that a rule gives exactly, on hosts that
    /// are not in `by_host`, in order.
    by_service: HashMap<Arc<str>, Vec<usize>>,
    /// Indexes of the rules that can match calls found in neither index, in order.
    unindexed: Vec<usize>,
}

/// Treatment of a call, and the rule that decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Index of the rule that matched; `None` if the call gets the defaults.
    pub rule: Option<usize>,
    /// How the call is treated.
    pub treatment: Treatment,
}

/// All texts that rules compare exactly in the selected part of their conditions.
fn exact_texts(rules: &[Rule], part: fn(&Condition) -> &[Pattern]) -> BTreeSet<Arc<str>> {
    let patterns = rules.iter().flat_map(|rule| part(&rule.when));
    patterns
        .filter_map(|pattern| pattern.exact().cloned())
        .collect()
}

/// Whether the patterns match nothing but exact texts.
fn is_exact(patterns: &[Pattern]) -> bool {
    !patterns.is_empty() && patterns.iter().all(|pattern| pattern.exact().is_some())
}

fn can_match(patterns: &[Pattern], text: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| pattern.matches(text))
}

impl RuleSet {
    /// Builds the indexes of a rule set. Does not validate `parts`.
    pub fn new(parts: RuleParts) -> RuleSet {
        let RuleParts {
            classes,
            default_class,
            rules,
            refuse_unmatched,
            callers,
            workspaces,
        } = parts;
        let indexes = |accepts: &dyn Fn(&Condition) -> bool| -> Vec<usize> {
            let numbered = rules.iter().enumerate();
            numbered
                .filter(|(_, rule)| accepts(&rule.when))
                .map(|(index, _)| index)
                .collect()
        };
        let hosts = exact_texts(&rules, |when| &when.hosts);
        let by_host = hosts.into_iter().map(|host| {
            let matching = indexes(&|when| can_match(&when.hosts, &host));
            (host, matching)
        });
        let by_host = by_host.collect();
        let any_host = |when: &Condition| !is_exact(&when.hosts);
        let services = exact_texts(&rules, |when| &when.services);
        let by_service = services.into_iter().map(|service| {
            let matching = indexes(&|when| any_host(when) && can_match(&when.services, &service));
            (service, matching)
        });
        let by_service = by_service.collect();
        let unindexed = indexes(&|when| any_host(when) && !is_exact(&when.services));
        RuleSet {
            classes,
            default_class,
            refuse_unmatched,
            callers,
            workspaces,
            by_host,
            by_service,
            unindexed,
            rules,
        }
    }

    /// Decides on a call by the first rule that matches, or by the defaults if none does.
    ///
    /// A call never gets a class that is shed before that of its parent call. Where the rule set has
    /// workspaces, a first call gets the class of its customer's workspace, if that has one, and a
    /// nested call that of its parent: the class of a rule would otherwise raise the calls made for a
    /// workspace above the workspace's own class.
    pub fn decide(&self, call: &CallAttributes<'_>) -> Decision {
        let by_host = self.by_host.get(call.host);
        let candidates = by_host
            .or_else(|| self.by_service.get(call.service))
            .unwrap_or(&self.unindexed);
        let found = candidates
            .iter()
            .find(|index| self.rules[**index].when.matches(call));
        let action = found.map_or_else(Action::default, |index| self.rules[*index].then.clone());
        let mut treatment = Treatment::new(&action, self.default_class, call.idempotent);
        let workspace = self.workspaces.get(call.customer);
        treatment.class = match call.parent_class {
            Some(parent_class) if self.workspaces.is_empty() => treatment.class.min(parent_class),
            Some(parent_class) => parent_class,
            None => workspace
                .and_then(|workspace| workspace.class)
                .unwrap_or(treatment.class),
        };
        Decision {
            rule: found.copied(),
            treatment,
        }
    }

    /// Name of a class; `?` if the rule set has no such class.
    pub fn class_name(&self, class: Class) -> &str {
        self.classes
            .get(usize::from(class))
            .map_or("?", |name| name)
    }
}
