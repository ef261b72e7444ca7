//! What the tool shows of a workspace. Digests of keys are never shown.

use indigospur_rules::{RuleSet, Workspace};
use serde::Serialize;

#[derive(Serialize)]
pub(crate) struct WorkspaceReport<'a> {
    name: &'a str,
    /// Class in place of that of the rules.
    class: Option<&'a str>,
    /// Requests a second over all hosts; `None` if they are not limited.
    rate: Option<f64>,
    /// Requests that may come at once on top of the rate.
    burst: Option<f64>,
}

impl<'a> WorkspaceReport<'a> {
    pub(crate) fn new(rules: &'a RuleSet, workspace: &'a Workspace) -> WorkspaceReport<'a> {
        WorkspaceReport {
            name: &workspace.name,
            class: workspace.class.map(|class| rules.class_name(class)),
            rate: workspace.quota.map(|quota| quota.rate),
            burst: workspace.quota.map(|quota| quota.burst),
        }
    }

    /// Reports on all workspaces of a rule set, by name.
    pub(crate) fn all(rules: &'a RuleSet) -> Vec<WorkspaceReport<'a>> {
        let workspaces = rules.workspaces.iter();
        let mut reports: Vec<_> = workspaces
            .map(|workspace| WorkspaceReport::new(rules, workspace))
            .collect();
        reports.sort_by_key(|report| report.name);
        reports
    }

    pub(crate) fn describe(&self) -> String {
        let class = self.class.unwrap_or("of the rule");
        let quota = match (self.rate, self.burst) {
            (Some(rate), Some(burst)) => format!("{rate} requests a second, burst {burst}"),
            _ => "no limit".to_owned(),
        };
        format!("{}: class {class}, {quota}", self.name)
    }
}
