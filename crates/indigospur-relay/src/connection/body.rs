//! Reads the bodies of messages.

use super::{CRLF, Connection};
use crate::head::Framing;
use crate::memory::{HeldBody, OutOfMemory};
use bytes::{Buf, BytesMut};

/// Maximum size of a chunk header: the chunk size with its extensions.
const MAX_CHUNK_HEADER_BYTES: usize = 1024;
/// Maximum size of the framing of a chunked body, beyond [`MAX_FRAMING_RATIO`] times its content.
const MAX_FRAMING_BYTES: usize = 64 * 1024;
/// Bytes of framing accepted for a byte of content. Chunks of one byte need five.
const MAX_FRAMING_RATIO: usize = 16;
/// Maximum number of trailer fields after the last chunk.
const MAX_TRAILER_FIELDS: usize = 32;
/// Maximum size of a trailer section.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

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

impl Connection {
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
}
