use std::time::Duration;

use crate::key::ServerKey;
use crate::lease::Instance;
use crate::position::Position;
use crate::row::Service;
use crate::term::Term;

/// Why a service gets another primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The service is new, and this server is to be its first primary.
    Created(ServerKey),
    /// Entry hosts cannot reach the primary.
    Unreachable,
    /// The primary is leaving and still reachable.
    Leaving,
    /// A server knows a greater term than the row, or the primary does not lead its term.
    Rival,
    /// An earlier controller closed the term and opened no other.
    Resumed,
}

/// A backend server's report of its own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The greatest term that the server knows.
    pub term: Term,
    /// Whether it is the primary of that term.
    pub leads: bool,
    /// The last entry of its log.
    pub position: Position,
    /// Upper bound of the staleness of its data.
    pub age: Duration,
    /// Whether it is about to be removed from the platform.
    pub leaving: bool,
}

/// The outcome of an order to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server carried out the order.
    Done,
    /// The server refused: it knows a greater term, or its log lacks the required position.
    Refused,
    /// No answer was received. The server may have carried out the order, or may yet do so.
    Unknown,
}

/// An action that a promotion asks its controller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Write this state to the row, and call [`Promotion::begin_closing`] or
    /// [`Promotion::begin_opening`].
    ///
    /// [`Promotion::begin_closing`]: super::Promotion::begin_closing
    /// [`Promotion::begin_opening`]: super::Promotion::begin_opening
    Commit(Service),
    /// Send the view, in which the term is closed, to these lease holders.
    Revoke(Vec<Instance>),
    /// Query the status of these servers.
    QueryStatus(Vec<ServerKey>),
    /// Promote `server` to the primary of `term` if its log contains `at_least`.
    Promote {
        /// The server.
        server: ServerKey,
        /// The term that it is to lead.
        term: Term,
        /// The position that its log must contain.
        at_least: Position,
    },
    /// The new term is open and committed.
    Done,
}
