//! `indigospur explain`: shows which rule matches a given call, and the resulting treatment.

use crate::error::ToolError;
use crate::example::Example;
use crate::format::{Formats, load_rules};
use crate::output::Output;
use crate::workspace_report::WorkspaceReport;
use bpaf::Bpaf;
use indigospur_document::format_duration;
use indigospur_protocol::is_idempotent_method;
use indigospur_rules::{CallAttributes, Decision, RuleSet};
use serde::Serialize;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "explain examples/lisbon/rules.toml --service contracts --method POST --path /sign",
    description: "Shows which rule matches a signature",
}];

/// Show which rule of a rule set matches a call, and how the call would be treated
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer(
        "Example: indigospur explain rules.toml --service contracts --method POST --path /sign"
    )
)]
pub(crate) struct Explain {
    /// Service that the caller names; without it, the call names none
    #[bpaf(argument("NAME"), fallback(String::new()))]
    service: String,
    /// Host name that the call is addressed to; without it, the call has none
    #[bpaf(argument("NAME"), fallback(String::new()))]
    host: String,
    /// HTTP method of the call
    #[bpaf(argument("METHOD"), fallback("GET".to_owned()), display_fallback)]
    method: String,
    /// Path of the call's URL, without the query
    #[bpaf(argument("PATH"), fallback("/".to_owned()), display_fallback)]
    path: String,
    /// Customer on whose behalf the call is made; the workspace whose key the caller sends, if the rule
    /// set has workspaces
    #[bpaf(argument("NAME"), fallback("anonymous".to_owned()), display_fallback)]
    customer: String,
    /// Class of the parent call; without it, the call is the first of its chain
    #[bpaf(argument("CLASS"))]
    above: Option<String>,
    /// Number of times the caller has already sent the same request
    #[bpaf(argument("N"), fallback(0))]
    attempt: u32,
    /// File with the rule set: TOML, or the platform's configuration if the name ends in .json
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Explanation<'a> {
    rule: Option<&'a str>,
    /// Whether the call is refused because no rule matches it.
    refused: bool,
    /// Services that the call may be routed to, each with its weight; empty if the call goes to the
    /// service that the caller names.
    services: Vec<String>,
    class: &'a str,
    deadline: String,
    retries: u32,
    idempotent: bool,
    at_most_once: bool,
    waits: bool,
    /// Whether the caller needs no key, where the rule set has workspaces.
    public: bool,
    /// Workspace that the call is made for; a nested call inherits it.
    workspace: Option<WorkspaceReport<'a>>,
    /// Whether the call is refused because it needs the key of a workspace.
    unauthenticated: bool,
    /// Names of the rules before the matching one, or of all rules if none matches.
    passed_over: Vec<&'a str>,
}

impl Explain {
    pub(crate) fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let rules = load_rules(&self.file, formats)?;
        let parent_class = rules
            .classes
            .iter()
            .position(|class| Some(&**class) == self.above.as_deref());
        let decision = rules.decide(&CallAttributes {
            service: &self.service,
            host: &self.host,
            method: &self.method,
            path: &self.path,
            customer: &self.customer,
            parent_class: parent_class.and_then(|index| u8::try_from(index).ok()),
            idempotent: is_idempotent_method(&self.method),
            attempt: self.attempt,
        });
        let mut explanation = explain_decision(&rules, &decision);
        let workspace = rules.workspaces.get(&self.customer);
        explanation.unauthenticated = !rules.workspaces.is_empty()
            && self.above.is_none()
            && workspace.is_none()
            && !explanation.public
            && !explanation.refused;
        explanation.workspace = workspace.map(|workspace| WorkspaceReport::new(&rules, workspace));
        Ok(Output::new(describe(&explanation), &explanation))
    }
}

fn explain_decision<'a>(rules: &'a RuleSet, decision: &Decision) -> Explanation<'a> {
    let treatment = &decision.treatment;
    let match_index = decision.rule.unwrap_or(rules.rules.len());
    Explanation {
        rule: decision.rule.map(|index| &*rules.rules[index].name),
        refused: rules.refuse_unmatched && decision.rule.is_none(),
        services: treatment
            .targets
            .iter()
            .map(|target| format!("{} ({})", target.service, target.weight))
            .collect(),
        class: rules.class_name(treatment.class),
        deadline: format_duration(treatment.deadline),
        retries: treatment.retries,
        idempotent: treatment.idempotent,
        at_most_once: treatment.at_most_once,
        waits: treatment.waits,
        public: treatment.public,
        workspace: None,
        unauthenticated: false,
        passed_over: rules.rules[..match_index]
            .iter()
            .map(|rule| &*rule.name)
            .collect(),
    }
}

fn describe(explanation: &Explanation<'_>) -> String {
    let rule = match explanation.rule {
        Some(name) => format!("rule \"{name}\" matches"),
        None if explanation.refused => "no rule matches; the call is refused".to_owned(),
        None => "no rule matches; the defaults apply".to_owned(),
    };
    let services = match explanation.services.len() {
        0 => String::new(),
        _ => format!("\n  service {}", explanation.services.join(", ")),
    };
    let workspace = match &explanation.workspace {
        Some(workspace) => format!("\n  workspace {}", workspace.describe()),
        None if explanation.unauthenticated => {
            "\n  no workspace; the call is refused, as its caller needs a key".to_owned()
        }
        None if explanation.public => "\n  public; its caller needs no key".to_owned(),
        None => String::new(),
    };
    let passed_over = match explanation.passed_over.len() {
        0 => String::new(),
        _ => format!(
            "\n  evaluated rules that do not match: {}",
            explanation.passed_over.join(", ")
        ),
    };
    format!(
        "{rule}{passed_over}{workspace}{}\n  class {}\n  deadline {}\n  retries {}\n  idempotent {}\n  at most once {}\n  waits {}",
        services,
        explanation.class,
        explanation.deadline,
        explanation.retries,
        explanation.idempotent,
        explanation.at_most_once,
        explanation.waits
    )
}
