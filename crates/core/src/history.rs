//! The history of a service's terms: where each began, and whether a position survived.

use std::collections::BTreeMap;

use crate::position::Position;
use crate::term::Term;

/// The first log position of each term of one service, oldest first.
///
/// A term begins at the log position that its primary had when it was promoted. Everything that an
/// older term wrote past that position is lost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    starts: BTreeMap<Term, u64>,
}

/// Whether a position is still part of a service's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// The position is part of the service's log.
    Kept,
    /// The position was written past the start of a later term, or by a term that is no part of the
    /// log; its write is lost.
    Lost {
        /// The term that began without the write.
        ended_by: Term,
        /// Where that term began.
        start: u64,
    },
    /// The position's term is newer than every term in this history.
    Unknown,
}

impl History {
    /// Records that `term` began at log position `start`. Of two recorded starts the earlier one is
    /// kept, so that a lost write is never reported as kept.
    pub fn open(&mut self, term: Term, start: u64) {
        let known = self.starts.entry(term).or_insert(start);
        *known = start.min(*known);
    }

    /// Returns the terms that led to the log up to `base`: all up to its term, and after that those
    /// that began exactly at its end, in which nothing was written yet. A later term that began
    /// elsewhere continued another log, whatever the numbers suggest.
    ///
    /// ```
    /// use flamingopost_core::history::{History, Survival};
    /// use flamingopost_core::position::Position;
    /// use flamingopost_core::term::Term;
    ///
    /// let term = |count| Term { epoch: 1, count };
    /// let mut history = History::default();
    /// history.open(term(0), 0);
    /// history.open(term(1), 100);
    /// // No reachable server has any of the second term; the third continues the first.
    /// let base = Position { term: term(0), log: 120 };
    /// let mut history = history.up_to(base);
    /// history.open(term(2), 120);
    /// let lost = Position { term: term(1), log: 110 };
    /// assert_eq!(history.survival(lost), Survival::Lost { ended_by: term(2), start: 120 });
    /// let kept = Position { term: term(0), log: 120 };
    /// assert_eq!(history.survival(kept), Survival::Kept);
    /// ```
    pub fn up_to(&self, base: Position) -> History {
        let part = |term: Term, start: u64| term <= base.term || start == base.log;
        let starts = self
            .starts()
            .take_while(|(term, start)| part(*term, *start));
        History {
            starts: starts.collect(),
        }
    }

    /// Returns the start of `term`, if it is known.
    pub fn start(&self, term: Term) -> Option<u64> {
        self.starts.get(&term).copied()
    }

    /// Returns the terms and their starts, oldest first.
    pub fn starts(&self) -> impl Iterator<Item = (Term, u64)> + '_ {
        self.starts.iter().map(|(term, start)| (*term, *start))
    }

    /// Returns the newest term, if there is one.
    pub fn latest(&self) -> Option<Term> {
        self.starts.last_key_value().map(|(term, _)| *term)
    }

    /// Returns whether the log that leads up to the newest term contains `position`.
    ///
    /// ```
    /// use flamingopost_core::history::{History, Survival};
    /// use flamingopost_core::position::Position;
    /// use flamingopost_core::term::Term;
    ///
    /// let (first, second) = (Term { epoch: 1, count: 0 }, Term { epoch: 1, count: 1 });
    /// let mut history = History::default();
    /// history.open(first, 0);
    /// history.open(second, 100);
    /// let kept = Position { term: first, log: 100 };
    /// assert_eq!(history.survival(kept), Survival::Kept);
    /// let lost = Position { term: first, log: 101 };
    /// assert_eq!(history.survival(lost), Survival::Lost { ended_by: second, start: 100 });
    /// ```
    pub fn survival(&self, position: Position) -> Survival {
        match self.latest() {
            Some(latest) if position.term <= latest => self.known_term_status(position),
            _ => Survival::Unknown,
        }
    }

    /// Reports whether a server whose log reaches `server` has everything up to `wanted`.
    pub fn covers(&self, server: Position, wanted: Position) -> bool {
        if server.term == wanted.term {
            return server.log >= wanted.log;
        }
        if wanted.log > 0 && !self.starts.contains_key(&wanted.term) {
            return false;
        }
        server.term > wanted.term
            && self.first_term_without(wanted, server.term).is_none()
            && server.log >= wanted.log
    }

    fn known_term_status(&self, position: Position) -> Survival {
        let newest = self.latest().unwrap_or_default();
        if !self.starts.contains_key(&position.term) {
            return self.foreign_term_status(position);
        }
        match self.first_term_without(position, newest) {
            Some((ended_by, start)) => Survival::Lost { ended_by, start },
            None => Survival::Kept,
        }
    }

    /// Returns the status of a position of a term that did not lead to the newest one: an authority
    /// that was lost had opened the term, and nothing of it was kept.
    fn foreign_term_status(&self, position: Position) -> Survival {
        let next = self.starts().find(|(term, _)| *term > position.term);
        match next {
            Some((ended_by, start)) if position.log > 0 => Survival::Lost { ended_by, start },
            _ => Survival::Kept,
        }
    }

    fn first_term_without(&self, position: Position, up_to: Term) -> Option<(Term, u64)> {
        self.starts()
            .filter(|(term, _)| *term > position.term && *term <= up_to)
            .find(|(_, start)| *start < position.log)
    }
}
