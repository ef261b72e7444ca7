//! Heads of HTTP/1.1 messages, parsed by the library, and the framing of the body that follows.

use httparse::{Error, Status};
use indigospur_protocol::Header;
use std::sync::Arc;

/// Header lines of a message that need no memory of their own while it is parsed.
const USUAL_LINES: usize = 100;
/// Least status of an answer.
const LEAST_STATUS: u16 = 100;
/// Headers that concern one connection only, and those that frame a body.
const OF_ONE_CONNECTION: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The connection ended or broke before the head was whole.
    Ended,
    /// It is not HTTP/1.1, or frames its body in two ways.
    Malformed,
    /// It exceeds the limit.
    TooLarge,
}

impl From<Error> for HeadError {
    fn from(error: Error) -> Self {
        match error {
            Error::TooManyHeaders => HeadError::TooLarge,
            _ => HeadError::Malformed,
        }
    }
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunks,
    /// The connection is closed.
    Close,
}

/// A header that may stand once stands several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Several;

/// The header lines of a message.
#[derive(Clone, Debug)]
pub(crate) struct Fields(Vec<Header>);

impl Fields {
    fn new(parsed: &[httparse::Header<'_>]) -> Fields {
        let headers = parsed.iter().map(|header| Header {
            name: header.name.to_ascii_lowercase().into(),
            value: header.value.into(),
        });
        Fields(headers.collect())
    }

    /// The values of a header, in order.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(move |header| &*header.name == name);
        named.filter_map(|header| std::str::from_utf8(&header.value).ok())
    }

    /// The value of a header that may stand once.
    pub(crate) fn only(&self, name: &str) -> Result<Option<&[u8]>, Several> {
        let mut named = self.0.iter().filter(|header| &*header.name == name);
        match (named.next(), named.next()) {
            (_, Some(_)) => Err(Several),
            (first, None) => Ok(first.map(|header| &*header.value)),
        }
    }

    /// Whether a comma-separated header holds a word.
    pub(crate) fn lists(&self, name: &str, word: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(word))
    }

    fn has(&self, name: &str) -> bool {
        self.0.iter().any(|header| &*header.name == name)
    }

    /// The length in the head, if it gives one; two different ones are malformed.
    fn length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        let count = self
            .0
            .iter()
            .filter(|header| &*header.name == "content-length")
            .count();
        let values: Vec<&str> = self.values("content-length").collect();
        if values.len() != count {
            return Err(HeadError::Malformed);
        }
        for value in values {
            let value = value.trim();
            if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(HeadError::Malformed);
            }
            let parsed: u64 = value.parse().map_err(|_| HeadError::Malformed)?;
            if length.is_some_and(|length| length != parsed) {
                return Err(HeadError::Malformed);
            }
            length = Some(parsed);
        }
        Ok(length)
    }

    /// Whether the body comes in chunks; another transfer encoding is malformed.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        if !self.has("transfer-encoding") {
            return Ok(false);
        }
        let mut values = self.values("transfer-encoding");
        match (values.next(), values.next()) {
            (Some(value), None) if value.trim().eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(HeadError::Malformed),
        }
    }

    /// The headers that are passed on. The host is meant for the last receiver, whatever a sender
    /// says of it.
    pub(crate) fn pass_on(self) -> Vec<Header> {
        let named: Vec<String> = self
            .values("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        let kept = |header: &Header| {
            let name = &*header.name;
            let listed = name != "host" && named.iter().any(|other| other == name);
            !OF_ONE_CONNECTION.contains(&name) && !listed
        };
        self.0.into_iter().filter(kept).collect()
    }
}

/// Room for all header lines in `bytes`: a head is bounded by its length alone.
fn room<'a, 'b>(
    bytes: &[u8],
    usual: &'a mut [httparse::Header<'b>],
    many: &'a mut Vec<httparse::Header<'b>>,
) -> &'a mut [httparse::Header<'b>] {
    let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
    if lines <= usual.len() {
        return usual;
    }
    many.resize(lines, httparse::EMPTY_HEADER);
    many
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Method.
    pub(crate) method: Arc<str>,
    /// Request target, byte by byte as sent.
    pub(crate) target: Arc<str>,
    /// Header lines.
    pub(crate) fields: Fields,
    /// How the body ends; never `Close`.
    pub(crate) framing: Framing,
    /// The sender closes the connection after the answer.
    pub(crate) closes: bool,
}

impl RequestHead {
    /// The head at the start of `bytes` and its length; `None` while it is not whole.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let (mut usual, mut many) = ([httparse::EMPTY_HEADER; USUAL_LINES], Vec::new());
        let mut parsed = httparse::Request::new(room(bytes, &mut usual, &mut many));
        let Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::new(parsed.headers);
        let framing = match (fields.is_chunked()?, fields.length()?) {
            (true, Some(_)) => return Err(HeadError::Malformed),
            (true, None) => Framing::Chunks,
            (false, length) => Framing::Length(length.unwrap_or(0)),
        };
        let closes = parsed.version != Some(1) || fields.lists("connection", "close");
        let head = RequestHead {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            fields,
            framing,
            closes,
        };
        Ok(Some((head, length)))
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// HTTP status.
    pub(crate) status: u16,
    /// Header lines.
    pub(crate) fields: Fields,
    /// The sender closes the connection after the answer.
    pub(crate) closes: bool,
}

impl AnswerHead {
    /// The head at the start of `bytes` and its length; `None` while it is not whole.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, HeadError> {
        let (mut usual, mut many) = ([httparse::EMPTY_HEADER; USUAL_LINES], Vec::new());
        let mut parsed = httparse::Response::new(room(bytes, &mut usual, &mut many));
        let Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let status = parsed.code.filter(|status| *status >= LEAST_STATUS);
        let status = status.ok_or(HeadError::Malformed)?;
        let fields = Fields::new(parsed.headers);
        let closes = parsed.version != Some(1) || fields.lists("connection", "close");
        let head = AnswerHead {
            status,
            fields,
            closes,
        };
        Ok(Some((head, length)))
    }

    /// Whether another head follows for the same request.
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// How the body of the answer to `method` ends.
    pub(crate) fn framing(&self, method: &str) -> Result<Framing, HeadError> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::Length(0));
        }
        match (self.fields.is_chunked()?, self.fields.length()?) {
            (true, Some(_)) => Err(HeadError::Malformed),
            (true, None) => Ok(Framing::Chunks),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::Close),
        }
    }
}
