//! How far the log of a service has been seen to reach, at whichever of its servers.
//!
//! A server that starts again without its log answers at its address as before, and one that led
//! may go on saying so. What it shows of its log tells it apart: within one term a log only grows,
//! so a primary that was asked after some server had shown a position has that position too.

use std::collections::VecDeque;
use std::time::Duration;

use crate::position::Position;

/// Moments closer together than this are merged: a question to a server takes as long.
const MARK_SPACING: Duration = Duration::from_millis(50);

/// Moments that are kept: with [`MARK_SPACING`] they reach back further than a statement waits at a server
/// that answers at all.
const MAX_MARKS: usize = 64;

/// How far the log of one service has been seen to reach.
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
    /// In the order in which the log was seen to grow.
    marks: VecDeque<Mark>,
    /// Somebody has put down that something was written.
    written: bool,
}

/// The log had reached a position at some moment.
#[derive(Debug, Clone, Copy)]
struct Mark {
    position: Position,
    at: Duration,
}

impl LogExtent {
    /// The log of some server reached `position` at `now`.
    ///
    /// Numbers go on across terms, so a position without one shows an empty log, whatever its
    /// term.
    pub fn record_position(&mut self, position: Position, now: Duration) {
        if position.log == 0 || position <= self.furthest() {
            return;
        }
        let count = self.marks.len();
        let before = count.checked_sub(2).and_then(|at| self.marks.get(at));
        // The one between goes; the one before it is old enough for questions that are on their way.
        if before.is_some_and(|before| now < before.at + MARK_SPACING) {
            self.marks.pop_back();
        }
        if count >= MAX_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { position, at: now });
    }

    /// The furthest position that was shown.
    pub fn furthest(&self) -> Position {
        self.marks
            .back()
            .map_or_else(Position::default, |it| it.position)
    }

    /// Something was written, by a record that outlives all hosts: how much it does not tell.
    pub fn record_written(&mut self) {
        self.written = true;
    }

    /// Whether anything was ever written, as far as this host knows.
    pub fn is_written(&self) -> bool {
        self.written || self.has_position()
    }

    /// Whether some server was seen to hold anything.
    pub fn has_position(&self) -> bool {
        self.furthest().log > 0
    }

    /// Whether a server that was asked at `sent`, and whose log reaches `position`, cannot be the
    /// primary of the newest term: another server had shown more before.
    ///
    /// What was shown after the question says nothing, so earlier moments are kept as well. With the
    /// newest one alone, a log that had just grown hid for a moment that its primary had lost it.
    pub fn lacks(&self, position: Position, sent: Duration) -> bool {
        let before = self.marks.iter().rev().find(|mark| mark.at <= sent);
        before.is_some_and(|mark| position < mark.position)
    }

    /// Whether `position`, shown by a server that has started again, proves that it has the service's
    /// log all the same.
    ///
    /// The start of a term is no proof, not even of one that this host had not heard of: an empty
    /// log shows it as well. It counts where nothing was ever written.
    ///
    /// Unlike [`LogExtent::lacks`] it makes no allowance for what was shown since the question:
    /// nothing is written that an honest primary would lack while it is not believed.
    pub fn proves(&self, position: Position) -> bool {
        let whole = position.log > 0 || !self.is_written();
        whole && position >= self.furthest()
    }
}
