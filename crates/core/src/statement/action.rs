//! What one statement does to its transaction or session.

/// What one statement does besides reading and writing data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing else: a query, a change of data or of the schema.
    Query,
    /// `BEGIN` or `START TRANSACTION`.
    Begin {
        /// It says `READ ONLY`.
        read_only: bool,
    },
    /// `COMMIT` or `END`.
    Commit {
        /// It says `AND CHAIN`, so a new transaction begins at once.
        chain: bool,
    },
    /// `ROLLBACK` of the whole transaction.
    Rollback {
        /// It says `AND CHAIN`, so a new transaction begins at once.
        chain: bool,
    },
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`: inside the transaction.
    Savepoint,
    /// `SET`.
    Set {
        /// The setting, in lower case.
        name: String,
        /// Its value, where that is one literal or word.
        value: Option<String>,
        /// It says `LOCAL`, so it ends with the transaction.
        local: bool,
        /// The statement again, fit for another connection.
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
    /// `PREPARE`; the part's access and tables are those of the statement inside.
    Prepare {
        /// The prepared statement.
        name: String,
        /// The statement again, fit for another connection.
        text: String,
    },
    /// `EXECUTE`; a write as long as nobody looks up what was prepared.
    Execute {
        /// The prepared statement.
        name: String,
    },
    /// `DEALLOCATE`.
    Deallocate {
        /// The prepared statement; `None` for all of them.
        name: Option<String>,
    },
    /// `DISCARD`.
    Discard {
        /// It says `ALL`.
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
        /// It says `WITH HOLD`, so the cursor outlives its transaction.
        hold: bool,
    },
    /// `COPY FROM STDIN`: the caller sends rows.
    CopyIn,
    /// `COPY TO STDOUT`: the caller receives rows.
    CopyOut,
    /// A table, view or sequence that lives as long as the connection.
    CreateTemporary,
    /// Text that the parser does not know.
    Unknown,
}
