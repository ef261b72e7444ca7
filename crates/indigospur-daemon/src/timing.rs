//! Measurement of response times.

use crate::daemon::lock;
use indigospur_admission::{CallNumber, ResponseTimes};
use indigospur_protocol::{Kind, Outcome};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A call whose response time is measured until it is finished or dropped.
pub(crate) struct Timing<'a> {
    times: &'a Mutex<ResponseTimes>,
    name: &'a str,
    number: CallNumber,
    ran: bool,
}

impl<'a> Timing<'a> {
    pub(crate) fn start(times: &'a Mutex<ResponseTimes>, name: &'a Arc<str>) -> Timing<'a> {
        Timing {
            times,
            name,
            number: lock(times).start(Instant::now(), name),
            ran: false,
        }
    }

    /// Ends the measurement. The time counts if the call ran to its end or its deadline.
    pub(crate) fn finish(mut self, outcome: &Outcome) {
        self.ran = match outcome {
            Outcome::Answered(_) => true,
            Outcome::Refused(refusal) => refusal.kind == Kind::DeadlineRunning,
        };
    }
}

impl Drop for Timing<'_> {
    fn drop(&mut self) {
        lock(self.times).finish(Instant::now(), self.name, self.number, self.ran);
    }
}
