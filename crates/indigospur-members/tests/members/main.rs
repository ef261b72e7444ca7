//! Members of a fleet and instances of a backend server, under virtual time.

mod fleet;
mod gossip;
mod joining;
mod restarts;
mod urgent;
