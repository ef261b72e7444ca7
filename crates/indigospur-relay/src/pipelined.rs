//! A connection on which requests arrive before earlier ones are answered. Reads them, runs their
//! handlers and writes the responses in one task; [`Pipeline`] decides the order.

use crate::connection::Connection;
use crate::encode::encode_response;
use crate::handling::Handling;
use crate::memory::{HeldBody, MessageKind};
use crate::parts::{Part, TaskWaker};
use crate::pipeline::{Concurrency, NextResponse, Pipeline, RequestNumber};
use crate::receiving::{Input, Received};
use crate::request::{ReadError, Request};
use crate::runtime::{self, BoxFuture};
use crate::service::{HttpService, OpenRequest, ReceivedRequest};
use crate::serving::{Disposition, WRITE_TIMEOUT};
use crate::stream::Stream;
use futures_lite::io::AsyncWriteExt;
use indigospur_protocol::Answer;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum number of requests that run at the same time until the size of a response is known. Responses
/// that are held behind a slow one use up the memory for bodies if 31 large ones are under way.
const MAX_UNSIZED: usize = 8;
/// Time from which on it is logged that a response waited for earlier ones. Shorter waits are no cause
/// that an operator looks for.
const HELD_LOG_THRESHOLD: Duration = Duration::from_millis(100);

/// A request that was read and whose response is not written yet.
pub(crate) struct Exchange {
    number: RequestNumber,
    method: Arc<str>,
    /// Request target; empty if the head can't be read.
    path: Arc<str>,
    /// Memory of the request and its response.
    held: HeldBody,
    _open: OpenRequest,
    state: State,
}

enum State {
    Waiting(Box<ReceivedRequest>),
    Running(Handling, Part),
    /// The response, and when it was ready.
    Finished(Answer, Instant),
    /// The response is being written.
    Writing,
}

impl Exchange {
    /// Creates the exchange of a request that is not handled yet, or already elsewhere.
    pub(crate) fn new(
        method: Arc<str>,
        path: Arc<str>,
        held: HeldBody,
        open: OpenRequest,
    ) -> Exchange {
        Exchange {
            number: 0,
            method,
            path,
            held,
            _open: open,
            state: State::Writing,
        }
    }

    fn with_state(mut self, number: RequestNumber, state: State) -> Exchange {
        self.number = number;
        self.state = state;
        self
    }
}

/// Why polling ended.
pub(crate) enum Step {
    /// All requests are answered, and a further one has begun to arrive.
    Receiving,
    /// What happens to the connection: all requests are answered, or the caller has closed it.
    Ended(Disposition),
}

/// A response that is being written.
struct Writing {
    written: BoxFuture<io::Result<()>>,
    closes: bool,
}

/// A connection with requests that are read and not answered.
pub(crate) struct PipelinedConnection<'a> {
    service: &'a HttpService,
    task: Arc<TaskWaker>,
    input: Input<'a>,
    /// The part of the task that reads.
    input_part: Part,
    /// Whether a further request is read, rather than the caller's close waited for.
    reads_on: bool,
    output: Stream,
    /// The part of the task that writes.
    output_part: Part,
    writing: Option<Writing>,
    pipeline: Pipeline,
    /// One for each request in the pipeline.
    exchanges: VecDeque<Exchange>,
    /// Size of the largest response so far, in bytes: the estimate for those that are not there yet.
    largest_response: Option<usize>,
    /// Whether the caller has closed the connection.
    is_disconnected: bool,
}

