//! Messages between daemons: encoding and decoding preserves them, and malformed ones are rejected.

use indigospur_protocol::wire::peer;
use indigospur_protocol::{
    Call, Context, Crash, KINDS, Kind, Outcome, Pressure, Ran, Refusal, RelayMessage, Reply,
    WireError, Work,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use std::time::Duration;

fn crash(number: u64, sole_suspect: bool) -> Crash {
    Crash {
        fingerprint: 9,
        host: "accounts-1".into(),
        number,
        sole_suspect,
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

#[test]
fn a_reply_carries_crashes_occupancy_and_slot_time() {
    let sent = Reply {
        crashes: vec![crash(1, false), crash(2, true)],
        pressures: vec![Pressure {
            service: "accounts".into(),
            occupied: 50,
            capacity: 36,
            age: Duration::from_millis(30),
            refused: Some(550),
            cutoff: Some((1 << 32) | 5),
            attempts: 120,
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
