//! Calls and the context that is propagated along the call chain.

use crate::ids::{Customer, Epoch, HostId, Key, RequestId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Priority class: its position in the operators' list of classes; zero is the highest priority and
/// shed last.
pub type Class = u8;
/// Position of a request in the shed order within its class; lower ranks are shed later.
pub type Rank = u32;
/// Position of a request among those that compete for retries: its class in the upper 32 bits, the
/// product of rank and number of calls in the lower. Lower positions get retries first; zero, from
/// hosts that do not compute it, is first of all.
pub type RetryOrder = u64;

/// An HTTP header that is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Header name in lower case.
    pub name: Arc<str>,
    /// Header value, byte for byte as received.
    pub value: Arc<[u8]>,
}

impl Header {
    /// Creates a header from its name, in lower case, and its value.
    pub fn new(name: &str, value: &str) -> Header {
        Header {
            name: name.into(),
            value: value.as_bytes().into(),
        }
    }
}

/// Whether `text` may be the name of a header (RFC 9110, 5.6.2).
pub(crate) fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// Value of the first header with this name, in lower case; `None` if there is none or it is not UTF-8.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| &*header.name == name)?;
    std::str::from_utf8(&found.value).ok()
}

/// A call to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service that is called.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path including the query string.
    pub path: Arc<str>,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<Header>,
    /// Complete request body.
    pub body: Arc<[u8]>,
}

/// Metadata that is propagated with a call along the call chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Context {
    /// Identifier of the customer's request that started the chain.
    pub request_id: RequestId,
    /// Customer on whose behalf the request is made.
    pub customer: Customer,
    /// Priority class; its number never increases along the chain.
    pub class: Class,
    /// Shed rank within the class; the same along the whole chain.
    pub rank: Rank,
    /// Weight of the customer relative to the other customers of the class; at least one.
    pub share: u32,
    /// Retry credit lent to the receiver, in retries. The credit in the whole chain never exceeds
    /// that minted for the request.
    pub retries: u32,
    /// Number of calls above this one in the chain.
    pub depth: u32,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Whether the call waits in the queue until its deadline rather than be refused early.
    pub waits: bool,
    /// Idempotency key, if the call runs at most once.
    pub key: Option<Key>,
    /// [`fingerprint`] of the call. Detects a key that is reused for another request, and names
    /// the request in crash reports.
    pub digest: u64,
    /// Epoch in which the key's home dispatched the call; zero on calls without a key.
    pub epoch: Epoch,
    /// Host of the key's home, on a call that the home dispatches to an executor.
    pub home: Option<HostId>,
    /// Number of earlier attempts at this call.
    pub attempt: u32,
    /// Crashes that the sender attributes to this request.
    pub crashes: Vec<Crash>,
    /// Whether a call above this one is a retry, which makes this call a repetition too.
    pub repeated: bool,
    /// Position of the request among those that compete for retries; the same along the whole chain.
    pub retry_order: RetryOrder,
    /// Time until the daemon that sends the call ends, if it is stopping. The call must not wait so long
    /// for a slot that it would run beyond that.
    pub ends_within: Option<Duration>,
}

/// How long a backend server and a request there had run when the backend server went down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashTiming {
    /// Time since the start of the backend server.
    pub uptime: Duration,
    /// Time for which the request had been running without a pause.
    pub exposure: Duration,
}

/// A crash of a backend server, attributed to a request that it was running.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Host of the crashed backend server.
    pub host: HostId,
    /// Distinguishes the crashes of one host, across restarts of its daemon too.
    pub number: u64,
    /// Whether no other suspect was running on the backend server, so that only this request can
    /// have caused the crash.
    pub sole_suspect: bool,
    /// Whether the request was answered since, or the backend server is known to go down by itself.
    pub cleared: bool,
    /// How long the backend server and the request had run, if that is known.
    pub timing: Option<CrashTiming>,
    /// Whether the request was running on trial, as it might not run otherwise.
    pub on_trial: bool,
    /// Time since the crash.
    pub age: Duration,
    /// Time since the last known answer to the request, if it was answered lately.
    pub answered: Option<Duration>,
}

impl Crash {
    /// Creates a crash that has just happened.
    pub fn new(fingerprint: u64, host: &HostId, number: u64, sole_suspect: bool) -> Crash {
        Crash {
            fingerprint,
            host: host.clone(),
            number,
            sole_suspect,
            cleared: false,
            timing: None,
            on_trial: false,
            age: Duration::ZERO,
            answered: None,
        }
    }

    /// Whether `other` says the same of the same crash; the times may differ.
    pub fn says_same(&self, other: &Crash) -> bool {
        *self
            == Crash {
                age: self.age,
                answered: self.answered,
                ..other.clone()
            }
    }
}

/// Hashes method, path and body of a call in a scope, its service or rule, so that identical calls have
/// the same fingerprint whoever makes them.
pub fn fingerprint(scope: &str, call: &Call) -> u64 {
    let mut hasher = Xxh3::new();
    for field in [
        scope.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
    ] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(&xxh3_64(&call.body).to_le_bytes());
    hasher.digest()
}

/// Whether HTTP defines `method` (in upper case) as idempotent.
pub fn is_idempotent_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
    )
}
