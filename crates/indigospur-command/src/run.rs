//! The tool's program.

use crate::commands;
use crate::failure::ToolError;
use crate::format::Format;
use indigospur_relay::runtime;
use std::process::ExitCode;

/// Runs the tool's program, which reads rule sets in `formats` too.
pub fn run(formats: &[Format]) -> ExitCode {
    let options = commands::options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    runtime::set_threads(1);
    finish(runtime::block_on(commands::run(options, formats)))
}

fn finish(done: Result<String, ToolError>) -> ExitCode {
    match done {
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

/// Runs one command line, as the program would, and returns what it prints.
///
/// # Errors
/// The command line is wrong, or the command failed; what the program would print.
pub fn run_with(line: &[&str], formats: &[Format]) -> Result<String, String> {
    let options = commands::options()
        .run_inner(line)
        .map_err(|failure| failure.unwrap_stderr())?;
    runtime::block_on(commands::run(options, formats)).map_err(|error| error.to_string())
}
