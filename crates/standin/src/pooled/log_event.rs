//! What became of the logs of a group's servers, for whoever looks for the cause of a loss.

/// Something that changed a server's log, or who leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// Unix milliseconds, as in the logs of hosts.
    pub at: u128,
    /// What happened.
    pub what: LogChange,
}

/// Something that changes a server's log or who leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogChange {
    /// An order for `server` was accepted.
    Ordered {
        /// The server.
        server: String,
        /// Entries that it had received.
        had: usize,
    },
    /// `server` leads `term` with the first `kept` entries of the log.
    Promoted {
        /// The server.
        server: String,
        /// The term.
        term: i64,
        /// How many entries it has.
        kept: usize,
        /// How many that others had are rolled back.
        dropped: usize,
    },
    /// `server` started again without its log.
    Forgot {
        /// The server.
        server: String,
        /// How many entries it had.
        had: usize,
    },
}
