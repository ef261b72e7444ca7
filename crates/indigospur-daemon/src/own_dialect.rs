//! The daemon's own HTTP conventions: headers that begin with `indigospur-`.

use crate::dialect::{Above, CallHead, Dialect, Meaning, Sending, SentHead};
use indigospur_protocol::{Answer, Header, Kind, Refusal, RelayMessage, ServiceName, headers};
use indigospur_relay::{ReceivedRequest, ResponseOwner};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Longest deadline that a caller may name, in milliseconds.
const LONGEST_DEADLINE_MILLIS: u64 = 600_000;
/// Longest identifier that a caller may give, in bytes.
const LONGEST_NAME: usize = 128;
/// Status by which a backend server sheds a call itself.
const SHED_STATUS: u16 = 503;

/// The daemon's own HTTP conventions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnDialect;

impl Dialect for OwnDialect {
    fn read_call(&self, received: &mut ReceivedRequest) -> Result<CallHead, Refusal> {
        let head = CallHead {
            service: service_of(received)?,
            request: name(received, headers::REQUEST_ID)?,
            customer: name(received, headers::CUSTOMER)?,
            above: match received.header(headers::CALL_TOKEN) {
                Some(token) => Above::Token(token.into()),
                None => Above::Unnamed,
            },
            deadline: asked_deadline(received)?,
            key: received
                .header(headers::IDEMPOTENCY_KEY)
                .or_else(|| received.header(headers::REQUEST_ID))
                .map(Arc::from),
        };
        received
            .headers
            .retain(|header| !header.name.starts_with(headers::PREFIX) && &*header.name != "host");
        Ok(head)
    }

    fn token(&self, _message: &RelayMessage, fresh: Arc<str>) -> Arc<str> {
        fresh
    }

    fn write_request(&self, sending: &Sending<'_>) -> SentHead {
        let at = SystemTime::now() + sending.remaining;
        let at = at
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis()
            .to_string();
        let message = sending.message;
        let mut sent = message.call.headers.clone();
        let own = [
            (headers::CALL_TOKEN, sending.token),
            (headers::DEADLINE_AT, &*at),
            (headers::REQUEST_ID, &*message.context.request_id),
            (headers::CUSTOMER, &*message.context.customer),
        ];
        sent.extend(own.map(|(name, value)| Header {
            name: name.into(),
            value: value.as_bytes().into(),
        }));
        SentHead {
            host: message.call.service.clone(),
            headers: sent,
        }
    }

    /// A backend server that repeats tokens must repeat this one.
    fn owner(&self, answer: &Answer, token: &str) -> ResponseOwner {
        let mut repeated = answer
            .headers
            .iter()
            .filter(|header| &*header.name == headers::CALL_TOKEN);
        if repeated.all(|header| &*header.value == token.as_bytes()) {
            ResponseOwner::Current
        } else {
            ResponseOwner::Unknown
        }
    }

    fn read_answer(&self, answer: &mut Answer) -> Meaning {
        answer
            .headers
            .retain(|header| !header.name.starts_with(headers::PREFIX));
        if answer.status == SHED_STATUS {
            Meaning::Unproven(Kind::Overloaded)
        } else {
            Meaning::Answer
        }
    }

    fn unframed(&self) -> bool {
        false
    }

    /// What happened, whether the call ran, and when to come back.
    fn write_refusal(&self, refusal: &Refusal) -> Answer {
        let info = refusal.kind.info();
        let ran = refusal.ran.as_str();
        let mut sent = vec![
            (headers::KIND, info.name.to_owned()),
            (headers::RAN, ran.to_owned()),
            (headers::CONTENT_TYPE, "text/plain;charset=utf-8".to_owned()),
        ];
        if let Some(after) = refusal.retry_after {
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            sent.push((headers::RETRY_AFTER, seconds.to_string()));
        }
        let headers = sent.into_iter().map(|(name, value)| Header {
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

/// The service a call is for: by header, else by host name.
fn service_of(received: &ReceivedRequest) -> Result<ServiceName, Refusal> {
    let named = received.header(headers::SERVICE).unwrap_or(&received.host);
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if named.is_empty() || named.len() > LONGEST_NAME || !named.bytes().all(allowed) {
        let detail = format!("{} is no service name", headers::SERVICE);
        return Err(Refusal::new(Kind::UnknownService, detail));
    }
    Ok(named.into())
}

fn name(received: &ReceivedRequest, header: &str) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = received.header(header) else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > LONGEST_NAME {
        let detail = format!("{header} must have 1 to {LONGEST_NAME} bytes");
        return Err(Refusal::new(Kind::BadRequest, detail));
    }
    Ok(Some(text.into()))
}

fn asked_deadline(received: &ReceivedRequest) -> Result<Option<Duration>, Refusal> {
    let Some(text) = received.header(headers::DEADLINE) else {
        return Ok(None);
    };
    let millis = text
        .parse()
        .ok()
        .filter(|millis| (1..=LONGEST_DEADLINE_MILLIS).contains(millis));
    let millis = millis.ok_or_else(|| {
        let detail = format!(
            "{} goes from 1 to {LONGEST_DEADLINE_MILLIS}",
            headers::DEADLINE
        );
        Refusal::new(Kind::BadDeadline, detail)
    })?;
    Ok(Some(Duration::from_millis(millis)))
}
