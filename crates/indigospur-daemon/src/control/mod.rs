//! Background tasks: gossip, reading rule sets, epochs and key hand-over.

mod departures;
mod epochs;
mod gossip;
mod log_reader;
mod quota;
mod registration;
mod source_reader;
mod start;

pub(crate) use departures::{DepartureRecord, wait_until_recorded};
pub(crate) use epochs::{accept_hand_over, hand_over_to_all};
pub(crate) use gossip::{answer_gossip, gossip_now};
pub(crate) use start::start;
