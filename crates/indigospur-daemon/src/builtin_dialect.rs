//! The built-in HTTP conventions, whose headers begin with `indigospur-`.

use crate::authentication::Credential;
use crate::dialect::{
    AnswerMeaning, BackendStatus, CallHead, Dialect, OutgoingCall, ParentRef, RateLimit,
    RequestHead,
};
use indigospur_protocol::{Answer, Header, Kind, Refusal, RelayMessage, ServiceName, headers};
use indigospur_relay::{ReceivedRequest, ResponseOwner};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MILLIS: u64 = 600_000;
/// Longest request identifier, customer or service name that a caller may send, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Status by which a backend server refuses a call for overload.
const SHED_STATUS: u16 = 503;
/// Authentication scheme of callers' keys.
const KEY_SCHEME: &str = "Bearer";

/// The built-in HTTP conventions, used unless an embedding program sets others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BuiltinDialect;

impl Dialect for BuiltinDialect {
    fn read_call(&self, received: &mut ReceivedRequest) -> Result<CallHead, Refusal> {
        let head = CallHead {
            service: read_service(received)?,
            request_id: read_name(received, headers::REQUEST_ID)?,
            customer: read_name(received, headers::CUSTOMER)?,
            parent: match received.header(headers::CALL_TOKEN) {
                Some(token) => ParentRef::Token(token.into()),
                None => ParentRef::Absent,
            },
            deadline: read_deadline(received)?,
            key: received
                .header(headers::IDEMPOTENCY_KEY)
                .or_else(|| received.header(headers::REQUEST_ID))
                .map(Arc::from),
            credential: Credential::read(&received.headers, KEY_SCHEME),
        };
        received
            .headers
            .retain(|header| !header.name.starts_with(headers::PREFIX) && &*header.name != "host");
        Ok(head)
    }

    fn set_workspace(&self, fields: &mut Vec<Header>, workspace: Option<&str>) {
        let removed = [headers::AUTHORIZATION, headers::WORKSPACE];
        fields.retain(|header| !removed.contains(&&*header.name));
        fields.extend(workspace.map(|name| Header::new(headers::WORKSPACE, name)));
    }

    fn call_token(&self, _message: &RelayMessage, new_token: Arc<str>) -> Arc<str> {
        new_token
    }

    fn write_request(&self, outgoing: &OutgoingCall<'_>) -> RequestHead {
        let deadline_at = SystemTime::now() + outgoing.remaining;
        let deadline_at = deadline_at
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis()
            .to_string();
        let message = outgoing.message;
        let mut fields = message.call.headers.clone();
        let daemon_headers = [
            (headers::CALL_TOKEN, outgoing.token),
            (headers::DEADLINE_AT, &*deadline_at),
            (headers::REQUEST_ID, &*message.context.request_id),
            (headers::CUSTOMER, &*message.context.customer),
        ];
        fields.extend(daemon_headers.map(|(name, value)| Header {
            name: name.into(),
            value: value.as_bytes().into(),
        }));
        RequestHead {
            host: message.call.service.clone(),
            headers: fields,
        }
    }

    /// A backend server need not echo the call token; one that does must echo this one.
    fn owner(&self, answer: &Answer, token: &str) -> ResponseOwner {
        let mut echoed = answer
            .headers
            .iter()
            .filter(|header| &*header.name == headers::CALL_TOKEN);
        if echoed.all(|header| &*header.value == token.as_bytes()) {
            ResponseOwner::Current
        } else {
            ResponseOwner::Unknown
        }
    }

    fn names_call(&self, answer: &Answer) -> bool {
        answer.header(headers::CALL_TOKEN).is_some()
    }

    fn read_status(&self, answer: &Answer) -> BackendStatus {
        BackendStatus {
            rate_limit: RateLimit::parse(answer.header(headers::RATE_LIMIT)),
            leaving: answer.header(headers::LEAVING) == Some("1"),
            pace: read_pace(answer),
        }
    }

    fn read_answer(&self, answer: &mut Answer) -> AnswerMeaning {
        answer
            .headers
            .retain(|header| !header.name.starts_with(headers::PREFIX));
        if answer.status == SHED_STATUS {
            AnswerMeaning::MaybeRun(Kind::Overloaded)
        } else {
            AnswerMeaning::Answer
        }
    }

    fn close_delimited(&self) -> bool {
        false
    }

    /// Carries the kind of the refusal, whether the call ran, and when to retry.
    fn write_refusal(&self, refusal: &Refusal) -> Answer {
        let info = refusal.kind.info();
        let ran = refusal.ran.as_str();
        let mut fields = vec![
            (headers::KIND, info.name.to_owned()),
            (headers::RAN, ran.to_owned()),
            (headers::CONTENT_TYPE, "text/plain;charset=utf-8".to_owned()),
        ];
        if let Some(after) = refusal.retry_after {
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            fields.push((headers::RETRY_AFTER, seconds.to_string()));
        }
        if refusal.kind == Kind::Unauthenticated {
            fields.push((headers::WWW_AUTHENTICATE, KEY_SCHEME.to_owned()));
        }
        let headers = fields.into_iter().map(|(name, value)| Header {
            name: name.into(),
            value: value.into_bytes().into(),
        });
        let body = format!("{}: {}\nran: {ran}\n", info.name, refusal.detail);
        Answer {
            status: info.status,
            headers: headers.collect(),
            body: body.into_bytes().into(),
        }
    }
}

/// Reads the service that a call is for from its header, else from the `Host` header.
fn read_service(received: &ReceivedRequest) -> Result<ServiceName, Refusal> {
    let service = received.header(headers::SERVICE).unwrap_or(&received.host);
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if service.is_empty() || service.len() > MAX_NAME_BYTES || !service.bytes().all(is_allowed) {
        let detail = format!("{} is no service name", headers::SERVICE);
        return Err(Refusal::new(Kind::UnknownService, detail));
    }
    Ok(service.into())
}

/// Reads the pace of work; one that is no number counts as none.
fn read_pace(answer: &Answer) -> Option<u32> {
    answer.header(headers::PACE)?.trim().parse().ok()
}

/// Reads an optional identifier and checks its length.
fn read_name(received: &ReceivedRequest, header: &str) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = received.header(header) else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let detail = format!("{header} must have 1 to {MAX_NAME_BYTES} bytes");
        return Err(Refusal::new(Kind::BadRequest, detail));
    }
    Ok(Some(text.into()))
}

/// Reads the deadline that the caller has set, if any.
fn read_deadline(received: &ReceivedRequest) -> Result<Option<Duration>, Refusal> {
    let Some(text) = received.header(headers::DEADLINE) else {
        return Ok(None);
    };
    let millis = text
        .parse()
        .ok()
        .filter(|millis| (1..=MAX_DEADLINE_MILLIS).contains(millis));
    let millis = millis.ok_or_else(|| {
        let detail = format!("{} goes from 1 to {MAX_DEADLINE_MILLIS}", headers::DEADLINE);
        Refusal::new(Kind::BadDeadline, detail)
    })?;
    Ok(Some(Duration::from_millis(millis)))
}
