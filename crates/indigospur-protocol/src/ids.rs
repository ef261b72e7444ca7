//! Identifiers, as aliases of standard types.

use std::sync::Arc;

/// Name of the host that a daemon runs on, unique in the fleet.
pub type HostId = Arc<str>;
/// Name of a service, such as `contracts`.
pub type ServiceName = Arc<str>;
/// Name of a customer, as given by the caller.
pub type Customer = Arc<str>;
/// Identifier of a customer's request, the same along the whole call chain.
pub type RequestId = Arc<str>;
/// Idempotency key chosen by the caller.
pub type Key = Arc<str>;
/// Incarnation number of a daemon: each start on the same host has a higher number than the last.
pub type Incarnation = u64;
/// Number of a source's history. It rises each time the source is restored from an earlier copy;
/// offsets are given out again then. Zero if the source reports none.
pub type Era = u64;

/// Version of the rule set: the log offset of its record.
pub type Version = u64;
/// Number of an epoch, which is one member list of a service; zero before the first.
pub type Epoch = u64;
