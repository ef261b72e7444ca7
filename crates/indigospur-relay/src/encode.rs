//! Answers and header lines as bytes.

use indigospur_protocol::{Answer, Header};

/// The bytes of an answer.
pub(crate) fn encode_answer(answer: &Answer, method: &str, closes: bool) -> Vec<u8> {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = Vec::with_capacity(512 + answer.body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for header in &answer.headers {
        append_header(&mut bytes, header);
    }
    if closes {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    let has_body = method != "HEAD" && status != 204 && status != 304;
    if has_body {
        let length = format!("content-length: {}\r\n", answer.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if has_body {
        bytes.extend_from_slice(&answer.body);
    }
    bytes
}

/// Appends a header line, unless its value would end the line.
pub(crate) fn append_header(bytes: &mut Vec<u8>, header: &Header) {
    let breaks = |byte: &u8| matches!(byte, b'\r' | b'\n' | 0);
    if header.value.iter().any(breaks) {
        log::warn!(header = &*header.name; "a header that breaks the framing is left out");
        return;
    }
    bytes.extend_from_slice(header.name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(&header.value);
    bytes.extend_from_slice(b"\r\n");
}
