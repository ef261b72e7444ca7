//! Validation of idempotency keys, and their creation time.

use indigospur_protocol::Key;
use std::time::{Duration, SystemTime};
use uuid::Uuid;

const MAX_KEY_BYTES: usize = 128;

/// Why an idempotency key is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key is empty.
    Empty,
    /// The key is longer than 128 bytes.
    TooLong,
    /// The key contains a space or a character that is not printable ASCII.
    NotPrintable,
}

/// Creation time of a key, by the wall clock of the caller that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreationTime {
    /// The key is a version 7 UUID with this timestamp.
    At(SystemTime),
    /// The key carries no timestamp.
    Unknown,
}

/// Checks that `text` is a valid key and returns it.
///
/// # Errors
/// Returns a [`KeyError`] if `text` is empty, longer than 128 bytes, or holds a space or a
/// character that is not printable ASCII.
pub fn parse_key(text: &str) -> Result<Key, KeyError> {
    if text.is_empty() {
        return Err(KeyError::Empty);
    }
    if text.len() > MAX_KEY_BYTES {
        return Err(KeyError::TooLong);
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(KeyError::NotPrintable);
    }
    Ok(text.into())
}

/// Reads the creation time out of a key that is a version 7 UUID.
pub fn creation_time(key: &str) -> CreationTime {
    let uuid_v7 = Uuid::try_parse(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7);
    let Some(timestamp) = uuid_v7.and_then(|uuid| uuid.get_timestamp()) else {
        return CreationTime::Unknown;
    };
    let (seconds, nanos) = timestamp.to_unix();
    CreationTime::At(SystemTime::UNIX_EPOCH + Duration::new(seconds, nanos))
}
