//! `indigospur check`: checks a rule set for errors without publishing it.

use crate::error::ToolError;
use crate::example::Example;
use crate::format::{Formats, load_rules};
use crate::output::Output;
use crate::workspace_report::WorkspaceReport;
use bpaf::Bpaf;
use serde::Serialize;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "check examples/lisbon/rules.toml",
    description: "Checks the rule set of the Lisbon example",
}];

/// Check a rule set for errors without publishing it
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer("Example: indigospur check examples/lisbon/rules.toml")
)]
pub(crate) struct Check {
    /// File with the rule set: TOML, or the platform's configuration if the name ends in .json
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
struct CheckReport<'a> {
    file: &'a str,
    rules: usize,
    classes: Vec<String>,
    workspaces: Vec<WorkspaceReport<'a>>,
}

impl Check {
    pub(crate) fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let rules = load_rules(&self.file, formats)?;
        let classes: Vec<String> = rules.classes.iter().map(ToString::to_string).collect();
        let mut text = format!(
            "{}: ok, {} rules, classes {}",
            self.file,
            rules.rules.len(),
            classes.join(", ")
        );
        let workspaces = WorkspaceReport::all(&rules);
        for workspace in &workspaces {
            text.push_str(&format!("\n  workspace {}", workspace.describe()));
        }
        Ok(Output::new(
            text,
            &CheckReport {
                file: &self.file,
                rules: rules.rules.len(),
                classes,
                workspaces,
            },
        ))
    }
}
