//! The network layer: HTTP/1.1 towards callers, backend servers and the platform's log, HTTP/2
//! between daemons, and the async runtime that both run on.

mod address;
mod arrivals;
mod backend;
mod connection;
mod connections;
mod encode;
mod handling;
mod head;
mod http;
mod link;
mod links;
mod listener;
mod log_client;
mod memory;
mod metered;
mod parts;
mod peer_server;
mod percent_encoding;
mod pipeline;
mod pipelined;
mod receiving;
mod request;
pub mod runtime;
mod service;
mod serving;
mod silence;
mod stream;
mod timer;

pub use address::SharedAddress;
pub use backend::{
    BackendError, BackendPool, BackendResponse, Exchange, ResponseCheck, ResponseOwner, Reuse,
};
pub use http::{HttpError, HttpRequest, get, post, request};
pub use link::{Channel, Link, LinkError};
pub use links::LinkPool;
pub use listener::serve_http;
pub use log_client::{LogBatch, LogClient, LogError, LogRecord};
pub use memory::BodyMemory;
pub use peer_server::serve_peers;
pub use percent_encoding::{percent_decode, percent_encode};
pub use pipeline::{Concurrency, MAX_PIPELINED, NextResponse, Pipeline, RequestNumber};
pub use service::{Bounds, Handler, HttpService, ReceivedRequest, RefusalEncoder};
