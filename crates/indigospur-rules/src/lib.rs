//! Ordered when-then rules. The first rule that matches a call decides how it is treated.

mod check;
mod condition;
mod draws;
mod parse;
mod pattern;
mod set;
mod treatment;

pub use check::check_order;
pub use condition::{Condition, Subject};
pub use draws::Draws;
pub use parse::parse;
pub use pattern::Pattern;
pub use set::{CallerBounds, Decision, Rule, RuleParts, RuleSet};
pub use treatment::{Action, ShedOrder, Target, Treatment};
