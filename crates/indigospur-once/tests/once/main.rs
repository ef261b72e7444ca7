//! At-most-once execution: cases, and a random walk of members, log, crashes, pauses and cuts.

mod cases;
mod losses;
mod replacement;
mod support;
mod walk;
