//! Why requests are rejected, as the metrics count it.

use crate::message::Code;

/// Why a request was rejected: it did not run, or nothing of it is kept. Requests that may have run are
/// not rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The limit of the caller's team is reached.
    TeamLimit,
    /// No team has the caller's API key.
    UnknownKey,
    /// No connection to a server that could serve the request was free in time.
    NoConnection,
    /// The service has no primary.
    NoPrimary,
    /// No server that can be reached has data young enough.
    DataTooOld,
    /// This host is out of contact with a majority of the hosts.
    OutOfContact,
    /// This host has no configuration yet.
    NoConfiguration,
    /// The configuration has no such database.
    UnknownDatabase,
    /// The host that serves a relayed session has ended it.
    SessionEnded,
    /// The server had no slot or no connection free.
    ServerBusy,
    /// The server is not the primary.
    NotPrimary,
    /// The server refused the request for another reason.
    ServerRefused,
    /// The connection to the server broke before the request was sent.
    ConnectionLost,
    /// The connection of an open transaction broke, and the transaction is rolled back.
    TransactionLost,
    /// The transaction had failed before.
    TransactionFailed,
    /// The primary of an open transaction is being replaced, or has lost its log.
    PrimaryReplaced,
    /// The caller's message is invalid, or not allowed in this state.
    InvalidRequest,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 17] = [
        Reason::TeamLimit,
        Reason::UnknownKey,
        Reason::NoConnection,
        Reason::NoPrimary,
        Reason::DataTooOld,
        Reason::OutOfContact,
        Reason::NoConfiguration,
        Reason::UnknownDatabase,
        Reason::SessionEnded,
        Reason::ServerBusy,
        Reason::NotPrimary,
        Reason::ServerRefused,
        Reason::ConnectionLost,
        Reason::TransactionLost,
        Reason::TransactionFailed,
        Reason::PrimaryReplaced,
        Reason::InvalidRequest,
    ];

    /// Returns the reason of a server's refusal.
    ///
    /// ```
    /// use flamingopost_proxy::message::Code;
    /// use flamingopost_proxy::rejection::Reason;
    ///
    /// assert_eq!(Reason::of_server(Code::Lagging), Reason::DataTooOld);
    /// ```
    pub fn of_server(code: Code) -> Reason {
        match code {
            Code::Busy | Code::ConnectionLimit => Reason::ServerBusy,
            Code::Lagging => Reason::DataTooOld,
            Code::ReadOnly => Reason::NotPrimary,
            Code::NoDatabase => Reason::UnknownDatabase,
            Code::NoStatement | Code::Malformed => Reason::InvalidRequest,
            Code::Aborted => Reason::TransactionLost,
            Code::Misrouted
            | Code::Unauthorized
            | Code::Failed
            | Code::Timeout
            | Code::InDoubt
            | Code::Other => Reason::ServerRefused,
        }
    }

    /// Returns the label `reason` in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::TeamLimit => "team_limit",
            Reason::UnknownKey => "unknown_key",
            Reason::NoConnection => "no_connection",
            Reason::NoPrimary => "no_primary",
            Reason::DataTooOld => "data_too_old",
            Reason::OutOfContact => "out_of_contact",
            Reason::NoConfiguration => "no_configuration",
            Reason::UnknownDatabase => "unknown_database",
            Reason::SessionEnded => "session_ended",
            Reason::ServerBusy => "server_busy",
            Reason::NotPrimary => "not_primary",
            Reason::ServerRefused => "server_refused",
            Reason::ConnectionLost => "connection_lost",
            Reason::TransactionLost => "transaction_lost",
            Reason::TransactionFailed => "transaction_failed",
            Reason::PrimaryReplaced => "primary_replaced",
            Reason::InvalidRequest => "invalid_request",
        }
    }
}
