//! Heads of HTTP/1.1 messages, parsed by `httparse`, and the framing of the bodies that follow them.

use httparse::{Error, Status};
use indigospur_protocol::{Answer, Header};
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Field lines of a head up to which it is parsed without a heap allocation for them.
const STACK_FIELDS: usize = 100;
/// Start of a status line; `#` stands for a digit.
const STATUS_LINE: &[u8] = b"HTTP/1.# ###";
/// Status codes of interim responses.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
const SWITCHING_PROTOCOLS: u16 = 101;
/// Fields that are not forwarded: those that apply to one connection, and those that control the
/// framing or transfer of one message.
const NOT_FORWARDED: [&str; 9] = [
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

/// Why a head could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The connection was closed or failed before the end of the head.
    Truncated,
    /// The head is not valid HTTP/1.1, or the framing of its body is ambiguous or unsupported.
    Malformed,
    /// The head exceeds the limit.
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

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    ContentLength(u64),
    /// The body is in the chunked coding and ends with the last chunk.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// A field that may occur only once occurs several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RepeatedField;

/// The field lines of a head in order, with names in lower case.
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

    /// Returns the values of a field in order, without those that are not UTF-8.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(move |header| &*header.name == name);
        named.filter_map(|header| std::str::from_utf8(&header.value).ok())
    }

    /// Returns the value of a field that may occur only once.
    pub(crate) fn single(&self, name: &str) -> Result<Option<&[u8]>, RepeatedField> {
        let mut named = self.0.iter().filter(|header| &*header.name == name);
        match (named.next(), named.next()) {
            (_, Some(_)) => Err(RepeatedField),
            (first, None) => Ok(first.map(|header| &*header.value)),
        }
    }

    /// Returns true if a field with a comma-separated list contains `token`, in any case.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|header| &*header.name == name)
    }

    /// Returns the content length, if there is one. Several equal values count as one; different
    /// ones are malformed.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
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

    /// Returns true if the body is in the chunked coding; any other transfer coding is malformed.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        if !self.contains("transfer-encoding") {
            return Ok(false);
        }
        let mut values = self.values("transfer-encoding");
        match (values.next(), values.next()) {
            (Some(value), None) if value.trim().eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(HeadError::Malformed),
        }
    }

    /// Returns the framing that the fields of a message of HTTP/1.`minor_version` state, if any. A transfer
    /// coding is malformed beside a content length, and in HTTP/1.0 (RFC 9112, 6.1).
    fn framing(&self, minor_version: u8) -> Result<Option<Framing>, HeadError> {
        match (self.is_chunked()?, self.content_length()?) {
            (true, None) if minor_version > 0 => Ok(Some(Framing::Chunked)),
            (true, _) => Err(HeadError::Malformed),
            (false, length) => Ok(length.map(Framing::ContentLength)),
        }
    }

    /// Returns the fields to forward, without `NOT_FORWARDED` and the fields that `Connection`
    /// names. `Host` is forwarded even if `Connection` names it, as it is meant for the final
    /// recipient.
    pub(crate) fn into_forwarded(self) -> Vec<Header> {
        let connection_options: Vec<String> = self
            .values("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        let forwarded = |header: &Header| {
            let name = &*header.name;
            let listed = name != "host" && connection_options.iter().any(|other| other == name);
            !NOT_FORWARDED.contains(&name) && !listed
        };
        self.0.into_iter().filter(forwarded).collect()
    }
}

/// Returns a buffer for all field lines in `bytes`: `stack` if they fit, else `heap`. The number of
/// lines has no limit of its own, only the size of the head has one.
fn field_buffer<'a, 'b>(
    bytes: &[u8],
    stack: &'a mut [httparse::Header<'b>],
    heap: &'a mut Vec<httparse::Header<'b>>,
) -> &'a mut [httparse::Header<'b>] {
    let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
    if lines <= stack.len() {
        return stack;
    }
    heap.resize(lines, httparse::EMPTY_HEADER);
    heap
}

