//! A request that waits for a connection.

use std::time::Duration;

use crate::key::{ServerKey, TeamKey};
use crate::position::Position;

/// Which servers may answer a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Only the primary.
    Leader,
    /// Any server whose log contains the position.
    Position {
        /// The position.
        position: Position,
        /// Time of the request that the primary answered with this position. Together with a
        /// replica's lag it tells whether the replica should have reached the position.
        at: Duration,
    },
}

/// Order of requests that are equal in urgency, priority and kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueOrder {
    /// The request that has waited longest goes first.
    OldestFirst,
    /// The request that arrived last goes first.
    NewestFirst,
}

/// A request that waits for a connection.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Identifier, unique within the process.
    pub id: u64,
    /// The team of its caller. Only connections of this team may serve it.
    pub team: TeamKey,
    /// Servers that may answer it.
    pub need: Need,
    /// Requests with a lower number go first.
    pub priority: u8,
    /// Whether it opens a transaction, which keeps its connection for many round trips.
    pub opens_transaction: bool,
    /// When the caller sent it.
    pub arrived: Duration,
    /// Time by which it should be answered.
    pub goal: Duration,
    /// Time at which it is refused if it still waits.
    pub deadline: Duration,
    /// Server on which it has just failed; another one is used, unless it needs the primary.
    pub avoid: Option<ServerKey>,
}

impl Ticket {
    /// Returns the sort key of this ticket; the least key is served first.
    ///
    /// Requests of a team that uses more than its fair share of connections wait behind those of the
    /// others. Transactions wait behind single statements of the same priority: while connections
    /// are scarce, one transaction takes the time of dozens of statements.
    pub(super) fn queue_key(
        &self,
        order: QueueOrder,
        is_over_share: bool,
        now: Duration,
    ) -> (bool, u8, bool, bool, Duration) {
        let age_rank = match order {
            QueueOrder::OldestFirst => self.arrived,
            QueueOrder::NewestFirst => Duration::MAX - self.arrived,
        };
        (
            now >= self.goal,
            self.priority,
            is_over_share,
            self.opens_transaction,
            age_rank,
        )
    }
}
