//! A connection that a caller keeps, down to how the bytes are sent and read.

use crate::client::{Answered, Call, header_lines};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for bytes, and for a connection.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two pieces of a head, and between two reads of a slow reader.
const PAUSE: Duration = Duration::from_millis(3);
/// Pieces in which a head is sent.
const PIECES: usize = 5;
/// Bytes that a slow reader takes at a time.
const SIP: usize = 16;

/// How a caller sends a request and takes its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Manner {
    /// At once.
    #[default]
    Plain,
    /// The head comes in pieces.
    Pieces,
    /// The answer is read slowly.
    Slow,
    /// The caller closes once all is sent.
    Leaves,
    /// The caller closes in the middle of the request.
    Breaks,
}

/// Connection of a caller to one daemon, opened when it is needed and kept.
#[derive(Debug)]
pub struct Connection {
    address: String,
    stream: Option<TcpStream>,
}

impl Connection {
    /// A connection that is not open yet.
    pub fn new(address: &str) -> Connection {
        Connection {
            address: address.to_owned(),
            stream: None,
        }
    }

    /// The address that it leads to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether it is open, as far as this end knows.
    pub fn is_open(&self) -> bool {
        self.stream.as_ref().is_some_and(is_quiet)
    }

    /// Makes a call; the connection is kept if the other end keeps it.
    pub fn request(&mut self, call: &Call<'_>, manner: Manner) -> Answered {
        if !self.is_open() {
            self.stream = None;
        }
        let outcome = self.exchange(call, manner);
        outcome.unwrap_or_else(|error| {
            self.stream = None;
            Answered::failed(error)
        })
    }

    fn exchange(&mut self, call: &Call<'_>, manner: Manner) -> io::Result<Answered> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => open(&self.address)?,
        };
        send(&mut stream, &write(&self.address, call), manner)?;
        if matches!(manner, Manner::Leaves | Manner::Breaks) {
            stream.shutdown(Shutdown::Both)?;
            return Err(io::Error::other("left by the caller"));
        }
        let (answered, keeps) = read(&mut stream, manner)?;
        self.stream = keeps.then_some(stream);
        Ok(answered)
    }
}

fn open(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

/// Whether the other end has neither closed nor sent what nobody asked for.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut byte);
    let waits = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && waits
}

fn write(address: &str, call: &Call<'_>) -> Vec<u8> {
    let (method, body) = if call.key.is_empty() {
        ("GET", "")
    } else {
        ("POST", "body")
    };
    let mut text = format!("{method} {} HTTP/1.1\r\nhost: {address}\r\n", call.path);
    for (name, value) in header_lines(call) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

fn send(stream: &mut TcpStream, bytes: &[u8], manner: Manner) -> io::Result<()> {
    match manner {
        Manner::Pieces => {
            for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
                stream.write_all(piece)?;
                std::thread::sleep(PAUSE);
            }
            Ok(())
        }
        // One byte short: of the body, or of the line that ends the head.
        Manner::Breaks => stream.write_all(&bytes[..bytes.len() - 1]),
        Manner::Plain | Manner::Slow | Manner::Leaves => stream.write_all(bytes),
    }
}

/// Reads an answer, and whether the connection is kept after it.
fn read(stream: &mut TcpStream, manner: Manner) -> io::Result<(Answered, bool)> {
    let mut bytes = Vec::new();
    let ends = loop {
        let found = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        match found {
            Some(at) => break at + 4,
            None => read_more(stream, &mut bytes, manner)?,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..ends]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("bytes that are no answer"))?;
    let header = |name: &str| {
        let pairs = head.lines().filter_map(|line| line.split_once(':'));
        let found = pairs
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
            .next();
        found.unwrap_or_default()
    };
    let length: usize = header("content-length").parse().map_err(io::Error::other)?;
    while bytes.len() < ends + length {
        read_more(stream, &mut bytes, manner)?;
    }
    let answered = Answered {
        status,
        kind: header("indigospur-kind"),
        ran: header("indigospur-ran"),
        retry_after: header("retry-after"),
        body: String::from_utf8_lossy(&bytes[ends..]).into_owned(),
    };
    Ok((
        answered,
        !header("connection").eq_ignore_ascii_case("close"),
    ))
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>, manner: Manner) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    let room = if manner == Manner::Slow {
        std::thread::sleep(PAUSE);
        SIP
    } else {
        buffer.len()
    };
    match stream.read(&mut buffer[..room])? {
        0 => Err(io::Error::other("connection closed")),
        count => {
            bytes.extend_from_slice(&buffer[..count]);
            Ok(())
        }
    }
}
