//! The row of one shard in the table service: its controller and the state of its services.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::History;
use crate::key::{HostKey, ServerKey, ServiceKey};
use crate::position::Position;
use crate::term::Term;
use crate::view::State;

/// The state of one shard that the table service stores.
///
/// `revision` grows with every change, no matter which process makes it, and so identifies the
/// content of the row: each write names the revision that it replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Epoch of the controller's authority. Grows only by compare-and-set.
    pub epoch: u32,
    /// Number of changes of the row since its creation.
    pub revision: u64,
    /// Host of the controller.
    pub controller: HostKey,
    /// Incarnation of the controller's process on that host.
    pub incarnation: u64,
    /// Hosts that may claim the shard when the controller sends no heartbeats.
    pub standbys: BTreeSet<HostKey>,
    /// The state of each service.
    pub services: BTreeMap<ServiceKey, Service>,
}

/// The state of one service in the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Whether writes may be acknowledged, and the primary.
    pub state: State,
    /// The primary of the newest term, also when that term is over.
    pub primary: Option<ServerKey>,
    /// Where the newest term began, and each term that it descends from.
    pub history: History,
    /// Where every term began that was ever opened, including terms of which nothing was kept. A
    /// server that still has such a term's log may be the only one left at a later promotion.
    pub origins: BTreeMap<Term, Origin>,
    /// The losses of past promotions, oldest first.
    pub losses: BTreeSet<Loss>,
}

/// Where a term began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The term whose log it continues; `None` for the first.
    pub parent: Option<Term>,
    /// The log position at which it begins.
    pub start: u64,
}

/// The writes that one promotion lost or may have lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// The term that the promotion opened.
    pub opened: Term,
    /// Where that term begins. Writes of older terms past this point are lost.
    pub start: u64,
    /// The highest position known to have been acknowledged, or to have been written and possibly
    /// acknowledged by a holder that is gone, if it is past `start`.
    pub acknowledged: Option<Position>,
    /// Whether nothing past `acknowledged` can have been acknowledged. If `false`, a lease holder
    /// could not be asked, and a session that has such a position is told of the loss with its
    /// next statement.
    pub complete: bool,
}

/// The outcome of a compare-and-set of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done,
    /// The write did not and will not take effect: the table held another row, or the request was
    /// never sent.
    NotDone,
    /// No answer was received. The write may have taken effect, or may yet do so.
    Unknown,
}

impl Row {
    /// Merges the service states of `other` into this row.
    ///
    /// A service's state only moves forward: a term opens, closes, and is followed by a greater
    /// one. The later of two states can therefore be told without knowing which row is newer.
    pub fn merge(&mut self, other: &Row) {
        for (key, service) in &other.services {
            match self.services.get_mut(key) {
                Some(known) => known.merge(service),
                None => {
                    self.services.insert(*key, service.clone());
                }
            }
        }
    }
}

impl Service {
    /// Creates a service that has no primary yet.
    pub fn without_primary() -> Service {
        Service {
            state: State::Closed {
                term: Term::default(),
            },
            primary: None,
            history: History::default(),
            origins: BTreeMap::new(),
            losses: BTreeSet::new(),
        }
    }

    /// Returns the history of the terms that led to the log whose last entry is `last`.
    ///
    /// If the term of that entry is unknown, an earlier controller opened it and failed before the
    /// row recorded it. It may have continued any term from any position, so the writes of all
    /// other terms count as lost. Some kept writes may be reported as lost, but no write is lost
    /// without a report.
    pub fn lineage(&self, last: Position) -> History {
        if last.log == 0 || self.history.start(last.term).is_some() {
            return self.history.up_to(last);
        }
        let mut history = History::default();
        let mut next = self.origins.get_key_value(&last.term);
        while let Some((term, origin)) = next {
            history.open(*term, origin.start);
            next = origin
                .parent
                .and_then(|parent| self.origins.get_key_value(&parent));
        }
        if history.latest().is_none() {
            history.open(last.term, 0);
        }
        history
    }

    /// Opens `term` with `primary`, whose log ends at `last`.
    pub fn open(&mut self, term: Term, primary: ServerKey, last: Position) {
        self.history = self.lineage(last);
        let origin = Origin {
            parent: self.history.latest(),
            start: last.log,
        };
        self.origins.insert(term, origin);
        self.history.open(term, last.log);
        self.state = State::Open { term, primary };
        self.primary = Some(primary);
    }

    fn merge(&mut self, other: &Service) {
        if other.rank() > self.rank() {
            self.state = other.state;
            self.primary = other.primary;
            // The later state has the complete history of its log. An additional term from the
            // earlier state could make dropped writes count as kept.
            self.history = other.history.clone();
        }
        for (term, origin) in &other.origins {
            self.origins.entry(*term).or_insert(*origin);
        }
        self.losses.extend(other.losses.iter().copied());
    }

    fn rank(&self) -> (Term, bool) {
        let closed = matches!(self.state, State::Closed { .. });
        (self.state.term(), closed)
    }
}
