//! Constructors of HTTP answers.

use indigospur_protocol::{Answer, Header, Refusal};
use indigospur_relay::RefusalEncoder;
use std::sync::Arc;

/// Answers with a text body and no headers.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Answer {
    with_headers(status, Vec::new(), body.into().into_bytes())
}

/// Answers 200 with a JSON body.
pub(crate) fn json(value: &impl serde::Serialize) -> Answer {
    with_headers(
        200,
        Vec::new(),
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

pub(crate) fn with_headers(status: u16, headers: Vec<Header>, body: Vec<u8>) -> Answer {
    Answer {
        status,
        headers,
        body: body.into(),
    }
}

/// Encodes refusals of invalid HTTP requests as plain text.
pub(crate) fn refusal_encoder() -> RefusalEncoder {
    Arc::new(|refusal: &Refusal| text(refusal.kind.info().status, refusal.detail.to_string()))
}
