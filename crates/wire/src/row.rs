//! JSON body of a shard's row in the table service.

use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::directory::Directory;
use flamingopost_core::history::History;
use flamingopost_core::position::{self, Position};
use flamingopost_core::row;
use flamingopost_core::term::{self, Term};
use flamingopost_core::view::State;
use serde::{Deserialize, Serialize};

/// The row of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Epoch of the controller's authority.
    pub epoch: u32,
    /// Number of changes since the row was created.
    pub revision: u64,
    /// Host of the controller.
    pub controller: String,
    /// Incarnation of the controller's process.
    pub incarnation: u64,
    /// Hosts of the standbys.
    pub standbys: BTreeSet<String>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// Recorded state of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Newest term of the service.
    pub term: String,
    /// Whether that term is open; otherwise a promotion is in progress.
    pub open: bool,
    /// The primary of that term; absent before the first.
    pub primary: Option<String>,
    /// First log position of each term in the history of the newest one.
    pub history: BTreeMap<String, u64>,
    /// Origin of every term that was ever opened.
    pub origins: BTreeMap<String, Origin>,
    /// Losses of promotions.
    #[serde(default)]
    pub losses: Vec<Loss>,
}

/// Where a term began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The term whose log it continues; absent for the first term.
    pub parent: Option<String>,
    /// Log position at which the term began.
    pub start: u64,
}

/// Acknowledged writes that a promotion lost or may have lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The term that the promotion opened.
    pub opened: String,
    /// Where that term began.
    pub start: u64,
    /// Highest position known to have been acknowledged, if it is past `start`.
    pub acknowledged: Option<String>,
    /// Whether every lease holder reported its acknowledged positions.
    pub complete: bool,
}

/// Error in a row.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// {0}
    Term(term::ParseError),
    /// {0}
    Position(position::ParseError),
    /// service {0} is open and names no primary
    NoPrimary(String),
    /// a name of the row is not known to this process
    NoName,
}

impl std::error::Error for Error {}

impl From<term::ParseError> for Error {
    fn from(error: term::ParseError) -> Error {
        Error::Term(error)
    }
}

impl From<position::ParseError> for Error {
    fn from(error: position::ParseError) -> Error {
        Error::Position(error)
    }
}

impl Row {
    /// Encodes `row` with the names in `directory`.
    ///
    /// # Errors
    /// Returns an error if `directory` has no name for a key. Omitting the key would lose a service
    /// or a standby.
    pub fn encode(row: &row::Row, directory: &Directory) -> Result<Row, Error> {
        let host = |key| directory.hosts.name(key).map(str::to_owned);
        let mut standbys = BTreeSet::new();
        for standby in &row.standbys {
            standbys.insert(host(*standby).ok_or(Error::NoName)?);
        }
        let mut services = BTreeMap::new();
        for (key, service) in &row.services {
            let name = directory.services.name(*key).ok_or(Error::NoName)?;
            services.insert(name.to_owned(), Service::encode(service, directory)?);
        }
        Ok(Row {
            epoch: row.epoch,
            revision: row.revision,
            controller: host(row.controller).ok_or(Error::NoName)?,
            incarnation: row.incarnation,
            standbys,
            services,
        })
    }

    /// Decodes the row. Unknown names are added to `directory`.
    ///
    /// # Errors
    /// Returns an error if a term or position cannot be parsed, or if an open service has no
    /// primary.
    pub fn decode(&self, directory: &mut Directory) -> Result<row::Row, Error> {
        let mut services = BTreeMap::new();
        for (name, service) in &self.services {
            let key = directory.services.intern(name);
            services.insert(key, service.decode(name, directory)?);
        }
        let standbys = self.standbys.iter();
        Ok(row::Row {
            epoch: self.epoch,
            revision: self.revision,
            controller: directory.hosts.intern(&self.controller),
            incarnation: self.incarnation,
            standbys: standbys.map(|s| directory.hosts.intern(s)).collect(),
            services,
        })
    }
}

impl Service {
    fn encode(service: &row::Service, directory: &Directory) -> Result<Service, Error> {
        let primary = match service.primary {
            None => None,
            Some(key) => {
                let name = directory.servers.name(key).ok_or(Error::NoName)?;
                Some(name.to_owned())
            }
        };
        Ok(Service {
            term: service.state.term().to_string(),
            open: matches!(service.state, State::Open { .. }),
            primary,
            history: encode_history(&service.history),
            origins: encode_origins(&service.origins),
            losses: service.losses.iter().map(Loss::from).collect(),
        })
    }

    fn decode(&self, name: &str, directory: &mut Directory) -> Result<row::Service, Error> {
        let term: Term = self.term.parse()?;
        let primary = self.primary.as_ref();
        let primary = primary.map(|name| directory.servers.intern(name));
        let state = match (self.open, primary) {
            (true, Some(primary)) => State::Open { term, primary },
            (true, None) => return Err(Error::NoPrimary(name.to_owned())),
            (false, _) => State::Closed { term },
        };
        let mut losses = BTreeSet::new();
        for loss in &self.losses {
            losses.insert(row::Loss::try_from(loss)?);
        }
        Ok(row::Service {
            state,
            primary,
            history: decode_history(&self.history)?,
            origins: decode_origins(&self.origins)?,
            losses,
        })
    }
}

fn encode_history(history: &History) -> BTreeMap<String, u64> {
    let starts = history.starts();
    starts.map(|(t, start)| (t.to_string(), start)).collect()
}

fn decode_history(starts: &BTreeMap<String, u64>) -> Result<History, Error> {
    let mut history = History::default();
    for (term, start) in starts {
        history.open(term.parse()?, *start);
    }
    Ok(history)
}

fn encode_origins(origins: &BTreeMap<Term, row::Origin>) -> BTreeMap<String, Origin> {
    let origin = |origin: &row::Origin| Origin {
        parent: origin.parent.map(|parent| parent.to_string()),
        start: origin.start,
    };
    let origins = origins.iter();
    origins
        .map(|(term, o)| (term.to_string(), origin(o)))
        .collect()
}

fn decode_origins(
    origins: &BTreeMap<String, Origin>,
) -> Result<BTreeMap<Term, row::Origin>, Error> {
    let mut decoded = BTreeMap::new();
    for (term, origin) in origins {
        let parent = match &origin.parent {
            Some(parent) => Some(parent.parse()?),
            None => None,
        };
        let start = origin.start;
        decoded.insert(term.parse()?, row::Origin { parent, start });
    }
    Ok(decoded)
}

impl From<&row::Loss> for Loss {
    fn from(loss: &row::Loss) -> Loss {
        Loss {
            opened: loss.opened.to_string(),
            start: loss.start,
            acknowledged: loss.acknowledged.map(|position| position.to_string()),
            complete: loss.complete,
        }
    }
}

impl TryFrom<&Loss> for row::Loss {
    type Error = Error;

    fn try_from(loss: &Loss) -> Result<row::Loss, Error> {
        let acknowledged: Option<Position> = match &loss.acknowledged {
            Some(text) => Some(text.parse()?),
            None => None,
        };
        Ok(row::Loss {
            opened: loss.opened.parse()?,
            start: loss.start,
            acknowledged,
            complete: loss.complete,
        })
    }
}
