//! Types shared by the daemon and the operators' command-line tool: identifiers, calls, answers,
//! refusal kinds and the messages between daemons.
//!
//! A request of a customer causes a chain of calls: a backend server that runs one call may make
//! further calls, which are *below* it in the chain. The daemon that relays a call is its sender,
//! the daemon it is relayed to is the receiver. An *upstream* is a daemon together with the backend
//! server on its host.

mod announcement;
mod answer;
mod call;
mod convert;
mod epoch;
pub mod headers;
mod ids;
mod kind;
mod member;
mod rate;
mod reason;
#[allow(missing_docs, clippy::all, rustdoc::all, unreachable_pub)]
pub mod wire;

pub use announcement::Announcement;
pub use answer::{Answer, Load, Outcome, Pace, Pressure, Refusal, Reply, Shedding, Work};
pub use call::{
    Call, Class, Context, Crash, CrashTiming, Header, Rank, RetryOrder, find_header, fingerprint,
    is_idempotent_method,
};
pub use convert::{RelayMessage, WireError, crashes_from_wire, crashes_to_wire};
pub use epoch::{EpochRecord, MemberId};
pub use ids::{Customer, Epoch, Era, HostId, Incarnation, Key, RequestId, ServiceName, Version};
pub use kind::{KINDS, Kind, KindInfo, Ran, RetryAdvice};
pub use member::{Member, State};
pub use rate::Rate;
pub use reason::RetryReason;
