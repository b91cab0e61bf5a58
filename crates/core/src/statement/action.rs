//! Effects of a statement on its transaction or session.

/// What a statement does to its transaction or session, besides reading and writing data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing: a query, or a change of data or of the schema.
    Query,
    /// `BEGIN` or `START TRANSACTION`.
    Begin {
        /// Whether it says `READ ONLY`.
        read_only: bool,
    },
    /// `COMMIT` or `END`.
    Commit {
        /// Whether it says `AND CHAIN`, so that a new transaction begins at once.
        chain: bool,
    },
    /// `ROLLBACK` of the whole transaction.
    Rollback {
        /// Whether it says `AND CHAIN`, so that a new transaction begins at once.
        chain: bool,
    },
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`, which stay inside the transaction.
    Savepoint,
    /// `SET`.
    Set {
        /// The setting, in lower case.
        name: String,
        /// Its value, if that is a single literal or identifier.
        value: Option<String>,
        /// Whether it says `LOCAL`, so that it ends with the transaction.
        local: bool,
        /// The statement, to be replayed on another connection.
        text: String,
    },
    /// `RESET`.
    Reset {
        /// The setting, in lower case; `None` for all of them.
        name: Option<String>,
    },
    /// `SHOW`.
    Show {
        /// The setting, in lower case.
        name: String,
    },
    /// `PREPARE`. The access and tables of the part are those of the prepared statement.
    Prepare {
        /// Name of the prepared statement.
        name: String,
        /// The statement, to be replayed on another connection.
        text: String,
    },
    /// `EXECUTE`. Counts as a write until its prepared statement is looked up.
    Execute {
        /// Name of the prepared statement.
        name: String,
    },
    /// `DEALLOCATE`.
    Deallocate {
        /// Name of the prepared statement; `None` for all of them.
        name: Option<String>,
    },
    /// `DISCARD`.
    Discard {
        /// Whether it says `ALL`.
        all: bool,
    },
    /// `LISTEN`.
    Listen {
        /// The channel.
        channel: String,
    },
    /// `UNLISTEN`.
    Unlisten {
        /// The channel, `*` for all of them.
        channel: String,
    },
    /// `DECLARE CURSOR`.
    DeclareCursor {
        /// Whether it says `WITH HOLD`, so that the cursor outlives its transaction.
        hold: bool,
    },
    /// `COPY FROM STDIN`: the caller sends rows.
    CopyIn,
    /// `COPY TO STDOUT`: the caller receives rows.
    CopyOut,
    /// Creates a temporary table, view or sequence, which exists until the connection is closed.
    CreateTemporary,
    /// A text that the parser cannot parse, or a statement with session state that is not tracked.
    Unknown,
}
