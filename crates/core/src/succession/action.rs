//! Inputs and outputs of [`Succession`](super::Succession).

use crate::key::ServerKey;
use crate::leader::Role;
use crate::position::Position;
use crate::term::Term;

/// A fencing token: platforms that check it refuse an order under a token lower than one already
/// used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// What a host does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the other hosts what they see of the primary.
    AskHosts,
    /// Ask all servers for their role and how far they have received the log.
    AskServers,
    /// Claim the change in the store.
    Claim,
    /// Renew the claim that was won under `token`, which other hosts would take over soon. It is won
    /// anew, or lost.
    RenewClaim {
        /// The token of the claim.
        token: FencingToken,
    },
    /// Announce to the other hosts that the primary's term ends and that `server` is to succeed it,
    /// and pass their confirmations to [`Succession::record_closed`](super::Succession::record_closed).
    EndTerm {
        /// The successor, unless another one turns out to have received more.
        server: ServerKey,
        /// The token of the order that follows.
        token: FencingToken,
    },
    /// Order the promotion of `server`, and notify the other hosts.
    Promote {
        /// The server to promote.
        server: ServerKey,
        /// The token of the order.
        token: FencingToken,
    },
}

/// Whether a host reaches a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opinion {
    /// The primary has just answered.
    Reaches,
    /// The primary does not answer.
    Fails,
}

/// The status that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The server's role.
    pub role: Role,
    /// The newest term that the server knows.
    pub term: Term,
    /// The position up to which the server has received the log.
    pub received: Position,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order: the token is outdated, or the server is not running.
    Refused,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

/// Why a server succeeds a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Ground {
    /// no server has a longer log
    LongestLog,
    /// an order of this change that may be carried out names it
    OrderedBefore,
    /// the server with the longest log is about to leave
    LongestLeaves,
    /// the server with the longest log was replaced and has not followed its successor
    LongestReplaced,
    /// the server with the longest log does not answer any more
    LongestSilent,
}