/// The head of a request: request line and fields.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Method, as sent.
    pub(crate) method: Arc<str>,
    /// Request target, as sent.
    pub(crate) target: Arc<str>,
    /// Field lines.
    pub(crate) fields: Fields,
    /// Minor version of HTTP/1: 0 or 1.
    pub(crate) minor_version: u8,
    /// Framing of the body; never `UntilClose`.
    pub(crate) framing: Framing,
    /// Whether the connection is closed after the response: the head has `connection: close`, or the
    /// version is HTTP/1.0.
    pub(crate) closes: bool,
}

impl RequestHead {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// `bytes` doesn't hold all of it.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let (mut stack, mut heap) = ([httparse::EMPTY_HEADER; STACK_FIELDS], Vec::new());
        let mut parsed = httparse::Request::new(field_buffer(bytes, &mut stack, &mut heap));
        let Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::new(parsed.headers);
        let minor_version = parsed.version.unwrap_or(0);
        let framing = fields.framing(minor_version)?;
        let closes = minor_version == 0 || fields.has_token("connection", "close");
        let head = RequestHead {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            minor_version,
            fields,
            framing: framing.unwrap_or(Framing::ContentLength(0)),
            closes,
        };
        Ok(Some((head, length)))
    }
}

/// Returns true if `text` contains the start of a status line: the end of one head is missing, and
/// another one follows.
fn contains_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE.len()).any(|window| {
        let mut pairs = window.iter().zip(STATUS_LINE);
        pairs.all(|(byte, expected)| match expected {
            b'#' => byte.is_ascii_digit(),
            _ => byte == expected,
        })
    })
}

/// Whether a response may have this status. One outside 100 to 599 counts as a server error (RFC 9110, 15).
/// 101 is invalid as no request asks for another protocol, and what follows is not HTTP/1.1 (RFC 9110, 15.2.2).
fn is_valid_status(status: u16) -> bool {
    let is_interim = INTERIM_STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS;
    is_interim || Answer::STATUSES.contains(&status)
}

/// The head of a response: status line and fields.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    /// Status code, from 100 to 599, not 101.
    pub(crate) status: u16,
    /// Field lines.
    pub(crate) fields: Fields,
    /// Minor version of HTTP/1: 0 or 1.
    minor_version: u8,
    /// Whether the connection is closed after the response: the head has `connection: close`, or the
    /// version is HTTP/1.0.
    pub(crate) closes: bool,
}

impl ResponseHead {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// `bytes` doesn't hold all of it.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let (mut stack, mut heap) = ([httparse::EMPTY_HEADER; STACK_FIELDS], Vec::new());
        let mut parsed = httparse::Response::new(field_buffer(bytes, &mut stack, &mut heap));
        let Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let status = parsed.code.filter(|status| is_valid_status(*status));
        let status = status.ok_or(HeadError::Malformed)?;
        let reason = parsed.reason.unwrap_or_default().as_bytes();
        let mut values = parsed.headers.iter().map(|header| header.value);
        if contains_status_line(reason) || values.any(contains_status_line) {
            return Err(HeadError::Malformed);
        }
        let fields = Fields::new(parsed.headers);
        let minor_version = parsed.version.unwrap_or(0);
        let closes = minor_version == 0 || fields.has_token("connection", "close");
        let head = ResponseHead {
            status,
            fields,
            minor_version,
            closes,
        };
        Ok(Some((head, length)))
    }

    /// Returns true for an interim response (1xx), which is followed by another response to the
    /// same request.
    pub(crate) fn is_interim(&self) -> bool {
        INTERIM_STATUSES.contains(&self.status)
    }

    /// Returns the framing of the body in a response to `method`.
    pub(crate) fn framing(&self, method: &str) -> Result<Framing, HeadError> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::ContentLength(0));
        }
        let framing = self.fields.framing(self.minor_version)?;
        Ok(framing.unwrap_or(Framing::UntilClose))
    }
}
