//! The platform's log over HTTP.

use crate::address::Address;
use crate::http::{HttpError, get, post};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// Records read at a time.
const BATCH: usize = 500;
/// Time in which the log must answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why the log gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// It was not reached: an append had no effect.
    Unreached,
    /// It refused, since it is down or has too much to do: an append had no effect.
    Refused,
    /// There was no whole answer: an append may have taken effect.
    Unanswered,
}

impl From<HttpError> for LogError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect | HttpError::Request => LogError::Unreached,
            HttpError::Broken | HttpError::BadAnswer | HttpError::Timeout => LogError::Unanswered,
        }
    }
}

/// A record as the log returns it.
#[derive(Clone, Debug, Deserialize)]
pub struct LogRecord {
    /// Offset.
    pub offset: u64,
    /// Time since it was appended, in milliseconds.
    pub age_ms: u64,
    /// Body.
    pub body: String,
}

impl LogRecord {
    /// Time since it was appended.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Records of a stream from an offset on.
#[derive(Clone, Debug, Deserialize)]
pub struct LogBatch {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset after the newest record.
    pub next: u64,
    /// Records in order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

/// A client of the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: Address,
}

impl LogClient {
    /// A client of the log at `address`, an `IP:port`.
    pub fn new(address: Arc<str>) -> LogClient {
        LogClient {
            address: address.into(),
        }
    }

    /// Calls go to another address from now on.
    pub fn move_to(&self, address: Arc<str>) {
        self.address.set(address);
    }

    /// Appends a record; its offset.
    ///
    /// # Errors
    /// The log gave no answer. See [`LogError`] for what that says of the append.
    pub async fn append(&self, stream: &str, body: &[u8]) -> Result<u64, LogError> {
        let answer = post(
            &self.address.get(),
            &format!("/streams/{stream}/records"),
            body,
            TIMEOUT,
        )
        .await?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body)
                .map(|a: Appended| a.offset)
                .map_err(|_| LogError::Unanswered),
            _ => Err(LogError::Refused),
        }
    }

    /// Reads the records from an offset on, as many as there are.
    ///
    /// # Errors
    /// The log gave no answer.
    pub async fn read(&self, stream: &str, from: u64) -> Result<LogBatch, LogError> {
        let mut all = self.read_batch(stream, from).await?;
        loop {
            let last = all
                .records
                .last()
                .map_or(all.next, |record| record.offset + 1);
            if last >= all.next {
                return Ok(all);
            }
            let more = self.read_batch(stream, last).await?;
            if more.records.is_empty() {
                return Ok(all);
            }
            all.next = more.next;
            all.records.extend(more.records);
        }
    }

    async fn read_batch(&self, stream: &str, from: u64) -> Result<LogBatch, LogError> {
        let path = format!("/streams/{stream}/records?from={from}&limit={BATCH}");
        let answer = get(&self.address.get(), &path, TIMEOUT).await?;
        if answer.status != 200 {
            return Err(LogError::Refused);
        }
        serde_json::from_slice(&answer.body).map_err(|_| LogError::Unanswered)
    }
}
