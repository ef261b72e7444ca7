//! `indigospur status`: shows the status of a daemon.

use crate::client::get_admin;
use crate::error::ToolError;
use crate::example::Example;
use crate::output::Output;
use bpaf::Bpaf;
use serde_json::Value;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "status 127.0.0.1:7002",
    description: "Shows the status of the daemon with the admin address 127.0.0.1:7002",
}];

/// Show the status of a daemon and the members it knows
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command, footer("Example: indigospur status 127.0.0.1:7002"))]
pub(crate) struct Status {
    /// Admin address of the daemon
    #[bpaf(positional("IP:PORT"))]
    daemon: String,
}

impl Status {
    pub(crate) async fn run(self) -> Result<Output, ToolError> {
        let status = fetch(&self.daemon).await?;
        Ok(Output::new(describe(&status), &status))
    }
}

/// Fetches the status of a daemon; null if the answer is not JSON.
pub(crate) async fn fetch(daemon: &str) -> Result<Value, ToolError> {
    let answer = get_admin(daemon, "/status").await?;
    Ok(serde_json::from_slice(&answer.body).unwrap_or(Value::Null))
}

/// Formats a status as text: one line for each field, then one line for each member.
pub(crate) fn describe(status: &Value) -> String {
    let mut lines = Vec::new();
    for (name, value) in status
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, _)| *name != "members")
    {
        lines.push(format!("{name}: {value}"));
    }
    for member in status["members"].as_array().into_iter().flatten() {
        let field = |name: &str| member[name].as_str().unwrap_or("?").to_owned();
        lines.push(format!(
            "member {}: {} {} {}",
            field("host"),
            field("service"),
            field("data-centre"),
            field("state")
        ));
    }
    lines.join("\n")
}
