//! Decides which workspace a request belongs to, and whether it may run without a key.

use displaydoc::Display;
use indigospur_protocol::{Header, Kind, headers};
use indigospur_rules::{KeyDigest, Workspace, Workspaces};
use std::sync::Arc;

/// Credential that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has none.
    #[default]
    Absent,
    /// The request has several, or one that is not a key.
    Malformed,
    /// Digest of the key.
    Key(KeyDigest),
}

impl Credential {
    /// Reads the credential from the `Authorization` headers of a request, whose names are in lower
    /// case. `scheme` is the only authentication scheme that is accepted, in any case of its letters.
    pub fn read(headers: &[Header], scheme: &str) -> Credential {
        let mut found = headers
            .iter()
            .filter(|header| &*header.name == headers::AUTHORIZATION);
        let Some(header) = found.next() else {
            return Credential::Absent;
        };
        if found.next().is_some() {
            return Credential::Malformed;
        }
        let value = header.value.trim_ascii();
        let key = value
            .split_at_checked(scheme.len())
            .filter(|(start, rest)| {
                start.eq_ignore_ascii_case(scheme.as_bytes()) && rest.starts_with(b" ")
            })
            .and_then(|(_, rest)| KeyDigest::of_valid(rest.trim_ascii_start()));
        key.map_or(Credential::Malformed, Credential::Key)
    }
}

/// Why a request has no workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum AuthenticationError {
    /// the request has no key
    NoKey,
    /// the credential of the request is malformed
    MalformedKey,
    /// the key of the request is not known
    UnknownKey,
}

impl std::error::Error for AuthenticationError {}

impl AuthenticationError {
    /// The refusal kind. A daemon that is cut off can't tell a wrong key from one that was added
    /// meanwhile, and has the caller try another host.
    pub fn kind(self, is_cut_off: bool) -> Kind {
        match self {
            AuthenticationError::UnknownKey if is_cut_off => Kind::NotReady,
            _ => Kind::Unauthenticated,
        }
    }
}

/// On whose behalf a request is made, as far as keys tell.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The rule set has no workspaces, so that keys mean nothing.
    Unchecked,
    /// A backend server made the request during another, from which it inherits.
    Nested,
    /// The caller has a key of this workspace.
    Workspace(Arc<Workspace>),
    /// The caller has no key of any workspace.
    Unknown(AuthenticationError),
}

impl CallerIdentity {
    /// Identifies the sender of a request. `is_nested` says that the request refers to a parent call,
    /// whether or not that is known here.
    pub fn new(workspaces: &Workspaces, credential: Credential, is_nested: bool) -> CallerIdentity {
        if workspaces.is_empty() {
            return CallerIdentity::Unchecked;
        }
        if is_nested {
            return CallerIdentity::Nested;
        }
        match credential {
            Credential::Absent => CallerIdentity::Unknown(AuthenticationError::NoKey),
            Credential::Malformed => CallerIdentity::Unknown(AuthenticationError::MalformedKey),
            Credential::Key(key) => match workspaces.find(&key) {
                Some(workspace) => CallerIdentity::Workspace(workspace.clone()),
                None => CallerIdentity::Unknown(AuthenticationError::UnknownKey),
            },
        }
    }

    /// The workspace whose key the caller has.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            CallerIdentity::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// Checks that the request may run on a rule; `is_public` says that the rule needs no key.
    ///
    /// # Errors
    /// Why the request has no workspace.
    pub fn authorize(&self, is_public: bool) -> Result<(), AuthenticationError> {
        match self {
            CallerIdentity::Unknown(error) if !is_public => Err(*error),
            _ => Ok(()),
        }
    }
}
