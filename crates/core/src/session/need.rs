//! What a read asks of the server that answers it.

use std::time::Duration;

use crate::position::Position;

/// What a server must be to answer a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The primary, under a valid write lease.
    Primary,
    /// Any server whose data reach `position`.
    Position {
        /// The session's position.
        position: Position,
        /// Greatest age of the data.
        max_age: Option<Duration>,
    },
    /// Any server whose data are proven current at or after the moment the session began: the
    /// session may have written before, and nobody said how far.
    Since {
        /// When the session began.
        began: Duration,
        /// Greatest age of the data.
        max_age: Option<Duration>,
    },
    /// Any server.
    Any {
        /// Greatest age of the data.
        max_age: Option<Duration>,
    },
}

impl Need {
    /// The position that the data must reach.
    pub fn position(&self) -> Option<Position> {
        match self {
            Need::Position { position, .. } => Some(*position),
            _ => None,
        }
    }

    /// The greatest age of the data.
    pub fn max_age(&self) -> Option<Duration> {
        match self {
            Need::Primary => None,
            Need::Position { max_age, .. }
            | Need::Since { max_age, .. }
            | Need::Any { max_age } => *max_age,
        }
    }

    /// The moment at or after which the data must be proven current, at `now`.
    pub fn proven_since(&self, now: Duration) -> Option<Duration> {
        let by_age = self.max_age().map(|age| now.saturating_sub(age));
        match self {
            Need::Since { began, .. } => Some(by_age.map_or(*began, |age| age.max(*began))),
            _ => by_age,
        }
    }
}
