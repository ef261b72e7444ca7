//! The pool of connections to the backend server on this host.

use crate::connection::Connection;
use crate::http::{HttpError, HttpRequest, HttpResponse, connect, encode, read_response};
use crate::memory::{BodyMemory, HeldBody, MessageKind};
use crate::silence;
use futures_lite::io::AsyncWriteExt;
use indigospur_protocol::Answer;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Margin before the end of the idle time that a backend server states. The connection is no longer
/// used within it, so that no request is sent while the backend server closes the connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time of a connection if the backend server states none: it may be below one second, which
/// `Keep-Alive: timeout` can't express.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(250);
/// Upper bound on the idle time that a backend server states; longer ones are cut to it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Maximum number of failed calls on a connection. Their identifiers are kept with it.
const MAX_FAILED_CALLS: usize = 64;
/// Lowest status of a response after which its call may be sent again.
const MIN_FAILURE_STATUS: u16 = 400;
/// Size from which on a request may not fit into the receive window of a backend server that reads slowly.
const LONG_REQUEST_BYTES: usize = 16 * 1024;
/// Maximum number of late responses to earlier calls that are skipped before the response to a call.
const MAX_STALE_RESPONSES: u32 = 2;

/// Why a call to the backend server got no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// No connection could be opened in time, or the maximum number is in use; nothing was sent.
    NoConnection,
    /// The request can't be encoded in HTTP/1.1; nothing was sent.
    InvalidRequest,
    /// The connection was closed or failed before a whole response head arrived; the call may have
    /// run.
    ConnectionLost,
    /// The response is malformed, truncated or too large, its framing is invalid, or it belongs to
    /// another call.
    InvalidResponse,
}

impl From<HttpError> for BackendError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect => BackendError::NoConnection,
            HttpError::InvalidRequest => BackendError::InvalidRequest,
            HttpError::ConnectionLost | HttpError::Timeout => BackendError::ConnectionLost,
            HttpError::InvalidResponse => BackendError::InvalidResponse,
        }
    }
}

/// The call that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The call whose request was sent last.
    Current,
    /// An earlier call on the connection; the response to the current one may follow.
    Earlier,
    /// The response names no call. It is the last one on its connection: a late copy of it could belong
    /// to any later call. It counts as that to the call whose request was sent last, unless a call has
    /// failed on the connection before, of whose response it may be a copy; then it is skipped.
    Unnamed,
    /// It can't be determined.
    Unknown,
}

/// How responses of a backend server are checked.
#[derive(Clone, Copy)]
pub struct ResponseCheck<'a> {
    /// Identifier of the call, the same each time that the call is sent.
    pub call_id: &'a str,
    /// Determines which call a response belongs to.
    pub owner: &'a (dyn Fn(&Answer) -> ResponseOwner + Send + Sync),
    /// Whether a response with a close-delimited body is accepted once the connection is closed.
    /// After a reset it never is.
    pub close_delimited: bool,
}

/// Which idle connection a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The one that was used last, so that connections that are not needed become idle and close.
    Latest,
    /// The one that has been idle longest, of those that the backend server has said to keep. Others may be
    /// closed at any moment, with a request on its way. For calls that can't be sent again when they are
    /// lost with their connection.
    Stated,
}

/// How a response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Number of the connection among all that the pool has opened, from one.
    pub connection: u64,
    /// Number of the call among all that were sent on the connection, from one.
    pub call: u32,
    /// Number of late responses to earlier calls that arrived before the response.
    pub skipped: u32,
}

/// A valid response of the backend server.
#[derive(Clone, Debug)]
pub struct BackendResponse {
    /// The response.
    pub answer: Answer,
    /// How it arrived.
    pub exchange: Exchange,
}

/// Hash of the identifier of a call.
type CallHash = u64;

/// An open connection, and what was sent on it.
#[derive(Debug)]
struct KeptConnection {
    connection: Connection,
    /// Number among all connections of the pool.
    number: u64,
    /// Calls sent so far.
    calls: u32,
    /// Calls that failed. None of them may be sent on this connection again: a late copy of the first
    /// response can't be told from the response to the second request.
    failed: Vec<CallHash>,
}

#[derive(Debug)]
struct IdleConnection {
    kept: KeptConnection,
    /// When it is no longer used.
    expires_at: Instant,
    /// Whether the backend server has said how long it keeps the connection.
    is_stated: bool,
}

impl IdleConnection {
    fn may_take(&self, call: CallHash, reuse: Reuse) -> bool {
        let is_kept = reuse == Reuse::Latest || self.is_stated;
        is_kept && !self.kept.failed.contains(&call)
    }
}

