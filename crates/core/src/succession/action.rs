//! What a [`Succession`](super::Succession) hears and wants done.

use crate::key::ServerKey;
use crate::leader::Role;
use crate::position::Position;
use crate::term::Term;

/// A token under which orders may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the other hosts what they see of the primary.
    AskHosts,
    /// Ask all servers for their role and how far they have received the log.
    AskServers,
    /// Claim the change in the store.
    Claim,
    /// Order that `server` leads, and tell the other hosts.
    Promote {
        /// The server.
        server: ServerKey,
        /// The token.
        token: FencingToken,
    },
}

/// What a host sees of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opinion {
    /// It has just answered.
    Reaches,
    /// It does not answer.
    Fails,
}

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Its role.
    pub role: Role,
    /// The term that it knows.
    pub term: Term,
    /// How far it has received the log.
    pub received: Position,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It was accepted.
    Accepted,
    /// It was refused: the token is outdated, or the server does not run.
    Refused,
    /// There was no answer; it may be carried out.
    Unknown,
}
