//! Hosts with gates and homes in virtual time, against the bounds on quotas.

mod cases;
mod decisions;
mod failures;
mod load;
mod seen;
mod sim;
