//! Generates the Rust code of the messages between daemons from `peer.proto`. Needs no `protoc`.
//!
//! Run it in the root of the repository; the paths are relative to it.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let proto = "crates/indigospur-protocol/proto";
    let files = protox::compile([format!("{proto}/peer.proto")], [proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("crates/indigospur-protocol/src/wire")
        .compile_fds(files)?;
    std::fs::rename(
        "crates/indigospur-protocol/src/wire/indigospur.peer.v1.rs",
        "crates/indigospur-protocol/src/wire/peer.rs",
    )?;
    Ok(())
}
