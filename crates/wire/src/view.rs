//! Encoding of a shard's view.

use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::directory::Directory;
use flamingopost_core::history::History;
use flamingopost_core::term::{self, Term};
use flamingopost_core::view;
use serde::{Deserialize, Serialize};

/// Version of a shard's view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Epoch of the controller's authority.
    pub epoch: u32,
    /// Number of changes in that epoch.
    pub change: u64,
}

/// The services of one shard at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Version of the view.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// State of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Newest term of the service.
    pub term: String,
    /// The primary of that term; absent while the term is closed.
    pub primary: Option<String>,
    /// First log position of each term.
    pub history: BTreeMap<String, u64>,
    /// Servers that are being drained and receive no new work.
    pub leaving: BTreeSet<String>,
}

/// Error in a view received from another process.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// {0}
    Term(term::ParseError),
    /// view of service {0} names no term start
    NoHistory(String),
}

impl std::error::Error for Error {}

impl From<term::ParseError> for Error {
    fn from(error: term::ParseError) -> Error {
        Error::Term(error)
    }
}

impl From<view::Version> for Version {
    fn from(version: view::Version) -> Version {
        Version {
            epoch: version.epoch,
            change: version.change,
        }
    }
}

impl From<Version> for view::Version {
    fn from(version: Version) -> view::Version {
        view::Version {
            epoch: version.epoch,
            change: version.change,
        }
    }
}

impl Shard {
    /// Encodes `shard` with the names in `directory`.
    pub fn encode(shard: &view::Shard, directory: &Directory) -> Shard {
        let services = shard
            .services
            .iter()
            .filter_map(|(key, service)| {
                let name = directory.services.name(*key)?.to_owned();
                Some((name, Service::encode(service, directory)))
            })
            .collect();
        Shard {
            version: shard.version.into(),
            services,
        }
    }

    /// Decodes the view. Unknown names are added to `directory`.
    ///
    /// # Errors
    /// Returns an error if a term cannot be parsed.
    pub fn decode(&self, directory: &mut Directory) -> Result<view::Shard, Error> {
        let mut services = BTreeMap::new();
        for (name, service) in &self.services {
            let key = directory.services.intern(name);
            services.insert(key, service.decode(directory)?);
        }
        Ok(view::Shard {
            version: self.version.into(),
            services,
        })
    }
}

impl Service {
    fn encode(service: &view::Service, directory: &Directory) -> Service {
        let server = |key| directory.servers.name(key).map(str::to_owned);
        let (term, primary) = match service.state {
            view::State::Open { term, primary } => (term, server(primary)),
            view::State::Closed { term } => (term, None),
        };
        Service {
            term: term.to_string(),
            primary,
            history: service
                .history
                .starts()
                .map(|(t, start)| (t.to_string(), start))
                .collect(),
            leaving: service
                .leaving
                .iter()
                .filter_map(|key| server(*key))
                .collect(),
        }
    }

    fn decode(&self, directory: &mut Directory) -> Result<view::Service, Error> {
        let term: Term = self.term.parse()?;
        let state = match &self.primary {
            Some(name) => view::State::Open {
                term,
                primary: directory.servers.intern(name),
            },
            None => view::State::Closed { term },
        };
        let mut history = History::default();
        for (term, start) in &self.history {
            history.open(term.parse()?, *start);
        }
        let leaving = self
            .leaving
            .iter()
            .map(|name| directory.servers.intern(name))
            .collect();
        Ok(view::Service {
            state,
            history,
            leaving,
        })
    }
}
