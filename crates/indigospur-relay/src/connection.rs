//! One HTTP/1.1 connection, read message by message.
//!
//! Bytes after the end of a message stay in the buffer: they are the next pipelined request, or show
//! that a backend server sent more than one response.

mod body;

use crate::arrivals::Arrivals;
use crate::head::{HeadError, RequestHead, ResponseHead};
use crate::runtime;
use crate::stream::Stream;
use crate::timer::Sleep;
use bytes::{Buf, BytesMut};
use futures_lite::io::{AsyncRead, AsyncWriteExt};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

pub(crate) use body::BodyError;

/// Maximum number of bytes read from the socket at a time.
const READ_BYTES: usize = 8 * 1024;
/// Time between two checks whether the peer has closed a connection on which no more is read.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of line ends before a message.
const MAX_EMPTY_LINE_BYTES: usize = 1024;

/// Bytes of an empty line, and of the line end before it, that may arrive before its last byte.
const EMPTY_LINE_OVERLAP: usize = 2;
/// Line end of HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Parses the head at the start of a buffer. Returns it with its length in bytes, or `None` if the
/// buffer doesn't hold all of it yet.
type ParseHead<T> = fn(&[u8]) -> Result<Option<(T, usize)>, HeadError>;

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
    /// When the bytes in the buffer arrived. Without those of a message that is being read.
    arrivals: Arrivals,
    /// Bytes of empty lines since the last message.
    empty_bytes: usize,
    /// Until the next check whether the peer has closed the connection behind unread data.
    close_check: Option<Sleep>,
}

/// How much of a head was searched for its end.
#[derive(Debug, Default)]
pub(crate) struct HeadProgress {
    /// Bytes of the buffer in which there is no end.
    searched: usize,
    /// Whether the first bytes were parsed, to notice another protocol.
    is_checked: bool,
}

impl Connection {
    pub(crate) fn new(stream: Stream) -> Connection {
        Connection {
            stream,
            buffer: BytesMut::new(),
            arrivals: Arrivals::default(),
            empty_bytes: 0,
            close_check: None,
        }
    }

    /// Waits for the first byte of a message, after some empty lines. Returns false if the peer
    /// closes the connection or it fails first, or if only empty lines arrive.
    pub(crate) async fn wait_for_message(&mut self) -> bool {
        futures_lite::future::poll_fn(|context| self.poll_message(context)).await
    }

    /// As [`Connection::wait_for_message`].
    pub(crate) fn poll_message(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        loop {
            let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
            let skipped = self.buffer.iter().take_while(is_line_end).count();
            self.buffer.advance(skipped);
            if !self.buffer.is_empty() {
                self.empty_bytes = 0;
                return Poll::Ready(true);
            }
            self.empty_bytes += skipped;
            if self.empty_bytes > MAX_EMPTY_LINE_BYTES {
                return Poll::Ready(false);
            }
            if !matches!(ready!(self.poll_fill(context)), Ok(count) if count > 0) {
                return Poll::Ready(false);
            }
        }
    }

    /// Returns when the first byte in the buffer arrived, the first of the next message if none is
    /// being read; `None` if the buffer is empty.
    pub(crate) fn first_arrival(&self) -> Option<Instant> {
        self.arrivals.first(self.buffer.len())
    }

    /// Returns the number of bytes that messages have consumed.
    pub(crate) fn position(&self) -> u64 {
        self.arrivals.position(self.buffer.len())
    }

    /// Returns the number of bytes in the buffer.
    pub(crate) fn buffered(&self) -> usize {
        self.buffer.len()
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
        let mut progress = HeadProgress::default();
        futures_lite::future::poll_fn(|context| {
            self.poll_head(context, limit, parse, &mut progress)
        })
        .await
    }

    /// Reads the head of a request, as [`Connection::read_request_head`].
    pub(crate) fn poll_request_head(
        &mut self,
        context: &mut Context<'_>,
        limit: usize,
        progress: &mut HeadProgress,
    ) -> Poll<Result<RequestHead, HeadError>> {
        self.poll_head(context, limit, RequestHead::parse, progress)
    }

    fn poll_head<T>(
        &mut self,
        context: &mut Context<'_>,
        limit: usize,
        parse: ParseHead<T>,
        progress: &mut HeadProgress,
    ) -> Poll<Result<T, HeadError>> {
        loop {
            let window = self.buffer.len().min(limit);
            // Only a whole head is parsed: what follows it may be long, and a head that arrives in
            // pieces would be parsed again and again.
            while let Some(end) = empty_line_end(&self.buffer[..window], progress.searched) {
                if let Some((head, length)) = parse(&self.buffer[..end])? {
                    self.buffer.advance(length);
                    return Poll::Ready(Ok(head));
                }
                progress.searched = end;
            }
            let overlap = window.saturating_sub(EMPTY_LINE_OVERLAP);
            progress.searched = progress.searched.max(overlap);
            // Bytes of another protocol are noticed at once, also if they have no end.
            if !progress.is_checked && window > 0 {
                parse(&self.buffer[..window])?;
                progress.is_checked = true;
            }
            if self.buffer.len() > limit {
                return Poll::Ready(Err(HeadError::TooLarge));
            }
            // All bytes so far belong to this message, whose arrival is known.
            self.arrivals.clear();
            match ready!(self.poll_fill(context)) {
                Ok(count) if count > 0 => {}
                _ => return Poll::Ready(Err(HeadError::Truncated)),
            }
        }
    }

    /// Reads more of a message from the socket into the buffer. Returns the number of bytes read,
    /// zero if the peer has closed its side.
    async fn fill(&mut self) -> io::Result<usize> {
        // All bytes so far belong to this message, whose arrival is known.
        self.arrivals.clear();
        futures_lite::future::poll_fn(|context| self.poll_fill(context)).await
    }

    /// Reads from the socket into the buffer.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        let unread = self.buffer.len();
        self.arrivals.add(Instant::now(), unread, count);
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
    /// is buffered. Once `READ_BYTES` or more are buffered, reading stops, and a close is noticed
    /// within [`CLOSE_CHECK_INTERVAL`] of its arrival.
    pub(crate) async fn wait_closed(&mut self) {
        futures_lite::future::poll_fn(|context| self.poll_closed(context)).await;
    }

    /// As [`Connection::wait_closed`].
    pub(crate) fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.buffer.len() < READ_BYTES {
            match ready!(self.poll_fill(context)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
        }
        loop {
            let check = self
                .close_check
                .get_or_insert_with(|| Sleep::until(Instant::now() + CLOSE_CHECK_INTERVAL));
            ready!(Pin::new(check).poll(context));
            self.close_check = None;
            if self.stream.is_closed_by_peer() {
                return Poll::Ready(());
            }
        }
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
