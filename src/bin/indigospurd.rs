//! The daemon that runs on each host.

use std::process::ExitCode;

fn main() -> ExitCode {
    indigospur_daemon::run()
}
