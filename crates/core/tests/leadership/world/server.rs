//! A backend server: its log, its term, and its own view of whether it leads or follows.

use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_core::promotion::{OrderOutcome, Status};
use flamingopost_core::term::Term;

#[derive(Debug, Default)]
pub struct Server {
    pub zone: usize,
    pub service: usize,
    pub down: bool,
    pub lagging: bool,
    pub leaving: bool,
    pub term: Term,
    pub leads: bool,
    pub follows: Option<usize>,
    /// The term and the number of each write.
    pub log: Vec<(Term, u64)>,
}

impl Server {
    pub fn position(&self) -> Position {
        let term = self.log.last().map(|(term, _)| *term).unwrap_or_default();
        let log = self.log.len() as u64;
        Position { term, log }
    }

    pub fn contains(&self, position: Position) -> bool {
        let index = position.log as usize;
        index == 0 || self.log.get(index - 1).map(|(term, _)| *term) == Some(position.term)
    }

    pub fn status(&self) -> Status {
        Status {
            term: self.term,
            leads: self.leads,
            position: self.position(),
            age: Duration::ZERO,
            leaving: self.leaving,
        }
    }

    pub fn write(&mut self, id: u64) -> Option<Position> {
        if !self.leads {
            return None;
        }
        self.log.push((self.term, id));
        Some(self.position())
    }

    pub fn promote(&mut self, term: Term, at_least: Position) -> OrderOutcome {
        if self.leads && self.term == term {
            return OrderOutcome::Done;
        }
        if self.term >= term || !self.contains(at_least) {
            return OrderOutcome::Refused;
        }
        (self.term, self.leads, self.follows) = (term, true, None);
        OrderOutcome::Done
    }

    pub fn follow(&mut self, primary: usize, term: Term) {
        if term < self.term || (self.leads && self.term == term) {
            return;
        }
        (self.term, self.leads, self.follows) = (term, false, Some(primary));
    }

    /// Drops the entries that diverge from a primary's `log`, then appends at most `limit` entries
    /// of it.
    pub fn replicate(&mut self, log: &[(Term, u64)], limit: usize) {
        let mut common = self.log.len().min(log.len());
        while common > 0 && self.log[common - 1] != log[common - 1] {
            common -= 1;
        }
        self.log.truncate(common);
        let until = log.len().min(common + limit);
        self.log.extend_from_slice(&log[common..until]);
    }
}
