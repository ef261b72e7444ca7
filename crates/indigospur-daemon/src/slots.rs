//! Carries out the decisions of [`Admission`]: makes calls wait, lets them run and cancels them.

use async_std::channel::{Receiver, Sender, bounded};
use indigospur_admission::{
    Admission, AdmissionRefusal, Arrival, Completion, Effect, Options, Ticket, Verdict,
};
use indigospur_protocol::{Load, Pace, Rate};
use indigospur_relay::runtime;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Sent to a waiting or running call.
#[derive(Clone, Copy, Debug)]
enum Signal {
    Run,
    Refuse(AdmissionRefusal),
}

#[derive(Debug)]
struct State {
    admission: Admission,
    signals: HashMap<Ticket, Sender<Signal>>,
}

/// The slots of the backend server and the queue for them.
#[derive(Debug)]
pub(crate) struct Slots {
    state: Mutex<State>,
    /// Wakes the task of [`Slots::run_ticks`].
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Slots {
    pub(crate) fn new(admission: Admission) -> Arc<Slots> {
        let (wake, woken) = bounded(1);
        let state = Mutex::new(State {
            admission,
            signals: HashMap::new(),
        });
        Arc::new(Slots { state, wake, woken })
    }

    /// Waits for a slot. Dropping the future removes the call from the queue.
    ///
    /// # Errors
    /// Admission refuses the call, on arrival or while it waits.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
    ) -> Result<Slot, AdmissionRefusal> {
        let (sender, signals) = bounded(2);
        let slot = self.arrive(arrival, sender, signals)?;
        if slot.immediate {
            return Ok(slot);
        }
        let _ = self.wake.try_send(());
        match slot.signals.recv().await {
            Ok(Signal::Run) => Ok(slot),
            Ok(Signal::Refuse(refused)) => Err(refused),
            Err(_) => unreachable!("the sender lives as long as the slot"),
        }
    }

    fn arrive(
        self: &Arc<Self>,
        arrival: Arrival,
        sender: Sender<Signal>,
        signals: Receiver<Signal>,
    ) -> Result<Slot, AdmissionRefusal> {
        let mut state = self.lock();
        let (verdict, effects) = state.admission.arrive(Instant::now(), arrival);
        let (ticket, immediate) = match verdict {
            Verdict::Run(ticket) => (ticket, true),
            Verdict::Wait(ticket) => (ticket, false),
            Verdict::Refuse(refused) => {
                state.apply(effects);
                return Err(refused);
            }
        };
        state.signals.insert(ticket, sender);
        state.apply(effects);
        Ok(Slot {
            slots: self.clone(),
            ticket,
            immediate,
            signals,
            completion: Completion::Failed,
        })
    }

    /// Runs the time-driven part of admission until this task holds the only reference to the
    /// slots.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        while Arc::strong_count(&self) > 1 {
            let next = self.lock().admission.next_tick(Instant::now());
            let woken = async {
                let _ = self.woken.recv().await;
            };
            match next {
                Some(at) => futures_lite::future::or(woken, runtime::sleep_until(at)).await,
                None => woken.await,
            }
            let mut state = self.lock();
            let effects = state.admission.tick(Instant::now());
            state.apply(effects);
        }
    }

    /// Wakes the task of [`Slots::run_ticks`], so that it ends if it holds the only reference.
    pub(crate) fn retire(&self) {
        let _ = self.wake.try_send(());
    }

    pub(crate) fn load(&self) -> Load {
        self.lock().admission.load(Instant::now())
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.lock().admission.outstanding()
    }

    pub(crate) fn drain(&self) {
        self.lock().admission.drain();
    }

    /// As [`Slots::drain`], and refuses the calls that wait longer than `timeout` for a slot of a backend
    /// server that leaves.
    pub(crate) fn leave(&self, timeout: Duration) {
        self.lock().admission.leave(Instant::now(), timeout);
        let _ = self.wake.try_send(());
    }

    pub(crate) fn resume(&self) {
        self.lock().admission.resume();
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        let effects = state.admission.set_slots(Instant::now(), slots);
        state.apply(effects);
    }

    /// Records the rate limit that an answer names; the call was started at `started`. Returns the
    /// limit before and the one in force now.
    pub(crate) fn observe_rate_limit(
        &self,
        started: Instant,
        rate: Option<Rate>,
    ) -> (Option<Rate>, Option<Rate>) {
        let mut state = self.lock();
        let before = state.admission.rate_limit();
        let effects = state
            .admission
            .observe_rate_limit(Instant::now(), started, rate);
        state.apply(effects);
        let after = state.admission.rate_limit();
        if before != after {
            let _ = self.wake.try_send(());
        }
        (before, after)
    }

    /// Records the pace of work that an answer tells.
    pub(crate) fn observe_pace(&self, pace: Pace) {
        self.lock().admission.observe_pace(Instant::now(), pace);
    }

    pub(crate) fn set_options(&self, options: Options) {
        let mut state = self.lock();
        let effects = state.admission.set_options(Instant::now(), options);
        state.apply(effects);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let (ticket, signal) = match effect {
                Effect::Run(ticket) => (ticket, Signal::Run),
                Effect::Refuse(ticket, refused) | Effect::Preempt(ticket, refused) => {
                    (ticket, Signal::Refuse(refused))
                }
            };
            if let Some(sender) = self.signals.get(&ticket) {
                let _ = sender.try_send(signal);
            }
        }
    }
}

/// A slot, or a place in the queue for one; released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    /// Whether the call got its slot on arrival, without waiting.
    immediate: bool,
    signals: Receiver<Signal>,
    /// How the call ended, as reported to admission on drop.
    completion: Completion,
}

impl Slot {
    /// Whether the call waited for its slot.
    pub(crate) fn has_waited(&self) -> bool {
        !self.immediate
    }

    /// Sets how the call ended; without it the slot is released as that of a failed call.
    pub(crate) fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }

    /// Waits until the slot is preempted for a more important call.
    pub(crate) async fn preempted(&self) -> AdmissionRefusal {
        loop {
            if let Ok(Signal::Refuse(refused)) = self.signals.recv().await {
                return refused;
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.slots.lock();
        state.signals.remove(&self.ticket);
        let effects = match self.completion {
            Completion::Failed => state.admission.cancel(now, self.ticket),
            completion => state.admission.finish(now, self.ticket, completion),
        };
        state.apply(effects);
    }
}
