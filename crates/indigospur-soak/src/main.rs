//! Command-line program of the fault-injection soak test.

use indigospur_soak::{Soak, read_options};
use std::process::ExitCode;

fn main() -> ExitCode {
    let report = match Soak::start(&read_options()) {
        Ok(soak) => soak.run(),
        Err(error) => {
            eprintln!("soak: cannot start the site: {error}");
            return ExitCode::from(2);
        }
    };
    println!("{report}");
    if report.breaches.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
