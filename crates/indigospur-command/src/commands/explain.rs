//! `indigospur explain`: which rule a call would hit, and why.

use crate::example::Example;
use crate::failure::ToolError;
use crate::format::{Formats, load_rules};
use crate::output::Output;
use bpaf::Bpaf;
use indigospur_document::format_duration;
use indigospur_protocol::is_idempotent_method;
use indigospur_rules::{CallAttributes, Decision, RuleSet};
use serde::Serialize;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    line: "explain examples/lisbon/rules.toml --service contracts --method POST --path /sign",
    does: "Tells which rule a signature hits",
}];

/// Tell which rule a call would hit, and how the call would be treated
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer(
        "Example: indigospur explain rules.toml --service contracts --method POST --path /sign"
    )
)]
pub(crate) struct Explain {
    /// Service the call is for, where the caller names one
    #[bpaf(argument("NAME"), fallback(String::new()))]
    service: String,
    /// Host name the call is addressed to
    #[bpaf(argument("NAME"), fallback(String::new()))]
    host: String,
    /// HTTP method
    #[bpaf(argument("METHOD"), fallback("GET".to_owned()), display_fallback)]
    method: String,
    /// Path
    #[bpaf(argument("PATH"), fallback("/".to_owned()), display_fallback)]
    path: String,
    /// Customer
    #[bpaf(argument("NAME"), fallback("anonymous".to_owned()), display_fallback)]
    customer: String,
    /// Class of the call above, for a call inside a chain
    #[bpaf(argument("CLASS"))]
    above: Option<String>,
    /// Times the caller has sent the request before
    #[bpaf(argument("N"), fallback(0))]
    attempt: u32,
    /// Rule set: TOML, or .json as the users' platform holds it
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Explained<'a> {
    rule: Option<&'a str>,
    /// No rule matches, and such calls are refused.
    refused: bool,
    /// Services that take the call, with their weights; empty for the one that the caller names.
    services: Vec<String>,
    class: &'a str,
    deadline: String,
    objective: String,
    retries: u32,
    idempotent: bool,
    at_most_once: bool,
    waits: bool,
    passed_over: Vec<&'a str>,
}

impl Explain {
    pub(crate) fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let rules = load_rules(&self.file, formats)?;
        let above = rules
            .classes
            .iter()
            .position(|class| Some(&**class) == self.above.as_deref());
        let decided = rules.decide(&CallAttributes {
            service: &self.service,
            host: &self.host,
            method: &self.method,
            path: &self.path,
            customer: &self.customer,
            parent_class: above.and_then(|index| u8::try_from(index).ok()),
            idempotent: is_idempotent_method(&self.method),
            attempt: self.attempt,
        });
        let explained = explain_decision(&rules, &decided);
        Ok(Output::new(describe(&explained), &explained))
    }
}

fn explain_decision<'a>(rules: &'a RuleSet, decided: &Decision) -> Explained<'a> {
    let treatment = &decided.treatment;
    let before = decided.rule.unwrap_or(rules.rules.len());
    Explained {
        rule: decided.rule.map(|index| &*rules.rules[index].name),
        refused: rules.refuse_unmatched && decided.rule.is_none(),
        services: treatment
            .targets
            .iter()
            .map(|target| format!("{} ({})", target.service, target.weight))
            .collect(),
        class: rules.class_name(treatment.class),
        deadline: format_duration(treatment.deadline),
        objective: format_duration(treatment.objective),
        retries: treatment.retries,
        idempotent: treatment.idempotent,
        at_most_once: treatment.at_most_once,
        waits: treatment.waits,
        passed_over: rules.rules[..before]
            .iter()
            .map(|rule| &*rule.name)
            .collect(),
    }
}

fn describe(explained: &Explained<'_>) -> String {
    let rule = match explained.rule {
        Some(name) => format!("rule \"{name}\" matches"),
        None if explained.refused => "no rule matches; the call is refused".to_owned(),
        None => "no rule matches; the defaults apply".to_owned(),
    };
    let services = match explained.services.len() {
        0 => String::new(),
        _ => format!("\n  service {}", explained.services.join(", ")),
    };
    let before = match explained.passed_over.len() {
        0 => String::new(),
        _ => format!(
            "\n  rules before it that do not match: {}",
            explained.passed_over.join(", ")
        ),
    };
    format!(
        "{rule}{before}{}\n  class {}\n  deadline {}\n  objective {}\n  retries {}\n  idempotent {}\n  at most once {}\n  waits {}",
        services,
        explained.class,
        explained.deadline,
        explained.objective,
        explained.retries,
        explained.idempotent,
        explained.at_most_once,
        explained.waits
    )
}
