//! Rule sets: ordered rules, each a condition (`when`) and an action (`then`). The first rule that
//! matches a call decides how it is treated.

mod check;
mod condition;
mod parse;
mod pattern;
mod set;
mod split;
mod treatment;

pub use check::check_order;
pub use condition::{Condition, Subject};
pub use parse::parse;
pub use pattern::Pattern;
pub use set::{CallerBounds, Decision, Rule, RuleParts, RuleSet};
pub use split::Draws;
pub use treatment::{Action, ShedOrder, Target, Treatment};
