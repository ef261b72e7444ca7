//! `indigospur watch`: shows the status of a daemon repeatedly.

use super::status;
use crate::error::ToolError;
use crate::example::Example;
use crate::output::Output;
use bpaf::Bpaf;
use indigospur_relay::runtime;
use std::time::Duration;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "watch 127.0.0.1:7002 --times 3",
    description: "Shows the status of a daemon three times, one second apart",
}];

/// Show the status of a daemon repeatedly
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command, footer("Example: indigospur watch 127.0.0.1:7002 --times 3"))]
pub(crate) struct Watch {
    /// Time between two requests for the status, in seconds
    #[bpaf(argument("SECONDS"), fallback(1), display_fallback)]
    every: u64,
    /// Number of times to show the status; without it, the command runs until interrupted
    #[bpaf(argument("N"))]
    times: Option<u64>,
    /// Admin address of the daemon
    #[bpaf(positional("IP:PORT"))]
    daemon: String,
}

impl Watch {
    pub(crate) async fn run(self, json: bool) -> Result<Output, ToolError> {
        let mut shown = 1;
        loop {
            let value = status::fetch(&self.daemon).await?;
            let output = Output::new(status::describe(&value), &value);
            if self.times.is_some_and(|times| shown >= times) {
                return Ok(output);
            }
            println!("{}", output.render(json));
            shown += 1;
            runtime::sleep(Duration::from_secs(self.every)).await;
        }
    }
}
