//! The one place that knows all commands.

use super::{check, drain, explain, publish, status, watch};
use crate::example::Example;
use crate::failure::ToolError;
use crate::format::Formats;
use bpaf::{OptionParser, Parser, construct};

/// A command line that was understood.
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

/// The parser of the command line.
pub(crate) fn options() -> OptionParser<Options> {
    let check = check::check().map(Command::Check);
    let drain = drain::drain().map(Command::Drain);
    let explain = explain::explain().map(Command::Explain);
    let publish = publish::publish().map(Command::Publish);
    let status = status::status().map(Command::Status);
    let watch = watch::watch().map(Command::Watch);
    let command = construct!([check, explain, publish, status, watch, drain]);
    let json = bpaf::long("json").help("Print JSON for programs").switch();
    construct!(Options { json, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The operators' tool of indigospur")
        .footer("Exit status: 0 done, 1 wrong command line, 2 wrong file, 3 conflict, 4 not known, 5 no answer, 6 refused")
}

/// Runs a command; what it prints.
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

/// The examples of all commands.
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
