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
    /// Where terms began of which nothing was kept. A server that still has their log may be the
    /// only one left some day.
    pub dropped: History,
    /// What promotions have lost, oldest first.
    pub losses: BTreeSet<Loss>,
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
pub enum Written {
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
    pub fn fresh() -> Service {
        Service {
            state: State::Closed {
                term: Term::default(),
            },
            primary: None,
            history: History::default(),
            dropped: History::default(),
            losses: BTreeSet::new(),
        }
    }

    fn merge(&mut self, other: &Service) {
        if other.rank() > self.rank() {
            self.state = other.state;
            self.primary = other.primary;
            // The later state knows which terms led to it; one more from the earlier state could
            // make what was dropped pass for kept.
            self.history = other.history.clone();
        }
        for (term, start) in other.dropped.starts() {
            self.dropped.open(term, start);
        }
        self.losses.extend(other.losses.iter().copied());
    }

    fn rank(&self) -> (Term, bool) {
        let closed = matches!(self.state, State::Closed { .. });
        (self.state.term(), closed)
    }
}
