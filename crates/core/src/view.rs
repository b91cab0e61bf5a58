//! The view of a shard's services that a controller sends to entry hosts.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::History;
use crate::key::{ServerKey, ServiceKey};
use crate::term::Term;

/// Version of a shard's view. A later epoch is always newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Epoch of the controller's authority that made the view.
    pub epoch: u32,
    /// Number of the change under that epoch.
    pub change: u64,
}

/// The services of one shard, as one controller sees them at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    /// The version of the view.
    pub version: Version,
    /// The state of each service.
    pub services: BTreeMap<ServiceKey, Service>,
}

/// One service in a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Whether writes may be acknowledged, and the primary.
    pub state: State,
    /// Where each term began.
    pub history: History,
    /// Servers that receive no new work because they are leaving, according to the configuration,
    /// the platform's list or their own status.
    pub leaving: BTreeSet<ServerKey>,
}

impl Service {
    /// Creates a service in `state` whose history contains only its newest term, which begins with
    /// the log.
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
    /// Returns the newest term, whether open or closed.
    pub fn term(self) -> Term {
        match self {
            State::Open { term, .. } | State::Closed { term } => term,
        }
    }
}

/// Whether a service takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// `primary` leads `term`. Lease holders may acknowledge its writes.
    Open {
        /// The term.
        term: Term,
        /// The primary of the term.
        primary: ServerKey,
    },
    /// `term` is closed or closing. No write may be acknowledged until the next term opens.
    Closed {
        /// The closed term.
        term: Term,
    },
}
