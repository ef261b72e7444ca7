//! Comparison of two TOML documents.

use std::collections::BTreeMap;
use toml::{Table, Value};

/// Dotted keys, such as `limits.body`, whose values differ between two TOML documents, sorted. A
/// text that is not valid TOML counts as an empty document.
pub fn changed_keys(before: &str, after: &str) -> Vec<String> {
    let (before, after) = (values(before), values(after));
    let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let changed = keys
        .into_iter()
        .filter(|key| before.get(*key) != after.get(*key));
    changed.cloned().collect()
}

fn values(text: &str) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    if let Ok(table) = text.parse::<Table>() {
        flatten("", table, &mut values);
    }
    values
}

fn flatten(path: &str, table: Table, values: &mut BTreeMap<String, Value>) {
    for (key, value) in table {
        let key = if path.is_empty() {
            key
        } else {
            format!("{path}.{key}")
        };
        match value {
            Value::Table(table) => flatten(&key, table, values),
            value => {
                values.insert(key, value);
            }
        }
    }
}
