//! The row of one shard in the table service: who controls it, and the state of its services.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::History;
use crate::key::{HostKey, ServerKey, ServiceKey};
use crate::position::Position;
use crate::term::Term;
use crate::view::State;

/// What the table service keeps about one shard.
///
/// `revision` grows with every change, whoever makes it, so it names the row in one table: a
/// write names the revision that it replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Epoch of the controller's authority; grows by compare-and-set only.
    pub epoch: u32,
    /// Changes of the row since it was made.
    pub revision: u64,
    /// Host of the controller.
    pub controller: HostKey,
    /// The controller's process on that host.
    pub incarnation: u64,
    /// Hosts that may claim the shard when the controller is silent.
    pub standbys: BTreeSet<HostKey>,
    /// The state of each service.
    pub services: BTreeMap<ServiceKey, Service>,
}

/// What the row says of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Whether writes may be acknowledged, and by whom.
    pub state: State,
    /// The primary of the newest term, also when that term is over.
    pub primary: Option<ServerKey>,
    /// Where each term began that led to the newest one.
    pub history: History,
    /// Where every term began that was ever opened, also those of which nothing was kept: a server
    /// that still has their log may be the only one left some day.
    pub origins: BTreeMap<Term, Origin>,
    /// What promotions have lost, oldest first.
    pub losses: BTreeSet<Loss>,
}

/// Where a term began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The term whose log it went on from; `None` for the first.
    pub parent: Option<Term>,
    /// The log position there.
    pub start: u64,
}

/// What one promotion lost or may have lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// The term that the promotion opened.
    pub opened: Term,
    /// Where it began; what an older term wrote past this point is lost.
    pub start: u64,
    /// The highest position known to have been acknowledged, or written and perhaps
    /// acknowledged by a holder that is gone, if it is past `start`.
    pub acknowledged: Option<Position>,
    /// Whether nothing past `acknowledged` can have been acknowledged. Where not, a lease holder
    /// could not be asked; a session that has such a position is told when it comes.
    pub complete: bool,
}

/// How a compare-and-set of the row ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Done,
    /// It did not and will not: the table held another row, or the request never left.
    NotDone,
    /// No answer came: it may have taken effect, or may yet.
    Unknown,
}

impl Row {
    /// Adds what `other` knows of services and this row does not.
    ///
    /// A service only moves upward: a term opens, closes, and is followed by a greater one. So
    /// the later of two states is known without knowing in which order the rows were made.
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
    /// A service that has no primary yet.
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

    /// The terms that led to the log whose last entry is `last`.
    ///
    /// Where the term of that entry is not known, an earlier controller opened it and was lost
    /// before the row said so. It may have gone on from any term and anywhere, so writes of all
    /// others count as lost: some are reported that were kept, but none is lost without a report.
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

    /// Opens `term` with `primary`, whose log ends in `last`.
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
            // The later state knows which terms led to it; one more from the earlier state could
            // make what was dropped pass for kept.
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
