//! `indigospur check`: checks a rule set without publishing it.

use crate::example::Example;
use crate::failure::ToolError;
use crate::format::{Formats, load_rules};
use crate::output::Output;
use bpaf::Bpaf;
use serde::Serialize;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    line: "check examples/lisbon/rules.toml",
    does: "Checks the rule set of the Lisbon example",
}];

/// Check a rule set without publishing it
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer("Example: indigospur check examples/lisbon/rules.toml")
)]
pub(crate) struct Check {
    /// Rule set: TOML, or .json as the users' platform holds it
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
struct Checked<'a> {
    file: &'a str,
    rules: usize,
    classes: Vec<String>,
}

impl Check {
    pub(crate) fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let rules = load_rules(&self.file, formats)?;
        let classes: Vec<String> = rules.classes.iter().map(ToString::to_string).collect();
        let text = format!(
            "{}: ok, {} rules, classes {}",
            self.file,
            rules.rules.len(),
            classes.join(", ")
        );
        Ok(Output::new(
            text,
            &Checked {
                file: &self.file,
                rules: rules.rules.len(),
                classes,
            },
        ))
    }
}
