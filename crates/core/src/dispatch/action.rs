//! Actions that a [`Dispatch`](super::Dispatch) asks its caller to carry out.

use std::time::Duration;

use crate::key::{ServerKey, TeamKey};

/// One action to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Run the request of `ticket` on `connection`.
    Assign {
        /// The request.
        ticket: u64,
        /// Its team.
        team: TeamKey,
        /// The server.
        server: ServerKey,
        /// The connection to it.
        connection: u64,
    },
    /// Open a connection to `server` for `team`, then call `connection_opened` or
    /// `connect_failed`.
    Open {
        /// The server.
        server: ServerKey,
        /// The team whose requests the connection will serve.
        team: TeamKey,
    },
    /// Close an idle `connection`.
    Close {
        /// The server.
        server: ServerKey,
        /// The connection to it.
        connection: u64,
    },
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        ticket: u64,
        /// The reason.
        reason: Unserved,
    },
}

/// Why a request found no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unserved {
    /// The connections that could serve it are busy for longer than it may wait.
    Busy {
        /// When its caller should come back.
        retry_after: Duration,
    },
    /// The service has no primary that takes requests.
    NoPrimary,
    /// No reachable server has reached the position that the request needs.
    Lagging,
}
