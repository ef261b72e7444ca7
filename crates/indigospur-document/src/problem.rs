//! Problems of a document, with their location.

use std::fmt;

/// One problem of a document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Problem {
    /// File name as given by the user.
    pub file: String,
    /// Line, counted from one; zero if unknown.
    pub line: usize,
    /// Path of the key, such as `rule[2].when.service`, with the entries of a list counted from
    /// one; empty for the whole document.
    pub key: String,
    /// The problem, with the value found.
    pub found: String,
    /// The values that are allowed, or how to fix the problem.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}; {}", self.found, self.allowed)
    }
}

/// All problems of a document, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Returns `value` if there are no problems.
    ///
    /// # Errors
    /// The problems, if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Problems> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
