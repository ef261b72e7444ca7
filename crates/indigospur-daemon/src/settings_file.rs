//! The settings file, which may change while the daemon runs.

use crate::error::StartError;
use crate::settings::Settings;
use displaydoc::Display;
use indigospur_document::{Problems, changed_keys};
use std::io;

/// Parses a settings file from its name and text into the daemon's settings and those of the program
/// that embeds it.
pub type ParseSettings<T> = fn(&str, &str) -> Result<(Settings, T), Problems>;

/// Prefixes of keys that change only at a restart.
const FIXED_PREFIXES: [&str; 3] = ["host.", "listen.", "keys."];

/// Key that changes only at a restart if the daemon runs keys at most once: epochs and leases of one
/// log are not valid in another.
const LOG_ADDRESS: &str = "log.address";

/// The settings file of a daemon, with the text that was last applied.
#[derive(Debug)]
pub struct SettingsFile<T> {
    path: String,
    parse: ParseSettings<T>,
    /// Prefixes of keys of the embedding program that change only at a restart.
    fixed_prefixes: &'static [&'static str],
    /// Whether the daemon started with at-most-once execution.
    at_most_once: bool,
    /// Text of the file when it was last read; `None` if it could not be read.
    last_text: Option<String>,
    /// Text whose settings were last applied.
    applied_text: String,
}

/// Why a changed settings file can't be used.
#[derive(Debug, Display)]
pub enum ReloadError {
    /// the settings file can't be read: {0}
    Unreadable(io::Error),
    /// the settings file is invalid:\n{0}
    Invalid(Problems),
}

/// Settings that differ from those applied before, and the keys that differ.
#[derive(Clone, Debug)]
pub struct SettingsChange {
    /// All settings in the file.
    pub settings: Settings,
    /// Changed keys whose values apply at once.
    pub applied: Vec<String>,
    /// Changed keys whose values apply only after a restart.
    pub deferred: Vec<String>,
}

impl<T> SettingsFile<T> {
    /// Reads the file at `path` with the parser `parse`. Returns the file, the daemon's settings and
    /// those of the embedding program. Keys that begin with one of `fixed_prefixes` change only at a
    /// restart, in addition to the daemon's own.
    ///
    /// # Errors
    /// The file can't be read or is invalid; all problems are listed.
    pub fn open(
        path: &str,
        parse: ParseSettings<T>,
        fixed_prefixes: &'static [&'static str],
    ) -> Result<(SettingsFile<T>, Settings, T), StartError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| StartError::UnreadableSettings(path.to_owned(), error))?;
        let (settings, embedder) = parse(path, &text).map_err(StartError::InvalidSettings)?;
        let file = SettingsFile {
            path: path.to_owned(),
            parse,
            fixed_prefixes,
            at_most_once: settings.at_most_once,
            last_text: Some(text.clone()),
            applied_text: text,
        };
        Ok((file, settings, embedder))
    }

    /// Path of the file.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Reads the file again and returns its settings if they have changed.
    ///
    /// # Errors
    /// The file can't be read or is invalid. Each such state of the file is reported once.
    pub fn reload(&mut self) -> Result<Option<SettingsChange>, ReloadError> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => self.update(text),
            Err(error) => match self.last_text.take() {
                Some(_) => Err(ReloadError::Unreadable(error)),
                None => Ok(None),
            },
        }
    }

    /// Returns the settings in `text`, the present text of the file, if they have changed.
    ///
    /// # Errors
    /// The text is invalid; the same text is not reported twice in a row.
    pub fn update(&mut self, text: String) -> Result<Option<SettingsChange>, ReloadError> {
        if self.last_text.as_ref() == Some(&text) {
            return Ok(None);
        }
        let settings = (self.parse)(&self.path, &text);
        let keys = changed_keys(&self.applied_text, &text);
        self.last_text = Some(text.clone());
        let (settings, _) = settings.map_err(ReloadError::Invalid)?;
        self.applied_text = text;
        if keys.is_empty() {
            return Ok(None);
        }
        let fixed = |key: &String| {
            let mut prefixes = FIXED_PREFIXES.iter().chain(self.fixed_prefixes);
            prefixes.any(|prefix| key.starts_with(prefix))
                || (self.at_most_once && key == LOG_ADDRESS)
        };
        let (deferred, applied) = keys.into_iter().partition(fixed);
        Ok(Some(SettingsChange {
            settings,
            applied,
            deferred,
        }))
    }
}
