//! One HTTP/1.1 connection, read message by message.
//!
//! Bytes after the end of a message stay in the buffer: they are the next pipelined request, or show
//! that a backend server sent more than one response.

use crate::head::{Framing, HeadError, RequestHead, ResponseHead};
use crate::memory::{HeldBody, OutOfMemory};
use crate::runtime;
use crate::stream::Stream;
use bytes::{Buf, BytesMut};
use futures_lite::io::{AsyncRead, AsyncWriteExt};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Maximum number of bytes read from the socket at a time.
const READ_BYTES: usize = 8 * 1024;
/// Maximum size of a chunk header: the chunk size with its extensions.
const MAX_CHUNK_HEADER_BYTES: usize = 1024;
/// Maximum size of the framing of a chunked body, beyond [`MAX_FRAMING_RATIO`] times its content.
const MAX_FRAMING_BYTES: usize = 64 * 1024;
/// Bytes of framing accepted for a byte of content. Chunks of one byte need five.
const MAX_FRAMING_RATIO: usize = 16;
/// Maximum number of line ends before a message.
const MAX_EMPTY_LINE_BYTES: usize = 1024;
/// Reads after which a task lets others run. A socket on which data arrives faster than it is read
/// never makes its reader wait, and there may be only one executor thread.
const READS_PER_TURN: u32 = 2;
/// Maximum number of trailer fields after the last chunk.
const MAX_TRAILER_FIELDS: usize = 32;
/// Maximum size of a trailer section.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Bytes of an empty line, and of the line end before it, that may arrive before its last byte.
const EMPTY_LINE_OVERLAP: usize = 2;
/// Line end of HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Parses the head at the start of a buffer. Returns it with its length in bytes, or `None` if the
/// buffer doesn't hold all of it yet.
type ParseHead<T> = fn(&[u8]) -> Result<Option<(T, usize)>, HeadError>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection was closed or failed before the end of the body.
    Truncated,
    /// The chunked coding is invalid.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
    /// There is no memory for the body.
    OutOfMemory,
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        BodyError::OutOfMemory
    }
}

/// Returns the end of the first empty line after a line end that is at or after `from`.
fn empty_line_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while let Some(offset) = bytes[position..].iter().position(|byte| *byte == b'\n') {
        position += offset + 1;
        let rest = &bytes[position..];
        if rest.starts_with(b"\n") {
            return Some(position + 1);
        }
        if rest.starts_with(CRLF) {
            return Some(position + CRLF.len());
        }
    }
    None
}

/// An HTTP/1.1 connection with its read buffer.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: Stream,
    /// Bytes read from the socket that no message has consumed yet.
    buffer: BytesMut,
    /// Reads left until the task lets others run.
    reads_left: u32,
}

impl Connection {
    pub(crate) fn new(stream: Stream) -> Connection {
        Connection {
            stream,
            buffer: BytesMut::new(),
            reads_left: READS_PER_TURN,
        }
    }

