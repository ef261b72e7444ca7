//! Conversions between the wire messages and the types of this crate.

use crate::answer::{Answer, Load, Outcome, Pace, Pressure, Refusal, Reply, Shedding, Work};
use crate::call::{Call, Context, Crash, CrashTiming, Header, is_token};
use crate::kind::{Kind, Ran};
use crate::member::{Member, State};
use crate::rate::Rate;
use crate::wire::peer;
use displaydoc::Display;
use std::sync::Arc;
use std::time::Duration;

/// A message of another daemon that violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum WireError {
    /// field {0} is missing
    MissingField(&'static str),
    /// field {0} has a value outside its range
    OutOfRange(&'static str),
    /// the reply is for another request
    RequestMismatch,
}

impl std::error::Error for WireError {}

/// A call with its context, as relayed between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMessage {
    /// Call to relay.
    pub call: Call,
    /// Metadata that is propagated with the call.
    pub context: Context,
}

/// Decodes the status of a final response.
fn final_status(status: u32) -> Result<u16, WireError> {
    let status = u16::try_from(status).ok();
    let status = status.filter(|status| Answer::STATUSES.contains(status));
    status.ok_or(WireError::OutOfRange("status"))
}

/// Decodes the headers of a response. A name that is no token would break the head that they are written to.
fn response_headers(headers: Vec<peer::Header>) -> Result<Vec<Header>, WireError> {
    let headers = headers.into_iter().map(Header::from);
    let valid = headers.map(|header| match is_token(&header.name) {
        true => Ok(header),
        false => Err(WireError::OutOfRange("headers")),
    });
    valid.collect()
}

impl From<&Header> for peer::Header {
    fn from(header: &Header) -> Self {
        peer::Header {
            name: header.name.to_string(),
            value: header.value.to_vec(),
        }
    }
}

impl From<peer::Header> for Header {
    fn from(wire: peer::Header) -> Self {
        Header {
            name: wire.name.into(),
            value: wire.value.into(),
        }
    }
}

impl From<&Context> for peer::Context {
    fn from(context: &Context) -> Self {
        peer::Context {
            request_id: context.request_id.to_string(),
            customer: context.customer.to_string(),
            class: u32::from(context.class),
            rank: context.rank,
            share: context.share,
            retries: context.retries,
            depth: context.depth,
            remaining_micros: micros(context.remaining),
            idempotent: context.idempotent,
            waits: context.waits,
            key: context.key.as_deref().unwrap_or_default().to_owned(),
            digest: context.digest.to_le_bytes().to_vec(),
            epoch: context.epoch,
            home: context.home.as_deref().unwrap_or_default().to_owned(),
            attempt: context.attempt,
            suspects: crashes_to_wire(&context.crashes, false),
            cleared: crashes_to_wire(&context.crashes, true),
            repeated: context.repeated,
            retry_order: context.retry_order,
            ends_millis: context.ends_within.map(millis),
        }
    }
}

impl TryFrom<peer::Context> for Context {
    type Error = WireError;

    fn try_from(wire: peer::Context) -> Result<Self, WireError> {
        if wire.request_id.is_empty() {
            return Err(WireError::MissingField("request_id"));
        }
        Ok(Context {
            request_id: wire.request_id.into(),
            customer: wire.customer.into(),
            class: u8::try_from(wire.class).map_err(|_| WireError::OutOfRange("class"))?,
            rank: wire.rank,
            share: wire.share.max(1),
            retries: wire.retries,
            depth: wire.depth,
            remaining: Duration::from_micros(wire.remaining_micros),
            idempotent: wire.idempotent,
            waits: wire.waits,
            key: non_empty(wire.key),
            digest: digest(&wire.digest)?,
            epoch: wire.epoch,
            home: non_empty(wire.home),
            attempt: wire.attempt,
            crashes: crashes_from_wire(wire.suspects, wire.cleared),
            repeated: wire.repeated,
            retry_order: wire.retry_order,
            ends_within: wire.ends_millis.map(Duration::from_millis),
        })
    }
}

impl From<&Crash> for peer::Suspect {
    fn from(crash: &Crash) -> Self {
        peer::Suspect {
            fingerprint: crash.fingerprint,
            host: crash.host.to_string(),
            alone: crash.sole_suspect,
            crash: crash.number,
            on_trial: crash.on_trial,
            age_millis: millis(crash.age),
            answered_millis: crash.answered.map(millis),
            uptime_millis: crash.timing.map_or(0, |timing| millis(timing.uptime)),
            exposure_millis: crash.timing.map_or(0, |timing| millis(timing.exposure)),
        }
    }
}

