//! Structured logs: one JSON object a line on standard output.
//!
//! Lines are handed to a thread of their own, so that a reader that is slow or gone holds no call
//! up. Each message has a bound a second; the next line of it tells how many were left out.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Number};
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Lines of one message a second: enough to find one request among many of its kind, and at most
/// some 10 KB a second.
const LINES_A_SECOND: u32 = 40;
/// Lines that wait for a slow reader; beyond them lines are dropped and counted.
const LINES_WAITING: usize = 512;
/// Stack of the thread that writes, in bytes.
const WRITER_STACK: usize = 64 * 1024;
/// Variable that names the least level that is logged.
const LEVEL: &str = "RUST_LOG";

/// Lines of one message in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// The bounds of all messages.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    windows: HashMap<String, Window>,
}

impl Quota {
    /// Whether a line may be written at `now`, a time since some fixed moment; if so, how many of
    /// its message were left out before it.
    pub(crate) fn take(&mut self, now: Duration, message: &str) -> Option<u64> {
        if !self.windows.contains_key(message) {
            self.windows.insert(message.to_owned(), Window::default());
        }
        let window = self.windows.get_mut(message)?;
        if window.second != now.as_secs() {
            window.second = now.as_secs();
            window.lines = 0;
        }
        if window.lines >= LINES_A_SECOND {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}

/// Starts logging. The level comes from `RUST_LOG`, else it is `info`.
pub fn start_journal() {
    let (sender, receiver) = sync_channel(LINES_WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let spawned = std::thread::Builder::new()
        .name("indigospur-log".to_owned())
        .stack_size(WRITER_STACK)
        .spawn(move || write_lines(&receiver));
    if let Err(error) = spawned {
        eprintln!("indigospur: logs can't be written: {error}");
        return;
    }
    let queue = Queue {
        sender,
        dropped: dropped.clone(),
    };
    let quota = Mutex::new(Quota::default());
    let environment = env_logger::Env::default().filter_or(LEVEL, "info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(move |formatter, record| {
            let now = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let message = record.args().to_string();
            let mut quota = quota.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(left_out) = quota.take(now, &message) else {
                return Ok(());
            };
            drop(quota);
            let dropped = dropped.swap(0, Ordering::Relaxed);
            writeln!(
                formatter,
                "{}",
                line(now, &message, record, left_out + dropped)
            )
        })
        .init();
}

fn line(now: Duration, message: &str, record: &log::Record<'_>, left_out: u64) -> String {
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

/// The fields of one line.
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
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else if let Some(number) = value.to_f64().and_then(Number::from_f64) {
            number.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Takes whole lines without ever waiting.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
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
        // Nobody is left to tell if standard output is gone.
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
