//! Recognises requests that callers send again.

use indigospur_protocol::RequestId;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Counts how often each recent request was sent, so that a request that is sent again gets no new
/// retry credit.
#[derive(Debug)]
pub struct RequestCounts {
    lifetime: Duration,
    capacity: usize,
    /// Number of times that each request was sent again after the first time.
    counts: HashMap<RequestId, u32>,
    /// Requests in the order in which they were first sent.
    order: VecDeque<(Instant, RequestId)>,
}

impl RequestCounts {
    /// Keeps at most `capacity` requests, each for `lifetime` after it was first sent; the
    /// oldest are evicted first.
    pub fn new(lifetime: Duration, capacity: usize) -> RequestCounts {
        RequestCounts {
            lifetime,
            capacity,
            counts: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Counts a request and returns how many times it was sent before.
    pub fn count(&mut self, now: Instant, request: &RequestId) -> u32 {
        self.evict(now);
        if let Some(count) = self.counts.get_mut(request) {
            *count += 1;
            return *count;
        }
        self.counts.insert(request.clone(), 0);
        self.order.push_back((now, request.clone()));
        0
    }

    /// Takes back the last count of a request that was refused before anything was sent for it.
    pub fn undo(&mut self, request: &RequestId) {
        match self.counts.get_mut(request) {
            Some(0) => {
                self.counts.remove(request);
            }
            Some(count) => *count -= 1,
            None => {}
        }
    }

    fn evict(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            let expired = now.saturating_duration_since(*at) > self.lifetime;
            if !expired && self.order.len() < self.capacity {
                break;
            }
            if let Some((_, request)) = self.order.pop_front() {
                self.counts.remove(&request);
            }
        }
    }
}
