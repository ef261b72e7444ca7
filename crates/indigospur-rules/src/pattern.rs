//! Text patterns in which `*` stands for any run of characters.

use std::sync::Arc;

/// How the text of a pattern is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// As a whole.
    Exact,
    /// As the start.
    Prefix,
    /// Each `*` stands for any run of characters.
    Wild,
}

/// A text pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    text: Arc<str>,
    form: Form,
}

impl Pattern {
    /// A pattern; each `*` in `text` stands for any run of characters.
    pub fn new(text: Arc<str>) -> Pattern {
        let form = if text.contains('*') {
            Form::Wild
        } else {
            Form::Exact
        };
        Pattern { text, form }
    }

    /// A pattern for every text that starts with `text`, in which `*` has no meaning.
    pub fn prefix(text: Arc<str>) -> Pattern {
        let form = Form::Prefix;
        Pattern { text, form }
    }

    /// The pattern's text if only this text matches.
    pub fn exact(&self) -> Option<&Arc<str>> {
        (self.form == Form::Exact).then_some(&self.text)
    }

    /// The pattern as written.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether the whole of `text` matches.
    pub fn matches(&self, text: &str) -> bool {
        match self.form {
            Form::Exact => &*self.text == text,
            Form::Prefix => text.starts_with(&*self.text),
            Form::Wild => matches_parts(&self.text, text),
        }
    }

    /// Whether each text that matches `other` matches this pattern too; may be wrongly false.
    pub fn covers(&self, other: &Pattern) -> bool {
        match (self.form, other.form) {
            (Form::Exact, _) => self == other,
            (Form::Prefix, _) => other.text.starts_with(&*self.text) && other.form != Form::Wild,
            (Form::Wild, Form::Prefix) => matches_parts(&self.text, &format!("{}*", other.text)),
            (Form::Wild, _) => self.text == other.text || matches_parts(&self.text, &other.text),
        }
    }
}

fn matches_parts(pattern: &str, text: &str) -> bool {
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
