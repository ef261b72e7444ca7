//! A backend server as a program.

use async_std::net::TcpListener;
use bpaf::Bpaf;
use indigospur_relay::runtime;
use indigospur_stand_ins::{BackendOptions, BackendServer, DownstreamCall};
use std::io;
use std::time::Duration;

/// A stand-in of a backend server. Prints its address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
    /// Service it serves
    #[bpaf(argument("NAME"))]
    service: String,
    /// Calls it can run at a time
    #[bpaf(argument("N"), fallback(32))]
    slots: u32,
    /// Connections it accepts
    #[bpaf(argument("N"), fallback(256))]
    connections: u32,
    /// Time a call takes, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
    /// A call it makes while it runs one, as SERVICE/PATH; may be given more than once
    #[bpaf(argument("SERVICE/PATH"))]
    call: Vec<String>,
    /// Address of its daemon for announcements
    #[bpaf(argument("IP:PORT"))]
    daemon_admin: Option<String>,
    /// Address of its daemon for calls
    #[bpaf(argument("IP:PORT"))]
    daemon_calls: Option<String>,
    /// Address to announce instead of the one it listens on
    #[bpaf(argument("IP:PORT"))]
    advertise: Option<String>,
}

fn main() -> io::Result<()> {
    let options = options().run();
    runtime::set_threads(1);
    let listen = options.listen.clone();
    let server = BackendServer::new(build(options));
    runtime::block_on(async {
        let listener = TcpListener::bind(&*listen).await?;
        println!("{{\"address\":\"{}\"}}", listener.local_addr()?);
        server.serve(listener).await;
        Ok(())
    })
}

fn build(options: Options) -> BackendOptions {
    BackendOptions {
        service: options.service,
        slots: options.slots,
        connections: options.connections,
        work: Duration::from_millis(options.work_ms),
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
