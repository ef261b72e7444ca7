//! The operators' command-line tool, which also reads the platform's configuration.

use indigospur_command::Format;
use std::process::ExitCode;

/// The platform's configuration, as a JSON document.
const PLATFORM_JSON: Format = Format {
    ending: ".json",
    read: indigospur_platform::check_document,
};

fn main() -> ExitCode {
    indigospur_command::run(&[PLATFORM_JSON])
}