impl From<peer::Suspect> for Crash {
    fn from(wire: peer::Suspect) -> Self {
        Crash {
            fingerprint: wire.fingerprint,
            host: wire.host.into(),
            sole_suspect: wire.alone,
            number: wire.crash,
            cleared: false,
            on_trial: wire.on_trial,
            timing: (wire.uptime_millis > 0).then_some(CrashTiming {
                uptime: Duration::from_millis(wire.uptime_millis),
                exposure: Duration::from_millis(wire.exposure_millis),
            }),
            age: Duration::from_millis(wire.age_millis),
            answered: wire.answered_millis.map(Duration::from_millis),
        }
    }
}

/// The crashes that are cleared, or those that are not. They are sent apart, as earlier versions know
/// only the latter.
pub fn crashes_to_wire(crashes: &[Crash], cleared: bool) -> Vec<peer::Suspect> {
    let chosen = crashes.iter().filter(|crash| crash.cleared == cleared);
    chosen.map(Into::into).collect()
}

/// Joins the crashes that are not cleared and those that are.
pub fn crashes_from_wire(suspects: Vec<peer::Suspect>, cleared: Vec<peer::Suspect>) -> Vec<Crash> {
    let cleared = cleared.into_iter().map(|wire| Crash {
        cleared: true,
        ..wire.into()
    });
    let suspects = suspects.into_iter().map(Crash::from);
    suspects.chain(cleared).collect()
}

impl From<&Pressure> for peer::Pressure {
    fn from(pressure: &Pressure) -> Self {
        let shedding = pressure.shedding.as_ref();
        peer::Pressure {
            service: pressure.service.to_string(),
            occupied: pressure.occupied,
            capacity: pressure.capacity,
            age_millis: u32::try_from(pressure.age.as_millis()).unwrap_or(u32::MAX),
            refused: pressure.refused,
            cutoff: pressure.cutoff,
            attempts: pressure.attempts,
            shed: shedding.map(|shedding| shedding.amount),
            shed_classes: shedding.map_or_else(Vec::new, |shedding| shedding.classes.clone()),
        }
    }
}

impl From<peer::Pressure> for Pressure {
    fn from(wire: peer::Pressure) -> Self {
        Pressure {
            service: wire.service.into(),
            occupied: wire.occupied,
            capacity: wire.capacity,
            age: Duration::from_millis(u64::from(wire.age_millis)),
            refused: wire.refused,
            cutoff: wire.cutoff,
            attempts: wire.attempts,
            shedding: wire.shed.map(|amount| Shedding {
                amount,
                classes: wire.shed_classes,
            }),
        }
    }
}

impl From<&Work> for peer::Work {
    fn from(work: &Work) -> Self {
        peer::Work {
            service: work.service.to_string(),
            micros: u32::try_from(work.time.as_micros()).unwrap_or(u32::MAX),
            calls: work.calls,
        }
    }
}

impl From<peer::Work> for Work {
    fn from(wire: peer::Work) -> Self {
        Work {
            service: wire.service.into(),
            time: Duration::from_micros(u64::from(wire.micros)),
            calls: wire.calls,
        }
    }
}

impl From<&RelayMessage> for peer::RelayRequest {
    fn from(message: &RelayMessage) -> Self {
        let call = &message.call;
        peer::RelayRequest {
            service: call.service.to_string(),
            method: call.method.to_string(),
            path: call.path.to_string(),
            headers: call.headers.iter().map(Into::into).collect(),
            body: call.body.to_vec(),
            context: Some((&message.context).into()),
            sender: 0,
            transmission: 0,
        }
    }
}

impl TryFrom<peer::RelayRequest> for RelayMessage {
    type Error = WireError;

    fn try_from(wire: peer::RelayRequest) -> Result<Self, WireError> {
        let context = wire.context.ok_or(WireError::MissingField("context"))?;
        if wire.service.is_empty() {
            return Err(WireError::MissingField("service"));
        }
        Ok(RelayMessage {
            call: Call {
                service: wire.service.into(),
                method: wire.method.into(),
                path: wire.path.into(),
                headers: wire.headers.into_iter().map(Into::into).collect(),
                body: wire.body.into(),
            },
            context: context.try_into()?,
        })
    }
}

impl From<Load> for peer::Load {
    fn from(load: Load) -> Self {
        peer::Load {
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            service_micros: micros(load.service_time),
            incarnation: load.incarnation,
            pace: load.pace.percent(),
            paced: load.paced,
            residence_micros: micros(load.residence),
        }
    }
}

impl From<peer::Load> for Load {
    fn from(wire: peer::Load) -> Self {
        Load {
            in_flight: wire.in_flight,
            limit: wire.limit,
            queued: wire.queued,
            service_time: Duration::from_micros(wire.service_micros),
            incarnation: wire.incarnation,
            pace: Pace::from_percent(wire.pace),
            paced: wire.paced,
            residence: Duration::from_micros(wire.residence_micros),
        }
    }
}

