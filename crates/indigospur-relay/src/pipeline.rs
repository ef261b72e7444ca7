//! The order of pipelined requests on one connection: which request may start, which response is sent
//! next and whether to read on.
//!
//! Answers the load of callers that send six safe requests of 300 ms at once: run in turn they take
//! 1.8 s.

use std::collections::VecDeque;

/// Maximum number of requests of a connection that were read and whose responses are not sent yet.
pub const MAX_PIPELINED: usize = 32;

/// Number of a request on its connection; the first that a [`Pipeline`] gets is 0.
pub type RequestNumber = u64;

/// Which other requests of its connection a request may run beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Concurrency {
    /// Safe requests before and behind it.
    Safe,
    /// None.
    Alone,
}

impl Concurrency {
    /// Returns the concurrency of a request with this method, as sent. Methods are case-sensitive.
    pub fn of_method(method: &str) -> Concurrency {
        match method {
            "GET" | "HEAD" | "OPTIONS" | "TRACE" => Concurrency::Safe,
            _ => Concurrency::Alone,
        }
    }
}

/// A response that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextResponse {
    /// The request that it answers.
    pub number: RequestNumber,
    /// Whether the connection is closed after it.
    pub closes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Finished,
    /// Its response is being sent. Only the first request can be in this state.
    Sending,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    concurrency: Concurrency,
    state: State,
}

impl Entry {
    fn has_finished(&self) -> bool {
        matches!(self.state, State::Finished | State::Sending)
    }
}

/// The requests of a connection that were read and whose responses are not sent yet.
#[derive(Debug, Default)]
pub struct Pipeline {
    /// At most [`MAX_PIPELINED`], in the order in which they were read.
    entries: VecDeque<Entry>,
    /// Number of the first entry.
    first: RequestNumber,
    /// Whether the response to the last request that was read closes the connection. Never reset:
    /// nothing is read behind such a request.
    closes: bool,
}

impl Pipeline {
    /// Creates a pipeline without requests.
    pub fn new() -> Pipeline {
        Pipeline::default()
    }

    /// Returns true if there is no request whose response is not sent yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if a further request may be read, as far as its order is concerned.
    pub fn reads_on(&self) -> bool {
        !self.closes && self.entries.len() < MAX_PIPELINED
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        let running = |entry: &&Entry| entry.state == State::Running;
        self.entries.iter().filter(running).count()
    }

    /// Adds a request that was read. The connection is closed after the response if `closes` is set.
    /// Returns `None` if no further request may be read: it counts as not read and must not run.
    pub fn add(&mut self, concurrency: Concurrency, closes: bool) -> Option<RequestNumber> {
        self.push(concurrency, State::Waiting, closes)
    }

    /// Adds a request that is refused without running, such as one with a malformed head. Its
    /// response closes the connection. Returns `None` as [`Pipeline::add`] does.
    pub fn add_refused(&mut self) -> Option<RequestNumber> {
        self.push(Concurrency::Safe, State::Finished, true)
    }

    fn push(
        &mut self,
        concurrency: Concurrency,
        state: State,
        closes: bool,
    ) -> Option<RequestNumber> {
        if !self.reads_on() {
            return None;
        }
        self.entries.push_back(Entry { concurrency, state });
        self.closes = closes;
        Some(self.first + self.entries.len() as u64 - 1)
    }

    /// Closes the connection after the last request that was read. Without effect if its response is
    /// sent or being sent already: the connection is then closed after the next request.
    pub fn stop(&mut self) {
        let last = self.entries.back();
        if last.is_some_and(|entry| entry.state != State::Sending) {
            self.closes = true;
        }
    }

    /// Starts the next request that may run now, if there is one. Without `has_room` for its
    /// response, only the first request starts.
    pub fn start_next(&mut self, has_room: bool) -> Option<RequestNumber> {
        let mut all_finished = true;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if index > 0 && !has_room {
                return None;
            }
            let is_alone = entry.concurrency == Concurrency::Alone;
            if entry.state == State::Waiting {
                if is_alone && !all_finished {
                    return None;
                }
                entry.state = State::Running;
                return Some(self.first + index as u64);
            }
            if is_alone && !entry.has_finished() {
                return None;
            }
            all_finished &= entry.has_finished();
        }
        None
    }

    /// Records that a running request has finished, so that its response is ready.
    pub fn finish(&mut self, number: RequestNumber) {
        let index = number.checked_sub(self.first).map(|index| index as usize);
        let entry = index.and_then(|index| self.entries.get_mut(index));
        if let Some(entry) = entry.filter(|entry| entry.state == State::Running) {
            entry.state = State::Finished;
        }
    }

    /// Returns the response to send now, if it is ready and none is being sent.
    pub fn send_next(&mut self) -> Option<NextResponse> {
        let is_last = self.entries.len() == 1;
        let first = self.entries.front_mut()?;
        if first.state != State::Finished {
            return None;
        }
        first.state = State::Sending;
        Some(NextResponse {
            number: self.first,
            closes: is_last && self.closes,
        })
    }

    /// Records that the response that was being sent is sent.
    pub fn sent(&mut self) {
        if self.entries.front().map(|entry| entry.state) == Some(State::Sending) {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}
