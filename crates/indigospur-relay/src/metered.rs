//! Bodies of HTTP/2 messages between daemons, counted in the memory for bodies.

use crate::memory::{BodyMemory, HeldBody, MessageKind, OutOfMemory};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tonic::Status;

/// Maximum size of a frame that is passed to the HTTP/2 library. It asks for the next frame only once
/// the peer has room for it, so that the rest stays counted until then.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Memory for the bodies of one call; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct CallMemory(Arc<Mutex<HeldBody>>);

impl CallMemory {
    pub(crate) fn new(memory: &Arc<BodyMemory>, kind: MessageKind) -> CallMemory {
        CallMemory(Arc::new(Mutex::new(memory.hold(kind))))
    }

    fn with<T>(&self, update: impl FnOnce(&mut HeldBody) -> T) -> T {
        update(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the error of a body for which there is no memory. That of a request reaches its sender, who
/// may conclude that the call has not run; that of a response must not look the same.
fn out_of_memory(kind: MessageKind) -> Box<dyn std::error::Error + Send + Sync> {
    match kind {
        MessageKind::Request => {
            Status::resource_exhausted("no memory is left for the message").into()
        }
        MessageKind::Response => "no memory is left for the reply".into(),
    }
}

/// A body that is received. It fails once there is no memory for it.
#[derive(Debug)]
pub struct ReceivedBody<B> {
    inner: B,
    kind: MessageKind,
    received: usize,
    memory: CallMemory,
}

impl<B> ReceivedBody<B> {
    pub(crate) fn new(inner: B, kind: MessageKind, memory: CallMemory) -> ReceivedBody<B> {
        ReceivedBody {
            inner,
            kind,
            received: 0,
            memory,
        }
    }
}

impl<B> Body for ReceivedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
            None => return Poll::Ready(None),
        };
        self.received += frame.data_ref().map_or(0, Bytes::len);
        let received = self.received;
        match self.memory.with(|held| held.grow_to(received)) {
            Ok(()) => Poll::Ready(Some(Ok(frame))),
            Err(OutOfMemory) => {
                log::warn!(kind:debug = self.kind, received; "no memory is left for a message of another daemon; its call fails");
                Poll::Ready(Some(Err(out_of_memory(self.kind))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body that is sent, in frames of at most [`MAX_FRAME_BYTES`].
#[derive(Debug)]
pub(crate) struct SentBody<B> {
    inner: B,
    /// Data of `inner` that is not sent yet.
    unsent: Bytes,
    memory: CallMemory,
}

impl<B> SentBody<B> {
    pub(crate) fn new(inner: B, memory: CallMemory) -> SentBody<B> {
        SentBody {
            inner,
            unsent: Bytes::new(),
            memory,
        }
    }
}

impl<B> Body for SentBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if self.unsent.is_empty() {
            let frame = match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                other => return Poll::Ready(other),
            };
            match frame.into_data() {
                Ok(data) => {
                    self.memory.with(|held| held.add_held(data.len()));
                    self.unsent = data;
                }
                Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
            }
        }
        let length = self.unsent.len().min(MAX_FRAME_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.unsent.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
