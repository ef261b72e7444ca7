//! `indigospur publish`: publishes a rule set to all daemons through the platform's log.

use crate::client::read_log;
use crate::error::ToolError;
use crate::example::Example;
use crate::format::{Formats, load_publishable};
use crate::output::Output;
use bpaf::Bpaf;
use indigospur_publish::{Conflict, PublishAttempt, PublishOutcome, STREAM};
use indigospur_relay::{LogClient, LogError};
use serde::Serialize;
use uuid::Uuid;

/// Maximum number of times the record is appended while its outcome is unknown.
const MAX_APPENDS: u32 = 3;

pub(crate) const EXAMPLES: &[Example] = &[Example {
    args: "publish examples/lisbon/rules.toml --log 127.0.0.1:9000 --operator ana",
    description: "Publishes the rule set of the Lisbon example",
}];

/// Publish a rule set through the platform's log. All daemons apply it within seconds
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command,
    footer("Example: indigospur publish rules.toml --log 127.0.0.1:9000 --operator ana")
)]
pub(crate) struct Publish {
    /// Address of the platform's log
    #[bpaf(argument("IP:PORT"))]
    log: String,
    /// Name of the operator, shown to operators who publish at the same time
    #[bpaf(argument("NAME"), fallback("unknown".to_owned()), display_fallback)]
    operator: String,
    /// Publish only if the active rule set has this version; not checked while no rule set is active
    #[bpaf(argument("VERSION"))]
    expect: Option<u64>,
    /// Identifier of an earlier publish whose outcome is unknown, to retry it without publishing twice; without it, a new one is generated
    #[bpaf(argument("ID"))]
    id: Option<String>,
    /// File with the rule set, in TOML
    #[bpaf(positional("FILE"))]
    file: String,
}

#[derive(Serialize)]
struct PublishReport<'a> {
    version: u64,
    id: &'a str,
}

impl Publish {
    pub(crate) async fn run(self, formats: Formats<'_>) -> Result<Output, ToolError> {
        let (text, _) = load_publishable(&self.file, formats)?;
        let id = self
            .id
            .clone()
            .unwrap_or_else(|| Uuid::now_v7().to_string());
        let snapshot = read_log(&self.log).await?;
        if let Some(version) = find_version(&snapshot, &id) {
            return Ok(report(version, &id));
        }
        if let Some(active) = snapshot.follower.active_rules()
            && self
                .expect
                .is_some_and(|expected| expected != active.version)
        {
            return Err(conflict_error(
                &text,
                "another operator",
                active.version,
                &active.text,
            ));
        }
        let chain = snapshot.follower.rules_chain();
        let attempt = PublishAttempt::new(
            chain,
            id.as_str().into(),
            text.as_str().into(),
            self.operator.as_str().into(),
        );
        let version = self.append(&attempt, &text, &id).await?;
        Ok(report(version, &id))
    }

    /// Appends the record until the log shows the outcome of the attempt. All appends are the same
    /// record, so at most the first takes effect.
    async fn append(
        &self,
        attempt: &PublishAttempt,
        text: &str,
        id: &str,
    ) -> Result<u64, ToolError> {
        let log = LogClient::new(self.log.as_str().into());
        let mut sent = false;
        for _ in 0..MAX_APPENDS {
            let appended = log.append(STREAM, &attempt.bytes()).await;
            sent |= matches!(appended, Ok(_) | Err(LogError::Unanswered));
            let Ok(snapshot) = read_log(&self.log).await else {
                continue;
            };
            match attempt.outcome(&snapshot.records) {
                PublishOutcome::Accepted(version) => return Ok(version),
                PublishOutcome::Rejected(Conflict {
                    version,
                    text: other,
                    operator,
                }) => {
                    return Err(conflict_error(text, &operator, version, &other));
                }
                PublishOutcome::Absent => {}
            }
        }
        if sent {
            Err(ToolError::UnknownOutcome(self.log.clone(), id.to_owned()))
        } else {
            Err(ToolError::LogUnavailable(
                self.log.clone(),
                LogError::Refused,
            ))
        }
    }
}

/// Finds the version that an earlier publish with this identifier created, if it is or was active.
fn find_version(snapshot: &crate::client::LogSnapshot, id: &str) -> Option<u64> {
    let records = snapshot.records.iter().filter_map(|fetched| {
        let record = indigospur_publish::Record::decode(&fetched.body).ok()?;
        (&*record.id == id).then_some(fetched.offset)
    });
    let offset = records.min()?;
    let head = snapshot.follower.rules_chain().head();
    head.is_some_and(|head| head >= offset).then_some(offset)
}

fn report(version: u64, id: &str) -> Output {
    Output::new(
        format!("published version {version} (id {id})"),
        &PublishReport { version, id },
    )
}

fn conflict_error(own: &str, operator: &str, version: u64, other: &str) -> ToolError {
    let difference = diff_lines(own, other);
    ToolError::Conflict {
        operator: operator.to_owned(),
        version,
        difference,
    }
}

/// Lists the lines that only one of the two rule sets has: `+` marks those of `other`, `-` those of
/// `own`.
fn diff_lines(own: &str, other: &str) -> String {
    let unique_lines = |base: &str, sign: char, text: &str| -> Vec<String> {
        let lines = text
            .lines()
            .filter(|line| !base.lines().any(|known| known == *line));
        lines.map(|line| format!("  {sign} {line}")).collect()
    };
    let mut lines = unique_lines(own, '+', other);
    lines.extend(unique_lines(other, '-', own));
    lines.join("\n")
}
