//! The extent of a service's log, as observed on any of its servers.
//!
//! A server that restarts without its log answers at its old address, and one that led may still
//! claim to lead. Its log position gives it away: within one term a log only grows, so a primary
//! that is asked after some server has shown a position has that position too.
//!
//! Positions are ordered by term first, so the first write to an empty log in a newer term comes
//! after every entry of older terms. Log numbers keep counting across terms: unless the newer term
//! is known to have begun with fewer entries, a number that an older term has reached already shows
//! that the log is not the service's.

use std::collections::VecDeque;
use std::time::Duration;

use crate::position::Position;

/// Marks closer together than this are merged: a request to a server takes about as long.
const MARK_SPACING: Duration = Duration::from_millis(50);

/// Number of marks that are kept. With [`MARK_SPACING`] they reach back further than a statement
/// waits at a server that answers at all.
const MAX_MARKS: usize = 64;

/// Tracks the furthest observed position of one service's log.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::extent::LogExtent;
/// use flamingopost_core::position::Position;
/// use flamingopost_core::term::Term;
///
/// let at = Duration::from_millis;
/// let position = |log| Position { term: Term::from_number(3), log };
/// let mut extent = LogExtent::default();
/// extent.record_position(position(40), at(100));
/// assert!(extent.lacks(position(2), at(120)), "it has lost its log");
/// assert!(!extent.lacks(position(39), at(90)), "it was asked before");
/// ```
#[derive(Debug, Default)]
pub struct LogExtent {
    /// Marks in ascending order of time and position.
    marks: VecDeque<Mark>,
    /// The position with the largest log number in a term older than that of the newest mark.
    older: Position,
    /// Whether a durable record says that the service was written to.
    written: bool,
}

/// A position that the log had reached at a moment.
#[derive(Debug, Clone, Copy)]
struct Mark {
    position: Position,
    at: Duration,
}

impl LogExtent {
    /// Records that the log of some server reached `position` at `now`.
    ///
    /// Log numbers keep counting across terms, so a position with number 0 shows an empty log,
    /// whatever its term.
    pub fn record_position(&mut self, position: Position, now: Duration) {
        let furthest = self.furthest();
        if position.log == 0 || position <= furthest {
            if position.term < furthest.term {
                self.record_older(position);
            }
            return;
        }
        if furthest.term < position.term {
            self.record_older(furthest);
        }
        let count = self.marks.len();
        let before = count.checked_sub(2).and_then(|at| self.marks.get(at));
        // Replaces the latest mark. The one before it is old enough for requests that are in
        // flight.
        if before.is_some_and(|before| now < before.at + MARK_SPACING) {
            self.marks.pop_back();
        }
        if count >= MAX_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { position, at: now });
    }

    fn record_older(&mut self, position: Position) {
        if position.log > self.older.log {
            self.older = position;
        }
    }

    /// Returns the furthest observed position.
    pub fn furthest(&self) -> Position {
        self.marks
            .back()
            .map_or_else(Position::default, |it| it.position)
    }

    /// Records that the service was written to, from a record that outlives all hosts. The record
    /// does not contain a position.
    pub fn record_written(&mut self) {
        self.written = true;
    }

    /// Reports whether this host knows of any write to the service.
    pub fn is_written(&self) -> bool {
        self.written || self.has_position()
    }

    /// Reports whether some server was seen with a log that is not empty.
    pub fn has_position(&self) -> bool {
        self.furthest().log > 0
    }

    /// Reports whether a server whose log reaches `position`, asked at `sent`, cannot be the
    /// primary of the newest term because another server had shown more before.
    ///
    /// Positions observed after the request prove nothing, so earlier marks are kept as well. With
    /// only the newest mark, a log that had just grown hid for a moment that its primary had lost
    /// it.
    pub fn lacks(&self, position: Position, sent: Duration) -> bool {
        let before = self.marks.iter().rev().find(|mark| mark.at <= sent);
        before.is_some_and(|mark| position < mark.position)
    }

    /// Reports whether `position`, shown by a restarted server, proves that it has the service's
    /// log.
    ///
    /// The start of a term is no proof, not even of a term that is new to this host: an empty log
    /// shows it as well. It counts only where nothing was ever written.
    ///
    /// Unlike [`LogExtent::lacks`] it makes no allowance for positions observed since the request:
    /// while a primary is not trusted, nothing is written that it could lack.
    pub fn proves(&self, position: Position) -> bool {
        self.proves_since(position, None)
    }

    /// Reports the same as [`LogExtent::proves`] for a server of which `start` is known: the
    /// number of the last entry that it had received when it was ordered to lead the term of
    /// `position`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::extent::LogExtent;
    /// use flamingopost_core::position::Position;
    /// use flamingopost_core::term::Term;
    ///
    /// let position = |term, log| Position { term: Term::from_number(term), log };
    /// let mut extent = LogExtent::default();
    /// extent.record_position(position(2, 40), Duration::ZERO);
    /// assert!(!extent.proves_since(position(3, 39), None));
    /// assert!(extent.proves_since(position(3, 39), Some(38)), "2/39 and 2/40 are rolled back");
    /// ```
    pub fn proves_since(&self, position: Position, start: Option<u64>) -> bool {
        let whole = position.log > 0 || !self.is_written();
        whole && position >= self.furthest() && !self.contradicts(position, start)
    }

    /// Reports whether a write at `position` conflicts with the log numbers of older terms, so that
    /// its server has probably lost its log. `start` is as for [`LogExtent::proves_since`].
    ///
    /// Without a known start this is no proof of a loss: the server may have been ordered to lead
    /// with fewer entries than another one had, and has rolled back the rest.
    pub fn contradicts(&self, position: Position, start: Option<u64>) -> bool {
        let furthest = self.furthest();
        let last = match furthest.term < position.term {
            true if furthest.log > self.older.log => furthest,
            _ => self.older,
        };
        let is_older = last.term < position.term;
        if position.log == 0 || !is_older || position.log > last.log {
            return false;
        }
        start.is_none_or(|start| position.log <= start)
    }
}
