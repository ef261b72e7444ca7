//! Names of the HTTP headers between a daemon and the callers and backend servers on its host.

/// Name of the service that is called.
pub const SERVICE: &str = "indigospur-service";
/// Name of the workspace whose key the caller sent; set by the daemon on callers' requests where the rule
/// set has workspaces.
pub const WORKSPACE: &str = "indigospur-workspace";
/// Credential of a caller.
pub const AUTHORIZATION: &str = "authorization";
/// Authentication scheme that a caller is to use, on refusals of status 401.
pub const WWW_AUTHENTICATE: &str = "www-authenticate";
/// Customer on whose behalf the call is made.
pub const CUSTOMER: &str = "indigospur-customer";
/// Time for which the caller waits for the answer, in milliseconds.
pub const DEADLINE: &str = "indigospur-deadline-ms";
/// Request identifier; a caller that retries a request sends the same identifier again.
pub const REQUEST_ID: &str = "indigospur-request-id";
/// Call token: the daemon sends it with a call, and the backend server copies it to the calls that
/// it makes meanwhile and to its answer.
pub const CALL_TOKEN: &str = "indigospur-call";
/// Deadline of the call, in milliseconds since the Unix epoch by the clock that the daemon and
/// the backend server share on their host.
pub const DEADLINE_AT: &str = "indigospur-deadline-at";
/// Limit on the calls a second that a backend server takes from all hosts together, as a decimal
/// number in each of its answers for as long as the limit applies.
pub const RATE_LIMIT: &str = "indigospur-rate-limit";
/// Time that work at a backend server takes now, in percent of the usual.
pub const PACE: &str = "indigospur-pace";
/// Set to `1` in the answers of a backend server that is shutting down and takes no new calls.
pub const LEAVING: &str = "indigospur-leaving";
/// Name of the refusal kind, on answers made by the daemon.
pub const KIND: &str = "indigospur-kind";
/// Whether the call ran (`no`, `yes` or `unknown`), on answers made by the daemon.
pub const RAN: &str = "indigospur-ran";
/// Prefix of the daemon's own headers, which are never forwarded.
pub const PREFIX: &str = "indigospur-";
/// Idempotency key, chosen by the caller, of a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time after which the caller may retry, in whole seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Media type of a body.
pub const CONTENT_TYPE: &str = "content-type";
