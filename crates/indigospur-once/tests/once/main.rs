//! At-most-once execution: unit cases, planned replacements, and a random simulation of crashes,
//! pauses, partitions and outages of the log.

mod cases;
mod losses;
mod replacement;
mod simulation;
mod support;
