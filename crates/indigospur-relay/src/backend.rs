//! Connections to the backend server beside the daemon.

use crate::connection::Connection;
use crate::http::{HttpAnswer, HttpError, HttpRequest, connect, encode, receive};
use futures_lite::io::AsyncWriteExt;
use indigospur_protocol::Answer;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time by which an idle connection is dropped before the backend server would close it, so that
/// no request crosses that close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a connection is used again whose backend server states no idle time: it may have
/// one below a second, which can't be stated.
const UNSTATED_IDLE: Duration = Duration::from_millis(250);
/// Longest idle time that is believed.
const LONGEST_IDLE: Duration = Duration::from_secs(3_600);
/// Answers of earlier calls that are skipped on one connection.
const MOST_STALE: u32 = 2;

/// Why the backend server gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// No connection could be opened, or all allowed ones are in use: nothing was sent.
    NotSent,
    /// The request can't be put into HTTP/1.1: nothing was sent.
    Unsendable,
    /// The connection broke while the call ran.
    Broken,
    /// The answer is truncated, mis-framed, too large or that of another call.
    BadAnswer,
}

impl From<HttpError> for BackendError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Connect => BackendError::NotSent,
            HttpError::Request => BackendError::Unsendable,
            HttpError::Broken | HttpError::Timeout => BackendError::Broken,
            HttpError::BadAnswer => BackendError::BadAnswer,
        }
    }
}

/// Whose answer an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// That of the call that was sent.
    Own,
    /// That of an earlier call, late; another answer may follow.
    Earlier,
    /// That of no call that is known.
    Unknown,
}

/// How answers of a backend server are judged.
#[derive(Clone, Copy)]
pub struct Judge<'a> {
    /// Whose answer it is.
    pub owner: &'a (dyn Fn(&Answer) -> Owner + Send + Sync),
    /// An answer without a length is whole when the connection is closed, not reset.
    pub unframed: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When the connection is no longer used.
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Idle>,
    open: u32,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: String,
    /// Connections that the backend server accepts.
    most: u32,
    state: Mutex<State>,
}

impl BackendPool {
    /// A pool of at most `most` connections.
    pub fn new(address: &str, most: u32) -> BackendPool {
        BackendPool {
            address: address.to_owned(),
            most: most.max(1),
            state: Mutex::default(),
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether it accepts a connection.
    pub async fn accepts(&self) -> bool {
        connect(&self.address).await.is_ok()
    }

    /// Sends a call and reads its answer.
    ///
    /// A connection whose exchange did not end cleanly is closed, as is one whose answer came before
    /// the whole request was sent. Dropping the future closes it
    /// too, by which the backend server learns that the call is cancelled.
    ///
    /// # Errors
    /// Nothing was sent, the connection broke, or the answer is not a whole one of this call.
    pub async fn call(
        &self,
        request: &HttpRequest<'_>,
        judge: Judge<'_>,
    ) -> Result<Answer, BackendError> {
        let bytes = encode(request).ok_or(BackendError::Unsendable)?;
        let mut lease = self.lease().await?;
        let connection = lease.connection()?;
        let mut writer = connection.writer();
        let mut sent = false;
        let sending = async {
            match writer.write_all(&bytes).await {
                Ok(()) => sent = true,
                // The backend server may have answered before it closed.
                Err(error) => log::debug!(error:display; "a request was not written whole"),
            }
            std::future::pending().await
        };
        // The answer may come before the whole request is sent, and the rest may never be read.
        let answering = read_own(connection, request.method, judge);
        let answered = futures_lite::future::or(sending, answering).await?;
        if answered.keep_alive && sent {
            lease.give_back(answered.keep_for);
        }
        Ok(answered.answer)
    }

    async fn lease(&self) -> Result<Lease<'_>, BackendError> {
        if let Some(connection) = self.take_idle() {
            return Ok(Lease {
                pool: self,
                connection: Some(connection),
            });
        }
        let place = self.reserve().ok_or(BackendError::NotSent)?;
        let connection = Connection::new(connect(&self.address).await?);
        std::mem::forget(place);
        Ok(Lease {
            pool: self,
            connection: Some(connection),
        })
    }

    /// An idle connection that is still clean; the others are closed.
    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.lock();
        while let Some(mut idle) = state.idle.pop() {
            if idle.until > now && idle.connection.is_idle() {
                return Some(idle.connection);
            }
            state.open -= 1;
        }
        None
    }

    fn reserve(&self) -> Option<Place<'_>> {
        let mut state = self.lock();
        if state.open >= self.most {
            return None;
        }
        state.open += 1;
        Some(Place { pool: self })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads answers until that of the call.
async fn read_own(
    connection: &mut Connection,
    method: &str,
    judge: Judge<'_>,
) -> Result<HttpAnswer, BackendError> {
    for _ in 0..=MOST_STALE {
        let answered = receive(connection, method).await?;
        if answered.unframed && !judge.unframed {
            return Err(BackendError::BadAnswer);
        }
        match (judge.owner)(&answered.answer) {
            Owner::Own => return Ok(answered),
            Owner::Earlier if answered.keep_alive => {}
            Owner::Earlier | Owner::Unknown => return Err(BackendError::BadAnswer),
        }
    }
    Err(BackendError::BadAnswer)
}

/// A place for a connection that is being opened.
struct Place<'a> {
    pool: &'a BackendPool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}

/// A connection in use; closed on drop unless it is given back.
struct Lease<'a> {
    pool: &'a BackendPool,
    /// `None` once it is given back.
    connection: Option<Connection>,
}

impl Lease<'_> {
    fn connection(&mut self) -> Result<&mut Connection, BackendError> {
        self.connection.as_mut().ok_or(BackendError::NotSent)
    }

    fn give_back(mut self, stated: Option<Duration>) {
        let Some(mut connection) = self.connection.take_if(|connection| connection.is_idle())
        else {
            return;
        };
        connection.shrink();
        let idle = stated.map_or(UNSTATED_IDLE, |stated| {
            stated.min(LONGEST_IDLE).saturating_sub(IDLE_MARGIN)
        });
        let until = Instant::now() + idle;
        self.pool.lock().idle.push(Idle { connection, until });
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.pool.lock().open -= 1;
        }
    }
}
