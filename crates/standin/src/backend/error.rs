//! What can go wrong with a statement, and the SQLSTATE that tells it.

use pgwire::messages::response::ErrorResponse;

/// Why a statement or a connection failed.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum Error {
    /// cannot execute a write in a read-only transaction: this server is a replica
    ReadOnly,
    /// this server stopped leading while the transaction was open
    Deposed,
    /// current transaction is aborted, commands ignored until end of transaction block
    Aborted,
    /// sorry, too many clients already
    TooManyConnections,
    /// the database system is starting up
    StartingUp,
    /// database "{0}" does not exist
    Database(String),
    /// canceling statement due to user request
    Canceled,
    /// canceling statement due to statement timeout
    Timeout,
    /// {0}
    Group(GroupError),
    /// {0} is not supported by this stand-in
    Unsupported(String),
    /// syntax error: {0}
    Syntax(String),
    /// unrecognized configuration parameter "{0}"
    Parameter(String),
    /// prepared statement "{0}" does not exist
    Statement(String),
    /// prepared statement "{0}" already exists
    Prepared(String),
    /// portal "{0}" does not exist
    Portal(String),
    /// bind message supplies {0} parameters, but the statement requires {1}
    Arity(usize, usize),
    /// invalid input for type {0}
    Input(&'static str),
    /// savepoint "{0}" does not exist
    Savepoint(String),
    /// bad COPY data: {0}
    CopyData(String),
    /// COPY from stdin failed: {0}
    CopyFailed(String),
    /// protocol violation: {0}
    Protocol(String),
    /// {0}
    Engine(rusqlite::Error),
}

/// Why a group function was refused.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum GroupError {
    /// this server knows term {0}, which is not below the one named
    Term(i64),
    /// the data of this server do not reach {0}
    Behind(String),
    /// this server does not lead the term named
    NotLeading,
    /// {0} cannot be read as an argument
    Argument(String),
}

impl From<rusqlite::Error> for Error {
    fn from(error: rusqlite::Error) -> Error {
        Error::Engine(error)
    }
}

impl From<GroupError> for Error {
    fn from(error: GroupError) -> Error {
        Error::Group(error)
    }
}

/// Messages of functions that carry their own SQLSTATE begin with it and this mark.
pub(crate) const STATE_MARK: char = '|';

impl Error {
    /// The SQLSTATE.
    pub(crate) fn state(&self) -> String {
        match self {
            Error::ReadOnly | Error::Deposed => "25006",
            Error::Aborted => "25P02",
            Error::TooManyConnections => "53300",
            Error::StartingUp => "57P03",
            Error::Database(_) => "3D000",
            Error::Canceled | Error::Timeout => "57014",
            Error::Group(GroupError::Argument(_)) => "22023",
            Error::Group(_) => "55000",
            Error::Unsupported(_) => "0A000",
            Error::Syntax(_) => "42601",
            Error::Parameter(_) => "42704",
            Error::Statement(_) => "26000",
            Error::Prepared(_) => "42P05",
            Error::Portal(_) => "34000",
            Error::Arity(..) | Error::Protocol(_) => "08P01",
            Error::Input(_) => "22P02",
            Error::Savepoint(_) => "3B001",
            Error::CopyData(_) => "22P04",
            Error::CopyFailed(_) => "57014",
            Error::Engine(error) => return engine_state(error),
        }
        .to_owned()
    }

    /// Whether the connection ends with it.
    fn is_fatal(&self) -> bool {
        matches!(
            self,
            Error::TooManyConnections | Error::StartingUp | Error::Database(_) | Error::Protocol(_)
        )
    }

    /// The message for the caller.
    pub(crate) fn response(&self) -> ErrorResponse {
        let severity = if self.is_fatal() { "FATAL" } else { "ERROR" };
        let text = self.to_string();
        let message = match text.split_once(STATE_MARK) {
            Some((state, message)) if state.len() == 5 => message.to_owned(),
            _ => text,
        };
        ErrorResponse::new(vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.state()),
            (b'M', message),
        ])
    }
}

fn engine_state(error: &rusqlite::Error) -> String {
    use rusqlite::ffi;
    let text = error.to_string();
    if let Some((state, _)) = text.split_once(STATE_MARK)
        && state.len() == 5
    {
        return state.to_owned();
    }
    let extended = match error {
        rusqlite::Error::SqliteFailure(failure, _) => failure.extended_code,
        rusqlite::Error::SqlInputError { error, .. } => error.extended_code,
        _ => 0,
    };
    let state = match extended {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_DATATYPE => "22P02",
        ffi::SQLITE_INTERRUPT => "57014",
        ffi::SQLITE_BUSY | ffi::SQLITE_BUSY_SNAPSHOT => "55P03",
        _ => state_of_text(&text),
    };
    state.to_owned()
}

fn state_of_text(text: &str) -> &'static str {
    const TEXTS: [(&str, &str); 8] = [
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column named", "42703"),
        ("no such function", "42883"),
        ("wrong number of arguments", "42883"),
        ("already exists", "42P07"),
        ("syntax error", "42601"),
        ("incomplete input", "42601"),
    ];
    TEXTS
        .iter()
        .find(|(part, _)| text.contains(part))
        .map_or("XX000", |(_, state)| state)
}
