//! Errors of the subcommands and their exit codes.

use std::io;
use std::path::{Path, PathBuf};

use flamingopost_core::config::Report;
use flamingopost_wire::status::Ordered;
use flamingopost_wire::submission::{Problem, Refused, Winner};
use serde_json::json;

/// Why a subcommand ended without doing its work.
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
    /// no address: give --metrics IP:PORT or set FLAMINGOPOST_METRICS
    NoMetricsAddress,
    /// no token: give --token-file FILE or set FLAMINGOPOST_TOKEN
    NoToken,
    /// {path}: {source}
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// the configuration is invalid
    Invalid(Vec<Problem>),
    /// version {version} came first: {operator} submitted it as {submission}; run diff against it and submit again with --base {version}
    Conflict {
        /// Version that was accepted first.
        version: u64,
        /// Operator who submitted it.
        operator: String,
        /// Id of its submission.
        submission: String,
    },
    /// {address} cannot be reached: {reason}
    Unreachable {
        /// Address of the host's operators' HTTP API.
        address: String,
        /// Innermost cause of the failure.
        reason: String,
    },
    /// the platform is not available to {address}; nothing was changed, try again
    Unavailable {
        /// Address of the host's operators' HTTP API.
        address: String,
    },
    /// {address} does not accept the token
    Unauthorised {
        /// Address of the host's operators' HTTP API.
        address: String,
    },
    /// it is unknown whether the configuration was accepted; run the same command with --submission {submission}
    Unknown {
        /// Id of the submission.
        submission: String,
    },
    /// the outcome of the request to {address} is unknown; run the same command again
    AnswerLost {
        /// Address of the host's operators' HTTP API.
        address: String,
    },
    /// {address} has nothing at {path}
    NotFound {
        /// Address of the host's operators' HTTP API.
        address: String,
        /// Path of the request.
        path: String,
    },
    /// not now: {reason}
    OrderRefused {
        /// Reason that the controller gives.
        reason: Ordered,
    },
    /// {address} answered with metrics that cannot be read: {line}
    Metrics {
        /// Address that serves the metrics.
        address: String,
        /// The first line that cannot be read.
        line: String,
    },
    /// {address} answered {status}: {body}
    Unexpected {
        /// Address of the host's operators' HTTP API.
        address: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// the configuration has no service `{service}` or no caller `{caller}`
    NotInConfiguration {
        /// Name of the service.
        service: String,
        /// Name of the caller.
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

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Help(_) => 0,
            Error::Usage(_)
            | Error::UnknownCommand(_)
            | Error::NoAddress
            | Error::NoMetricsAddress
            | Error::NoToken
            | Error::AmbiguousName(_) => Error::USAGE,
            Error::Invalid(_) => Error::INVALID,
            Error::Conflict { .. } => Error::CONFLICT,
            Error::Unreachable { .. } | Error::Unavailable { .. } => Error::UNREACHABLE,
            Error::Unauthorised { .. } => Error::UNAUTHORISED,
            Error::Unknown { .. } | Error::AnswerLost { .. } => Error::UNKNOWN,
            Error::File { .. }
            | Error::NotFound { .. }
            | Error::Metrics { .. }
            | Error::Unexpected { .. }
            | Error::OrderRefused { .. }
            | Error::NotInConfiguration { .. }
            | Error::NameNotFound(_)
            | Error::EmptyPassword
            | Error::Output(_) => Error::FAILED,
        }
    }

    /// Returns the fixed word that scripts match in the JSON field `error`.
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

    /// Prints the error: as text on standard error, or with `json` as an object on standard output.
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

    /// Converts the refusal of a request to the host at `address`.
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

    /// Returns the error for a file that could not be read.
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
