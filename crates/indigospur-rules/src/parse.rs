//! Parses and validates rule sets in TOML.

use crate::check::check_rule;
use crate::condition::Condition;
use crate::pattern::Pattern;
use crate::set::{CallerLimits, Rule, RuleParts, RuleSet};
use crate::treatment::{Action, ShedOrder, Target};
use crate::workspace::{KeyDigest, Quota, Workspace, Workspaces};
use indigospur_document::{Document, Problems, Reader};
use indigospur_protocol::Class;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a rule set's text, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Names of the classes of a rule set that defines none.
const DEFAULT_CLASSES: [&str; 3] = ["protected", "normal", "background"];
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const MAX_CLASSES: usize = 16;
const MAX_WEIGHT: u64 = 1_000_000;
/// Smallest limit on a request's head that a rule set can set.
const MIN_HEAD_BYTES: u64 = 1_024;
const MAX_HEAD_BYTES: u64 = 1_024 * 1_024;
const MAX_BODY_BYTES: u64 = 1_024 * 1_024 * 1_024;
const MAX_RETRIES: u64 = 10;
const MAX_SHARE: u64 = 1_000;

/// Parses and validates a rule set. `file` is the name given in problems.
///
/// # Errors
/// All problems found, each with line and key.
pub fn parse(file: &str, text: &str) -> Result<RuleSet, Problems> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(too_large(file, text.len()));
    }
    let document = Document::parse(file, text)?;
    let root = document.reader();
    let classes = read_classes(&root);
    let default_class = read_class(&root, "default-class", &classes);
    let rules = read_rules(&root, &classes);
    let refuse_unmatched = read_unmatched(&root);
    let callers = read_callers(root.table("callers"));
    let workspaces = read_workspaces(&root, &classes);
    root.finish();
    let default_class = default_class.unwrap_or_else(|| fallback_class(&classes));
    let parts = RuleParts {
        classes,
        default_class,
        rules,
        refuse_unmatched,
        callers,
        workspaces,
    };
    document.into_problems().into_result(RuleSet::new(parts))
}

fn too_large(file: &str, size: usize) -> Problems {
    Problems(vec![indigospur_document::Problem {
        file: file.to_owned(),
        line: 0,
        key: String::new(),
        found: format!("the rule set has {size} bytes"),
        allowed: format!("at most {MAX_TEXT_BYTES} bytes are allowed"),
    }])
}

/// Whether calls that no rule matches are refused.
fn read_unmatched(root: &Reader<'_>) -> bool {
    let Some(unmatched) = root.string("unmatched") else {
        return false;
    };
    match &*unmatched {
        "refuse" => true,
        "default" => false,
        other => {
            let found = format!("\"{other}\" is not allowed");
            root.reject("unmatched", found, "expected default or refuse");
            false
        }
    }
}

fn read_callers(callers: Reader<'_>) -> CallerLimits {
    let timeouts = Duration::from_millis(100)..=MAX_DEADLINE;
    let limits = CallerLimits {
        head: callers.integer("head", MIN_HEAD_BYTES..=MAX_HEAD_BYTES),
        body: callers.integer("body", 0..=MAX_BODY_BYTES),
        message: callers.duration("message", timeouts.clone()),
        idle: callers.duration("idle", timeouts),
    };
    callers.finish();
    limits
}

/// Default class of a rule set without `default-class`: the second class, or the only one.
fn fallback_class(classes: &[Arc<str>]) -> Class {
    ((classes.len().saturating_sub(1)).min(1)) as Class
}

fn read_classes(root: &Reader<'_>) -> Vec<Arc<str>> {
    let classes = root.strings("classes");
    for (index, class) in classes.iter().enumerate() {
        if classes[..index].contains(class) {
            root.reject(
                "classes",
                format!("duplicate class \"{class}\""),
                "list each class only once",
            );
        }
    }
    if classes.len() > MAX_CLASSES {
        root.reject(
            "classes",
            format!("{} classes are listed", classes.len()),
            format!("at most {MAX_CLASSES} are allowed"),
        );
    }
    if classes.is_empty() {
        DEFAULT_CLASSES.map(Arc::from).to_vec()
    } else {
        classes
    }
}

fn read_class(reader: &Reader<'_>, key: &str, classes: &[Arc<str>]) -> Option<Class> {
    let name = reader.string(key)?;
    let index = classes.iter().position(|class| *class == name);
    if index.is_none() {
        let allowed = format!("expected one of {}", classes.join(", "));
        reader.reject(key, format!("unknown class \"{name}\""), allowed);
    }
    index.and_then(|index| Class::try_from(index).ok())
}

