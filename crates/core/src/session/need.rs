//! Requirements of a read on the server that answers it.

use std::time::Duration;

use crate::position::Position;

/// Which servers may answer a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Only the primary, under a valid write lease.
    Primary,
    /// Any server whose data includes `position`.
    Position {
        /// The session's position.
        position: Position,
        /// Greatest age of the data.
        max_age: Option<Duration>,
    },
    /// Any server whose data is proven current at or after the start of the session. The session
    /// may have written before, up to an unknown position.
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
    /// Returns the position that the data must include, if any.
    pub fn position(&self) -> Option<Position> {
        match self {
            Need::Position { position, .. } => Some(*position),
            _ => None,
        }
    }

    /// Returns the greatest age of the data, if it is limited.
    pub fn max_age(&self) -> Option<Duration> {
        match self {
            Need::Primary => None,
            Need::Position { max_age, .. }
            | Need::Since { max_age, .. }
            | Need::Any { max_age } => *max_age,
        }
    }

    /// Returns the time at or after which the data must be proven current, for a read at `now`.
    pub fn proven_since(&self, now: Duration) -> Option<Duration> {
        let by_age = self.max_age().map(|age| now.saturating_sub(age));
        match self {
            Need::Since { began, .. } => Some(by_age.map_or(*began, |age| age.max(*began))),
            _ => by_age,
        }
    }
}
