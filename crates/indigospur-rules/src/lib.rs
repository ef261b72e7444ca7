//! Rule sets: ordered rules, each a condition (`when`) and an action (`then`). The first rule that
//! matches a call decides how it is treated.

mod check;
mod condition;
mod parse;
mod pattern;
mod set;
mod split;
mod treatment;
mod workspace;

pub use check::check_rule;
pub use condition::{CallAttributes, Condition};
pub use parse::parse;
pub use pattern::Pattern;
pub use set::{CallerLimits, Decision, Rule, RuleParts, RuleSet};
pub use split::TrafficSplit;
pub use treatment::{Action, DEFAULT_DEADLINE, ShedOrder, Target, Treatment};
pub use workspace::{KeyDigest, Quota, Workspace, Workspaces};
