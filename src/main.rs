//! The operators' command-line tool, which also reads the platform's configuration.

use indigospur_command::RuleFormat;
use std::process::ExitCode;

/// The platform's configuration, as a JSON document.
const PLATFORM_JSON: RuleFormat = RuleFormat {
    suffix: ".json",
    parse: indigospur_platform::check_document,
};

fn main() -> ExitCode {
    indigospur_command::run(&[PLATFORM_JSON])
}
