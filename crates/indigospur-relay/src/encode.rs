//! Encoding of HTTP/1.1 responses and field lines.

use indigospur_protocol::{Answer, Header};

/// Encodes a response to `method`, with `connection: close` if `closes` is set. Responses to HEAD and
/// those with status 204 or 304 have neither content nor `content-length`.
pub(crate) fn encode_response(response: &Answer, method: &str, closes: bool) -> Vec<u8> {
    let status =
        http::StatusCode::from_u16(response.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = Vec::with_capacity(512 + response.body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for header in &response.headers {
        append_field(&mut bytes, header);
    }
    if closes {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    let has_body = method != "HEAD" && status != 204 && status != 304;
    if has_body {
        let length = format!("content-length: {}\r\n", response.body.len());
        bytes.extend_from_slice(length.as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if has_body {
        bytes.extend_from_slice(&response.body);
    }
    bytes
}

/// Appends a field line. A field whose value contains CR, LF or NUL is dropped, as it would break the
/// framing of the message.
pub(crate) fn append_field(bytes: &mut Vec<u8>, header: &Header) {
    let breaks_framing = |byte: &u8| matches!(byte, b'\r' | b'\n' | 0);
    if header.value.iter().any(breaks_framing) {
        log::warn!(header = &*header.name; "field dropped: its value contains CR, LF or NUL");
        return;
    }
    bytes.extend_from_slice(header.name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(&header.value);
    bytes.extend_from_slice(b"\r\n");
}
