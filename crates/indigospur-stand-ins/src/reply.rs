//! Answers of the stand-ins.

use indigospur_protocol::{Answer, Header, Refusal};
use indigospur_relay::RefusalEncoder;
use std::sync::Arc;

/// An answer with a text.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Answer {
    with_headers(status, Vec::new(), body.into().into_bytes())
}

/// An answer with a value as JSON.
pub(crate) fn json(value: &impl serde::Serialize) -> Answer {
    with_headers(
        200,
        Vec::new(),
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// An answer with headers and a body.
pub(crate) fn with_headers(status: u16, headers: Vec<Header>, body: Vec<u8>) -> Answer {
    Answer {
        status,
        headers,
        body: body.into(),
    }
}

/// The answer to a request that can't be read.
pub(crate) fn refuse() -> RefusalEncoder {
    Arc::new(|refusal: &Refusal| text(refusal.kind.info().status, refusal.detail.to_string()))
}
