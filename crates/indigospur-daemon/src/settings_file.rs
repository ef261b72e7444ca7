//! The settings file, which may change while the daemon runs.

use crate::failure::StartError;
use crate::settings::Settings;
use displaydoc::Display;
use indigospur_document::{Problems, changed_keys};
use std::io;

/// Reads the daemon's settings, and those of the program that embeds it, out of a file's name and
/// text.
pub type ReadSettings<T> = fn(&str, &str) -> Result<(Settings, T), Problems>;

/// Keys that hold from start to stop, by how they begin.
const FIXED: [&str; 3] = ["host.", "listen.", "keys."];

/// Holds from start to stop as well where keys run at most once: what one log says of epochs, and
/// for how long that may be relied on, is not true of another.
const LOG: &str = "log.address";

/// The settings file of a daemon.
#[derive(Debug)]
pub struct SettingsFile<T> {
    path: String,
    read: ReadSettings<T>,
    /// Keys beyond the daemon's own that hold from start to stop, by how they begin.
    fixed: &'static [&'static str],
    /// The daemon has started with a part in running keys at most once.
    keyed: bool,
    /// What the file held when it was last read; `None` if it could not be.
    last: Option<String>,
    /// What it held when its settings were last put in force.
    good: String,
}

/// Why a changed settings file is left aside.
#[derive(Debug, Display)]
pub enum Unusable {
    /// it can't be read: {0}
    Unreadable(io::Error),
    /// it has problems:\n{0}
    Problems(Problems),
}

/// Settings that have changed, and in which keys.
#[derive(Clone, Debug)]
pub struct Changed {
    /// The settings as they stand in the file.
    pub settings: Settings,
    /// Keys whose values are put in force.
    pub applied: Vec<String>,
    /// Keys whose values wait for the next start.
    pub waiting: Vec<String>,
}

impl<T> SettingsFile<T> {
    /// Reads the file at `path` by `read`; the file, and the settings in it. Keys that begin with
    /// one of `fixed` hold from start to stop, as some of the daemon's own do.
    ///
    /// # Errors
    /// The file can't be read, or has problems; all of them are given.
    pub fn open(
        path: &str,
        read: ReadSettings<T>,
        fixed: &'static [&'static str],
    ) -> Result<(SettingsFile<T>, Settings, T), StartError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| StartError::Unreadable(path.to_owned(), error))?;
        let (settings, own) = read(path, &text).map_err(StartError::Settings)?;
        let file = SettingsFile {
            path: path.to_owned(),
            read,
            fixed,
            keyed: settings.at_most_once,
            last: Some(text.clone()),
            good: text,
        };
        Ok((file, settings, own))
    }

    /// Its path.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Reads the file again; its settings if they have changed.
    ///
    /// # Errors
    /// The file can't be used, which was not so when it was last read.
    pub fn read_again(&mut self) -> Result<Option<Changed>, Unusable> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => self.take(text),
            Err(error) => match self.last.take() {
                Some(_) => Err(Unusable::Unreadable(error)),
                None => Ok(None),
            },
        }
    }

    /// The settings in what the file holds now, if they have changed.
    ///
    /// # Errors
    /// It can't be used, which was not so when the file was last read.
    pub fn take(&mut self, text: String) -> Result<Option<Changed>, Unusable> {
        if self.last.as_ref() == Some(&text) {
            return Ok(None);
        }
        let settings = (self.read)(&self.path, &text);
        let keys = changed_keys(&self.good, &text);
        self.last = Some(text.clone());
        let (settings, _) = settings.map_err(Unusable::Problems)?;
        self.good = text;
        if keys.is_empty() {
            return Ok(None);
        }
        let fixed = |key: &String| {
            let mut prefixes = FIXED.iter().chain(self.fixed);
            prefixes.any(|prefix| key.starts_with(prefix)) || (self.keyed && key == LOG)
        };
        let (waiting, applied) = keys.into_iter().partition(fixed);
        Ok(Some(Changed {
            settings,
            applied,
            waiting,
        }))
    }
}
