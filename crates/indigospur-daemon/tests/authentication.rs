//! Reading of credentials, and the decision whether a request may run without a known key.

use indigospur_daemon::{AuthenticationError, CallerIdentity, Credential, LastContact, Moment};
use indigospur_protocol::{Header, Kind};
use indigospur_rules::{KeyDigest, Workspace, Workspaces};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn header(name: &str, value: &[u8]) -> Header {
    Header {
        name: name.into(),
        value: value.into(),
    }
}

fn workspaces() -> Workspaces {
    let mut workspaces = Workspaces::default();
    for (name, keys) in [
        ("norte", &[b"norte-1", b"norte-2", b"shared!"]),
        ("sul", &[b"sul-one", b"sul-two", b"shared!"]),
    ] {
        let workspace = Workspace {
            name: name.into(),
            class: None,
            quota: None,
        };
        workspaces.insert(workspace, keys.iter().map(|key| KeyDigest::of(*key)));
    }
    workspaces
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

/// A malformed credential that is read as a key, or a valid one that is not, gives a wrong 401 or none.
#[test]
fn a_credential_is_a_key_only_in_one_valid_header_of_the_scheme() {
    let longest = "k".repeat(256);
    let cases: &[(&[&[u8]], Credential)] = &[
        (&[], Credential::Absent),
        (&[b"Bearer key-1"], key("key-1")),
        (&[b"bearer   key-1 "], key("key-1")),
        (&[b"BEARER ~!\"#,"], key("~!\"#,")),
        (&[b"Bearer key-1", b"Bearer key-1"], Credential::Malformed),
        (&[b"Bearer key-1", b""], Credential::Malformed),
        (&[b""], Credential::Malformed),
        (&[b"Bearer"], Credential::Malformed),
        (&[b"Bearer "], Credential::Malformed),
        (&[b"Bearerkey-1"], Credential::Malformed),
        (&[b"Bearer\tkey-1"], Credential::Malformed),
        (&[b"Basic key-1"], Credential::Malformed),
        (&[b"key-1"], Credential::Malformed),
        (&[b"Bearer key 1"], Credential::Malformed),
        (&[b"Bearer key-1, Bearer key-2"], Credential::Malformed),
        (&[b"Bearer key\x001"], Credential::Malformed),
        (&[b"Bearer key\x7f"], Credential::Malformed),
        (&[b"Bearer k\xc3\xa9y"], Credential::Malformed),
    ];
    for (values, expected) in cases {
        let mut headers = vec![header("x-other", b"Bearer key-9")];
        headers.extend(values.iter().map(|value| header("authorization", value)));
        assert_eq!(
            Credential::read(&headers, "Bearer"),
            *expected,
            "{headers:?}"
        );
    }
    let of_length = |key: &str| {
        let value = format!("Bearer {key}");
        Credential::read(&[header("authorization", value.as_bytes())], "Bearer")
    };
    assert_eq!(of_length(&longest), key(&longest));
    assert_eq!(of_length(&format!("{longest}k")), Credential::Malformed);
}

/// A caller without a known key that is let in, or a nested call that is refused, breaks K1 or K4.
#[test]
fn only_callers_without_a_known_key_are_refused_and_only_where_the_rule_is_not_public() {
    use AuthenticationError::{MalformedKey, NoKey, UnknownKey};
    let cases: &[(Credential, bool, Option<&str>, Option<AuthenticationError>)] = &[
        (key("norte-1"), false, Some("norte"), None),
        (key("norte-2"), false, Some("norte"), None),
        (key("sul-one"), false, Some("sul"), None),
        (key("shared!"), false, None, Some(UnknownKey)),
        (key("Norte-1"), false, None, Some(UnknownKey)),
        (Credential::Absent, false, None, Some(NoKey)),
        (Credential::Malformed, false, None, Some(MalformedKey)),
        (key("norte-1"), true, None, None),
        (key("other"), true, None, None),
        (Credential::Absent, true, None, None),
        (Credential::Malformed, true, None, None),
    ];
    for (credential, is_nested, workspace, error) in cases {
        let caller = CallerIdentity::new(&workspaces(), *credential, *is_nested);
        let found = caller.workspace().map(|workspace| &*workspace.name);
        assert_eq!(found, *workspace, "{caller:?}");
        assert_eq!(caller.authorize(false).err(), *error, "{caller:?}");
        assert_eq!(caller.authorize(true), Ok(()), "{caller:?}");
    }
}

#[test]
fn without_workspaces_no_request_needs_a_key_and_no_key_identifies_a_caller() {
    for credential in [Credential::Absent, Credential::Malformed, key("norte-1")] {
        let caller = CallerIdentity::new(&Workspaces::default(), credential, false);
        assert_eq!(caller, CallerIdentity::Unchecked);
        assert_eq!(caller.authorize(false), Ok(()));
    }
}

/// A configuration whose workspaces are all invalid would otherwise open every rule to everyone.
#[test]
fn callers_need_a_key_where_workspaces_are_configured_but_none_is_valid() {
    let mut workspaces = Workspaces::default();
    workspaces.require_keys();
    let caller = CallerIdentity::new(&workspaces, key("norte-1"), false);
    assert_eq!(
        caller.authorize(false),
        Err(AuthenticationError::UnknownKey)
    );
}

/// A key must not show in a log line that has a credential or an identity in it.
#[test]
fn debug_output_has_neither_keys_nor_digests() {
    let credential = key("norte-1");
    let digest = KeyDigest::of(b"norte-1").to_text();
    let text = format!("{credential:?} {:?}", workspaces());
    assert!(!text.contains("norte-1") && !text.contains(&digest["sha256:".len()..][..8]));
    let caller = CallerIdentity::new(&workspaces(), credential, false);
    let workspace: Option<&Arc<Workspace>> = caller.workspace();
    assert!(workspace.is_some());
    assert!(!format!("{caller:?}").contains("norte-1"));
}

/// A host that is cut off would answer 401 to every request with a key that was added since.
#[test]
fn only_an_unknown_key_at_a_daemon_that_is_cut_off_is_refused_as_not_ready() {
    use AuthenticationError::{MalformedKey, NoKey, UnknownKey};
    for (error, expected) in [
        (NoKey, Kind::Unauthenticated),
        (MalformedKey, Kind::Unauthenticated),
        (UnknownKey, Kind::NotReady),
    ] {
        assert_eq!(error.kind(true), expected, "{error:?}");
        assert_eq!(error.kind(false), Kind::Unauthenticated, "{error:?}");
    }
}

#[test]
fn contact_is_lost_when_nothing_was_heard_for_as_long_as_a_version_takes_to_be_in_force() {
    let start = Instant::now();
    let after = |millis, suspended| Moment {
        instant: start + Duration::from_millis(millis),
        suspended: Duration::from_millis(suspended),
    };
    let mut contact = LastContact::default();
    assert!(contact.is_lost(after(0, 0)), "there was none yet");
    contact.record(after(0, 0));
    assert!(!contact.is_lost(after(2_499, 0)));
    assert!(contact.is_lost(after(2_500, 0)));
    contact.record(after(2_000, 0));
    assert!(!contact.is_lost(after(4_499, 0)));
    // A host that was suspended has missed what others heard meanwhile.
    assert!(contact.is_lost(after(2_001, 60_000)));
}
