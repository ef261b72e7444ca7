//! The registry of commands: their parsers, how they are run, and their examples.

use super::{check, drain, explain, publish, status, watch};
use crate::error::ToolError;
use crate::example::Example;
use crate::format::Formats;
use bpaf::{OptionParser, Parser, construct};

/// A parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    json: bool,
    command: Command,
}

#[derive(Clone, Debug)]
enum Command {
    Check(check::Check),
    Drain(drain::Drain),
    Explain(explain::Explain),
    Publish(publish::Publish),
    Status(status::Status),
    Watch(watch::Watch),
}

/// Returns the parser of the command line.
pub(crate) fn options() -> OptionParser<Options> {
    let check = check::check().map(Command::Check);
    let drain = drain::drain().map(Command::Drain);
    let explain = explain::explain().map(Command::Explain);
    let publish = publish::publish().map(Command::Publish);
    let status = status::status().map(Command::Status);
    let watch = watch::watch().map(Command::Watch);
    let command = construct!([check, explain, publish, status, watch, drain]);
    let json = bpaf::long("json")
        .help("Print the output as JSON, for use by programs")
        .switch();
    construct!(Options { json, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operators' tool for indigospur: checks and publishes rule sets, and inspects and drains daemons")
        .footer("Exit status: 0 success, 1 invalid command line, 2 rule set unreadable or invalid, 3 conflict with another publish, 4 outcome of the publish unknown, 5 no answer from the log or the daemon, 6 request refused by the daemon")
}

/// Runs a command and returns what it prints, as text or JSON.
pub(crate) async fn run(options: Options, formats: Formats<'_>) -> Result<String, ToolError> {
    let output = match options.command {
        Command::Check(command) => command.run(formats)?,
        Command::Drain(command) => command.run().await?,
        Command::Explain(command) => command.run(formats)?,
        Command::Publish(command) => command.run(formats).await?,
        Command::Status(command) => command.run().await?,
        Command::Watch(command) => command.run(options.json).await?,
    };
    Ok(output.render(options.json))
}

/// Returns the examples of all commands, in alphabetical order of the commands.
pub fn examples() -> Vec<Example> {
    let all = [
        check::EXAMPLES,
        drain::EXAMPLES,
        explain::EXAMPLES,
        publish::EXAMPLES,
        status::EXAMPLES,
        watch::EXAMPLES,
    ];
    all.concat()
}
