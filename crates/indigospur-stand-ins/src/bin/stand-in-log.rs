//! Runs the simulated platform log.

use async_std::net::TcpListener;
use bpaf::Bpaf;
use indigospur_relay::runtime;
use indigospur_stand_ins::PlatformLog;
use std::io;

/// Simulated platform log for tests. Prints its address as a line of JSON once it listens.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
}

fn main() -> io::Result<()> {
    let options = options().run();
    runtime::set_threads(1);
    runtime::block_on(async {
        let listener = TcpListener::bind(&*options.listen).await?;
        println!("{{\"address\":\"{}\"}}", listener.local_addr()?);
        PlatformLog::default().serve(listener).await;
        Ok(())
    })
}
