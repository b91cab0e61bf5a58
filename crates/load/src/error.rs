//! Everything that can stop the tool, and the exit code of each.

use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;

/// Why a subcommand could not do its work.
#[derive(Debug, Display)]
pub enum Error {
    /// {path}: {source}
    File {
        /// The file that could not be read or written.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// {0}
    Plan(crate::plan::Error),
    /// {path}: line {line} is not an entry of a history: {source}
    History {
        /// The history file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// What the decoder said.
        source: serde_json::Error,
    },
    /// the report could not be encoded: {0}
    Encode(serde_json::Error),
    /// the preparation `{statement}` failed on every entry host: {reason}
    Prepare {
        /// The statement.
        statement: String,
        /// What the last entry host answered.
        reason: String,
    },
    /// no final reading of the table by `{statement}`: {reason}
    Final {
        /// The statement.
        statement: String,
        /// What the last entry host answered.
        reason: String,
    },
    /// {address} cannot be reached: {source}
    Connect {
        /// Where the connection was to go.
        address: String,
        /// What the client library said.
        source: tokio_postgres::Error,
    },
    /// {url} is not a connection URL: {source}
    Url {
        /// The text.
        url: String,
        /// What the client library said.
        source: tokio_postgres::Error,
    },
    /// process {pid} cannot be observed: {source}
    Process {
        /// Process id.
        pid: u32,
        /// What the system said.
        source: std::io::Error,
    },
    /// the plot {path} could not be drawn: {reason}
    Plot {
        /// The file.
        path: PathBuf,
        /// What the plotting library said.
        reason: String,
    },
    /// {0} has no [baseline] with urls
    NoBaseline(PathBuf),
    /// {0}
    Template(crate::template::Error),
    /// fault {0} of the plan could not be injected: the figures are of another experiment
    Fault(String),
    /// `{0}` is no list of numbers above 0
    Numbers(String),
    /// the runtime could not start: {0}
    Runtime(std::io::Error),
    /// statement failed: {0}
    Statement(tokio_postgres::Error),
}

impl std::error::Error for Error {}

impl From<crate::plan::Error> for Error {
    fn from(error: crate::plan::Error) -> Error {
        Error::Plan(error)
    }
}

impl From<tokio_postgres::Error> for Error {
    fn from(error: tokio_postgres::Error) -> Error {
        Error::Statement(error)
    }
}

impl Error {
    /// Exit code: 2 for input that is wrong, 3 for a deployment that cannot be used.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::Plan(_)
            | Error::History { .. }
            | Error::Url { .. }
            | Error::NoBaseline(_)
            | Error::Template(_)
            | Error::Numbers(_) => ExitCode::from(2),
            _ => ExitCode::from(3),
        }
    }
}
