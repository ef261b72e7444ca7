//! Bounded attempts: the retry credit of a request along its call tree, the retry ratio of a link,
//! and the decision whether a failed attempt is followed by another.

mod credit;
mod cutoff;
mod decide;
mod ledger;
mod ratio;
mod seen;

pub use credit::Credit;
pub use decide::{Attempted, RetryOptions, decide_retry, is_pass};
pub use ledger::{Closed, Ledger, Token, add_work};
pub use ratio::{RatioOptions, RetryRatio};
pub use seen::SeenRequests;
