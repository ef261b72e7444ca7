//! Reports and grants on the wire.

use indigospur_protocol::{WireError, wire::peer};
use indigospur_quota::{QuotaGrant, QuotaReport, SlotSet, WorkspaceCounts, WorkspaceLimit};

fn report() -> QuotaReport {
    QuotaReport {
        from: "host-1".into(),
        incarnation: 1_700_000_000_000,
        sequence: 7,
        slots: SlotSet(0x8000_0001),
        counts: vec![WorkspaceCounts {
            name: "w".into(),
            asked: 30,
            admitted: 20,
            new_asked: 3,
            new_admitted: -2,
            debt: 1.5,
        }],
    }
}

fn grant() -> QuotaGrant {
    QuotaGrant {
        incarnation: 1,
        sequence: 7,
        slots: SlotSet(3),
        limits: vec![WorkspaceLimit {
            name: "w".into(),
            share: 0.25,
            level: -3.5,
        }],
    }
}

/// Guards against a field that is lost or swapped on the way.
#[test]
fn reports_and_grants_are_the_same_after_the_wire() {
    let received = QuotaReport::try_from(peer::QuotaReport::from(&report()));
    assert_eq!(received, Ok(report()));
    let received = QuotaGrant::try_from(peer::QuotaGrant::from(&grant()));
    assert_eq!(received, Ok(grant()));
}

/// Guards against numbers that would leave a token bucket unusable, such as a debt that is not a number.
#[test]
fn numbers_without_meaning_are_rejected() {
    for debt in [f32::NAN, f32::INFINITY, -1.0] {
        let mut wire = peer::QuotaReport::from(&report());
        wire.counts[0].debt = debt;
        let expected = Err(WireError::OutOfRange("debt"));
        assert_eq!(QuotaReport::try_from(wire), expected, "{debt}");
    }
    let mut wire = peer::QuotaReport::from(&report());
    wire.from.clear();
    let expected = Err(WireError::MissingField("from"));
    assert_eq!(QuotaReport::try_from(wire), expected);
    for share in [f32::NAN, -0.1, 1.1] {
        let mut wire = peer::QuotaGrant::from(&grant());
        wire.limits[0].share = share;
        let expected = Err(WireError::OutOfRange("share"));
        assert_eq!(QuotaGrant::try_from(wire), expected, "{share}");
    }
    for level in [f32::NAN, f32::NEG_INFINITY] {
        let mut wire = peer::QuotaGrant::from(&grant());
        wire.limits[0].level = level;
        let expected = Err(WireError::OutOfRange("level"));
        assert_eq!(QuotaGrant::try_from(wire), expected, "{level}");
    }
}
