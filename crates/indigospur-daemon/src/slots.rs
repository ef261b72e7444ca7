//! The admission decisions carried out: calls that wait, run, and are cancelled.

use async_std::channel::{Receiver, Sender, bounded};
use indigospur_admission::{
    Admission, AdmissionRefusal, Arrival, Completion, Effect, Options, Ticket, Verdict,
};
use indigospur_protocol::Load;
use indigospur_relay::runtime;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What happens to a call that waits or runs.
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

/// The slots of the backend server.
#[derive(Debug)]
pub(crate) struct Slots {
    state: Mutex<State>,
    kick: Sender<()>,
    kicked: Receiver<()>,
}

impl Slots {
    pub(crate) fn new(admission: Admission) -> Arc<Slots> {
        let (kick, kicked) = bounded(1);
        let state = Mutex::new(State {
            admission,
            signals: HashMap::new(),
        });
        Arc::new(Slots {
            state,
            kick,
            kicked,
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// The call gets no slot. Dropping the future gives the place in the queue up.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
    ) -> Result<Slot, AdmissionRefusal> {
        let (sender, signals) = bounded(2);
        let slot = self.arrive(arrival, sender, signals)?;
        if slot.runs {
            return Ok(slot);
        }
        let _ = self.kick.try_send(());
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
        let (ticket, runs) = match verdict {
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
            runs,
            signals,
            how: Completion::Failed,
        })
    }

    /// Carries out what falls due, until the slots are dropped by everyone else.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        while Arc::strong_count(&self) > 1 {
            let next = self.lock().admission.next_tick(Instant::now());
            let kicked = async {
                let _ = self.kicked.recv().await;
            };
            match next {
                Some(at) => futures_lite::future::or(kicked, runtime::sleep_until(at)).await,
                None => kicked.await,
            }
            let mut state = self.lock();
            let effects = state.admission.tick(Instant::now());
            state.apply(effects);
        }
    }

    /// Ends the task of [`Slots::run_ticks`] once nothing else holds the slots.
    pub(crate) fn retire(&self) {
        let _ = self.kick.try_send(());
    }

    pub(crate) fn load(&self) -> Load {
        self.lock().admission.load(Instant::now())
    }

    pub(crate) fn busy(&self) -> usize {
        self.lock().admission.outstanding()
    }

    pub(crate) fn drain(&self) {
        self.lock().admission.drain();
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        let effects = state.admission.set_slots(Instant::now(), slots);
        state.apply(effects);
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

/// A slot, or a place in the queue; given back on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    runs: bool,
    signals: Receiver<Signal>,
    how: Completion,
}

impl Slot {
    /// Notes how the call ended, for when the slot is dropped.
    pub(crate) fn ended(&mut self, how: Completion) {
        self.how = how;
    }

    /// Waits until the slot is taken away for a more important call.
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
        let effects = match self.how {
            Completion::Failed => state.admission.cancel(now, self.ticket),
            how => state.admission.finish(now, self.ticket, how),
        };
        state.apply(effects);
    }
}
