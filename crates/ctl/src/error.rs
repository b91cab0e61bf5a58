//! What can go wrong, and the exit code of each.

use std::io;
use std::path::{Path, PathBuf};

use flamingopost_core::config::Report;
use flamingopost_wire::status::Ordered;
use flamingopost_wire::submission::{Problem, Refused, Winner};
use serde_json::json;

/// Why a subcommand did not do what it was asked.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Help(String),
    /// {0}
    Usage(String),
    /// there is no command `{0}`; flamingopostctl --help lists them
    UnknownCommand(String),
    /// no address: give --admin IP:PORT or set FLAMINGOPOST_ADMIN
    NoAddress,
    /// no token: give --token-file FILE or set FLAMINGOPOST_TOKEN
    NoToken,
    /// {path}: {source}
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// the configuration is invalid
    Invalid(Vec<Problem>),
    /// version {version} came first: {operator} submitted it as {submission}; run diff against it and submit again with --base {version}
    Conflict {
        /// Its version.
        version: u64,
        /// Who submitted it.
        operator: String,
        /// Its submission.
        submission: String,
    },
    /// {address} cannot be reached: {reason}
    Unreachable {
        /// Where.
        address: String,
        /// Why.
        reason: String,
    },
    /// the platform is not available to {address}; nothing was changed, try again
    Unavailable {
        /// Where.
        address: String,
    },
    /// {address} does not accept the token
    Unauthorised {
        /// Where.
        address: String,
    },
    /// whether it was accepted is not known; run the same command with --submission {submission}
    Unknown {
        /// Id of the submission.
        submission: String,
    },
    /// {address} was asked and nobody knows whether it was done; run the same command again
    AnswerLost {
        /// Where.
        address: String,
    },
    /// {address} has nothing at {path}
    NotFound {
        /// Where.
        address: String,
        /// What.
        path: String,
    },
    /// not now: {reason}
    OrderRefused {
        /// Why.
        reason: Ordered,
    },
    /// {address} answered {status}: {body}
    Unexpected {
        /// Where.
        address: String,
        /// HTTP status.
        status: u16,
        /// What it said.
        body: String,
    },
    /// the configuration has no service `{service}` or no caller `{caller}`
    NotInConfiguration {
        /// The service.
        service: String,
        /// The caller.
        caller: String,
    },
    /// there is no host or server called `{0}`
    NameNotFound(String),
    /// both a host and a server are called `{0}`; give --kind host or --kind server
    AmbiguousName(String),
    /// the password on standard input is empty
    EmptyPassword,
    /// standard output: {0}
    Output(io::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Exit code of wrong usage.
    pub const USAGE: u8 = 2;
    const FAILED: u8 = 1;
    const INVALID: u8 = 3;
    const CONFLICT: u8 = 4;
    const UNREACHABLE: u8 = 5;
    const UNAUTHORISED: u8 = 6;
    const UNKNOWN: u8 = 7;

    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Help(_) => 0,
            Error::Usage(_)
            | Error::UnknownCommand(_)
            | Error::NoAddress
            | Error::NoToken
            | Error::AmbiguousName(_) => Error::USAGE,
            Error::Invalid(_) => Error::INVALID,
            Error::Conflict { .. } => Error::CONFLICT,
            Error::Unreachable { .. } | Error::Unavailable { .. } => Error::UNREACHABLE,
            Error::Unauthorised { .. } => Error::UNAUTHORISED,
            Error::Unknown { .. } | Error::AnswerLost { .. } => Error::UNKNOWN,
            Error::File { .. }
            | Error::NotFound { .. }
            | Error::Unexpected { .. }
            | Error::OrderRefused { .. }
            | Error::NotInConfiguration { .. }
            | Error::NameNotFound(_)
            | Error::EmptyPassword
            | Error::Output(_) => Error::FAILED,
        }
    }

    /// A fixed word that scripts may test.
    fn category(&self) -> &'static str {
        match self.exit_code() {
            Error::USAGE => "usage",
            Error::INVALID => "invalid",
            Error::CONFLICT => "conflict",
            Error::UNREACHABLE => "unreachable",
            Error::UNAUTHORISED => "unauthorised",
            Error::UNKNOWN => "unknown",
            _ => "failed",
        }
    }

    /// Tells the operator: a sentence on standard error, or with `json` an object on standard output.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.to_json());
            return;
        }
        if let Error::Invalid(problems) = self {
            for problem in problems {
                let Problem {
                    file,
                    line,
                    what,
                    fix,
                } = problem;
                eprintln!("{file}:{line}: {what}; {fix}");
            }
        }
        eprintln!("flamingopostctl: {self}");
    }

    fn to_json(&self) -> serde_json::Value {
        let mut object = json!({ "error": self.category(), "message": self.to_string() });
        match self {
            Error::Invalid(problems) => object["problems"] = json!(problems),
            Error::Conflict {
                version,
                operator,
                submission,
            } => {
                object["winner"] = json!(Winner {
                    version: *version,
                    operator: operator.clone(),
                    submission: submission.clone(),
                });
            }
            Error::Unknown { submission } => object["submission"] = json!(submission),
            _ => {}
        }
        object
    }

    /// What a refusal means.
    pub fn from_refusal(refused: Refused, address: &str) -> Error {
        match refused {
            Refused::Conflict { winner } => Error::Conflict {
                version: winner.version,
                operator: winner.operator,
                submission: winner.submission,
            },
            Refused::Invalid { problems } => Error::Invalid(problems),
            Refused::Unavailable => Error::Unavailable {
                address: address.to_owned(),
            },
            Refused::Unknown => Error::AnswerLost {
                address: address.to_owned(),
            },
        }
    }

    /// A file that could not be read.
    pub fn file(path: &Path, source: io::Error) -> Error {
        let path = path.to_owned();
        Error::File { path, source }
    }
}

impl From<xflags::Error> for Error {
    fn from(error: xflags::Error) -> Error {
        if error.is_help() {
            Error::Help(error.to_string())
        } else {
            Error::Usage(error.to_string())
        }
    }
}

impl From<Report> for Error {
    fn from(report: Report) -> Error {
        Error::Invalid(Problem::all(&report))
    }
}
