//! File formats of rule sets, and loading of rule set files.

use crate::error::ToolError;
use indigospur_rules::RuleSet;

/// A file format for rule sets besides TOML, which the tool always reads.
#[derive(Clone, Copy, Debug)]
pub struct RuleFormat {
    /// Suffix of the file names that have this format, including the dot.
    pub suffix: &'static str,
    /// Parses and checks the content of a file; returns all problems if it is invalid.
    pub parse: fn(&[u8]) -> Result<RuleSet, Vec<String>>,
}

/// The formats besides TOML that a program reads.
pub(crate) type Formats<'a> = &'a [RuleFormat];

/// Loads and checks a rule set file; the format follows from the suffix of the path.
pub(crate) fn load_rules(path: &str, formats: Formats<'_>) -> Result<RuleSet, ToolError> {
    let Some(format) = format_of(path, formats) else {
        return load_toml(path).map(|(_, rules)| rules);
    };
    let body = std::fs::read(path);
    let body = body.map_err(|error| ToolError::UnreadableFile(path.to_owned(), error))?;
    (format.parse)(&body)
        .map_err(|problems| ToolError::InvalidDocument(path.to_owned(), problems.join("\n")))
}

/// Loads and checks a rule set file for publishing, which must be TOML; returns its text too.
pub(crate) fn load_publishable(
    path: &str,
    formats: Formats<'_>,
) -> Result<(String, RuleSet), ToolError> {
    if format_of(path, formats).is_some() {
        return Err(ToolError::NotPublishable(path.to_owned()));
    }
    load_toml(path)
}

/// Returns the format that the suffix of the path stands for; `None` for TOML.
fn format_of<'a>(path: &str, formats: Formats<'a>) -> Option<&'a RuleFormat> {
    formats.iter().find(|format| path.ends_with(format.suffix))
}

fn load_toml(path: &str) -> Result<(String, RuleSet), ToolError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| ToolError::UnreadableFile(path.to_owned(), error))?;
    let rules = indigospur_rules::parse(path, &text).map_err(ToolError::InvalidRules)?;
    Ok((text, rules))
}
