//! What a controller tells entry hosts about the services of its shard.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::History;
use crate::key::{ServerKey, ServiceKey};
use crate::term::Term;

/// Version of a shard's view. A later epoch is always newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Epoch of the controller authority that made it.
    pub epoch: u32,
    /// Changes under that epoch.
    pub change: u64,
}

/// The services of one shard, as one controller sees them at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    /// The version of all that follows.
    pub version: Version,
    /// The state of each service.
    pub services: BTreeMap<ServiceKey, Service>,
}

/// One service in a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Whether writes may be acknowledged, and by whom.
    pub state: State,
    /// Where each term began.
    pub history: History,
    /// Servers that receive no new work: leaving, by configuration or by the platform's list.
    pub leaving: BTreeSet<ServerKey>,
}

impl Service {
    /// A service in `state`, whose history knows only its newest term, from the log's beginning.
    pub fn new(state: State) -> Service {
        let mut history = History::default();
        history.open(state.term(), 0);
        Service {
            state,
            history,
            leaving: BTreeSet::new(),
        }
    }
}

impl State {
    /// The newest term: open, or the one that is over.
    pub fn term(self) -> Term {
        match self {
            State::Open { term, .. } | State::Closed { term } => term,
        }
    }
}

/// Whether a service takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// `primary` leads `term`; holders of a lease may acknowledge its writes.
    Open {
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
    },
    /// `term` is closed or closing; nobody may acknowledge a write until the next one opens.
    Closed {
        /// The term that is over.
        term: Term,
    },
}
