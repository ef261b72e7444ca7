//! The operators' tool.

use indigospur_command::Format;
use std::process::ExitCode;

/// The rule set as the users' platform holds it.
const PLATFORM: Format = Format {
    ending: ".json",
    read: indigospur_platform::check_document,
};

fn main() -> ExitCode {
    indigospur_command::run(&[PLATFORM])
}
