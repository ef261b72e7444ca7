//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// A message: its start line, fields with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Second word of the start line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: &str, timeout: Duration) -> io::Result<Connection> {
        let address = address
            .parse()
            .map_err(|_| io::Error::from(ErrorKind::InvalidInput))?;
        TcpStream::connect_timeout(&address, timeout).map(Connection::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Closes both directions.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether the peer has closed the connection; bytes that it sent stay readable.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Works for `time`, and returns false as soon as the peer closes the connection.
    pub fn work(&mut self, time: Duration) -> bool {
        self.work_while(time, || true)
    }

    /// As [`Connection::work`], and also returns false as soon as `goes_on` does.
    pub fn work_while(&mut self, time: Duration, goes_on: impl Fn() -> bool) -> bool {
        let end = Instant::now() + time;
        loop {
            if self.is_closed() || !goes_on() {
                return false;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_millis(10)));
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    /// Reads a message whose body has a length. A response to a HEAD is not supported.
    pub fn read(&mut self, timeout: Duration) -> io::Result<Message> {
        let mut message = self.read_head(timeout)?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message.field("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(())
    }

    /// Reads a message without its body.
    pub fn read_head(&mut self, timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        let end = loop {
            let found = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            match found {
                Some(index) => break index,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        let pairs = lines.filter_map(|line| line.split_once(':'));
        message.fields = pairs
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(message)
    }
}

/// Encodes a message with a `Content-Length`.
pub fn encode(start: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: &str,
    start: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let mut all = vec![("Host", address), ("Connection", "close")];
    all.extend_from_slice(fields);
    connection.write(&encode(start, &all, body))?;
    connection.read(timeout)
}
