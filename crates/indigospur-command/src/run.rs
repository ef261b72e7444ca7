//! Entry points: the program itself, and a single command line for tests.

use crate::commands;
use crate::error::ToolError;
use crate::format::RuleFormat;
use indigospur_relay::runtime;
use std::process::ExitCode;

/// Runs the program with the command line of this process. It reads rule sets in TOML and in
/// `formats`. Returns the exit status.
pub fn run(formats: &[RuleFormat]) -> ExitCode {
    let options = commands::options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    runtime::set_threads(1);
    print_result(runtime::block_on(commands::run(options, formats)))
}

fn print_result(result: Result<String, ToolError>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("indigospur: {error}");
            error.exit_code()
        }
    }
}

/// Runs one command line and returns what the program would print on standard output. The
/// arguments don't include the program's name.
///
/// # Errors
/// The command line is invalid, or the command failed; the message for standard error.
pub fn run_args(args: &[&str], formats: &[RuleFormat]) -> Result<String, String> {
    let options = commands::options()
        .run_inner(args)
        .map_err(|failure| failure.unwrap_stderr())?;
    runtime::block_on(commands::run(options, formats)).map_err(|error| error.to_string())
}
