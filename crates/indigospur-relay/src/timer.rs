//! Timers for deadlines, nearly all of which are dropped before they expire.
//!
//! Creating a timer of the IO library wakes its reactor. Creating one of these wakes the timer thread
//! only if the new timer expires before all others.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Longest time for which the timer thread parks.
const MAX_PARK_TIME: Duration = Duration::from_secs(3_600);

/// Tells timers with the same deadline apart.
type TimerId = u64;

#[derive(Default)]
struct State {
    wakers: BTreeMap<(Instant, TimerId), Waker>,
    next_id: TimerId,
    /// When the timer thread next checks for expired timers; `None` before the first check and the
    /// first timer.
    next_wake: Option<Instant>,
}

struct TimerQueue {
    state: Mutex<State>,
}

static TIMERS: LazyLock<TimerQueue> = LazyLock::new(|| TimerQueue {
    state: Mutex::default(),
});
static TIMER_THREAD: LazyLock<Thread> = LazyLock::new(|| {
    let spawned = thread::Builder::new()
        .name("indigospur-alarm".to_owned())
        .spawn(|| TIMERS.run());
    spawned.expect("a thread can be started").thread().clone()
});

impl TimerQueue {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        loop {
            let now = Instant::now();
            let (expired, next) = self.take_expired(now);
            expired.into_iter().for_each(Waker::wake);
            thread::park_timeout(next.saturating_duration_since(Instant::now()));
        }
    }

    /// Removes the wakers of expired timers; also returns when the thread has to check next.
    fn take_expired(&self, now: Instant) -> (Vec<Waker>, Instant) {
        let mut state = self.lock();
        let later = state.wakers.split_off(&(now, TimerId::MAX));
        let expired = std::mem::replace(&mut state.wakers, later);
        let first = state
            .wakers
            .first_key_value()
            .map(|((deadline, _), _)| *deadline);
        let next = first.unwrap_or(now + MAX_PARK_TIME);
        state.next_wake = Some(next);
        (expired.into_values().collect(), next)
    }

    fn add(&self, deadline: Instant, waker: Waker) -> TimerId {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.wakers.insert((deadline, id), waker);
        let is_earliest = state.next_wake.is_none_or(|next_wake| deadline < next_wake);
        if is_earliest {
            state.next_wake = Some(deadline);
        }
        drop(state);
        if is_earliest {
            TIMER_THREAD.unpark();
        }
        id
    }
}

/// A future that completes at a deadline.
#[derive(Debug)]
pub(crate) struct Sleep {
    deadline: Instant,
    id: Option<TimerId>,
}

impl Sleep {
    pub(crate) fn until(deadline: Instant) -> Sleep {
        Sleep { deadline, id: None }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        if let Some(id) = self.id
            && let Some(waker) = TIMERS.lock().wakers.get_mut(&(self.deadline, id))
        {
            waker.clone_from(context.waker());
            return Poll::Pending;
        }
        self.id = Some(TIMERS.add(self.deadline, context.waker().clone()));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            TIMERS.lock().wakers.remove(&(self.deadline, id));
        }
    }
}

impl hyper::rt::Sleep for Sleep {}

/// Provides hyper with timers of this module.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HyperTimer;

impl hyper::rt::Timer for HyperTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep::until(deadline))
    }
}
