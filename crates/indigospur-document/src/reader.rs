//! Typed access to the keys of a TOML document, which collects problems instead of stopping at the
//! first.

use crate::duration::{format_duration, parse_duration};
use crate::problem::{Problem, Problems};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A parsed TOML document and the problems found in it so far.
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    root: DeTable<'a>,
    problems: RefCell<Vec<Problem>>,
}

impl<'a> Document<'a> {
    /// Parses `text`. `file` is the file name given in problems.
    ///
    /// # Errors
    /// One problem, if `text` is not valid TOML.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Document<'a>, Problems> {
        match DeTable::parse(text) {
            Ok(root) => Ok(Document {
                file,
                text,
                root: root.into_inner(),
                problems: RefCell::default(),
            }),
            Err(error) => Err(Problems(vec![Problem {
                file: file.to_owned(),
                line: error.span().map_or(0, |span| line_of(text, span.start)),
                key: String::new(),
                found: error.message().to_owned(),
                allowed: "the file must be valid TOML 1.0".to_owned(),
            }])),
        }
    }

    /// Returns a reader of the root table.
    pub fn reader(&self) -> Reader<'_> {
        Reader {
            document: self,
            path: String::new(),
            table: Some(&self.root),
            start: 0,
            known_keys: RefCell::default(),
        }
    }

    /// Returns the problems found so far.
    pub fn into_problems(self) -> Problems {
        Problems(self.problems.into_inner())
    }

    fn report(&self, key: String, start: usize, found: String, allowed: String) {
        let line = line_of(self.text, start);
        let file = self.file.to_owned();
        self.problems.borrow_mut().push(Problem {
            file,
            line,
            key,
            found,
            allowed,
        });
    }
}

