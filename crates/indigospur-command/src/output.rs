//! Output of commands: text or, with `--json`, JSON.

use serde::Serialize;

/// Output of a command in both formats.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    text: String,
    json: String,
}

impl Output {
    /// Creates an output from its text and the value to serialise as JSON.
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Output {
        Output {
            text: text.into(),
            json: serde_json::to_string(value).unwrap_or_default(),
        }
    }

    /// Returns the JSON or the text.
    pub(crate) fn render(self, json: bool) -> String {
        if json { self.json } else { self.text }
    }
}
