//! The when-part of a rule.

use crate::pattern::Pattern;
use indigospur_protocol::Class;

/// What is known of a call when the rules are asked.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Service the call is for, where the caller names one.
    pub service: &'a str,
    /// Host name the call is addressed to, in lower case.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without its query.
    pub path: &'a str,
    /// Customer.
    pub customer: &'a str,
    /// Class of the call above, for a call inside a chain.
    pub above: Option<Class>,
    /// HTTP defines the method as idempotent.
    pub idempotent: bool,
    /// Times the caller has sent the same request before.
    pub attempt: u32,
}

/// The when-part of a rule. An empty list or `None` matches every call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Services.
    pub services: Vec<Pattern>,
    /// Host names, in lower case.
    pub hosts: Vec<Pattern>,
    /// HTTP methods.
    pub methods: Vec<Pattern>,
    /// Paths.
    pub paths: Vec<Pattern>,
    /// Customers.
    pub customers: Vec<Pattern>,
    /// Class of the call above.
    pub class: Option<Class>,
    /// Whether HTTP defines the method as idempotent.
    pub idempotent: Option<bool>,
    /// Fewest times the caller has sent the request before.
    pub attempt: u32,
}

impl Condition {
    /// Whether the call matches.
    pub fn matches(&self, subject: &Subject<'_>) -> bool {
        any(&self.services, subject.service)
            && any(&self.hosts, subject.host)
            && any(&self.methods, subject.method)
            && any(&self.paths, subject.path)
            && any(&self.customers, subject.customer)
            && self.class.is_none_or(|class| subject.above == Some(class))
            && self
                .idempotent
                .is_none_or(|idempotent| subject.idempotent == idempotent)
            && subject.attempt >= self.attempt
    }

    /// Whether each call that matches `other` matches this condition too; may be wrongly false.
    pub fn covers(&self, other: &Condition) -> bool {
        covers(&self.services, &other.services)
            && covers(&self.hosts, &other.hosts)
            && covers(&self.methods, &other.methods)
            && covers(&self.paths, &other.paths)
            && covers(&self.customers, &other.customers)
            && (self.class.is_none() || self.class == other.class)
            && (self.idempotent.is_none() || self.idempotent == other.idempotent)
            && self.attempt <= other.attempt
    }
}

fn any(patterns: &[Pattern], text: &str) -> bool {
    patterns.is_empty() || patterns.iter().any(|pattern| pattern.matches(text))
}

fn covers(wide: &[Pattern], narrow: &[Pattern]) -> bool {
    let covered = |pattern: &Pattern| wide.iter().any(|wider| wider.covers(pattern));
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(covered))
}
