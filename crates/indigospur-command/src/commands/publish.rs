//! `indigospur publish`: publishes a rule set through the platform's log.

use crate::example::Example;
use crate::failure::ToolError;
use crate::format::{Formats, load_text};
use crate::output::Output;
use crate::platform::read;
use bpaf::Bpaf;
use indigospur_publish::{Conflict, PublishAttempt, PublishOutcome, STREAM};
use indigospur_relay::{LogClient, LogError};
use serde::Serialize;
use uuid::Uuid;

/// Times an append is sent again before its outcome counts as unknown.
const MOST_APPENDS: u32 = 3;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    line: "publish examples/lisbon/rules.toml --log 127.0.0.1:9000 --operator ana",
    does: "Publishes the rule set of the Lisbon example",
}];

/// Publish a rule set; it is in force everywhere within seconds
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer("Example: indigospur publish rules.toml --log 127.0.0.1:9000 --operator ana")
)]
pub(crate) struct Publish {
    /// Address of the platform's log
    #[bpaf(argument("IP:PORT"))]
    log: String,
    /// Name of the operator, shown to others
    #[bpaf(argument("NAME"), fallback("unknown".to_owned()), display_fallback)]
    operator: String,
    /// Publish only if this version is the one in force
    #[bpaf(argument("VERSION"))]
    expect: Option<u64>,
    /// Identifier of an earlier try whose outcome is not known
    #[bpaf(argument("ID"))]
    id: Option<String>,
    /// Rule set, in TOML
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
struct Published<'a> {
    version: u64,
    id: &'a str,
}

impl Publish {
    pub(crate) async fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let (text, _) = load_text(&self.file, formats)?;
        let id = self
            .id
            .clone()
            .unwrap_or_else(|| Uuid::now_v7().to_string());
        let reading = read(&self.log).await?;
        if let Some(version) = found(&reading, &id) {
            return Ok(published(version, &id));
        }
        if let Some(in_force) = reading.follower.active_rules()
            && self
                .expect
                .is_some_and(|expected| expected != in_force.version)
        {
            return Err(conflict(
                &text,
                "another operator",
                in_force.version,
                &in_force.text,
            ));
        }
        let chain = reading.follower.rules_chain();
        let attempt = PublishAttempt::new(
            chain,
            id.as_str().into(),
            text.as_str().into(),
            self.operator.as_str().into(),
        );
        let version = self.append(&attempt, &text, &id).await?;
        Ok(published(version, &id))
    }

    /// Appends until the log tells what became of it. Every append is the same record, so only the
    /// first can count.
    async fn append(
        &self,
        attempt: &PublishAttempt,
        text: &str,
        id: &str,
    ) -> Result<u64, ToolError> {
        let log = LogClient::new(self.log.as_str().into());
        let mut sent = false;
        for _ in 0..MOST_APPENDS {
            let appended = log.append(STREAM, &attempt.bytes()).await;
            sent |= matches!(appended, Ok(_) | Err(LogError::Unanswered));
            let Ok(reading) = read(&self.log).await else {
                continue;
            };
            match attempt.outcome(&reading.records) {
                PublishOutcome::Accepted(version) => return Ok(version),
                PublishOutcome::Rejected(Conflict {
                    version,
                    text: other,
                    operator,
                }) => {
                    return Err(conflict(text, &operator, version, &other));
                }
                PublishOutcome::Absent => {}
            }
        }
        if sent {
            Err(ToolError::Unsure(self.log.clone(), id.to_owned()))
        } else {
            Err(ToolError::LogDown(self.log.clone(), LogError::Refused))
        }
    }
}

/// The version of an earlier try with this identifier, if it is in force or was.
fn found(reading: &crate::platform::Reading, id: &str) -> Option<u64> {
    let records = reading.records.iter().filter_map(|fetched| {
        let record = indigospur_publish::Record::decode(&fetched.body).ok()?;
        (&*record.id == id).then_some(fetched.offset)
    });
    let offset = records.min()?;
    let head = reading.follower.rules_chain().head();
    head.is_some_and(|head| head >= offset).then_some(offset)
}

fn published(version: u64, id: &str) -> Output {
    Output::new(
        format!("published version {version} (id {id})"),
        &Published { version, id },
    )
}

fn conflict(own: &str, operator: &str, version: u64, other: &str) -> ToolError {
    let difference = difference(own, other);
    ToolError::Conflict {
        operator: operator.to_owned(),
        version,
        difference,
    }
}

/// Lines that only one of the two rule sets has.
fn difference(own: &str, other: &str) -> String {
    let missing = |from: &str, sign: char, to: &str| -> Vec<String> {
        let lines = to
            .lines()
            .filter(|line| !from.lines().any(|known| known == *line));
        lines.map(|line| format!("  {sign} {line}")).collect()
    };
    let mut lines = missing(own, '+', other);
    lines.extend(missing(other, '-', own));
    lines.join("\n")
}
