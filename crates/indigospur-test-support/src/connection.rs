//! Keep-alive HTTP/1.1 connection with control over how bytes are sent and read.

use crate::client::{Call, Response, call_body, call_headers};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit of connecting and of each read.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two fragments of a request, and before each read of a slow reader.
const SLOW_PAUSE: Duration = Duration::from_millis(3);
const FRAGMENTS: usize = 5;
const SLOW_READ_BYTES: usize = 16;

/// How a caller sends a request and reads its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ClientBehaviour {
    /// Sends and reads without delay.
    #[default]
    Normal,
    /// Sends the request in fragments with pauses between them.
    Fragmented,
    /// Reads the response a few bytes at a time with pauses between them.
    SlowRead,
    /// Closes the connection once the whole request is sent.
    CloseAfterRequest,
    /// Closes the connection one byte before the end of the request.
    CloseMidRequest,
}

/// Connection of a caller to one daemon; opened on demand and kept alive.
#[derive(Debug)]
pub struct Connection {
    address: String,
    stream: Option<TcpStream>,
}

impl Connection {
    /// Creates a connection that opens on the first request.
    pub fn new(address: &str) -> Connection {
        Connection {
            address: address.to_owned(),
            stream: None,
        }
    }

    /// Address of the daemon, as `ip:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether the connection is open and idle; false once a close by the daemon has arrived.
    pub fn is_open(&self) -> bool {
        self.stream.as_ref().is_some_and(is_idle)
    }

    /// Makes a call, opening a connection if none is open. The connection is kept unless the call
    /// fails or the response has `connection: close`. The status is zero if `behaviour` closes the
    /// connection.
    pub fn request(&mut self, call: &Call<'_>, behaviour: ClientBehaviour) -> Response {
        if !self.is_open() {
            self.stream = None;
        }
        let outcome = self.exchange(call, behaviour);
        outcome.unwrap_or_else(|error| {
            self.stream = None;
            Response::failed(error)
        })
    }

    fn exchange(&mut self, call: &Call<'_>, behaviour: ClientBehaviour) -> io::Result<Response> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(&self.address)?,
        };
        send(&mut stream, &encode_request(&self.address, call), behaviour)?;
        if matches!(
            behaviour,
            ClientBehaviour::CloseAfterRequest | ClientBehaviour::CloseMidRequest
        ) {
            stream.shutdown(Shutdown::Both)?;
            return Err(io::Error::other("left by the caller"));
        }
        let mut bytes = Vec::new();
        let (mut response, keep_alive) = read_response(&mut stream, &mut bytes, behaviour)?;
        append(&mut response, &bytes);
        self.stream = keep_alive.then_some(stream);
        Ok(response)
    }

    /// Makes calls in one write, opening a connection if none is open, and reads the responses in the
    /// order of the calls. Once the connection fails, the responses to the calls left have status zero.
    /// `None` for the calls behind a response that closes the connection: they must not run.
    pub fn pipeline(&mut self, calls: &[Call<'_>]) -> Vec<Option<Response>> {
        if !self.is_open() {
            self.stream = None;
        }
        let mut responses = Vec::new();
        let outcome = self.exchange_all(calls, &mut responses);
        let unanswered = outcome.err().map(Response::failed);
        responses.resize(calls.len(), unanswered);
        responses
    }

    fn exchange_all(
        &mut self,
        calls: &[Call<'_>],
        responses: &mut Vec<Option<Response>>,
    ) -> io::Result<()> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(&self.address)?,
        };
        let encoded = calls.iter().map(|call| encode_request(&self.address, call));
        stream.write_all(&encoded.collect::<Vec<_>>().concat())?;
        let mut bytes = Vec::new();
        for _ in calls {
            let (mut response, keep_alive) =
                read_response(&mut stream, &mut bytes, ClientBehaviour::Normal)?;
            let is_last = !keep_alive || responses.len() + 1 == calls.len();
            if is_last {
                append(&mut response, &bytes);
            }
            responses.push(Some(response));
            if !keep_alive {
                return Ok(());
            }
        }
        self.stream = Some(stream);
        Ok(())
    }
}

fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

/// Whether the peer has neither closed the connection nor sent unsolicited bytes.
fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut byte);
    let no_data = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && no_data
}

fn encode_request(address: &str, call: &Call<'_>) -> Vec<u8> {
    let (method, body) = if call.key.is_empty() {
        ("GET", String::new())
    } else {
        ("POST", call_body(call))
    };
    let mut text = format!("{method} {} HTTP/1.1\r\nhost: {address}\r\n", call.path);
    for (name, value) in call_headers(call) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

fn send(stream: &mut TcpStream, bytes: &[u8], behaviour: ClientBehaviour) -> io::Result<()> {
    match behaviour {
        ClientBehaviour::Fragmented => {
            for fragment in bytes.chunks(bytes.len().div_ceil(FRAGMENTS)) {
                stream.write_all(fragment)?;
                std::thread::sleep(SLOW_PAUSE);
            }
            Ok(())
        }
        // The missing byte belongs to the body, or to the empty line after the head.
        ClientBehaviour::CloseMidRequest => stream.write_all(&bytes[..bytes.len() - 1]),
        ClientBehaviour::Normal
        | ClientBehaviour::SlowRead
        | ClientBehaviour::CloseAfterRequest => stream.write_all(bytes),
    }
}

/// Adds bytes after the last response to its body, so that a check of the body finds them.
fn append(response: &mut Response, bytes: &[u8]) {
    response.body.push_str(&String::from_utf8_lossy(bytes));
}

/// Reads a response, which may begin in `bytes`, and leaves in it what was read beyond the response.
/// The flag says whether the connection stays open after it.
fn read_response(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    behaviour: ClientBehaviour,
) -> io::Result<(Response, bool)> {
    let head_len = loop {
        let found = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        match found {
            Some(at) => break at + 4,
            None => read_more(stream, bytes, behaviour)?,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_len]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("malformed status line in response"))?;
    let header = |name: &str| {
        let pairs = head.lines().filter_map(|line| line.split_once(':'));
        let found = pairs
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
            .next();
        found.unwrap_or_default()
    };
    let length: usize = header("content-length").parse().map_err(io::Error::other)?;
    while bytes.len() < head_len + length {
        read_more(stream, bytes, behaviour)?;
    }
    let message: Vec<u8> = bytes.drain(..head_len + length).collect();
    let response = Response {
        status,
        kind: header("indigospur-kind"),
        ran: header("indigospur-ran"),
        retry_after: header("retry-after"),
        body: String::from_utf8_lossy(&message[head_len..]).into_owned(),
    };
    Ok((
        response,
        !header("connection").eq_ignore_ascii_case("close"),
    ))
}

fn read_more(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    behaviour: ClientBehaviour,
) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    let limit = if behaviour == ClientBehaviour::SlowRead {
        std::thread::sleep(SLOW_PAUSE);
        SLOW_READ_BYTES
    } else {
        buffer.len()
    };
    match stream.read(&mut buffer[..limit])? {
        0 => Err(io::Error::other("connection closed")),
        count => {
            bytes.extend_from_slice(&buffer[..count]);
            Ok(())
        }
    }
}