#[derive(Debug, Default)]
struct State {
    /// Idle connections, the one that was used last at the end.
    idle: Vec<IdleConnection>,
    /// Open connections: idle, in use or being opened.
    open: u32,
    /// Connections opened so far.
    opened: u64,
    /// From when on no call is sent.
    sends_until: Option<Instant>,
}

/// A pool of HTTP/1.1 connections to one backend server, each with one call at a time.
#[derive(Debug)]
pub struct BackendPool {
    address: String,
    /// Maximum number of open connections.
    max_connections: u32,
    memory: Arc<BodyMemory>,
    hasher: RandomState,
    state: Mutex<State>,
}

impl BackendPool {
    /// Creates a pool for the backend server at `address`, an `IP:port`, of at most `max_connections`
    /// connections; zero counts as one. Bodies of responses share `memory` with other users of it; a
    /// response for which there is none left is invalid.
    pub fn new(address: &str, max_connections: u32, memory: Arc<BodyMemory>) -> BackendPool {
        BackendPool {
            address: address.to_owned(),
            max_connections: max_connections.max(1),
            memory,
            hasher: RandomState::new(),
            state: Mutex::default(),
        }
    }

    /// Returns the address of the backend server, an `IP:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends no calls from `at` on, or from an earlier time that was given before; calls that wait for a
    /// connection then fail with [`BackendError::NoConnection`].
    pub fn stop_sending_at(&self, at: Instant) {
        let mut state = self.lock();
        state.sends_until = Some(state.sends_until.map_or(at, |before| before.min(at)));
    }

    /// Sends calls again.
    pub fn resume_sending(&self) {
        self.lock().sends_until = None;
    }

    /// Returns true if the backend server accepts a new connection, which is closed at once.
    pub async fn accepts_connections(&self) -> bool {
        connect(&self.address).await.is_ok()
    }

    /// Sends a request and reads its response.
    ///
    /// The connection is closed instead of reused if the call fails, or if the response arrives
    /// before the whole request is sent. A call that is sent again after a response with status 400 or
    /// higher gets another connection than before. A response that names no call is the last one on its
    /// connection. Dropping the future closes it too, which tells the backend
    /// server that the call is cancelled. `reuse` says which idle connection is used.
    ///
    /// # Errors
    /// Nothing was sent, the connection failed, or there is no valid response to this call.
    pub async fn call(
        &self,
        request: &HttpRequest<'_>,
        check: ResponseCheck<'_>,
        reuse: Reuse,
    ) -> Result<BackendResponse, BackendError> {
        let bytes = encode(request).ok_or(BackendError::InvalidRequest)?;
        let call_hash = self.hasher.hash_one(check.call_id);
        let mut pooled = self.acquire(call_hash, reuse).await?;
        if self.has_stopped_sending(Instant::now()) {
            return Err(BackendError::NoConnection);
        }
        let kept = pooled.connection()?;
        kept.calls += 1;
        let (number, call) = (kept.number, kept.calls);
        let has_failed = !kept.failed.is_empty();
        let connection = &mut kept.connection;
        let mut writer = connection.writer();
        let is_long = bytes.len() >= LONG_REQUEST_BYTES;
        if is_long {
            silence::BACKEND_SLOW_READER.apply(&writer);
        }
        let mut sent = false;
        let sending = async {
            match writer.write_all(&bytes).await {
                Ok(()) => sent = true,
                // The backend server may have responded before it closed the connection.
                Err(error) => {
                    log::debug!(error:display; "failed to write the whole request; still reading the response")
                }
            }
            std::future::pending().await
        };
        // The backend server may respond before it has read the whole request, and never read the
        // rest.
        let mut held = self.memory.hold(MessageKind::Response);
        let owner = |response: &Answer| match (check.owner)(response) {
            ResponseOwner::Unnamed if has_failed => ResponseOwner::Earlier,
            owner => owner,
        };
        let check = ResponseCheck {
            owner: &owner,
            ..check
        };
        let receiving = read_matching_response(connection, request.method, check, &mut held);
        let (received, skipped) = futures_lite::future::or(sending, receiving).await?;
        if received.response.status >= MIN_FAILURE_STATUS {
            pooled.connection()?.failed.push(call_hash);
        }
        if received.keep_alive && sent {
            if is_long {
                silence::BACKEND.apply(&pooled.connection()?.connection.writer());
            }
            pooled.release(received.idle_timeout);
        }
        Ok(BackendResponse {
            answer: received.response,
            exchange: Exchange {
                connection: number,
                call,
                skipped,
            },
        })
    }

