//! Teams and their API keys, as configured by operators.

use std::collections::BTreeMap;

use flamingopost_core::digest::Digest;
use flamingopost_core::limit::Limit;

/// The teams of a configuration.
///
/// Only digests of API keys are kept, so that no key can reach a log line or a server. A lookup
/// compares digests, and its duration tells nothing about a key.
///
/// ```
/// use flamingopost_core::digest::Digest;
/// use flamingopost_proxy::team::Directory;
///
/// let mut teams = Directory::default();
/// teams.insert("canning-agents", [Digest::of(b"k1"), Digest::of(b"k2")], None);
/// assert_eq!(teams.find(&Digest::of(b"k2")), Some("canning-agents"));
/// assert_eq!(teams.find(&Digest::of(b"canning-agents")), None, "a name is no key");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    by_key: BTreeMap<Digest, String>,
    limits: BTreeMap<String, Limit>,
}

impl Directory {
    /// Adds the team called `name` with the digests of its API keys, and how much it may ask.
    pub fn insert(
        &mut self,
        name: &str,
        keys: impl IntoIterator<Item = Digest>,
        limit: Option<Limit>,
    ) {
        for key in keys {
            self.by_key.insert(key, name.to_owned());
        }
        if let Some(limit) = limit {
            self.limits.insert(name.to_owned(), limit);
        }
    }

    /// Returns the name of the team whose API key has this digest.
    pub fn find(&self, key: &Digest) -> Option<&str> {
        self.by_key.get(key).map(String::as_str)
    }

    /// Returns how much the team called `name` may ask of all hosts together, or `None` if it is not
    /// limited.
    pub fn limit(&self, name: &str) -> Option<Limit> {
        self.limits.get(name).copied()
    }

    /// Returns the names of all teams that are limited.
    pub fn limited_teams(&self) -> impl Iterator<Item = &str> {
        self.limits.keys().map(String::as_str)
    }
}