impl peer::RelayReply {
    /// Encodes the `reply` to the request `request_id`.
    pub fn new(request_id: &str, reply: Reply) -> peer::RelayReply {
        let mut wire = peer::RelayReply {
            request_id: request_id.to_owned(),
            retries_left: reply.retries_left,
            retried: reply.retried,
            load: reply.load.map(Into::into),
            suspects: crashes_to_wire(&reply.crashes, false),
            cleared: crashes_to_wire(&reply.crashes, true),
            pressures: reply.pressures.iter().map(Into::into).collect(),
            work: reply.work.iter().map(Into::into).collect(),
            ..Default::default()
        };
        match reply.outcome {
            Outcome::Answered(answer) => {
                wire.status = u32::from(answer.status);
                wire.headers = answer.headers.iter().map(Into::into).collect();
                wire.body = answer.body.to_vec();
            }
            Outcome::Refused(refusal) => {
                wire.kind = refusal.kind as u32;
                wire.ran = ran_number(refusal.ran);
                wire.retry_after_millis = refusal.retry_after.map_or(0, millis);
                wire.detail = refusal.detail.to_string();
            }
        }
        wire
    }

    /// Decodes the reply to the request `request_id`.
    ///
    /// # Errors
    /// The reply belongs to another request, or a field is outside its range.
    pub fn into_reply(self, request_id: &str) -> Result<Reply, WireError> {
        if self.request_id != request_id {
            return Err(WireError::RequestMismatch);
        }
        let load = self.load.map(Into::into);
        let outcome = if self.kind == 0 {
            Outcome::Answered(Answer {
                status: final_status(self.status)?,
                headers: response_headers(self.headers)?,
                body: self.body.into(),
            })
        } else {
            Outcome::Refused(Refusal {
                kind: Kind::from_number(self.kind).ok_or(WireError::OutOfRange("kind"))?,
                ran: ran_from_number(self.ran)?,
                retry_after: non_zero_millis(self.retry_after_millis),
                detail: self.detail.into(),
            })
        };
        Ok(Reply {
            outcome,
            retries_left: self.retries_left,
            retried: self.retried,
            load,
            crashes: crashes_from_wire(self.suspects, self.cleared),
            pressures: self.pressures.into_iter().map(Into::into).collect(),
            work: self.work.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&Member> for peer::Member {
    fn from(member: &Member) -> Self {
        peer::Member {
            host: member.host.to_string(),
            incarnation: member.incarnation,
            revision: member.revision,
            address: member.address.to_string(),
            data_centre: member.data_centre.to_string(),
            region: member.region.to_string(),
            service: member.service.to_string(),
            slots: member.slots,
            connections: member.connections,
            state: member.state.number(),
            instance: member.instance.to_string(),
            leaving: member.leaving,
            born: member.started_ms,
            rate_limit: member.rate_limit.map(Rate::millihertz),
        }
    }
}

impl TryFrom<peer::Member> for Member {
    type Error = WireError;

    fn try_from(wire: peer::Member) -> Result<Self, WireError> {
        if wire.host.is_empty() {
            return Err(WireError::MissingField("host"));
        }
        Ok(Member {
            host: wire.host.into(),
            incarnation: wire.incarnation,
            revision: wire.revision,
            address: wire.address.into(),
            data_centre: wire.data_centre.into(),
            region: wire.region.into(),
            service: wire.service.into(),
            slots: wire.slots,
            connections: wire.connections,
            state: State::from_number(wire.state).ok_or(WireError::OutOfRange("state"))?,
            instance: wire.instance.into(),
            leaving: wire.leaving,
            started_ms: wire.born,
            rate_limit: wire.rate_limit.map(Rate::from_millihertz),
        })
    }
}

fn ran_number(ran: Ran) -> u32 {
    match ran {
        Ran::No => 1,
        Ran::Yes => 2,
        Ran::Unknown => 3,
    }
}

fn ran_from_number(number: u32) -> Result<Ran, WireError> {
    match number {
        1 => Ok(Ran::No),
        2 => Ok(Ran::Yes),
        3 => Ok(Ran::Unknown),
        _ => Err(WireError::OutOfRange("ran")),
    }
}

fn digest(bytes: &[u8]) -> Result<u64, WireError> {
    let bytes = bytes
        .try_into()
        .map_err(|_| WireError::OutOfRange("digest"))?;
    Ok(u64::from_le_bytes(bytes))
}

fn non_empty(text: String) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}

fn non_zero_millis(millis: u64) -> Option<Duration> {
    (millis > 0).then(|| Duration::from_millis(millis))
}

/// At least one, since zero stands for no duration on the wire.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