    async fn acquire(
        &self,
        call: CallHash,
        reuse: Reuse,
    ) -> Result<PooledConnection<'_>, BackendError> {
        if let Some(kept) = self.take_idle(call, reuse) {
            return Ok(PooledConnection {
                pool: self,
                kept: Some(kept),
            });
        }
        let reservation = self.reserve().ok_or(BackendError::NoConnection)?;
        let stream = connect(&self.address).await?;
        silence::BACKEND.apply(&stream);
        let kept = KeptConnection {
            connection: Connection::new(stream),
            number: self.next_number(),
            calls: 0,
            failed: Vec::new(),
        };
        // From here on the `PooledConnection` counts as the open connection.
        std::mem::forget(reservation);
        Ok(PooledConnection {
            pool: self,
            kept: Some(kept),
        })
    }

    /// Takes an idle connection on which `call` has not failed; closes those on the way to it that can't be
    /// used any more.
    fn take_idle(&self, call: CallHash, reuse: Reuse) -> Option<KeptConnection> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut passed = 0;
        while passed < state.idle.len() {
            let index = match reuse {
                Reuse::Latest => state.idle.len() - 1 - passed,
                Reuse::Stated => passed,
            };
            let idle = &mut state.idle[index];
            if idle.expires_at <= now || !idle.kept.connection.is_idle() {
                state.idle.remove(index);
                state.open -= 1;
            } else if idle.may_take(call, reuse) {
                return Some(state.idle.remove(index).kept);
            } else {
                passed += 1;
            }
        }
        None
    }

    fn has_stopped_sending(&self, now: Instant) -> bool {
        self.lock().sends_until.is_some_and(|until| until <= now)
    }

    fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.opened += 1;
        state.opened
    }

    /// Makes room for a connection, if necessary by closing the idle one that was used least recently.
    fn reserve(&self) -> Option<Reservation<'_>> {
        let mut state = self.lock();
        if state.open >= self.max_connections {
            if state.idle.is_empty() {
                return None;
            }
            state.idle.remove(0);
            state.open -= 1;
        }
        state.open += 1;
        Some(Reservation { pool: self })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads responses until the one to the call; skips late ones to earlier calls, and returns their number.
async fn read_matching_response(
    connection: &mut Connection,
    method: &str,
    check: ResponseCheck<'_>,
    held: &mut HeldBody,
) -> Result<(HttpResponse, u32), BackendError> {
    for skipped in 0..=MAX_STALE_RESPONSES {
        let mut received = read_response(connection, method, held).await?;
        if received.close_delimited && !check.close_delimited {
            return Err(BackendError::InvalidResponse);
        }
        match (check.owner)(&received.response) {
            ResponseOwner::Current => return Ok((received, skipped)),
            ResponseOwner::Unnamed => {
                received.keep_alive = false;
                return Ok((received, skipped));
            }
            // The framing of an earlier response can't be told if it depends on the method.
            ResponseOwner::Earlier if received.keep_alive && method != "HEAD" => {}
            ResponseOwner::Earlier | ResponseOwner::Unknown => {
                return Err(BackendError::InvalidResponse);
            }
        }
    }
    Err(BackendError::InvalidResponse)
}

/// A connection that is being opened, which counts as open until dropped.
struct Reservation<'a> {
    pool: &'a BackendPool,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}

/// A connection in use; closed on drop unless released to the pool.
struct PooledConnection<'a> {
    pool: &'a BackendPool,
    /// `None` once it is released.
    kept: Option<KeptConnection>,
}

impl PooledConnection<'_> {
    fn connection(&mut self) -> Result<&mut KeptConnection, BackendError> {
        self.kept.as_mut().ok_or(BackendError::NoConnection)
    }

    fn release(mut self, stated: Option<Duration>) {
        let can_be_kept = |kept: &mut KeptConnection| {
            kept.connection.is_drained() && kept.failed.len() < MAX_FAILED_CALLS
        };
        let Some(mut kept) = self.kept.take_if(can_be_kept) else {
            return;
        };
        kept.connection.shrink();
        let idle = stated.map_or(DEFAULT_IDLE_TIME, |stated| {
            stated.min(MAX_IDLE_TIME).saturating_sub(IDLE_MARGIN)
        });
        let expires_at = Instant::now() + idle;
        self.pool.lock().idle.push(IdleConnection {
            kept,
            expires_at,
            is_stated: stated.is_some(),
        });
    }
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        if self.kept.is_some() {
            self.pool.lock().open -= 1;
        }
    }
}
