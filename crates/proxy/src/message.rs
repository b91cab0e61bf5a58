//! What callers, this host and backend servers say to each other, free of any protocol.

use bytes::Bytes;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens a session on a database.
    Startup {
        /// Name of the database.
        database: Bytes,
    },
    /// Asks for one statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's identifier of the attempt; servers see it unchanged.
    pub id: Bytes,
    /// The statement as the caller wrote it.
    pub text: Bytes,
    /// What it asks for.
    pub statement: Statement,
}

/// What a statement asks for.
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
    /// Gives the session a value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a statement for later use in the session.
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
        /// The rest of the text.
        arguments: Bytes,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: Bytes,
    },
    /// Nothing that the protocol knows.
    Unknown,
}

/// What a statement may do to data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A statement that can be prepared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// What it may do to data.
    pub access: Access,
    /// Its text after the word that gives the access.
    pub text: Bytes,
}

/// What this host sends to a server.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// Runs a caller's statement, unchanged.
    Run {
        /// The caller's identifier.
        id: &'a [u8],
        /// The caller's text.
        text: &'a [u8],
        /// What the server's log must contain for it to run.
        after: Option<Position>,
    },
    /// Runs a prepared statement for a caller.
    Execute {
        /// The caller's identifier.
        id: &'a [u8],
        /// This host's name for the statement.
        name: &'a str,
        /// The caller's arguments.
        arguments: &'a [u8],
        /// What the server's log must contain for it to run.
        after: Option<Position>,
    },
    /// Opens a transaction.
    Begin {
        /// What the transaction may do.
        access: Access,
        /// What the server's log must contain for it to begin.
        after: Option<Position>,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Gives the connection a session value.
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
    /// Makes the server a replica, if it leads a term before `term`.
    StepDown {
        /// The term.
        term: Term,
    },
}

/// One message of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A row of a result.
    Row(Bytes),
    /// A statement has run; carries what proves which server ran it.
    Complete(Bytes),
    /// A statement failed.
    Error(ErrorMessage),
    /// The server awaits the next statement.
    Ready {
        /// Whether a transaction is open.
        transaction: Transaction,
        /// The position that the server's data have reached.
        position: Option<Position>,
    },
}

/// An error as it travels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorMessage {
    /// What kind it is.
    pub code: Code,
    /// Words for people.
    pub text: Bytes,
}

/// Kinds of errors that servers give and callers get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Not run: no capacity.
    Busy,
    /// Not run, or rolled back.
    Aborted,
    /// Not run: the server's data are too old.
    Lagging,
    /// Not run: the server does not lead.
    ReadOnly,
    /// Not run: the server serves something else.
    Misrouted,
    /// Not run: the server has no connections left.
    ConnectionLimit,
    /// Not run: the prepared statement does not exist.
    NoStatement,
    /// Not run: the statement cannot be understood, or not at this point.
    Malformed,
    /// Not run: the database does not exist.
    NoDatabase,
    /// It ran and failed.
    Failed,
    /// It took too long and may have run.
    Timeout,
    /// It may have run.
    InDoubt,
    /// Something that this program does not know.
    Other,
}

impl Code {
    /// Whether the code says that the statement did not run, so that it may be sent again.
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
            | Code::NoDatabase => true,
            Code::Failed | Code::Timeout | Code::InDoubt | Code::Other => false,
        }
    }
}

/// Whether a transaction is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transaction {
    /// None is.
    Idle,
    /// One is.
    Open,
    /// One is, and has failed: only its end is left.
    Failed,
}

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// The term that it knows.
    pub term: Term,
    /// How far it has received the log; its data may not have got there yet.
    pub received: Position,
}
