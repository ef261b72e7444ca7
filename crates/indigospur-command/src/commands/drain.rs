//! `indigospur drain`: puts a daemon into the draining state.

use crate::client::post_admin;
use crate::error::ToolError;
use crate::example::Example;
use crate::output::Output;
use bpaf::Bpaf;
use serde::Serialize;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "drain 127.0.0.1:7002",
    description: "Drains the daemon with the admin address 127.0.0.1:7002",
}];

/// Drain a daemon: it refuses new calls and completes those in flight. The process keeps running until it is stopped
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command, footer("Example: indigospur drain 127.0.0.1:7002"))]
pub(crate) struct Drain {
    /// Admin address of the daemon to drain
    #[bpaf(positional("IP:PORT"))]
    daemon: String,
}

#[derive(Serialize)]
struct DrainReport<'a> {
    draining: &'a str,
}

impl Drain {
    pub(crate) async fn run(self) -> Result<Output, ToolError> {
        post_admin(&self.daemon, "/drain").await?;
        Ok(Output::new(
            format!("{} takes no new work", self.daemon),
            &DrainReport {
                draining: &self.daemon,
            },
        ))
    }
}
