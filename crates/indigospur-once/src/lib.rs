//! At-most-once execution of non-idempotent calls.
//!
//! Each idempotency key has a home among the members of the service's current epoch. The home
//! serialises the claims of the key; an executor on another host records the dispatch before it
//! runs the call, and then that the call ran. Epochs are ordered by the platform's log. A new home
//! grants a key only after the previous home or all of its executors have handed over their
//! records, or once no executor can run a key for the previous home any more. In the latter case it
//! grants only keys created since then.

mod epochs;
mod key;
mod once;
mod placement;
mod records;
mod wire;

pub use key::{CreationTime, KeyError, creation_time, parse_key};
pub use once::{ClaimOutcome, HandOver, Once, OnceOptions, RecordOutcome};
pub use placement::{executor_candidates, home_of};
pub use records::{KeyRecord, KeyState};
