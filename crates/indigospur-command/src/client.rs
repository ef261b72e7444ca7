//! Requests of the commands to the platform's log and to the admin addresses of daemons.

use crate::error::ToolError;
use indigospur_protocol::Answer;
use indigospur_publish::{FetchedRecord, Follower, STREAM};
use indigospur_relay::{LogClient, get, post};
use std::time::{Duration, Instant};

/// Longest wait for a daemon's answer.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(5);

/// All records of the log's control stream, and the state that follows from them.
pub(crate) struct LogSnapshot {
    pub(crate) records: Vec<FetchedRecord>,
    pub(crate) follower: Follower,
}

/// Reads the whole control stream from the platform's log at `address`.
pub(crate) async fn read_log(address: &str) -> Result<LogSnapshot, ToolError> {
    let now = Instant::now();
    let log = LogClient::new(address.into());
    let batch = log
        .read(STREAM, 0)
        .await
        .map_err(|error| ToolError::LogUnavailable(address.to_owned(), error))?;
    let records: Vec<FetchedRecord> = batch
        .records
        .into_iter()
        .map(|record| {
            FetchedRecord::new(now, record.offset, record.age(), record.body.into_bytes())
        })
        .collect();
    let mut follower = Follower::default();
    follower.read(batch.first, &records);
    Ok(LogSnapshot { records, follower })
}

/// Sends a GET request to a daemon's admin address.
pub(crate) async fn get_admin(address: &str, path: &str) -> Result<Answer, ToolError> {
    let answer = get(address, path, DAEMON_TIMEOUT).await;
    require_success(
        address,
        answer.map_err(|error| ToolError::DaemonUnavailable(address.to_owned(), error))?,
    )
}

/// Sends a POST request with an empty body to a daemon's admin address.
pub(crate) async fn post_admin(address: &str, path: &str) -> Result<Answer, ToolError> {
    let answer = post(address, path, b"", DAEMON_TIMEOUT).await;
    require_success(
        address,
        answer.map_err(|error| ToolError::DaemonUnavailable(address.to_owned(), error))?,
    )
}

/// Returns an answer with status 200; any other is an error.
fn require_success(address: &str, answer: Answer) -> Result<Answer, ToolError> {
    if answer.status == 200 {
        return Ok(answer);
    }
    let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
    Err(ToolError::DaemonRefused(
        address.to_owned(),
        answer.status,
        text,
    ))
}
