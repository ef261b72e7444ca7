//! Validation of a rule against the rules before it and for contradictions in itself.

use crate::set::Rule;
use indigospur_document::Reader;

/// Reports the problems of `rule` to `reader`: a name already used in `earlier`, a condition that
/// these rules cover, or an action that contradicts itself.
pub fn check_rule(reader: &Reader<'_>, earlier: &[Rule], rule: &Rule) {
    if earlier.iter().any(|other| other.name == rule.name) {
        let found = format!("duplicate rule name \"{}\"", rule.name);
        reader.reject("name", found, "give each rule a unique name");
    }
    if let Some(wider) = earlier.iter().find(|other| other.when.covers(&rule.when)) {
        let found = format!(
            "unreachable: the earlier rule \"{}\" matches all calls of this one",
            wider.name
        );
        reader.reject_table(found, "move this rule up or narrow the earlier one");
    }
    let at_most_once = rule.then.at_most_once == Some(true);
    if at_most_once && rule.then.idempotent == Some(true) {
        let allowed = "remove idempotent or at-most-once";
        reader.reject_table("a call that runs at most once can't be idempotent", allowed);
    }
    if at_most_once && rule.then.class != Some(0) {
        let found =
            "at-most-once calls of any class but the first would be shed before other calls";
        reader.reject_table(found, "set class to the first of the classes");
    }
}
