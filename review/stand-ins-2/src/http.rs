//! A small HTTP/1.1 server and client on blocking sockets, enough for the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response: the first line, the headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a `content-length`; `None` if the connection ends before one begins.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map(str::parse::<usize>);
    let length = length.and_then(Result::ok).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// Serves each connection of `listener` in a thread of its own.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(TcpStream) + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Sends a request on a new connection and reads the response, all with a time-out for each read.
pub fn exchange(address: &str, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let target = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Encodes a request with a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}
