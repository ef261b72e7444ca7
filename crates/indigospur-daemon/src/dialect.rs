//! The HTTP conventions at the edges: header names and statuses towards callers and towards the
//! backend server.
//!
//! The daemon decides; a dialect only translates between its types and HTTP.

use indigospur_protocol::{
    Answer, Customer, Header, Key, Kind, Refusal, RelayMessage, RequestId, ServiceName,
};
use indigospur_relay::{ReceivedRequest, ResponseOwner};
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

/// What a request says of the call above it, whose backend server makes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Above {
    /// It names none.
    Unnamed,
    /// It names the token of a call; a token that names no running call is refused.
    Token(Arc<str>),
    /// Its own identifier begins, up to a dot, with that of the call above, if it has one. Nothing
    /// that must hold may rest on it.
    Prefix(Arc<str>),
}

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Service the call is for; empty where the rules alone tell.
    pub service: ServiceName,
    /// Identifier of the request, if it has one.
    pub request: Option<RequestId>,
    /// Customer, if it names one.
    pub customer: Option<Customer>,
    /// The call above.
    pub above: Above,
    /// Time for which the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Key of a call that must run at most once, if it has one; not checked yet.
    pub key: Option<Key>,
}

/// A call that is handed to the backend server.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// The call.
    pub message: &'a RelayMessage,
    /// Names the call while it runs; unique among all daemons.
    pub token: &'a str,
    /// Time left.
    pub remaining: Duration,
    /// Start of the backend server that is meant; empty if it names none.
    pub instance: &'a str,
}

/// The head of a request to the backend server.
#[derive(Clone, Debug)]
pub struct SentHead {
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Headers.
    pub headers: Vec<Header>,
}

/// What a whole answer of the backend server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// It is the answer to the call.
    Answer,
    /// The backend server has proven not to have run the call, for this reason.
    NotRun(Kind),
    /// The backend server turned the call away without proof that it has not run.
    Unproven(Kind),
}

/// The HTTP conventions of callers and of backend servers.
pub trait Dialect: Debug + Send + Sync {
    /// Whether a backend server of this service may announce itself.
    fn admits(&self, _service: &str) -> bool {
        true
    }

    /// Reads the head of a caller's request, and takes out of it what is not passed on.
    ///
    /// # Errors
    /// The request is turned away.
    fn read_call(&self, received: &mut ReceivedRequest) -> Result<CallHead, Refusal>;

    /// The token of a call at the backend server; `fresh` is one that was never used.
    fn token(&self, message: &RelayMessage, fresh: Arc<str>) -> Arc<str>;

    /// The head of the request to the backend server.
    fn write_request(&self, sending: &Sending<'_>) -> SentHead;

    /// Whose answer it is.
    fn owner(&self, answer: &Answer, token: &str) -> ResponseOwner;

    /// What an answer means; takes out of it what is not passed back.
    fn read_answer(&self, answer: &mut Answer) -> Meaning;

    /// Whether an answer without a length is whole when its connection is closed.
    fn unframed(&self) -> bool;

    /// The answer to a refused call.
    fn write_refusal(&self, refusal: &Refusal) -> Answer;
}
