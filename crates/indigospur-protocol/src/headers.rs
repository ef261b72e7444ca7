//! Names of the HTTP headers at the edges.

/// Service the call is for.
pub const SERVICE: &str = "indigospur-service";
/// Customer the call is made for.
pub const CUSTOMER: &str = "indigospur-customer";
/// Time the caller waits for the answer, in milliseconds.
pub const DEADLINE: &str = "indigospur-deadline-ms";
/// Request identifier; the caller repeats it when it sends the same request again.
pub const REQUEST_ID: &str = "indigospur-request-id";
/// Token a backend server repeats on its own calls and on its answer.
pub const CALL: &str = "indigospur-call";
/// Moment the daemon gives up, in milliseconds since the Unix epoch by the shared host clock.
pub const DEADLINE_AT: &str = "indigospur-deadline-at";
/// Refusal kind, on answers made by the daemon.
pub const KIND: &str = "indigospur-kind";
/// `no`, `yes` or `unknown`, on answers made by the daemon.
pub const RAN: &str = "indigospur-ran";
/// Prefix of the daemon's own headers, which are never passed on.
pub const PREFIX: &str = "indigospur-";
/// The caller's key of a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// When to come back, in whole seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Form of a body.
pub const CONTENT_TYPE: &str = "content-type";
