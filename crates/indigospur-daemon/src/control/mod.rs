//! Background tasks: gossip, reading rule sets, epochs and key hand-over.

mod epochs;
mod gossip;
mod log_reader;
mod source_reader;
mod start;

pub(crate) use epochs::{hand_over_to_all, take_hand_over};
pub(crate) use gossip::{answer_gossip, tell_now};
pub(crate) use start::start;
