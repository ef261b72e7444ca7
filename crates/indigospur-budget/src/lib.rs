//! Bounds on retries: the retry credit of a request over its whole call tree, the ratio of retries
//! to first attempts on each link, and the decision whether to retry a failed attempt.

mod claim;
mod credit;
mod cutoff;
mod decision;
mod ledger;
mod order_cutoff;
mod ratio;
mod request_counts;
mod transmissions;
mod window;

pub use claim::{RetryClaim, RetryStatus, order_after_calls};
pub use credit::Credit;
pub use decision::{
    FailedAttempt, RetryOptions, decide_retry, is_passed_over, is_upstream_unavailable,
};
pub use ledger::{ClosedCall, Ledger, Token, add_work};
pub use ratio::{RatioOptions, RetryRatio};
pub use request_counts::RequestCounts;
pub use transmissions::{SenderId, TransmissionNumber, Transmissions};
pub use window::WindowOptions;
