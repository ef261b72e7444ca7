//! Parts of one task that are polled separately: each only after it was woken itself.
//!
//! Without this, each wake-up of a connection with 32 running requests would poll all of them, and each
//! of them would try its sockets.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};

/// The waker of the task that the parts belong to.
#[derive(Debug)]
pub(crate) struct TaskWaker(Mutex<Waker>);

impl TaskWaker {
    pub(crate) fn new() -> Arc<TaskWaker> {
        Arc::new(TaskWaker(Mutex::new(Waker::noop().clone())))
    }

    /// Sets the waker that the task is polled with. Must be called before the parts are refreshed.
    pub(crate) fn set(&self, waker: &Waker) {
        let mut own = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        own.clone_from(waker);
    }

    fn wake(&self) {
        let own = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        own.wake_by_ref();
    }
}

#[derive(Debug)]
struct Signal {
    task: Arc<TaskWaker>,
    is_woken: AtomicBool,
}

impl Wake for Signal {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_woken.swap(true, Ordering::AcqRel) {
            self.task.wake();
        }
    }
}

/// A part of a task.
#[derive(Debug)]
pub(crate) struct Part {
    signal: Arc<Signal>,
    waker: Waker,
    /// Whether it is to be polled in this turn of the task.
    is_due: bool,
}

impl Part {
    /// Creates a part, which is due at once.
    pub(crate) fn new(task: &Arc<TaskWaker>) -> Part {
        let signal = Arc::new(Signal {
            task: task.clone(),
            is_woken: AtomicBool::new(false),
        });
        Part {
            waker: signal.clone().into(),
            signal,
            is_due: true,
        }
    }

    /// Makes the part due if it was woken. Called once at the start of a turn, so that a part that
    /// wakes itself to let other tasks run is not polled again in the same turn.
    pub(crate) fn refresh(&mut self) {
        self.is_due |= self.signal.is_woken.swap(false, Ordering::AcqRel);
    }

    /// Makes the part due, because what it waits for has changed.
    pub(crate) fn set_due(&mut self) {
        self.is_due = true;
    }

    /// Returns true once if the part is due.
    pub(crate) fn take_due(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }

    /// The context to poll the part with.
    pub(crate) fn context(&self) -> Context<'_> {
        Context::from_waker(&self.waker)
    }
}
