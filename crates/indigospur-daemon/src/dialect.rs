//! The HTTP conventions towards callers and the backend server: header names and statuses.
//!
//! A dialect only translates between the types of the daemon and HTTP; the daemon makes all
//! decisions.

use crate::authentication::Credential;
use indigospur_protocol::{
    Answer, Customer, Header, Key, Kind, Rate, Refusal, RelayMessage, RequestId, ServiceName,
};
use indigospur_relay::{ReceivedRequest, ResponseOwner};
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

/// How a request refers to its parent call, during which a backend server made the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParentRef {
    /// The request names no parent call.
    Absent,
    /// Token of the parent call. The request is refused if no call with this token runs on the
    /// host.
    Token(Arc<str>),
    /// Identifier of the request itself; if there is a parent call, it begins with the identifier
    /// of that and a dot. This is a hint that may be wrong: nothing that affects correctness may
    /// depend on it.
    Prefix(Arc<str>),
}

/// The call that the head of a caller's request describes.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Service to call; empty where only the rules decide it.
    pub service: ServiceName,
    /// Identifier of the request, if it has one.
    pub request_id: Option<RequestId>,
    /// Customer, if the request names one.
    pub customer: Option<Customer>,
    /// Reference to the parent call.
    pub parent: ParentRef,
    /// Time for which the caller waits from the arrival of the request, if it says so.
    pub deadline: Option<Duration>,
    /// Idempotency key, if the request has one; not validated yet. Used only where a rule asks for
    /// at-most-once execution.
    pub key: Option<Key>,
    /// Credential of the caller. Used only where the rule set has workspaces.
    pub credential: Credential,
}

/// A call about to be sent to the backend server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// The call and its context.
    pub message: &'a RelayMessage,
    /// Token of the call while it runs, as returned by [`Dialect::call_token`].
    pub token: &'a str,
    /// Time left until the deadline of the call.
    pub remaining: Duration,
    /// Instance that the backend server announced for its present process; empty if it gave none.
    pub instance: &'a str,
}

/// The head of a request to the backend server.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Headers except `Host` and `Content-Length`, which are added when the request is sent.
    pub headers: Vec<Header>,
}

/// What a complete answer of the backend server says about the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The call ran, and this is its answer.
    Answer,
    /// The backend server refused the call for this reason and gave proof that it has not run it.
    NotRun(Kind),
    /// The backend server refused the call, or its answer is invalid, for this reason. There is no
    /// proof that the call has not run.
    MaybeRun(Kind),
}

/// What an answer says about the rate of calls that the backend server takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateLimit {
    /// No limit applies.
    #[default]
    Unlimited,
    /// This limit applies until an answer says otherwise.
    Limited(Rate),
    /// The limit is not a valid number.
    Malformed,
}

impl RateLimit {
    /// Reads a limit in calls a second; without text, no limit applies.
    pub fn parse(text: Option<&str>) -> RateLimit {
        let Some(text) = text else {
            return RateLimit::Unlimited;
        };
        let rate = text.trim().parse().ok().and_then(Rate::per_second);
        rate.map_or(RateLimit::Malformed, RateLimit::Limited)
    }
}

/// What a backend server says about itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStatus {
    /// Limit on the rate of calls to it.
    pub rate_limit: RateLimit,
    /// Whether it is shutting down and takes no new calls.
    pub leaving: bool,
    /// Time that its work takes now, in percent of the usual, as told; `None` if it tells none.
    pub pace: Option<u32>,
}

/// The HTTP conventions of callers and of backend servers.
pub trait Dialect: Debug + Send + Sync {
    /// Whether announcements of a backend server of `service` are accepted on this host. The
    /// default accepts all.
    fn accepts_service(&self, _service: &str) -> bool {
        true
    }

    /// Reads the head of a caller's request, and removes from it the headers that are not passed
    /// on. Leaves the headers that carry a key, which are passed on unless the rule set has workspaces.
    ///
    /// # Errors
    /// The refusal of a request whose head is invalid.
    fn read_call(&self, received: &mut ReceivedRequest) -> Result<CallHead, Refusal>;

    /// Removes all headers that carry a key or name a workspace, and adds the name of the request's
    /// workspace if it has one. Called only if the rule set has workspaces.
    fn set_workspace(&self, headers: &mut Vec<Header>, workspace: Option<&str>);

    /// Chooses the token that identifies a running call; `new_token` is one that is unique among
    /// all daemons.
    fn call_token(&self, message: &RelayMessage, new_token: Arc<str>) -> Arc<str>;

    /// Builds the head of the request to the backend server.
    fn write_request(&self, outgoing: &OutgoingCall<'_>) -> RequestHead;

    /// Decides which call an answer on a connection belongs to; `token` is that of the call that
    /// was sent.
    fn owner(&self, answer: &Answer, token: &str) -> ResponseOwner;

    /// Whether an answer names the call that it belongs to.
    fn names_call(&self, answer: &Answer) -> bool;

    /// Reads what an answer says about the backend server itself.
    fn read_status(&self, answer: &Answer) -> BackendStatus;

    /// Interprets an answer of the backend server, and removes from it the headers that are not
    /// passed back to the caller.
    fn read_answer(&self, answer: &mut Answer) -> AnswerMeaning;

    /// Whether an answer without a length counts as complete when its connection is closed.
    fn close_delimited(&self) -> bool;

    /// Builds the answer to the caller of a refused call.
    fn write_refusal(&self, refusal: &Refusal) -> Answer;
}