fn line_of(text: &str, start: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(start)
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// Reads the keys of one table. Values of the wrong type or out of range are reported as problems
/// of the document and read as absent.
pub struct Reader<'a> {
    document: &'a Document<'a>,
    path: String,
    table: Option<&'a DeTable<'a>>,
    /// Byte offset of the table in the document's text.
    start: usize,
    /// Keys read so far, present or not.
    known_keys: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    /// Whether the table has the key. Does not mark it as known.
    pub fn contains(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(key))
    }

    /// Reports a problem of the value at `key`: what was found, and what is allowed or how to fix
    /// it.
    pub fn reject(&self, key: &str, found: impl Into<String>, allowed: impl Into<String>) {
        let start = self.get(key).map_or(self.start, |value| value.span().start);
        self.document
            .report(self.key_path(key), start, found.into(), allowed.into());
    }

    /// Reports a problem of the whole table, as [`Reader::reject`] does for a key.
    pub fn reject_table(&self, found: impl Into<String>, allowed: impl Into<String>) {
        self.document
            .report(self.path.clone(), self.start, found.into(), allowed.into());
    }

    /// Reads a non-empty string, if present.
    pub fn string(&self, key: &str) -> Option<Arc<str>> {
        let value = self.read(key)?;
        match value.get_ref() {
            DeValue::String(text) if !text.is_empty() => Some(text.as_ref().into()),
            other => self.reject_value(key, other, "expected a non-empty string"),
        }
    }

    /// Reads a non-empty string. Reports a problem and returns an empty string if it is missing.
    pub fn required_string(&self, key: &str) -> Arc<str> {
        self.require(key, "a non-empty string");
        self.string(key).unwrap_or_default()
    }

    /// Reads a boolean, if present.
    pub fn boolean(&self, key: &str) -> Option<bool> {
        let value = self.read(key)?;
        match value.get_ref() {
            DeValue::Boolean(boolean) => Some(*boolean),
            other => self.reject_value(key, other, "expected true or false"),
        }
    }

    /// Reads an integer within `range`, if present.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.read(key)?;
        let allowed = format!(
            "expected an integer from {} to {}",
            range.start(),
            range.end()
        );
        match value.get_ref() {
            DeValue::Integer(integer) => match integer.as_str().parse() {
                Ok(number) if range.contains(&number) => Some(number),
                _ => self.reject_value(key, value.get_ref(), &allowed),
            },
            other => self.reject_value(key, other, &allowed),
        }
    }

    /// Reads a finite number of at least zero, with or without a fraction, if present.
    pub fn amount(&self, key: &str) -> Option<f64> {
        let value = self.read(key)?;
        let number: Option<f64> = match value.get_ref() {
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().parse().ok(),
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => None,
        };
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        number.or_else(|| {
            self.reject_value(
                key,
                value.get_ref(),
                "expected a finite number from zero on",
            )
        })
    }

    /// Reads a duration within `range`, if present.
    pub fn duration(&self, key: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
        let value = self.read(key)?;
        let (low, high) = (
            format_duration(*range.start()),
            format_duration(*range.end()),
        );
        let allowed =
            format!("expected a duration from {low} to {high}, such as \"250ms\" or \"5s\"");
        match value.get_ref() {
            DeValue::String(text) => match parse_duration(text) {
                Some(duration) if range.contains(&duration) => Some(duration),
                _ => self.reject_value(key, value.get_ref(), &allowed),
            },
            other => self.reject_value(key, other, &allowed),
        }
    }

    /// Reads a list of strings and converts each; empty if the key is absent. A value that `convert`
    /// rejects is reported without showing it, since it could be a secret in place of what is expected.
    pub fn secrets<T>(
        &self,
        key: &str,
        allowed: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.read(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.reject(key, "not a list", allowed);
            return Vec::new();
        };
        let converted = items.iter().enumerate().map(|(index, item)| {
            let converted = match item.get_ref() {
                DeValue::String(text) => convert(text),
                _ => None,
            };
            if converted.is_none() {
                let found = format!("entry {} of the list is not allowed", index + 1);
                self.document.report(
                    self.key_path(key),
                    item.span().start,
                    found,
                    allowed.to_owned(),
                );
            }
            converted
        });
        converted.flatten().collect()
    }

    /// Reads a non-empty string or a list of them; empty if the key is absent.
    pub fn strings(&self, key: &str) -> Vec<Arc<str>> {
        let Some(value) = self.read(key) else {
            return Vec::new();
        };
        let allowed = "expected a non-empty string or a list of them";
        let items = match value.get_ref() {
            DeValue::Array(items) => items.iter().map(Spanned::get_ref).collect(),
            single => vec![single],
        };
        if items.is_empty() {
            self.reject(key, "the list is empty", allowed);
        }
        let texts = items.iter().map(|item| match item {
            DeValue::String(text) if !text.is_empty() => Some(text.as_ref().into()),
            other => self.reject_value(key, other, allowed),
        });
        texts.flatten().collect()
    }

    /// Returns a reader of the table at `key`, which reads as empty if the key is absent.
    pub fn table(&self, key: &str) -> Reader<'a> {
        let value = self.read(key);
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => self.reject_value(key, other, "expected a table"),
        });
        let start = value.map_or(self.start, |value| value.span().start);
        self.child(self.key_path(key), table, start)
    }

    /// Returns readers of the tables in the array at `key`; none if the key is absent.
    pub fn tables(&self, key: &str) -> Vec<Reader<'a>> {
        let Some(value) = self.read(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.reject(
                key,
                "not an array of tables",
                format!("write [[{key}]] above each table"),
            );
            return Vec::new();
        };
        let readers = items.iter().enumerate().map(|(index, item)| {
            let path = format!("{}[{}]", self.key_path(key), index + 1);
            let DeValue::Table(table) = item.get_ref() else {
                self.reject(
                    key,
                    "an entry of the array is not a table",
                    format!("write [[{key}]] above each table"),
                );
                return self.child(path, None, item.span().start);
            };
            self.child(path, Some(table), item.span().start)
        });
        readers.collect()
    }

    /// Reports every key of the table that was never read as unknown.
    pub fn finish(self) {
        let known_keys = self.known_keys.borrow();
        let known: Vec<&str> = known_keys.iter().map(String::as_str).collect();
        let Some(table) = self.table else { return };
        for key in table.keys() {
            if !known_keys.contains(key.get_ref().as_ref()) {
                let path = self.key_path(key.get_ref());
                let allowed = format!("expected one of {}", known.join(", "));
                self.document
                    .report(path, key.span().start, "unknown key".to_owned(), allowed);
            }
        }
    }

    fn require(&self, key: &str, kind: &str) {
        if !self.contains(key) {
            self.reject(key, "missing", format!("set it to {kind}"));
        }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.get(key)
    }

    fn read(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.borrow_mut().insert(key.to_owned());
        self.get(key)
    }

    fn reject_value<T>(&self, key: &str, value: &DeValue<'_>, allowed: &str) -> Option<T> {
        self.reject(key, format!("{} is not allowed", describe(value)), allowed);
        None
    }

    fn child(&self, path: String, table: Option<&'a DeTable<'a>>, start: usize) -> Reader<'a> {
        Reader {
            document: self.document,
            path,
            table,
            start,
            known_keys: RefCell::default(),
        }
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("\"{text}\""),
        DeValue::Integer(integer) => integer.to_string(),
        DeValue::Float(float) => float.to_string(),
        DeValue::Boolean(boolean) => boolean.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}
