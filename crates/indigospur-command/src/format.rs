//! Formats in which rule sets are written.

use crate::failure::ToolError;
use indigospur_rules::RuleSet;

/// A format beside the tool's own, which is TOML.
#[derive(Clone, Copy, Debug)]
pub struct Format {
    /// Ending of the names of its files, with the point.
    pub ending: &'static str,
    /// Reads a rule set, or tells all that is wrong with it.
    pub read: fn(&[u8]) -> Result<RuleSet, Vec<String>>,
}

/// The formats that a program knows.
pub(crate) type Formats<'a> = &'a [Format];

/// Reads a file with a rule set, in the format that its name tells, and checks it.
pub(crate) fn load_rules(path: &str, formats: Formats<'_>) -> Result<RuleSet, ToolError> {
    let Some(format) = format_of(path, formats) else {
        return load_own(path).map(|(_, rules)| rules);
    };
    let body = std::fs::read(path);
    let body = body.map_err(|error| ToolError::Unreadable(path.to_owned(), error))?;
    (format.read)(&body)
        .map_err(|problems| ToolError::Document(path.to_owned(), problems.join("\n")))
}

/// Reads a rule set that is to be published, in the tool's own format; its text too.
pub(crate) fn load_text(path: &str, formats: Formats<'_>) -> Result<(String, RuleSet), ToolError> {
    if format_of(path, formats).is_some() {
        return Err(ToolError::Foreign(path.to_owned()));
    }
    load_own(path)
}

/// The format that a file's name tells; `None` for the tool's own.
fn format_of<'a>(path: &str, formats: Formats<'a>) -> Option<&'a Format> {
    formats.iter().find(|format| path.ends_with(format.ending))
}

fn load_own(path: &str) -> Result<(String, RuleSet), ToolError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| ToolError::Unreadable(path.to_owned(), error))?;
    let rules = indigospur_rules::parse(path, &text).map_err(ToolError::Problems)?;
    Ok((text, rules))
}