impl<'a> PipelinedConnection<'a> {
    pub(crate) fn new(
        connection: &'a mut Connection,
        service: &'a HttpService,
    ) -> PipelinedConnection<'a> {
        let task = TaskWaker::new();
        PipelinedConnection {
            service,
            output: connection.writer(),
            input: Input::Waiting(connection),
            input_part: Part::new(&task),
            reads_on: true,
            output_part: Part::new(&task),
            writing: None,
            pipeline: Pipeline::new(),
            exchanges: VecDeque::new(),
            largest_response: None,
            is_disconnected: false,
            task,
        }
    }

    /// Adds the first request, which is handled already. Its method counts as unsafe or safe as any.
    pub(crate) fn add_running(&mut self, exchange: Exchange, handling: Handling) {
        let concurrency = Concurrency::of_method(&exchange.method);
        // The pipeline is empty: the request is added, and starts.
        if let Some(number) = self.pipeline.add(concurrency, false) {
            self.pipeline.start_next(true);
            let running = State::Running(handling, Part::new(&self.task));
            self.exchanges
                .push_back(exchange.with_state(number, running));
        }
    }

    /// Serves until a request arrives while none is unanswered, or the connection is to be closed or
    /// is idle.
    ///
    /// # Errors
    /// A response can't be written. The requests that are left are cancelled on drop.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Step>> {
        self.start_turn(context);
        loop {
            if self.service.is_stopping() {
                self.pipeline.stop();
            }
            let mut progress = self.poll_input();
            if self.is_disconnected {
                return Poll::Ready(Ok(Step::Ended(Disposition::Close)));
            }
            self.start_requests();
            progress |= self.poll_handlers();
            match self.poll_output() {
                Poll::Ready(Ok(true)) => {
                    return Poll::Ready(Ok(Step::Ended(Disposition::Linger)));
                }
                Poll::Ready(Ok(false)) => progress = true,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {}
            }
            if !progress {
                break;
            }
        }
        if !self.pipeline.is_empty() {
            return Poll::Pending;
        }
        Poll::Ready(Ok(match self.input {
            Input::Waiting(_) => Step::Ended(Disposition::KeepAlive),
            _ => Step::Receiving,
        }))
    }

    /// Reads a request while none is unanswered, until it is whole or refused, or the caller closes
    /// the connection; [`PipelinedConnection::poll`] goes on from there.
    pub(crate) fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.start_turn(context);
        while !self.is_disconnected && self.pipeline.is_empty() && self.poll_input() {}
        if self.is_disconnected || !self.pipeline.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn start_turn(&mut self, context: &mut Context<'_>) {
        self.task.set(context.waker());
        self.input_part.refresh();
        self.output_part.refresh();
        for exchange in &mut self.exchanges {
            if let State::Running(_, part) = &mut exchange.state {
                part.refresh();
            }
        }
    }

    /// Returns true if a further request may be read: the first needs no room, as on a connection
    /// with one request at a time.
    fn may_read(&self) -> bool {
        let head_bytes = self.service.bounds().head_bytes;
        let has_room = || self.service.memory().has_free(head_bytes);
        self.pipeline.reads_on() && (self.pipeline.is_empty() || has_room())
    }

    /// Reads on. Returns true if more can be done in this turn.
    fn poll_input(&mut self) -> bool {
        let reads_on = self.may_read();
        if reads_on != self.reads_on {
            self.reads_on = reads_on;
            self.input_part.set_due();
        }
        let is_first = self.pipeline.is_empty();
        let received = self
            .input
            .poll(&mut self.input_part, self.service, reads_on, is_first);
        match received {
            Poll::Pending => return false,
            Poll::Ready(Received::Progress) => {}
            Poll::Ready(Received::Request(request, held)) => self.add(*request, held),
            Poll::Ready(Received::Failed(error)) => self.add_failed(error),
        }
        self.input_part.set_due();
        true
    }

    fn add(&mut self, request: Request, held: HeldBody) {
        let Request { received, closes } = request;
        let concurrency = Concurrency::of_method(&received.method);
        let Some(number) = self.pipeline.add(concurrency, closes) else {
            // A stop was noticed while the request arrived: it counts as not read.
            return;
        };
        let open = OpenRequest::new(self.service);
        let exchange = Exchange::new(received.method.clone(), received.path.clone(), held, open);
        let waiting = State::Waiting(Box::new(received));
        self.exchanges
            .push_back(exchange.with_state(number, waiting));
    }

    fn add_failed(&mut self, error: ReadError) {
        let (refusal, method) = match error {
            ReadError::Refused(refusal, method) => (refusal, method),
            ReadError::Truncated(refusal, method) if self.pipeline.is_empty() => (refusal, method),
            ReadError::Truncated(..) | ReadError::Disconnected => {
                self.is_disconnected = true;
                return;
            }
        };
        let Some(number) = self.pipeline.add_refused() else {
            return;
        };
        let held = self.service.memory().hold(MessageKind::Response);
        let open = OpenRequest::new(self.service);
        let exchange = Exchange::new(method, "".into(), held, open);
        let finished = State::Finished(self.service.encode_refusal(&refusal), Instant::now());
        self.exchanges
            .push_back(exchange.with_state(number, finished));
    }

    /// Returns true if there is room for the responses of the requests that run and of another one.
    fn has_room(&self) -> bool {
        let running = self.pipeline.running();
        let largest = match self.largest_response {
            Some(largest) => largest.max(1),
            None if running < MAX_UNSIZED => 1,
            None => return false,
        };
        self.service.memory().has_free(largest * (running + 1))
    }

    fn start_requests(&mut self) {
        while let Some(number) = self.pipeline.start_next(self.has_room()) {
            let mut exchanges = self.exchanges.iter_mut();
            let Some(exchange) = exchanges.find(|exchange| exchange.number == number) else {
                continue;
            };
            exchange.state = match std::mem::replace(&mut exchange.state, State::Writing) {
                State::Waiting(received) => {
                    let handling = Handling::start(self.service, *received);
                    State::Running(handling, Part::new(&self.task))
                }
                other => other,
            };
        }
    }

    /// Polls the handlers that were woken. Returns true if one of them has finished.
    fn poll_handlers(&mut self) -> bool {
        let mut has_finished = false;
        for exchange in &mut self.exchanges {
            let State::Running(handling, part) = &mut exchange.state else {
                continue;
            };
            if !part.take_due() {
                continue;
            }
            let Poll::Ready(answer) = handling.poll(self.service, &mut part.context()) else {
                continue;
            };
            exchange.held.add_held(answer.body.len());
            self.largest_response = self.largest_response.max(Some(answer.body.len()));
            exchange.state = State::Finished(answer, Instant::now());
            self.pipeline.finish(exchange.number);
            has_finished = true;
        }
        has_finished
    }

    /// Writes the next response. Ready once a response is written, with whether it closes the
    /// connection.
    fn poll_output(&mut self) -> Poll<io::Result<bool>> {
        if self.writing.is_none()
            && let Some(next) = self.pipeline.send_next()
        {
            self.writing = self.start_writing(next);
            self.output_part.set_due();
        }
        let Some(writing) = &mut self.writing else {
            return Poll::Pending;
        };
        if !self.output_part.take_due() {
            return Poll::Pending;
        }
        let mut context = self.output_part.context();
        std::task::ready!(writing.written.as_mut().poll(&mut context))?;
        let closes = writing.closes;
        self.writing = None;
        self.pipeline.sent();
        self.exchanges.pop_front();
        Poll::Ready(Ok(closes))
    }

    fn start_writing(&mut self, next: NextResponse) -> Option<Writing> {
        let exchange = self.exchanges.front_mut()?;
        let State::Finished(answer, ready) = std::mem::replace(&mut exchange.state, State::Writing)
        else {
            return None;
        };
        log_wait(&exchange.path, answer.status, ready.elapsed());
        let bytes = encode_response(&answer, &exchange.method, next.closes);
        let mut output = self.output.clone();
        let written = async move {
            let written = runtime::timeout(WRITE_TIMEOUT, output.write_all(&bytes)).await;
            written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
        };
        Some(Writing {
            written: Box::pin(written),
            closes: next.closes,
        })
    }
}

fn log_wait(path: &str, status: u16, held: Duration) {
    if held >= HELD_LOG_THRESHOLD {
        log::info!(
            path, status, held_ms = held.as_millis() as u64;
            "response waited for those to earlier requests on its connection"
        );
    }
}
