//! HTTP client of the platform's log.

use crate::address::SharedAddress;
use crate::http::{HttpError, get, post};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of records in one read request.
const MAX_BATCH_RECORDS: usize = 500;
/// Time for a whole request to the log, with its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request to the log failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// Nothing was sent, as no connection could be opened or the request is invalid: an append had
    /// no effect.
    Unreached,
    /// The log responded with a status other than 200, usually as it is down or overloaded: an
    /// append had no effect.
    Refused,
    /// No complete, valid response arrived: an append may have taken effect.
    Unanswered,
}

impl From<HttpError> for LogError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect | HttpError::InvalidRequest => LogError::Unreached,
            HttpError::ConnectionLost | HttpError::InvalidResponse | HttpError::Timeout => {
                LogError::Unanswered
            }
        }
    }
}

/// A record as the log returns it.
#[derive(Clone, Debug, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Time since it was appended, in milliseconds, when the log returned it.
    pub age_ms: u64,
    /// Content as appended.
    pub body: String,
}

impl LogRecord {
    /// Time from the append until the log returned the record.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Records of a stream from the requested offset on.
#[derive(Clone, Debug, Deserialize)]
pub struct LogBatch {
    /// Lowest offset that the log still retains.
    pub first: u64,
    /// Offset after the newest record of the stream.
    pub next: u64,
    /// Records by ascending offset.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: u64,
}

/// A client of the platform's log, which opens a connection for each request.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: SharedAddress,
}

impl LogClient {
    /// Creates a client of the log at `address`, an `IP:port`.
    pub fn new(address: Arc<str>) -> LogClient {
        LogClient {
            address: address.into(),
        }
    }

    /// Sends later requests to another `IP:port`.
    pub fn set_address(&self, address: Arc<str>) {
        self.address.set(address);
    }

    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// The request failed; [`LogError`] says whether the append may have taken effect.
    pub async fn append(&self, stream: &str, body: &[u8]) -> Result<u64, LogError> {
        let response = post(
            &self.address.get(),
            &format!("/streams/{stream}/records"),
            body,
            REQUEST_TIMEOUT,
        )
        .await?;
        match response.status {
            200 => serde_json::from_slice(&response.body)
                .map(|a: AppendReply| a.offset)
                .map_err(|_| LogError::Unanswered),
            _ => Err(LogError::Refused),
        }
    }

    /// Reads all records from offset `from` on, in as many requests as it takes.
    ///
    /// # Errors
    /// One of the requests failed.
    pub async fn read(&self, stream: &str, from: u64) -> Result<LogBatch, LogError> {
        let mut batch = self.read_batch(stream, from).await?;
        loop {
            let resume_from = batch
                .records
                .last()
                .map_or(batch.next, |record| record.offset + 1);
            if resume_from >= batch.next {
                return Ok(batch);
            }
            let following = self.read_batch(stream, resume_from).await?;
            if following.records.is_empty() {
                return Ok(batch);
            }
            batch.next = following.next;
            batch.records.extend(following.records);
        }
    }

    async fn read_batch(&self, stream: &str, from: u64) -> Result<LogBatch, LogError> {
        let path = format!("/streams/{stream}/records?from={from}&limit={MAX_BATCH_RECORDS}");
        let response = get(&self.address.get(), &path, REQUEST_TIMEOUT).await?;
        if response.status != 200 {
            return Err(LogError::Refused);
        }
        serde_json::from_slice(&response.body).map_err(|_| LogError::Unanswered)
    }
}