    /// Waits for the first byte of a message, after some empty lines. Returns false if the peer
    /// closes the connection or it fails first, or if only empty lines arrive.
    pub(crate) async fn wait_for_message(&mut self) -> bool {
        let mut total = 0;
        loop {
            let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
            let skipped = self.buffer.iter().take_while(is_line_end).count();
            self.buffer.advance(skipped);
            if !self.buffer.is_empty() {
                return true;
            }
            total += skipped;
            if total > MAX_EMPTY_LINE_BYTES {
                return false;
            }
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return false;
            }
        }
    }

    /// Reads the head of a request, of at most `limit` bytes.
    pub(crate) async fn read_request_head(
        &mut self,
        limit: usize,
    ) -> Result<RequestHead, HeadError> {
        self.read_head(limit, RequestHead::parse).await
    }

    /// Reads the head of a response, of at most `limit` bytes.
    pub(crate) async fn read_response_head(
        &mut self,
        limit: usize,
    ) -> Result<ResponseHead, HeadError> {
        self.read_head(limit, ResponseHead::parse).await
    }

    async fn read_head<T>(&mut self, limit: usize, parse: ParseHead<T>) -> Result<T, HeadError> {
        let mut searched = 0;
        let mut is_checked = false;
        loop {
            let window = self.buffer.len().min(limit);
            // Only a whole head is parsed: what follows it may be long, and a head that arrives in
            // pieces would be parsed again and again.
            while let Some(end) = empty_line_end(&self.buffer[..window], searched) {
                if let Some((head, length)) = parse(&self.buffer[..end])? {
                    self.buffer.advance(length);
                    return Ok(head);
                }
                searched = end;
            }
            searched = searched.max(window.saturating_sub(EMPTY_LINE_OVERLAP));
            // Bytes of another protocol are noticed at once, also if they have no end.
            if !is_checked && window > 0 {
                parse(&self.buffer[..window])?;
                is_checked = true;
            }
            if self.buffer.len() > limit {
                return Err(HeadError::TooLarge);
            }
            match self.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Err(HeadError::Truncated),
            }
        }
    }

    /// Reads a body of at most `limit` bytes, not counting its framing. Its memory is counted in
    /// `held`.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        limit: u64,
        held: &mut HeldBody,
    ) -> Result<BytesMut, BodyError> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        match framing {
            Framing::ContentLength(length) => {
                let length = usize::try_from(length).map_err(|_| BodyError::TooLarge)?;
                if length > limit {
                    return Err(BodyError::TooLarge);
                }
                self.read_exact(length, held).await
            }
            Framing::Chunked => self.read_chunks(limit, held).await,
            Framing::UntilClose => self.read_until_closed(limit, held).await,
        }
    }

    async fn read_exact(
        &mut self,
        length: usize,
        held: &mut HeldBody,
    ) -> Result<BytesMut, BodyError> {
        while self.buffer.len() < length {
            self.fill_some().await?;
            held.grow_to(self.buffer.len().min(length))?;
        }
        if self.buffer.len() == length {
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(self.buffer.split_to(length))
    }

    async fn read_chunks(
        &mut self,
        limit: usize,
        held: &mut HeldBody,
    ) -> Result<BytesMut, BodyError> {
        let mut body = BytesMut::new();
        let mut framing = 0;
        loop {
            let (size, header) = self.read_chunk_header().await?;
            if size == 0 {
                self.skip_trailers().await?;
                return Ok(body);
            }
            framing += header + CRLF.len();
            if framing > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body.len() {
                return Err(BodyError::Malformed);
            }
            let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
            if size > limit.saturating_sub(body.len()) {
                return Err(BodyError::TooLarge);
            }
            self.read_chunk(size, &mut body, held).await?;
        }
    }

    /// Appends the content of a chunk of `size` bytes to `body`, and reads the line end after it.
    async fn read_chunk(
        &mut self,
        size: usize,
        body: &mut BytesMut,
        held: &mut HeldBody,
    ) -> Result<(), BodyError> {
        let end = body.len() + size;
        while body.len() < end {
            if self.buffer.is_empty() {
                self.fill_some().await?;
            }
            let count = self.buffer.len().min(end - body.len());
            body.extend_from_slice(&self.buffer[..count]);
            self.buffer.advance(count);
            held.grow_to(body.len())?;
        }
        while self.buffer.len() < CRLF.len() {
            self.fill_some().await?;
        }
        if !self.buffer.starts_with(CRLF) {
            return Err(BodyError::Malformed);
        }
        self.buffer.advance(CRLF.len());
        Ok(())
    }

    /// Returns the size of the next chunk, and the length of its header.
    async fn read_chunk_header(&mut self) -> Result<(u64, usize), BodyError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    return Ok((size, length));
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_CHUNK_HEADER_BYTES => {
                    self.fill_some().await?;
                }
                _ => return Err(BodyError::Malformed),
            }
        }
    }

    async fn skip_trailers(&mut self) -> Result<(), BodyError> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
            match httparse::parse_headers(&self.buffer, &mut fields) {
                Ok(httparse::Status::Complete((length, _))) => {
                    self.buffer.advance(length);
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_TRAILER_BYTES => {
                    self.fill_some().await?;
                }
                _ => return Err(BodyError::Malformed),
            }
        }
    }

    /// Reads a close-delimited body. A connection that is reset leaves the body truncated.
    async fn read_until_closed(
        &mut self,
        limit: usize,
        held: &mut HeldBody,
    ) -> Result<BytesMut, BodyError> {
        loop {
            if self.buffer.len() > limit {
                return Err(BodyError::TooLarge);
            }
            held.grow_to(self.buffer.len())?;
            match self.fill().await {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer)),
                Ok(_) => {}
                Err(_) => return Err(BodyError::Truncated),
            }
        }
    }

    async fn fill_some(&mut self) -> Result<(), BodyError> {
        match self.fill().await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(BodyError::Truncated),
        }
    }

    /// Reads from the socket into the buffer. Returns the number of bytes read, zero if the peer
    /// has closed its side.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.reads_left == 0 {
            self.reads_left = READS_PER_TURN;
            futures_lite::future::yield_now().await;
        }
        self.reads_left -= 1;
        futures_lite::future::poll_fn(|context| self.poll_fill(context)).await
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Poll::Ready(Ok(count))
    }

    /// Returns true if the connection is open and the peer has sent nothing after its last message.
    pub(crate) fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        let nothing_arrived = |read: io::Result<usize>| matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && nothing_arrived(self.stream.try_read(&mut byte))
    }

    /// Returns true if no bytes after the last message have been read. More may have arrived: see
    /// [`Connection::is_idle`].
    pub(crate) fn is_drained(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Waits until the peer closes the connection or it fails. Data that the peer sends meanwhile
    /// is buffered. Once `READ_BYTES` or more are buffered, reading stops and a close is no longer
    /// noticed.
    pub(crate) async fn wait_closed(&mut self) {
        futures_lite::future::poll_fn(|context| {
            loop {
                if self.buffer.len() >= READ_BYTES {
                    return Poll::Pending;
                }
                match ready!(self.poll_fill(context)) {
                    Ok(0) | Err(_) => return Poll::Ready(()),
                    Ok(_) => {}
                }
            }
        })
        .await;
    }

    /// Releases the memory of the buffer if it is empty, for the time that the connection is idle.
    pub(crate) fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Returns a second handle to the socket, to write a message while this one reads.
    pub(crate) fn writer(&self) -> Stream {
        self.stream.clone()
    }

    /// Writes a whole message at once, so that the peer is woken once.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Half-closes the connection, then reads and discards what the peer still sends, for at most
    /// `timeout`. Closing with unread data would reset the connection, and the peer might lose the
    /// last response.
    pub(crate) async fn linger(mut self, timeout: Duration) {
        if let Err(error) = self.stream.shutdown(Shutdown::Write) {
            log::trace!(error:display; "failed to half-close a connection; closing it without draining");
            return;
        }
        self.buffer = BytesMut::new();
        let drain = async {
            while matches!(self.fill().await, Ok(count) if count > 0) {
                self.buffer.clear();
            }
        };
        if runtime::timeout(timeout, drain).await.is_none() {
            log::debug!("connection closed while the peer was still sending");
        }
    }
}
