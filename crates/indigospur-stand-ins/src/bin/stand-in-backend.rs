//! Runs the simulated backend server.

use async_std::net::TcpListener;
use bpaf::Bpaf;
use indigospur_relay::runtime;
use indigospur_stand_ins::{BackendOptions, BackendServer, DownstreamCall};
use std::io;
use std::time::Duration;

/// Simulated backend server for tests. Prints its address as a line of JSON once it listens.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
    /// Name of the service to announce
    #[bpaf(argument("NAME"))]
    service: String,
    /// Number of concurrent calls to announce
    #[bpaf(argument("N"), fallback(32))]
    slots: u32,
    /// Number of connections to announce
    #[bpaf(argument("N"), fallback(256))]
    connections: u32,
    /// Service time of a request without a work parameter, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
    /// Call to make for each request, as SERVICE/PATH; may be given more than once
    #[bpaf(argument("SERVICE/PATH"))]
    call: Vec<String>,
    /// Admin address of the daemon, for announcements; without it none are sent
    #[bpaf(argument("IP:PORT"))]
    daemon_admin: Option<String>,
    /// Caller address of the daemon; without it no calls are made
    #[bpaf(argument("IP:PORT"))]
    daemon_calls: Option<String>,
    /// Address to announce instead of the listening address
    #[bpaf(argument("IP:PORT"))]
    advertise: Option<String>,
}

fn main() -> io::Result<()> {
    let options = options().run();
    runtime::set_threads(1);
    let listen = options.listen.clone();
    let server = BackendServer::new(backend_options(options));
    runtime::block_on(async {
        let listener = TcpListener::bind(&*listen).await?;
        println!("{{\"address\":\"{}\"}}", listener.local_addr()?);
        server.serve(listener).await;
        Ok(())
    })
}

fn backend_options(options: Options) -> BackendOptions {
    BackendOptions {
        service: options.service,
        slots: options.slots,
        connections: options.connections,
        work_time: Duration::from_millis(options.work_ms),
        calls: options.call.iter().map(|call| parse_call(call)).collect(),
        daemon_admin: options.daemon_admin,
        daemon_calls: options.daemon_calls,
        advertise: options.advertise,
    }
}

fn parse_call(text: &str) -> DownstreamCall {
    let (service, path) = text.split_once('/').unwrap_or((text, ""));
    DownstreamCall {
        service: service.to_owned(),
        path: format!("/{path}"),
    }
}
