//! Pipelined requests on one connection, with real sockets.

mod bounds;
mod order;
mod support;
