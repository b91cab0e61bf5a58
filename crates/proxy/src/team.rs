//! Teams and their API keys, as configured by operators.

use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::digest::Digest;
use flamingopost_core::limit::Limit;

/// Number of teams that metrics name, so that their number of series is bounded.
const NAMED_TEAMS: usize = 20;

/// Label of all other teams in metrics.
pub const OTHER_TEAMS: &str = "other";

/// A team in the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Digests of its API keys.
    pub keys: Vec<Digest>,
    /// How much it may ask of all hosts together, or `None` if it is not limited.
    pub limit: Option<Limit>,
}

/// The teams of a configuration.
///
/// Only digests of API keys are kept, so that no key can reach a log line or a server. A lookup
/// compares digests, and its duration tells nothing about a key.
///
/// ```
/// use flamingopost_core::digest::Digest;
/// use flamingopost_proxy::team::{Directory, Team};
///
/// let keys = vec![Digest::of(b"k1"), Digest::of(b"k2")];
/// let team = Team { name: "canning-agents".to_owned(), keys, limit: None };
/// let teams = Directory::new(vec![team]);
/// assert_eq!(teams.find(&Digest::of(b"k2")), Some("canning-agents"));
/// assert_eq!(teams.find(&Digest::of(b"canning-agents")), None, "a name is no key");
/// assert_eq!(teams.label("canning-agents"), "canning-agents");
/// assert_eq!(teams.label("unknown"), "other");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    by_key: BTreeMap<Digest, String>,
    limits: BTreeMap<String, Limit>,
    /// The teams that may ask the most, which metrics name.
    named: BTreeSet<String>,
}

impl Directory {
    /// Creates the directory of `teams`.
    pub fn new(mut teams: Vec<Team>) -> Directory {
        let mut directory = Directory::default();
        // Teams without a limit may ask the most.
        teams.sort_by_key(|team| {
            let rate = team.limit.map_or(u32::MAX, |limit| limit.per_second);
            std::cmp::Reverse(rate)
        });
        for (place, team) in teams.into_iter().enumerate() {
            let Team { name, keys, limit } = team;
            for key in keys {
                directory.by_key.insert(key, name.clone());
            }
            if place < NAMED_TEAMS {
                directory.named.insert(name.clone());
            }
            if let Some(limit) = limit {
                directory.limits.insert(name, limit);
            }
        }
        directory
    }

    /// Creates a directory from the teams by the digests of their API keys, the limits of teams,
    /// and the teams that metrics name.
    pub fn from_parts(
        by_key: BTreeMap<Digest, String>,
        limits: BTreeMap<String, Limit>,
        named: BTreeSet<String>,
    ) -> Directory {
        Directory {
            by_key,
            limits,
            named,
        }
    }

    /// Returns the digests of all API keys, and the team of each.
    pub fn keys(&self) -> impl Iterator<Item = (&Digest, &str)> {
        self.by_key.iter().map(|(key, team)| (key, team.as_str()))
    }

    /// Returns the teams that metrics name.
    pub fn named(&self) -> &BTreeSet<String> {
        &self.named
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

    /// Returns the label of the team called `name` in metrics.
    pub fn label<'a>(&'a self, name: &str) -> &'a str {
        self.named.get(name).map_or(OTHER_TEAMS, String::as_str)
    }
}
