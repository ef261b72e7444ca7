//! One HTTP/1.1 connection, read message by message.
//!
//! Bytes behind a message stay in the buffer: they are the next pipelined request, or the proof
//! that a backend server sent more than one answer.

use crate::head::{AnswerHead, Framing, HeadError, RequestHead};
use crate::runtime;
use async_std::net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWriteExt};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Bytes read from the socket at a time.
const READ_SIZE: usize = 8 * 1024;
/// Largest line that gives the size of a chunk, in bytes.
const LARGEST_CHUNK_LINE: usize = 1024;
/// Most header lines behind the last chunk.
const MOST_TRAILERS: usize = 32;
/// Largest trailer, in bytes.
const LARGEST_TRAILER: usize = 8 * 1024;

/// Parses a head at the start of bytes: the head and its length, or `None` while it is not whole.
type Parse<T> = fn(&[u8]) -> Result<Option<(T, usize)>, HeadError>;

/// Why a body can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection ended or broke before the body was whole.
    Ended,
    /// The chunks are malformed.
    Malformed,
    /// It exceeds the limit.
    TooLarge,
}

/// A connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes read that belong to no message yet.
    buffer: Vec<u8>,
}

impl Connection {
    /// A connection on which nothing was read yet.
    pub(crate) fn new(stream: TcpStream) -> Connection {
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Waits for the first byte of a message, past empty lines; false if the other side closes
    /// instead.
    pub(crate) async fn begins(&mut self) -> bool {
        loop {
            let empty = |byte: &&u8| matches!(byte, b'\r' | b'\n');
            let skipped = self.buffer.iter().take_while(empty).count();
            self.buffer.drain(..skipped);
            if !self.buffer.is_empty() {
                return true;
            }
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return false;
            }
        }
    }

    /// Reads the head of a request of at most `most` bytes.
    pub(crate) async fn read_request_head(
        &mut self,
        most: usize,
    ) -> Result<RequestHead, HeadError> {
        self.read_head(most, RequestHead::parse).await
    }

    /// Reads the head of an answer of at most `most` bytes.
    pub(crate) async fn read_answer_head(&mut self, most: usize) -> Result<AnswerHead, HeadError> {
        self.read_head(most, AnswerHead::parse).await
    }

    async fn read_head<T>(&mut self, most: usize, parse: Parse<T>) -> Result<T, HeadError> {
        loop {
            let searched = self.buffer.len().min(most);
            if let Some((head, length)) = parse(&self.buffer[..searched])? {
                self.buffer.drain(..length);
                return Ok(head);
            }
            if self.buffer.len() > most {
                return Err(HeadError::TooLarge);
            }
            match self.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Err(HeadError::Ended),
            }
        }
    }

    /// Reads a body of at most `most` bytes.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        most: u64,
    ) -> Result<Vec<u8>, BodyError> {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        match framing {
            Framing::Length(length) => {
                let length = usize::try_from(length).map_err(|_| BodyError::TooLarge)?;
                if length > most {
                    return Err(BodyError::TooLarge);
                }
                self.take(length).await
            }
            Framing::Chunks => self.read_chunks(most).await,
            Framing::Close => self.read_until_closed(most).await,
        }
    }

    async fn take(&mut self, length: usize) -> Result<Vec<u8>, BodyError> {
        while self.buffer.len() < length {
            self.fill_more().await?;
        }
        if self.buffer.len() == length {
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self, most: usize) -> Result<Vec<u8>, BodyError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                self.skip_trailer().await?;
                return Ok(body);
            }
            let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
            if size > most.saturating_sub(body.len()) {
                return Err(BodyError::TooLarge);
            }
            let chunk = self.take(size + 2).await?;
            if !chunk.ends_with(b"\r\n") {
                return Err(BodyError::Malformed);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    async fn read_chunk_size(&mut self) -> Result<u64, BodyError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.drain(..length);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= LARGEST_CHUNK_LINE => {
                    self.fill_more().await?;
                }
                _ => return Err(BodyError::Malformed),
            }
        }
    }

    async fn skip_trailer(&mut self) -> Result<(), BodyError> {
        loop {
            let mut lines = [httparse::EMPTY_HEADER; MOST_TRAILERS];
            match httparse::parse_headers(&self.buffer, &mut lines) {
                Ok(httparse::Status::Complete((length, _))) => {
                    self.buffer.drain(..length);
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= LARGEST_TRAILER => {
                    self.fill_more().await?;
                }
                _ => return Err(BodyError::Malformed),
            }
        }
    }

    /// Reads until the other side closes; a connection that is reset ends no body.
    async fn read_until_closed(&mut self, most: usize) -> Result<Vec<u8>, BodyError> {
        loop {
            if self.buffer.len() > most {
                return Err(BodyError::TooLarge);
            }
            match self.fill().await {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer)),
                Ok(_) => {}
                Err(_) => return Err(BodyError::Ended),
            }
        }
    }

    async fn fill_more(&mut self) -> Result<(), BodyError> {
        match self.fill().await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(BodyError::Ended),
        }
    }

    /// Reads from the socket into the buffer; the number of bytes, zero at the end.
    async fn fill(&mut self) -> io::Result<usize> {
        futures_lite::future::poll_fn(|context| self.poll_fill(context)).await
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_SIZE];
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Poll::Ready(Ok(count))
    }

    /// Whether the other side has neither closed nor sent anything beyond its last message.
    pub(crate) fn is_idle(&mut self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        self.buffer.is_empty() && self.poll_fill(&mut context).is_pending()
    }

    /// Waits until the other side closes. What it sends meanwhile is kept, up to a bound beyond
    /// which its end is no longer noticed.
    pub(crate) async fn closed(&mut self) {
        futures_lite::future::poll_fn(|context| {
            loop {
                if self.buffer.len() >= READ_SIZE {
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

    /// Gives the memory of an empty buffer back while the connection is idle.
    pub(crate) fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Another handle to write by, while this one reads.
    pub(crate) fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Writes a whole message, so that the other side is woken once.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Tells the other side that nothing more comes, and reads what it still sends, for a time:
    /// bytes left unread would reset the connection, and the last answer might be lost with it.
    pub(crate) async fn linger(mut self, time: Duration) {
        if let Err(error) = self.stream.shutdown(Shutdown::Write) {
            log::trace!(error:display; "a connection was not closed cleanly");
            return;
        }
        let rest = async {
            while matches!(self.fill().await, Ok(count) if count > 0) {
                self.buffer.clear();
            }
        };
        if runtime::within(time, rest).await.is_none() {
            log::debug!("a connection was closed before the other side had sent all");
        }
    }
}
