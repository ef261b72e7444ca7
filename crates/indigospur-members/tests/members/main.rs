//! The members of a fleet and the starts of a backend server, under virtual time.

mod fleet;
mod gossip;
mod starts;
