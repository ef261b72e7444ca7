//! The record of a case: what was sent, answered and run, with the time of each.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file in `folder`, or empties it.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Time since the record was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the present time, and returns that time.
    pub fn line(&self, text: impl AsRef<str>) -> Duration {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{:9.3} {}", now.as_secs_f64(), text.as_ref());
        now
    }
}
