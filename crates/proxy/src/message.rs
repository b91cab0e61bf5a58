//! Protocol-independent messages between callers, this host and backend servers.

use bytes::Bytes;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens a session on a database.
    Startup {
        /// Name of the database.
        database: Bytes,
        /// The caller's API key, or on a relayed session the name of its team. May be empty.
        credential: Bytes,
        /// The server or host that the connection was meant for, if it is named.
        meant: Bytes,
    },
    /// Runs one statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// One statement from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's identifier of the attempt. Passed to servers unchanged.
    pub id: Bytes,
    /// The statement as the caller wrote it.
    pub text: Bytes,
    /// The decoded statement.
    pub statement: Statement,
}

/// Kind of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads or writes an item.
    Run(Access),
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement for later use in the session.
    Prepare {
        /// The session's name for it.
        name: Bytes,
        /// The statement.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: Bytes,
        /// Arguments: the remainder of the text.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: Bytes,
    },
    /// A statement that is not part of the protocol.
    Unknown,
}

/// Access of a statement to data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// Only reads.
    Read,
    /// May write.
    Write,
}

/// A statement that can be prepared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// Access of the statement to data.
    pub access: Access,
    /// Text of the statement after the keyword that determines the access.
    pub text: Bytes,
}

/// A command from this host to a server.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// Runs a caller's statement, unchanged.
    Run {
        /// The caller's identifier.
        id: &'a [u8],
        /// The caller's text.
        text: &'a [u8],
        /// Position that the server's log must contain for the statement to run.
        min_position: Option<Position>,
    },
    /// Runs a prepared statement for a caller.
    Execute {
        /// The caller's identifier.
        id: &'a [u8],
        /// This host's name for the statement.
        name: &'a str,
        /// The caller's arguments.
        arguments: &'a [u8],
        /// Position that the server's log must contain for the statement to run.
        min_position: Option<Position>,
    },
    /// Opens a transaction.
    Begin {
        /// Access of the transaction to data.
        access: Access,
        /// Position that the server's log must contain for the transaction to begin.
        min_position: Option<Position>,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Sets a session value on the connection.
    Set {
        /// Name of the value.
        name: &'a [u8],
        /// The value.
        value: &'a [u8],
    },
    /// Prepares a statement.
    Prepare {
        /// This host's name for it.
        name: &'a str,
        /// The statement.
        shape: &'a Shape,
    },
    /// Clears the connection's values and prepared statements.
    Discard,
    /// Asks the server for its role and position.
    Status,
    /// Makes the server a replica if it leads a term before `term`.
    StepDown {
        /// The term.
        term: Term,
    },
}

/// A message from a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A row of a result.
    Row(Bytes),
    /// A statement has run. Contains the proof of which server ran it.
    Complete(Bytes),
    /// A statement failed.
    Error(ErrorMessage),
    /// The server expects the next statement.
    Ready {
        /// Transaction status.
        transaction: Transaction,
        /// The position that the server's data has reached.
        position: Option<Position>,
    },
}

/// An error message on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorMessage {
    /// Kind of the error.
    pub code: Code,
    /// Human-readable text.
    pub text: Bytes,
}

/// Kinds of errors, as sent by servers and to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Not run: no capacity.
    Busy,
    /// Not run, or rolled back.
    Aborted,
    /// Not run: the server's data is too old.
    Lagging,
    /// Not run: the server is not the primary.
    ReadOnly,
    /// Not run: the request reached the wrong server.
    Misrouted,
    /// Not run: the server has no connections left.
    ConnectionLimit,
    /// Not run: the prepared statement does not exist.
    NoStatement,
    /// Not run: the statement is invalid, or not allowed in this state.
    Malformed,
    /// Not run: the database does not exist.
    NoDatabase,
    /// Not run: no team has the caller's API key.
    Unauthorized,
    /// It ran and failed.
    Failed,
    /// It took too long and may have run.
    Timeout,
    /// It may have run.
    InDoubt,
    /// An error code that this program does not know.
    Other,
}

impl Code {
    /// Reports whether the statement certainly did not run, so that it can be retried.
    ///
    /// ```
    /// use flamingopost_proxy::message::Code;
    ///
    /// assert!(Code::Lagging.did_not_run());
    /// assert!(!Code::InDoubt.did_not_run());
    /// ```
    pub fn did_not_run(self) -> bool {
        match self {
            Code::Busy
            | Code::Aborted
            | Code::Lagging
            | Code::ReadOnly
            | Code::Misrouted
            | Code::ConnectionLimit
            | Code::NoStatement
            | Code::Malformed
            | Code::NoDatabase
            | Code::Unauthorized => true,
            Code::Failed | Code::Timeout | Code::InDoubt | Code::Other => false,
        }
    }
}

/// Transaction status of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transaction {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed. It can only be ended.
    Failed,
}

/// Status reported by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// The newest term that the server knows.
    pub term: Term,
    /// Position up to which the server has received the log. Its data may not have reached it yet.
    pub received: Position,
}
