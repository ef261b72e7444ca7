//! Types shared by the daemon and the operators' tool: identifiers, calls, answers, the closed
//! list of refusal kinds, and the messages between daemons.

mod announcement;
mod answer;
mod call;
mod convert;
mod epoch;
pub mod headers;
mod ids;
mod kind;
mod member;
mod reason;
#[allow(missing_docs, clippy::all, rustdoc::all, unreachable_pub)]
pub mod wire;

pub use announcement::Announcement;
pub use answer::{Answer, Load, Outcome, Pressure, Refusal, Reply, Work};
pub use call::{Call, Class, Context, Crash, Header, Rank, fingerprint, is_safe_method};
pub use convert::{RelayMessage, WireError};
pub use epoch::{EpochRecord, MemberId};
pub use ids::{Customer, Epoch, HostId, Incarnation, Key, RequestId, ServiceName, Version};
pub use kind::{KINDS, Kind, KindRow, Ran, RetryAdvice};
pub use member::{Member, State};
pub use reason::RetryReason;
