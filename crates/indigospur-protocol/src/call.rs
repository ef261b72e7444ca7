//! A call and what travels with it along the chain.

use crate::ids::{Customer, Epoch, HostId, Key, RequestId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Position of a class in the operators' order; zero is shed last.
pub type Class = u8;
/// Position of a request in the shed order within its class; lower is shed later.
pub type Rank = u32;

/// An HTTP header that is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Value as received.
    pub value: Arc<[u8]>,
}

/// A call to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service the call is for.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path with its query.
    pub path: Arc<str>,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Arc<[u8]>,
}

/// What travels with a call along the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Context {
    /// Identifier of the customer's request.
    pub request_id: RequestId,
    /// Customer the request is made for.
    pub customer: Customer,
    /// Class; never rises in number along the chain.
    pub class: Class,
    /// Shed rank, fixed along the chain.
    pub rank: Rank,
    /// Weight of the customer against the others; at least one.
    pub share: u32,
    /// Retry credit handed over; the credit in the whole chain never exceeds what was minted.
    pub retries: u32,
    /// Calls above this one in the chain.
    pub depth: u32,
    /// Time left until the caller gives up.
    pub remaining: Duration,
    /// The call may run more than once.
    pub idempotent: bool,
    /// The call may wait in the queue until its deadline.
    pub waits: bool,
    /// Idempotency key; present only on calls that run at most once.
    pub key: Option<Key>,
    /// Digest of the request that the key stands for.
    pub digest: u64,
    /// Epoch under which the key's home dispatches.
    pub epoch: Epoch,
    /// The key's home, on a dispatch.
    pub home: Option<HostId>,
    /// Attempts made before this one for this call.
    pub attempt: u32,
    /// Crashes that the sender knows of and lays to this request.
    pub crashes: Vec<Crash>,
    /// A call above this one is run for a second time, so that this one is a repeat as well.
    pub repeated: bool,
}

/// A backend server went away while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Host of the backend server.
    pub host: HostId,
    /// Tells the crashes of one host apart.
    pub number: u64,
    /// No other suspect ran there.
    pub alone: bool,
}

/// Identifies what a call asks for, regardless of who asks and when.
pub fn fingerprint(call: &Call) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [
        call.service.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&xxh3_64(&call.body).to_le_bytes());
    hasher.digest()
}

/// Whether HTTP defines the method as idempotent.
pub fn is_safe_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
    )
}
