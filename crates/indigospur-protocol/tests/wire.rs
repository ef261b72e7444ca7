//! Messages between daemons: encoding and decoding preserves them, and malformed ones are rejected.

use indigospur_protocol::wire::peer;
use indigospur_protocol::{
    Call, Context, Crash, CrashTiming, KINDS, Kind, Load, Outcome, Pace, Pressure, Ran, Refusal,
    RelayMessage, Reply, Shedding, WireError, Work,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use std::time::Duration;

fn crash(number: u64, sole_suspect: bool) -> Crash {
    Crash {
        cleared: number.is_multiple_of(2),
        on_trial: number.is_multiple_of(7),
        timing: number.is_multiple_of(3).then_some(CrashTiming {
            uptime: Duration::from_millis(900),
            exposure: Duration::from_millis(20),
        }),
        age: Duration::from_millis(number),
        answered: number.is_multiple_of(5).then_some(Duration::from_millis(7)),
        ..Crash::new(9, &"accounts-1".into(), number, sole_suspect)
    }
}

fn message(path: &str, class: u8, key: Option<&str>) -> RelayMessage {
    let call = Call {
        service: "contracts".into(),
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        body: path.as_bytes().into(),
    };
    let context = Context {
        request_id: "r".into(),
        customer: "c".into(),
        class,
        rank: 7,
        share: 1,
        retries: 2,
        depth: 1,
        remaining: Duration::from_millis(5),
        idempotent: key.is_none(),
        waits: false,
        key: key.map(Into::into),
        digest: 9,
        epoch: 3,
        home: key.map(|_| "h".into()),
        attempt: 0,
        crashes: vec![crash(7, true)],
        repeated: key.is_some(),
        retry_order: (u64::from(class) << 32) | 5,
        ends_within: key.map(|_| Duration::from_millis(700)),
    };
    RelayMessage { call, context }
}

#[test]
fn kinds_are_ordered_by_number_and_have_unique_names() {
    for (index, info) in KINDS.iter().enumerate() {
        assert_eq!(info.kind as usize, index + 1, "{}", info.name);
        assert_eq!(Kind::from_number(info.kind as u32), Some(info.kind));
        assert_eq!(Kind::from_name(info.name), Some(info.kind));
    }
    assert_eq!(Kind::from_number(0), None);
    assert_eq!(Kind::from_number(KINDS.len() as u32 + 1), None);
}

#[test]
fn a_reply_to_another_request_is_rejected() {
    let refusal = Refusal {
        ran: Ran::No,
        ..Refusal::new(Kind::Draining, "x")
    };
    let wire = peer::RelayReply::new("mine", Reply::refused(refusal.clone(), 1));
    assert_eq!(
        wire.clone().into_reply("other"),
        Err(WireError::RequestMismatch)
    );
    let reply = wire
        .into_reply("mine")
        .expect("the request identifier matches");
    assert_eq!(reply.outcome, Outcome::Refused(refusal));
}

/// A wrong figure of a backend server must not move all calls to it or away from it.
#[test]
fn a_pace_that_is_not_valid_counts_as_usual() {
    for percent in [0, 1, 24, 1_001, u32::MAX] {
        assert_eq!(Pace::from_percent(percent), Pace::USUAL, "{percent}");
    }
    for percent in [25, 100, 250, 1_000] {
        assert_eq!(Pace::from_percent(percent).percent(), percent);
    }
    for (factor, percent) in [
        (0.01, 25),
        (2.5, 250),
        (400.0, 1_000),
        (f64::INFINITY, 1_000),
    ] {
        assert_eq!(Pace::from_factor(factor).percent(), percent);
    }
}

/// Daemons of the version before leave out pace and residence time.
#[test]
fn a_load_without_a_pace_has_the_usual_one() {
    let load: Load = peer::Load::default().into();
    assert_eq!((load.pace, load.residence), (Pace::USUAL, Duration::ZERO));
}

#[test]
fn a_reply_carries_load_crashes_occupancy_and_slot_time() {
    let sent = Reply {
        load: Some(Load {
            in_flight: 3,
            limit: 10,
            queued: 1,
            service_time: Duration::from_millis(54),
            incarnation: 7,
            pace: Pace::from_percent(250),
            paced: true,
            residence: Duration::from_micros(61_300),
        }),
        crashes: vec![crash(1, false), crash(2, true)],
        pressures: vec![Pressure {
            service: "accounts".into(),
            occupied: 50,
            capacity: 36,
            age: Duration::from_millis(30),
            refused: Some(550),
            cutoff: Some((1 << 32) | 5),
            attempts: 120,
            shedding: Some(Shedding {
                amount: 1_500,
                classes: vec![0, 2],
            }),
        }],
        work: vec![Work {
            service: "accounts".into(),
            time: Duration::from_millis(240),
            calls: 4,
        }],
        ..Reply::refused(Refusal::new(Kind::BackendLost, "gone"), 0)
    };
    let wire = peer::RelayReply::new("r", sent.clone());
    let bytes = wire.encode_to_vec();
    let wire = peer::RelayReply::decode(bytes.as_slice()).expect("valid encoding");
    assert_eq!(wire.into_reply("r"), Ok(sent));
}

/// A report in the format of c0d2445, encoded by hand: service "accounts", 50 calls of 36, 30 ms old, 550 of 1,000 refused, a
/// cutoff, 120 attempts.
const EARLIER_REPORT: [u8; 27] = [
    0x0a, 0x08, b'a', b'c', b'c', b'o', b'u', b'n', b't', b's', 0x10, 0x32, 0x18, 0x24, 0x20, 0x1e,
    0x28, 0xa6, 0x04, 0x30, 0x85, 0x80, 0x80, 0x80, 0x10, 0x38, 0x78,
];

/// The fields of a report that c0d2445 knows.
#[derive(Clone, PartialEq, prost::Message)]
struct EarlierPressure {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    occupied: u32,
    #[prost(uint32, tag = "3")]
    capacity: u32,
    #[prost(uint32, tag = "4")]
    age_millis: u32,
    #[prost(uint32, optional, tag = "5")]
    refused: Option<u32>,
    #[prost(uint64, optional, tag = "6")]
    cutoff: Option<u64>,
    #[prost(uint32, tag = "7")]
    attempts: u32,
}

/// Guards against a fleet in which daemons of two builds misread each other's reports while hosts are
/// replaced one after the other.
#[test]
fn reports_pass_between_this_build_and_the_one_before() {
    let wire = peer::Pressure::decode(EARLIER_REPORT.as_slice()).expect("valid encoding");
    let received = Pressure::from(wire);
    assert_eq!((received.occupied, received.attempts), (50, 120));
    assert_eq!(received.shedding, None);
    let sent = Pressure {
        shedding: Some(Shedding {
            amount: 400,
            classes: vec![1],
        }),
        ..received
    };
    let bytes = peer::Pressure::from(&sent).encode_to_vec();
    let earlier = EarlierPressure::decode(bytes.as_slice()).expect("valid encoding");
    assert_eq!(
        (
            &*earlier.service,
            earlier.occupied,
            earlier.capacity,
            earlier.age_millis
        ),
        ("accounts", 50, 36, 30)
    );
    assert_eq!(
        (earlier.refused, earlier.cutoff, earlier.attempts),
        (Some(550), Some((1 << 32) | 5), 120)
    );
}

#[test]
fn a_reply_with_an_invalid_status_or_header_name_is_rejected() {
    let decode = |status: u32, name: &str| {
        let header = peer::Header {
            name: name.to_owned(),
            value: b"z".to_vec(),
        };
        let reply = peer::RelayReply {
            request_id: "r".to_owned(),
            status,
            headers: vec![header],
            ..Default::default()
        };
        reply.into_reply("r").map(|reply| reply.outcome)
    };
    for status in [0, 99, 100, 101, 199, 600, 999, 65_736] {
        let rejected = Err(WireError::OutOfRange("status"));
        assert_eq!(decode(status, "x"), rejected, "{status}");
    }
    for name in ["", "x y", "x\ty", "x:", "x\r\ny", "x\u{1}", "x\0", "\u{e9}"] {
        let rejected = Err(WireError::OutOfRange("headers"));
        assert_eq!(decode(200, name), rejected, "{name:?}");
    }
    for status in [200, 304, 404, 503, 599] {
        let decoded = decode(status, "x!#$%&'*+-.^_`|~9");
        let Ok(Outcome::Answered(answer)) = decoded else {
            panic!("status {status} is rejected: {decoded:?}");
        };
        assert_eq!(u32::from(answer.status), status);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_relayed_call_is_decoded_as_it_was_encoded(path in "/[a-z]{0,9}", class in any::<u8>(), has_key in any::<bool>()) {
        let sent = message(&path, class, has_key.then_some("k"));
        let bytes = peer::RelayRequest::from(&sent).encode_to_vec();
        let wire = peer::RelayRequest::decode(bytes.as_slice()).expect("valid encoding");
        prop_assert_eq!(RelayMessage::try_from(wire), Ok(sent));
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(wire) = peer::RelayRequest::decode(bytes.as_slice()) {
            let _ = RelayMessage::try_from(wire);
        }
        if let Ok(wire) = peer::RelayReply::decode(bytes.as_slice()) {
            let _ = wire.into_reply("r");
        }
        if let Ok(wire) = peer::GossipMessage::decode(bytes.as_slice()) {
            let _: Result<Vec<indigospur_protocol::Member>, _> =
                wire.members.into_iter().map(TryInto::try_into).collect();
        }
    }
}
