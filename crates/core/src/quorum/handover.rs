//! Use of a leaving primary from the announcement that its term ends until its successor leads.

use std::time::Duration;

use crate::position::Position;

/// How long a commit may wait to be seen at the successor, if that still follows. A successor that
/// receives nothing for longer would delay all writes. Many times the latency between zones.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether something that a leaving primary has answered, or is to answer, counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It does: the successor did not lead yet at this time.
    Counts(Duration),
    /// The successor has to be asked again.
    Unknown,
    /// The successor may have led by then.
    Late,
}

/// What a host knows of the successor of a leaving primary that it still uses.
///
/// Nobody knows in advance when the successor leads. So each use of the primary rests on an answer of
/// the successor: a read on one that was asked for after the read arrived, and the acknowledgement of
/// a commit on one that shows the commit in the successor's log.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::position::Position;
/// use flamingopost_core::quorum::{Handover, Verdict};
/// use flamingopost_core::term::Term;
///
/// let at = Duration::from_millis;
/// let position = |log| Position { term: Term::from_number(3), log };
/// let mut handover = Handover::default();
/// assert_eq!(handover.read(at(100)), Verdict::Unknown);
/// handover.record_follower(at(105), position(7));
/// assert_eq!(handover.read(at(100)), Verdict::Counts(at(105)));
/// assert_eq!(handover.commit(Some(position(8)), at(104)), Verdict::Unknown);
/// handover.record_lead();
/// assert_eq!(handover.commit(Some(position(8)), at(104)), Verdict::Late);
/// assert_eq!(handover.commit(Some(position(7)), at(104)), Verdict::Counts(at(105)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Handover {
    /// When the newest request was sent to which the successor answered that it follows.
    followed_at: Option<Duration>,
    /// How far it had received the log by then.
    received: Position,
    /// Whether the successor was seen to lead, or can no longer be asked.
    is_over: bool,
}

impl Handover {
    /// Records that the successor, asked at `asked`, follows and has received the log up to
    /// `received`.
    pub fn record_follower(&mut self, asked: Duration, received: Position) {
        self.followed_at = self.followed_at.max(Some(asked));
        self.received = self.received.max(received);
    }

    /// Records that the successor leads, or can no longer be asked.
    pub fn record_lead(&mut self) {
        self.is_over = true;
    }

    /// Reports whether the primary is not used any more.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Decides whether a read that arrived at `arrived` may run at the primary. No commit of the
    /// successor was acknowledged before that if the successor followed then or later.
    pub fn read(&self, arrived: Duration) -> Verdict {
        match self.followed_at.filter(|at| *at >= arrived) {
            Some(at) => Verdict::Counts(at),
            None => self.undecided(),
        }
    }

    /// Decides whether a commit counts that the primary answered at `answered` with `position`.
    ///
    /// The successor keeps what it had received when it began to lead. If it follows without receiving
    /// anything, it is enough that it still did when that was overdue.
    pub fn commit(&self, position: Option<Position>, answered: Duration) -> Verdict {
        let Some(followed_at) = self.followed_at else {
            return self.undecided();
        };
        let is_received = position.is_some_and(|position| self.received >= position);
        let is_overdue = followed_at >= answered + RECEIPT_TIMEOUT;
        match is_received || is_overdue {
            true => Verdict::Counts(followed_at),
            false => self.undecided(),
        }
    }

    fn undecided(&self) -> Verdict {
        match self.is_over {
            true => Verdict::Late,
            false => Verdict::Unknown,
        }
    }
}
