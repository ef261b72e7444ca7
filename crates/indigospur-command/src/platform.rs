//! What the commands do with the platform's log and with daemons.

use crate::failure::ToolError;
use indigospur_protocol::Answer;
use indigospur_publish::{FetchedRecord, Follower, STREAM};
use indigospur_relay::{LogClient, get, post};
use std::time::{Duration, Instant};

/// Time in which a daemon must answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// All that the log holds, and what it means.
pub(crate) struct Reading {
    pub(crate) records: Vec<FetchedRecord>,
    pub(crate) follower: Follower,
}

/// Reads the log from its oldest record on.
pub(crate) async fn read(address: &str) -> Result<Reading, ToolError> {
    let now = Instant::now();
    let log = LogClient::new(address.into());
    let batch = log
        .read(STREAM, 0)
        .await
        .map_err(|error| ToolError::LogDown(address.to_owned(), error))?;
    let records: Vec<FetchedRecord> = batch
        .records
        .into_iter()
        .map(|record| {
            FetchedRecord::new(now, record.offset, record.age(), record.body.into_bytes())
        })
        .collect();
    let mut follower = Follower::default();
    follower.read(batch.first, &records);
    Ok(Reading { records, follower })
}

/// Asks a daemon.
pub(crate) async fn ask(address: &str, path: &str) -> Result<Answer, ToolError> {
    let answer = get(address, path, TIMEOUT).await;
    accept(
        address,
        answer.map_err(|error| ToolError::DaemonDown(address.to_owned(), error))?,
    )
}

/// Tells a daemon.
pub(crate) async fn tell(address: &str, path: &str) -> Result<Answer, ToolError> {
    let answer = post(address, path, b"", TIMEOUT).await;
    accept(
        address,
        answer.map_err(|error| ToolError::DaemonDown(address.to_owned(), error))?,
    )
}

fn accept(address: &str, answer: Answer) -> Result<Answer, ToolError> {
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
