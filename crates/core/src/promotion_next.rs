use std::time::Duration;

use crate::key::ServerKey;
use crate::lease::Instance;
use crate::position::Position;
use crate::row::Service;
use crate::term::Term;

/// Why a service gets another primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is new; this server is to be its first primary.
    Created(ServerKey),
    /// Hosts cannot reach its primary.
    Unreachable,
    /// Its primary is leaving and still there.
    Leaving,
    /// A server knows a greater term than the row, or the primary does not lead its term.
    Rival,
    /// An earlier controller closed the term and did not get further.
    Resumed,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The greatest term it knows.
    pub term: Term,
    /// Whether it leads that term.
    pub leads: bool,
    /// The last entry of its log.
    pub position: Position,
    /// How old its data may be.
    pub age: Duration,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// How an order to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server did as told.
    Done,
    /// The server refuses: it knows a greater term, or lacks data.
    Refused,
    /// No answer came: it may have done it, or may yet.
    Unknown,
}

/// What a promotion wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Put this state into the row, and tell [`Promotion::begin_closing`] or [`Promotion::begin_opening`].
    Commit(Service),
    /// Send the view, in which the term is closed, to these holders.
    Revoke(Vec<Instance>),
    /// Ask these servers for their status.
    QueryStatus(Vec<ServerKey>),
    /// Promote `server` in `term` if its data reach `at_least`.
    Promote {
        /// The server.
        server: ServerKey,
        /// The term it is to lead.
        term: Term,
        /// What its log has to contain.
        at_least: Position,
    },
    /// The new term is open and committed.
    Done,
}
