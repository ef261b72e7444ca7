//! Workspaces: callers that identify themselves by a key, with a class and a quota of their own.

use indigospur_protocol::Class;
use sha2::{Digest, Sha256};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Prefix of a digest in its text form.
const DIGEST_PREFIX: &str = "sha256:";

/// SHA-256 digest of a caller's key. Keys themselves are never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Computes the digest of a key that a caller may send: 1 to 256 bytes of printable ASCII without
    /// spaces. `None` for any other.
    pub fn of_valid(key: &[u8]) -> Option<KeyDigest> {
        let is_valid =
            (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
        is_valid.then(|| KeyDigest::of(key))
    }

    /// Creates a digest from its bytes, as in a rule set.
    pub fn from_bytes(bytes: [u8; 32]) -> KeyDigest {
        KeyDigest(bytes)
    }

    /// Reads a digest from its text form, `sha256:` and 64 hexadecimal digits. `None` for any other
    /// text.
    pub fn from_text(text: &str) -> Option<KeyDigest> {
        let digits = text.strip_prefix(DIGEST_PREFIX)?.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let value = |digit: u8| char::from(digit).to_digit(16);
            *byte = (value(pair[0])? * 16 + value(pair[1])?) as u8;
        }
        Some(KeyDigest(bytes))
    }

    /// Returns the text form, which [`KeyDigest::from_text`] reads.
    pub fn to_text(&self) -> String {
        let digits = self.0.iter().map(|byte| format!("{byte:02x}"));
        std::iter::once(DIGEST_PREFIX.to_owned())
            .chain(digits)
            .collect()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests of a workspace, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second; positive and finite.
    pub rate: f64,
    /// Requests that may come at once on top of the rate; not negative, and finite.
    pub burst: f64,
}

/// A caller that is identified by its keys. Its name is the customer of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, unique in the rule set; [`Workspace::is_valid_name`] holds.
    pub name: Arc<str>,
    /// Class of its requests in place of the class that their rule assigns.
    pub class: Option<Class>,
    /// Limit on its requests; `None` if they are not limited.
    pub quota: Option<Quota>,
}

impl Workspace {
    /// Whether a name can be sent in an HTTP header: it is not empty, has no control characters, and
    /// neither begins nor ends with white space.
    pub fn is_valid_name(name: &str) -> bool {
        !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
    }
}

/// The workspaces of a rule set, by name and by key.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_name: HashMap<Arc<str>, Arc<Workspace>>,
    /// Holds no key that is shared.
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    /// Keys that several workspaces list, so that they identify none of them.
    shared: HashSet<KeyDigest>,
    /// Whether callers need a key even if there is no workspace.
    keys_required: bool,
}

impl Workspaces {
    /// Adds a workspace with its keys. Returns whether its name is new and all its keys are its own; a
    /// second workspace of the same name is left out, and shared keys identify no workspace.
    pub fn insert(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> bool {
        if self.by_name.contains_key(&workspace.name) {
            return false;
        }
        let workspace = Arc::new(workspace);
        let mut is_valid = true;
        for key in keys {
            let holder = self.by_key.get(&key);
            if holder.is_some_and(|holder| holder.name != workspace.name) {
                self.by_key.remove(&key);
                self.shared.insert(key);
            }
            if self.shared.contains(&key) {
                is_valid = false;
            } else {
                self.by_key.insert(key, workspace.clone());
            }
        }
        self.by_name.insert(workspace.name.clone(), workspace);
        is_valid
    }

    /// Makes callers need a key even if no workspace is added. For a configuration whose workspaces are
    /// all invalid, which must not let callers in without a key.
    pub fn require_keys(&mut self) {
        self.keys_required = true;
    }

    /// Whether the rule set has no workspaces, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty() && !self.keys_required
    }

    /// The workspace that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// The workspace with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// All workspaces, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }
}
