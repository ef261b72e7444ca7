//! The condition (`when`) of a rule.

use crate::pattern::Pattern;
use indigospur_protocol::Class;

/// Attributes of a call that conditions are matched against.
#[derive(Clone, Copy, Debug)]
pub struct CallAttributes<'a> {
    /// Service named by the caller; empty if it names none.
    pub service: &'a str,
    /// Host name in the call's `Host` header, without the port and in lower case; empty if there is
    /// none.
    pub host: &'a str,
    /// HTTP method of the request.
    pub method: &'a str,
    /// Path of the URL, without the query.
    pub path: &'a str,
    /// Customer on whose behalf the call is made. Where the rule set has workspaces, a name of one means
    /// that the caller has its key.
    pub customer: &'a str,
    /// Class of the parent call; `None` for the first call of a chain.
    pub parent_class: Option<Class>,
    /// Whether HTTP defines the method as idempotent.
    pub idempotent: bool,
    /// Times the caller has sent the same request before; zero on the first attempt.
    pub attempt: u32,
}

/// The condition (`when`) of a rule. All parts must match; an empty list or `None` matches every
/// call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Patterns for the service, one of which must match.
    pub services: Vec<Pattern>,
    /// Patterns for the name in the `Host` header, in lower case, one of which must match.
    pub hosts: Vec<Pattern>,
    /// Patterns for the HTTP method, one of which must match.
    pub methods: Vec<Pattern>,
    /// Patterns for the path, one of which must match.
    pub paths: Vec<Pattern>,
    /// Patterns for the customer, one of which must match.
    pub customers: Vec<Pattern>,
    /// Class that the parent call must have.
    pub class: Option<Class>,
    /// Whether HTTP must define the method as idempotent, or must not.
    pub idempotent: Option<bool>,
    /// Minimum number of times the caller has sent the request before; zero matches every call.
    pub min_attempt: u32,
}

impl Condition {
    /// Whether a call with these attributes matches.
    pub fn matches(&self, call: &CallAttributes<'_>) -> bool {
        any_matches(&self.services, call.service)
            && any_matches(&self.hosts, call.host)
            && any_matches(&self.methods, call.method)
            && any_matches(&self.paths, call.path)
            && any_matches(&self.customers, call.customer)
            && self
                .class
                .is_none_or(|class| call.parent_class == Some(class))
            && self
                .idempotent
                .is_none_or(|idempotent| call.idempotent == idempotent)
            && call.attempt >= self.min_attempt
    }

    /// Whether this condition matches every call that `other` matches. Conservative: may return
    /// false although it does, but never true when it does not.
    pub fn covers(&self, other: &Condition) -> bool {
        covers_all(&self.services, &other.services)
            && covers_all(&self.hosts, &other.hosts)
            && covers_all(&self.methods, &other.methods)
            && covers_all(&self.paths, &other.paths)
            && covers_all(&self.customers, &other.customers)
            && (self.class.is_none() || self.class == other.class)
            && (self.idempotent.is_none() || self.idempotent == other.idempotent)
            && self.min_attempt <= other.min_attempt
    }
}

fn any_matches(patterns: &[Pattern], text: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| pattern.matches(text))
}

fn covers_all(wide: &[Pattern], narrow: &[Pattern]) -> bool {
    let covered = |pattern: &Pattern| wide.iter().any(|wider| wider.covers(pattern));
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(covered))
}
