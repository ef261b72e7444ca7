//! Reads requests that are sent behind others, step by step, beside the handlers of those.

use crate::connection::{Connection, HeadProgress};
use crate::head::{Framing, RequestHead};
use crate::memory::{HeldBody, MessageKind};
use crate::parts::Part;
use crate::request::{Begun, ReadError, Request, build_request, expects_continue, read_rest};
use crate::service::HttpService;
use crate::timer::Sleep;
use bytes::BytesMut;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

/// What reading on has come to.
pub(crate) enum Received {
    /// A step was made; there may be more to do.
    Progress,
    /// A request was read.
    Request(Box<Request>, HeldBody),
    /// No request could be read.
    Failed(ReadError),
}

/// A head that is being read.
pub(crate) struct HeadReading {
    begun: Begun,
    progress: HeadProgress,
    /// Position of its first byte in the stream.
    position: u64,
    timer: Sleep,
}

/// A request whose head was read.
pub(crate) struct HeadRead {
    head: RequestHead,
    begun: Begun,
    /// Size of the head.
    bytes: usize,
    /// Whether the body had to wait until all earlier requests were answered.
    has_waited: bool,
}

impl HeadRead {
    /// Returns true if the body must not be read yet: `100 Continue` would be taken for a response to
    /// an earlier request, or there is no memory for the body.
    fn waits(&self, service: &HttpService) -> bool {
        let is_refused = |length| length > self.begun.bounds.body_bytes;
        let lacks_room = match self.head.framing {
            Framing::ContentLength(length) if !is_refused(length) => {
                !service.memory().has_free(length as usize)
            }
            _ => false,
        };
        lacks_room || expects_continue(&self.head)
    }

    fn has_body(&self) -> bool {
        self.head.framing != Framing::ContentLength(0) || expects_continue(&self.head)
    }
}

type BodyReading<'a> = Pin<
    Box<
        dyn Future<Output = (&'a mut Connection, HeldBody, Result<Request, ReadError>)> + Send + 'a,
    >,
>;

/// The reading side of a connection.
pub(crate) enum Input<'a> {
    /// No request has begun to arrive, or nothing more is read.
    Waiting(&'a mut Connection),
    Head(&'a mut Connection, Box<HeadReading>),
    /// A head was read, but not its body.
    Body(&'a mut Connection, Box<HeadRead>),
    BodyReading(BodyReading<'a>),
    /// Only while it is polled.
    Taken,
}

impl<'a> Input<'a> {
    /// Reads on if `part` is due. Unless it `reads_on`, no further request is begun, and only the
    /// close of the connection is waited for. `is_first` tells that no request is unanswered.
    pub(crate) fn poll(
        &mut self,
        part: &mut Part,
        service: &'a HttpService,
        reads_on: bool,
        is_first: bool,
    ) -> Poll<Received> {
        let is_due = part.take_due();
        let mut context = part.context();
        let (next, received) = match std::mem::replace(self, Input::Taken) {
            Input::Body(connection, read) if is_first || !read.waits(service) => {
                start_body(connection, read, service, is_first)
            }
            input if !is_due => (input, Poll::Pending),
            Input::Waiting(connection) if reads_on => wait(connection, service, &mut context),
            Input::Waiting(connection) => {
                let closed = poll_closed(connection, &mut context);
                (Input::Waiting(connection), closed)
            }
            Input::Head(connection, reading) => read_head(connection, reading, &mut context),
            Input::Body(connection, mut read) => {
                read.has_waited = true;
                let closed = poll_closed(connection, &mut context);
                (Input::Body(connection, read), closed)
            }
            Input::BodyReading(reading) => read_body(reading, &mut context),
            Input::Taken => (Input::Taken, Poll::Pending),
        };
        *self = next;
        received
    }
}

type Turn<'a> = (Input<'a>, Poll<Received>);

fn poll_closed(connection: &mut Connection, context: &mut Context<'_>) -> Poll<Received> {
    ready!(connection.poll_closed(context));
    Poll::Ready(Received::Failed(ReadError::Disconnected))
}

fn wait<'a>(
    connection: &'a mut Connection,
    service: &HttpService,
    context: &mut Context<'_>,
) -> Turn<'a> {
    let received = match connection.poll_message(context) {
        Poll::Pending => Poll::Pending,
        Poll::Ready(false) => Poll::Ready(Received::Failed(ReadError::Disconnected)),
        Poll::Ready(true) => {
            let begun = Begun::new(Instant::now(), connection, service);
            let reading = HeadReading {
                timer: Sleep::until(begun.end()),
                position: connection.position(),
                progress: HeadProgress::default(),
                begun,
            };
            let input = Input::Head(connection, Box::new(reading));
            return (input, Poll::Ready(Received::Progress));
        }
    };
    (Input::Waiting(connection), received)
}

fn read_head<'a>(
    connection: &'a mut Connection,
    mut reading: Box<HeadReading>,
    context: &mut Context<'_>,
) -> Turn<'a> {
    let limit = reading.begun.bounds.head_bytes;
    let head = match connection.poll_request_head(context, limit, &mut reading.progress) {
        Poll::Ready(head) => Some(head),
        Poll::Pending if Pin::new(&mut reading.timer).poll(context).is_ready() => None,
        Poll::Pending => return (Input::Head(connection, reading), Poll::Pending),
    };
    let bytes = connection.position() - reading.position;
    match reading.begun.check_head(head) {
        Ok(head) => {
            let read = HeadRead {
                head,
                begun: reading.begun,
                bytes: bytes as usize,
                has_waited: false,
            };
            let input = Input::Body(connection, Box::new(read));
            (input, Poll::Ready(Received::Progress))
        }
        Err(error) => (
            Input::Waiting(connection),
            Poll::Ready(Received::Failed(error)),
        ),
    }
}

fn start_body<'a>(
    connection: &'a mut Connection,
    read: Box<HeadRead>,
    service: &'a HttpService,
    is_first: bool,
) -> Turn<'a> {
    // All bytes are counted of requests behind others: their number has no other bound than 32 a
    // connection.
    let held = match is_first {
        true => service.memory().hold(MessageKind::Request),
        false => service.memory().hold_whole(MessageKind::Request),
    };
    if !read.has_body() {
        let request = build_request(read.head, BytesMut::new(), &read.begun);
        let received = finish(request, held, read.bytes);
        return (Input::Waiting(connection), Poll::Ready(received));
    }
    let reading = async move {
        let HeadRead {
            head,
            mut begun,
            bytes,
            has_waited,
        } = *read;
        let mut held = held;
        if has_waited {
            begun.restart(Instant::now());
        }
        let request = read_rest(connection, service, head, &begun, &mut held).await;
        held.add_held(bytes);
        (connection, held, request)
    };
    let input = Input::BodyReading(Box::pin(reading));
    (input, Poll::Ready(Received::Progress))
}

fn read_body<'a>(mut reading: BodyReading<'a>, context: &mut Context<'_>) -> Turn<'a> {
    match reading.as_mut().poll(context) {
        Poll::Pending => (Input::BodyReading(reading), Poll::Pending),
        Poll::Ready((connection, held, request)) => {
            let received = finish(request, held, 0);
            (Input::Waiting(connection), Poll::Ready(received))
        }
    }
}

fn finish(request: Result<Request, ReadError>, mut held: HeldBody, head_bytes: usize) -> Received {
    held.add_held(head_bytes);
    match request {
        Ok(request) => Received::Request(Box::new(request), held),
        Err(error) => Received::Failed(error),
    }
}
