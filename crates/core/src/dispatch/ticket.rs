//! A request that waits for a connection.

use std::time::Duration;

use crate::key::ServerKey;
use crate::position::Position;

/// Which servers may answer a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Only the one that leads.
    Leader,
    /// Any whose log contains the position.
    Position {
        /// The position.
        position: Position,
        /// When the primary was asked that answered there: how far replicas are behind in time
        /// tells which of them have it.
        at: Duration,
    },
}

/// Who goes first among requests that are alike otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueOrder {
    /// The one that has waited longest.
    OldestFirst,
    /// The one that came last.
    NewestFirst,
}

/// A request that waits for a connection.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Its number, unique within the process.
    pub id: u64,
    /// Who may answer it.
    pub need: Need,
    /// Requests with a lower number go first.
    pub priority: u8,
    /// Whether it opens a transaction, which keeps its connection for many round trips.
    pub opens_transaction: bool,
    /// When the caller sent it.
    pub arrived: Duration,
    /// When it should be answered.
    pub goal: Duration,
    /// Until when it may wait here.
    pub deadline: Duration,
    /// A server that has just failed it.
    pub avoid: Option<ServerKey>,
}

impl Ticket {
    /// Where it stands in the queue.
    ///
    /// Transactions wait behind single statements of their priority: while connections are
    /// short, one of them takes the time of dozens of the others.
    pub(super) fn queue_key(&self, order: QueueOrder, now: Duration) -> (bool, u8, bool, Duration) {
        let age_rank = match order {
            QueueOrder::OldestFirst => self.arrived,
            QueueOrder::NewestFirst => Duration::MAX - self.arrived,
        };
        (
            now >= self.goal,
            self.priority,
            self.opens_transaction,
            age_rank,
        )
    }
}
