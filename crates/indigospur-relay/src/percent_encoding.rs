//! Percent-encoding of text in paths and queries.

/// Encodes all bytes except the unreserved characters of RFC 3986.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' => encoded.push(char::from(byte)),
            _ if byte.is_ascii_alphanumeric() => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Decodes one path segment. Returns `None` if it contains a slash, an incomplete escape sequence or
/// invalid UTF-8.
pub fn percent_decode(segment: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let [byte, tail @ ..] = rest {
        rest = tail;
        let byte = match byte {
            b'/' => return None,
            b'%' => {
                let (digits, tail) = tail.split_at_checked(2)?;
                rest = tail;
                let digits = std::str::from_utf8(digits).ok()?;
                u8::from_str_radix(digits, 16).ok()?
            }
            byte => *byte,
        };
        bytes.push(byte);
    }
    String::from_utf8(bytes).ok()
}