fn read_rules(root: &Reader<'_>, classes: &[Arc<str>]) -> Vec<Rule> {
    let mut rules: Vec<Rule> = Vec::new();
    for reader in root.tables("rule") {
        let rule = Rule {
            name: reader.required_string("name"),
            when: read_condition(reader.table("when"), classes),
            then: read_action(reader.table("then"), classes),
        };
        check_rule(&reader, &rules, &rule);
        reader.finish();
        rules.push(rule);
    }
    rules
}

fn read_workspaces(root: &Reader<'_>, classes: &[Arc<str>]) -> Workspaces {
    let mut workspaces = Workspaces::default();
    for reader in root.tables("workspace") {
        let name = reader.required_string("name");
        if !name.is_empty() && !Workspace::is_valid_name(&name) {
            let allowed = "give a name without control characters and outer white space";
            reader.reject("name", "the name can't be sent in a header", allowed);
        }
        let allowed = "expected a list of digests: sha256: and 64 hexadecimal digits each";
        let keys = reader.secrets("keys", allowed, KeyDigest::from_text);
        let is_new = workspaces.get(&name).is_none();
        let workspace = Workspace {
            class: read_class(&reader, "class", classes),
            quota: read_quota(&reader),
            name,
        };
        if !is_new {
            let found = format!("duplicate workspace name \"{}\"", workspace.name);
            reader.reject("name", found, "give each workspace a unique name");
        } else if !workspaces.insert(workspace, keys) {
            let found = "a key of this workspace is a key of an earlier one as well";
            reader.reject("keys", found, "list each key for one workspace only");
        }
        reader.finish();
    }
    workspaces
}

/// Reads the limit on the requests of a workspace; without a rate, or with a rate of zero, there is none.
fn read_quota(workspace: &Reader<'_>) -> Option<Quota> {
    let rate = workspace.amount("rate");
    let burst = workspace.amount("burst").unwrap_or(0.0);
    if workspace.contains("burst") && !workspace.contains("rate") {
        workspace.reject("burst", "there is no rate", "set rate too, or remove burst");
    }
    let rate = rate.filter(|rate| *rate > 0.0)?;
    Some(Quota { rate, burst })
}

fn read_condition(when: Reader<'_>, classes: &[Arc<str>]) -> Condition {
    let condition = Condition {
        services: patterns(&when, "service"),
        hosts: patterns(&when, "host"),
        methods: patterns(&when, "method"),
        paths: patterns(&when, "path"),
        customers: patterns(&when, "customer"),
        class: read_class(&when, "class", classes),
        idempotent: when.boolean("idempotent"),
        min_attempt: to_u32(when.integer("attempt-at-least", 0..=100)).unwrap_or(0),
    };
    when.finish();
    condition
}

fn read_action(then: Reader<'_>, classes: &[Arc<str>]) -> Action {
    // Rule sets written for earlier versions may have it; no decision depends on it.
    then.duration("objective", Duration::from_millis(1)..=MAX_DEADLINE);
    let action = Action {
        class: read_class(&then, "class", classes),
        deadline: then.duration("deadline", Duration::from_millis(1)..=MAX_DEADLINE),
        retries: to_u32(then.integer("retries", 0..=MAX_RETRIES)),
        attempts: to_u32(then.integer("attempts", 1..=MAX_RETRIES + 1)),
        shed: read_shed(&then),
        share: to_u32(then.integer("share", 1..=MAX_SHARE)),
        idempotent: then.boolean("idempotent"),
        at_most_once: then.boolean("at-most-once"),
        waits: then.boolean("waits"),
        targets: read_targets(&then),
        public: then.boolean("public").unwrap_or(false),
    };
    then.finish();
    action
}

/// Reads `service` or `split`, which exclude each other.
fn read_targets(then: &Reader<'_>) -> Arc<[Target]> {
    let single = then
        .string("service")
        .map(|service| Target { service, weight: 1 });
    let mut targets: Vec<Target> = Vec::new();
    for part in then.tables("split") {
        let service = part.required_string("service");
        let weight = to_u32(part.integer("weight", 1..=MAX_WEIGHT)).unwrap_or(1);
        part.finish();
        targets.push(Target { service, weight });
    }
    if single.is_some() && !targets.is_empty() {
        then.reject(
            "split",
            "service is set as well",
            "set service or split, not both",
        );
    }
    targets.extend(single);
    targets.into()
}

fn read_shed(then: &Reader<'_>) -> Option<ShedOrder> {
    match &*then.string("shed")? {
        "first" => Some(ShedOrder::First),
        "usual" => Some(ShedOrder::Usual),
        "last" => Some(ShedOrder::Last),
        other => {
            then.reject(
                "shed",
                format!("\"{other}\" is not allowed"),
                "expected first, usual or last",
            );
            None
        }
    }
}

fn patterns(reader: &Reader<'_>, key: &str) -> Vec<Pattern> {
    reader.strings(key).into_iter().map(Pattern::new).collect()
}

fn to_u32(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}
