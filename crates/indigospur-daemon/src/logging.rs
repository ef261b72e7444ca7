//! Structured logs: one JSON object a line on standard output.
//!
//! A separate thread writes the lines, so that a slow or closed standard output blocks no call. The
//! lines of each message are limited per second; `left_out` in a line is the number of lines that
//! were dropped before it.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Number};
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Maximum number of lines a second for one message: enough to find one request among many of its
/// kind, and at most some 10 KB a second.
const MAX_LINES_PER_SECOND: u32 = 40;
/// Maximum number of lines queued for the writer thread; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 512;
/// Stack size of the writer thread.
const WRITER_STACK_BYTES: usize = 64 * 1024;
/// Environment variable with the log filter.
const FILTER_VARIABLE: &str = "RUST_LOG";

/// Lines of one message in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Rate limits of the log lines, by message.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    windows: HashMap<String, Window>,
}

impl RateLimits {
    /// Takes a line of `message` from its limit at `now`, the time since the Unix epoch. Returns how
    /// many lines of the message were dropped before it, or `None` if this one is to be dropped.
    pub(crate) fn take(&mut self, now: Duration, message: &str) -> Option<u64> {
        if !self.windows.contains_key(message) {
            self.windows.insert(message.to_owned(), Window::default());
        }
        let window = self.windows.get_mut(message)?;
        if window.second != now.as_secs() {
            window.second = now.as_secs();
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}

/// Installs the logger, which writes to standard output. `RUST_LOG` sets the log filter; the default
/// is `info`. Without a writer thread nothing is logged, and standard error says so.
pub fn start_logging() {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let spawned = std::thread::Builder::new()
        .name("indigospur-log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver));
    if let Err(error) = spawned {
        eprintln!(
            "indigospur: the thread that writes logs can't be started: {error}; nothing will be logged"
        );
        return;
    }
    let queue = LineQueue {
        sender,
        dropped: dropped.clone(),
    };
    let limits = Mutex::new(RateLimits::default());
    let environment = env_logger::Env::default().filter_or(FILTER_VARIABLE, "info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(move |formatter, record| {
            let now = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let message = record.args().to_string();
            let mut limits = limits.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(left_out) = limits.take(now, &message) else {
                return Ok(());
            };
            drop(limits);
            let dropped = dropped.swap(0, Ordering::Relaxed);
            writeln!(
                formatter,
                "{}",
                format_line(now, &message, record, left_out + dropped)
            )
        })
        .init();
}

fn format_line(now: Duration, message: &str, record: &log::Record<'_>, left_out: u64) -> String {
    let mut fields = Fields(Map::new());
    fields.number("time_ms", now.as_millis() as u64);
    fields.text("level", record.level().as_str().to_ascii_lowercase());
    fields.text("message", message.to_owned());
    if record.key_values().visit(&mut fields).is_err() {
        fields.text("fields", "not readable".to_owned());
    }
    if left_out > 0 {
        fields.number("left_out", left_out);
    }
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the fields of one line.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn number(&mut self, key: &str, number: u64) {
        self.0.insert(key.to_owned(), number.into());
    }

    fn text(&mut self, key: &str, text: String) {
        self.0.insert(key.to_owned(), text.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else if let Some(number) = value.to_f64().and_then(Number::from_f64) {
            number.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Queues whole lines for the writer thread; drops a line rather than block.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(line) = lines.recv() {
        // Standard output is closed, so there is nowhere to report the error.
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
