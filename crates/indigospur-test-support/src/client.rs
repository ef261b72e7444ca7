//! A caller with an HTTP library that shares nothing with the daemon.

use std::time::Duration;
use ureq::Agent;

/// A whole answer, or the failure to get one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// HTTP status; zero if there was no whole answer.
    pub status: u16,
    /// Refusal kind, if the daemon answered itself.
    pub kind: String,
    /// Whether the call ran, if the daemon answered itself.
    pub ran: String,
    /// Value of `Retry-After`.
    pub retry_after: String,
    /// Body, or the failure.
    pub body: String,
}

/// A call of a caller.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// Service.
    pub service: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Customer.
    pub customer: &'a str,
    /// Idempotency key; makes the call a POST.
    pub key: &'a str,
    /// Deadline in milliseconds; zero for none.
    pub deadline_ms: u64,
}

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

impl Answered {
    pub(crate) fn failed(error: impl std::fmt::Display) -> Answered {
        Answered {
            status: 0,
            kind: String::new(),
            ran: String::new(),
            retry_after: String::new(),
            body: error.to_string(),
        }
    }
}

/// The headers of a call.
pub(crate) fn header_lines(call: &Call<'_>) -> Vec<(&'static str, String)> {
    let deadline = match call.deadline_ms {
        0 => String::new(),
        millis => millis.to_string(),
    };
    let all = [
        ("indigospur-service", call.service.to_owned()),
        ("indigospur-customer", call.customer.to_owned()),
        ("indigospur-deadline-ms", deadline),
        ("idempotency-key", call.key.to_owned()),
    ];
    all.into_iter()
        .filter(|(_, value)| !value.is_empty())
        .collect()
}

/// Makes a call through the daemon at `address`, on a connection of its own.
pub fn request(address: &str, call: &Call<'_>) -> Answered {
    let url = format!("http://{address}{}", call.path);
    let headers = header_lines(call);
    if call.key.is_empty() {
        let request = agent().get(url);
        return settle(
            headers
                .into_iter()
                .fold(request, |r, (name, value)| r.header(name, value))
                .call(),
        );
    }
    let request = agent().post(url);
    settle(
        headers
            .into_iter()
            .fold(request, |r, (name, value)| r.header(name, value))
            .send("body"),
    )
}

/// A plain GET.
pub fn get(address: &str, path: &str) -> Answered {
    settle(agent().get(format!("http://{address}{path}")).call())
}

/// A plain POST.
pub fn post(address: &str, path: &str, body: &str) -> Answered {
    settle(agent().post(format!("http://{address}{path}")).send(body))
}

fn settle(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Answered {
    let mut response = match result {
        Ok(response) => response,
        Err(error) => return Answered::failed(error),
    };
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (kind, ran, retry_after) = (
        header("indigospur-kind"),
        header("indigospur-ran"),
        header("retry-after"),
    );
    let status = response.status().as_u16();
    match response.body_mut().read_to_string() {
        Ok(body) => Answered {
            status,
            kind,
            ran,
            retry_after,
            body,
        },
        Err(error) => Answered::failed(error),
    }
}
