//! Text patterns in which `*` matches any number of characters.

use std::sync::Arc;

/// How a pattern is compared with a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Equal to the pattern's text.
    Exact,
    /// Starts with the pattern's text, in which `*` is a plain character.
    Prefix,
    /// Each `*` matches any number of characters, also none.
    Wildcard,
}

/// A pattern for services, hosts, methods, paths or customers; case-sensitive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    text: Arc<str>,
    form: Form,
}

impl Pattern {
    /// Creates a pattern in which each `*` matches any number of characters, also none.
    pub fn new(text: Arc<str>) -> Pattern {
        let form = if text.contains('*') {
            Form::Wildcard
        } else {
            Form::Exact
        };
        Pattern { text, form }
    }

    /// Creates a pattern that matches every text that starts with `text`; a `*` in it is a plain
    /// character.
    pub fn prefix(text: Arc<str>) -> Pattern {
        let form = Form::Prefix;
        Pattern { text, form }
    }

    /// The only text that matches, or `None` if the pattern is a prefix or has a wildcard.
    pub fn exact(&self) -> Option<&Arc<str>> {
        (self.form == Form::Exact).then_some(&self.text)
    }

    /// The pattern's text as given on creation.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether the pattern matches the whole of `text`.
    pub fn matches(&self, text: &str) -> bool {
        match self.form {
            Form::Exact => &*self.text == text,
            Form::Prefix => text.starts_with(&*self.text),
            Form::Wildcard => matches_wildcard(&self.text, text),
        }
    }

    /// Whether this pattern matches every text that `other` matches. Conservative: may return false
    /// although it does, but never true when it does not.
    pub fn covers(&self, other: &Pattern) -> bool {
        match (self.form, other.form) {
            (Form::Exact, _) => self == other,
            (Form::Prefix, _) => {
                other.text.starts_with(&*self.text) && other.form != Form::Wildcard
            }
            (Form::Wildcard, Form::Prefix) => {
                matches_wildcard(&self.text, &format!("{}*", other.text))
            }
            (Form::Wildcard, _) => {
                self.text == other.text || matches_wildcard(&self.text, &other.text)
            }
        }
    }
}

fn matches_wildcard(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split('*');
    let first = parts.next().unwrap_or_default();
    let Some(mut rest) = text.strip_prefix(first) else {
        return false;
    };
    let Some(last) = parts.next_back() else {
        return rest.is_empty();
    };
    for part in parts {
        let Some(found) = rest.find(part) else {
            return false;
        };
        rest = &rest[found + part.len()..];
    }
    rest.len() >= last.len() && rest.ends_with(last)
}
